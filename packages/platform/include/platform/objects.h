/// @file objects.h
/// Client of the platform's object API, after the Kubernetes API conventions:
/// REST, resourceVersion, 409 on conflict, watch as JSON lines.

#ifndef PLATFORM_OBJECTS_H
#define PLATFORM_OBJECTS_H

#include "platform/objects_defs.h"

/// Prepares the client of the API at `address`.
void
CmHttpObjects_Init(struct cm_http_objects *objects,
                   struct cm_http_client *client, const char *address);

/// Prepares a call; it may be used again once it ended.
void
CmObjectCall_Init(struct cm_object_call *call, cm_object_done done,
                  void *context);

/// Gives the call up and frees what it holds.
void
CmObjectCall_Finish(struct cm_objects *objects, struct cm_object_call *call);

/// Prepares a watch.
void
CmObjectWatch_Init(struct cm_object_watch *watch, cm_object_event event,
                   void (*ended)(void *context), void *context);

/// Ends the watch and frees what it holds.
void
CmObjectWatch_Finish(struct cm_objects *objects,
                     struct cm_object_watch *watch);

/// @return the object's resourceVersion, or NULL.
const char *
CmObject_Version(const json_t *object);

/// @return the object's spec, borrowed, or NULL.
json_t *
CmObject_Spec(const json_t *object);

/// Makes an object to be written.
/// @param version resourceVersion to require, or NULL.
/// @param spec    reference is taken.
json_t *
CmObject_New(const char *version, json_t *spec);

#endif
