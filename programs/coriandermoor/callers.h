/// @file callers.h
/// HTTP listener for callers: the OpenAI API for services with engines, and
/// /services/NAME/ for plain services.

#ifndef CALLERS_H
#define CALLERS_H

#include "entry.h"

/// Starts listening on the callers' address of the settings.
/// @return false with `error` set if the address cannot be bound.
bool
Callers_Listen(struct entry *entry, GError **error);

#endif
