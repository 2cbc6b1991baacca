/// @file introductions.h
/// Introduces this gateway to others through agents, or through the store
/// where there are none. The seeds of two gateways may have nothing in common
/// once machines have been replaced.

#ifndef GATEWAY_INTRODUCTIONS_H
#define GATEWAY_INTRODUCTIONS_H

#include "gateway.h"

void
Introductions_Init(struct gateway *gateway);

void
Introductions_Finish(struct gateway *gateway);

/// Adds the gateways that an agent names to the roster.
void
Introductions_Apply(struct gateway *gateway, const char *data, size_t size);

/// Sends an introduction if one is due; to be called several times a second.
void
Introductions_Tick(struct gateway *gateway);

#endif
