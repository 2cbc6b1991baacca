/// @file fake_objects.h
/// In-memory fake of the object API. Calls queue until the test completes
/// them one by one, and a test can lose requests or responses.

#ifndef FAKE_OBJECTS_H
#define FAKE_OBJECTS_H

#include "platform/objects.h"

enum fake_fault {
    FAKE_NO_FAULT,
    FAKE_RESPONSE_LOST,      ///< the call takes effect; no response arrives
    FAKE_REQUEST_LOST,       ///< the call has no effect; no response arrives
    FAKE_CONNECTION_REFUSED, ///< the call fails without being sent
};

struct fake_call;

/// Objects shared by several fake clients.
struct fake_store {
    GHashTable *objects; ///< "KIND/NAME" to json_t
    uint64_t version;
    int writes; ///< create, update and remove calls, failed ones included
    int reads;
    size_t value_max_bytes; ///< size limit of one object; 0 for none
};

/// One client of a fake store.
struct fake_objects {
    struct cm_objects base;
    struct fake_store *store;
    GQueue calls;          ///< of struct fake_call, oldest first
    enum fake_fault fault; ///< applied to the next `faults_left` calls
    int faults_left;
    struct cm_object_watch *watch; ///< last one started; NULL if ended
};

/// Prepares an empty store.
void
FakeStore_Init(struct fake_store *store);

/// Frees the store.
void
FakeStore_Finish(struct fake_store *store);

/// Prepares a client of `store`.
void
FakeObjects_Init(struct fake_objects *objects, struct fake_store *store);

/// Drops the queued calls without completing them.
void
FakeObjects_Finish(struct fake_objects *objects);

/// Runs the oldest queued call and its completion callback.
/// @return false if no call is queued.
bool
FakeObjects_CompleteNext(struct fake_objects *objects);

#endif
