/// @file revisions_internal.h
/// Functions shared by revisions.c and submit.c.

#ifndef REVISIONS_INTERNAL_H
#define REVISIONS_INTERNAL_H

#include "revision/revisions.h"

/// Frees a GString; a GDestroyNotify for hash tables.
void
CmRevisions_FreeString(gpointer string);

/// Cancels and frees a submission without calling its callback.
void
CmRevisions_FreeSubmit(struct cm_revision_submit *submit);

#endif
