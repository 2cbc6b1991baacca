/// @file list.h
/// Intrusive lists: loops over the lists of <sys/queue.h>, under names that
/// follow the naming rules of this project.

#ifndef BASE_LIST_H
#define BASE_LIST_H

#include <sys/queue.h>

#define CmList_FOREACH(var, head, field) LIST_FOREACH(var, head, field)
#define CmTailq_FOREACH(var, head, field) TAILQ_FOREACH(var, head, field)

/// Like CmTailq_FOREACH, but the body may remove and free `var`.
#define CmTailq_FOREACH_SAFE(var, head, field, next)                          \
    for ((var) = TAILQ_FIRST(head);                                           \
         (var) != NULL && ((next) = TAILQ_NEXT(var, field), 1);               \
         (var) = (next))

/// Like CmList_FOREACH, but the body may remove and free `var`.
#define CmList_FOREACH_SAFE(var, head, field, next)                           \
    for ((var) = LIST_FIRST(head);                                            \
         (var) != NULL && ((next) = LIST_NEXT(var, field), 1);                \
         (var) = (next))

#endif
