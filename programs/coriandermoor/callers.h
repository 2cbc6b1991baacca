/// @file callers.h
/// The listener for callers: completions, models, plain services.

#ifndef CALLERS_H
#define CALLERS_H

#include "entry.h"

/// Starts the listener.
bool
Callers_Listen(struct entry *entry, GError **error);

#endif
