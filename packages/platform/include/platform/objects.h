/// @file objects.h
/// Client of the platform's object API, which follows the Kubernetes API
/// conventions: REST, optimistic concurrency by resourceVersion, 409 on a
/// conflict, and watches as JSON lines.

#ifndef PLATFORM_OBJECTS_H
#define PLATFORM_OBJECTS_H

#include "platform/objects_defs.h"

/// Initializes a client of the API at `address` (IP:PORT), which is borrowed.
void
CmHttpObjects_Init(struct cm_http_objects *objects,
                   struct cm_http_client *client, const char *address);

/// Initializes a call; it may be reused once it is done.
void
CmObjectCall_Init(struct cm_object_call *call, cm_object_done done,
                  void *context);

/// Cancels the call if it is in progress and frees its buffer.
void
CmObjectCall_Finish(struct cm_objects *objects, struct cm_object_call *call);

/// Initializes a watch, which the operation `watch` starts.
/// @param event called for each event.
/// @param ended called once the watch ends by itself.
void
CmObjectWatch_Init(struct cm_object_watch *watch, cm_object_event event,
                   void (*ended)(void *context), void *context);

/// Cancels the watch if it is in progress and frees its buffer.
void
CmObjectWatch_Finish(struct cm_objects *objects,
                     struct cm_object_watch *watch);

/// @return the resourceVersion of the object, borrowed, or NULL.
const char *
CmObject_Version(const json_t *object);

/// @return the spec of the object, borrowed, or NULL.
json_t *
CmObject_Spec(const json_t *object);

/// Composes an object for `create` or `update`.
/// @param version resourceVersion that an update requires, or NULL.
/// @param spec    spec of the object; the reference is stolen.
/// @return a new reference.
json_t *
CmObject_New(const char *version, json_t *spec);

#endif
