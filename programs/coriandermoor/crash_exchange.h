/// @file crash_exchange.h
/// Exchanges crash records with the other entries, so that an entry that has
/// restarted, or was out of an agent's reach, has the verdicts of the others.

#ifndef CRASH_EXCHANGE_H
#define CRASH_EXCHANGE_H

#include <event2/http.h>

#include "entry.h"

/// Path of the exchange at the admin listener.
#define CRASH_RECORDS_PATH "/admin/crash-records"

void
CrashExchange_Init(struct entry *entry);

void
CrashExchange_Finish(struct entry *entry);

/// Compares the records with those of one peer; to be called about once a
/// second.
void
CrashExchange_Poll(struct entry *entry);

/// Answers another entry's message.
void
CrashExchange_Reply(struct entry *entry, struct evhttp_request *request);

#endif
