/// @file finding.h
/// Validation findings: errors in an input, collected with line and column
/// and reported together.

#ifndef BASE_FINDING_H
#define BASE_FINDING_H

#include <glib.h>
#include <stddef.h>

#include "base/list.h"

/// Default number of findings that are kept; further ones are only counted.
#define CM_FINDINGS_MAX 100

/// One finding; line and column start at 1, 0 means the whole input.
struct cm_finding {
    TAILQ_ENTRY(cm_finding) link;
    size_t line;
    size_t column;
    char *message;
};

struct cm_findings {
    TAILQ_HEAD(, cm_finding) list;
    size_t count;   ///< number of findings, kept or not
    size_t maximum; ///< number of findings that are kept
    char *input;    ///< name of the input in the report
};

/// Initializes an empty collection for the input named `input`.
void
CmFindings_Init(struct cm_findings *findings, const char *input,
                size_t maximum);

/// Frees the findings and the name of the input.
void
CmFindings_Finish(struct cm_findings *findings);

/// Adds one finding; once `maximum` are kept, further ones are only counted.
void
CmFindings_Add(struct cm_findings *findings, size_t line, size_t column,
               const char *format, ...) G_GNUC_PRINTF(4, 5);

/// @return the report with one line `input:line:column: error: message` for
/// each finding; to be freed with g_free().
char *
CmFindings_Report(const struct cm_findings *findings);

#endif
