/// @file revisions_internal.h
/// What revisions.c and submit.c share.

#ifndef REVISIONS_INTERNAL_H
#define REVISIONS_INTERNAL_H

#include "revision/revisions.h"

/// Frees a GString; for tables.
void
CmRevisions_FreeString(gpointer string);

/// Gives a submission up without a callback.
void
CmRevisions_FreeSubmit(struct cm_revision_submit *submit);

#endif
