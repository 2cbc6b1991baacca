/// @file fake_objects.h
/// The object API in memory, for tests: answers wait until the test lets
/// them go, and may be lost before or after the write took effect.

#ifndef FAKE_OBJECTS_H
#define FAKE_OBJECTS_H

#include "platform/objects.h"

enum fake_fault {
    FAKE_NO_FAULT,
    FAKE_RESPONSE_LOST,      ///< the call takes effect, its answer is lost
    FAKE_REQUEST_LOST,       ///< the call has no effect, and no answer
    FAKE_CONNECTION_REFUSED, ///< never reached the API
};

struct fake_call;

/// What several clients share.
struct fake_store {
    GHashTable *objects; ///< "KIND/NAME" to json_t
    uint64_t version;
    int writes; ///< calls that would write
    int reads;
    size_t value_max; ///< longest value; 0 for no limit
};

/// One client of the store.
struct fake_objects {
    struct cm_objects base;
    struct fake_store *store;
    GQueue calls;          ///< of struct fake_call, oldest first
    enum fake_fault fault; ///< of the next `faulty` calls
    int faults_left;
    struct cm_object_watch *watch;
};

/// Prepares an empty store.
void
FakeStore_Init(struct fake_store *store);

/// Frees the store.
void
FakeStore_Finish(struct fake_store *store);

/// Prepares a client.
void
FakeObjects_Init(struct fake_objects *objects, struct fake_store *store);

/// Frees the client.
void
FakeObjects_Finish(struct fake_objects *objects);

/// Carries out and answers the oldest call. @return false without one.
bool
FakeObjects_CompleteNext(struct fake_objects *objects);

#endif
