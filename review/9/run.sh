#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$folder/../common-2/run-case" "$folder"
