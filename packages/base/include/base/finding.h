/// @file finding.h
/// Findings about an input, collected with their place and reported together.

#ifndef BASE_FINDING_H
#define BASE_FINDING_H

#include <glib.h>
#include <stddef.h>

#include "base/list.h"

/// Findings kept by default before the rest are only counted.
#define CM_FINDINGS_MAX 100

/// One finding; line and column count from 1, 0 means the whole input.
struct cm_finding {
    TAILQ_ENTRY(cm_finding) link;
    size_t line;
    size_t column;
    char *message;
};

struct cm_findings {
    TAILQ_HEAD(, cm_finding) list;
    size_t count;   ///< all findings, kept or not
    size_t maximum; ///< how many are kept
    char *input;    ///< name of the input, for the report
};

/// Prepares an empty collection for the input called `input`.
void
CmFindings_Init(struct cm_findings *findings, const char *input,
                size_t maximum);

/// Frees all findings.
void
CmFindings_Finish(struct cm_findings *findings);

/// Adds one finding; beyond the maximum it is only counted.
void
CmFindings_Add(struct cm_findings *findings, size_t line, size_t column,
               const char *format, ...) G_GNUC_PRINTF(4, 5);

/// @return the report, one `input:line:column: message` a line; g_free() it.
char *
CmFindings_Report(const struct cm_findings *findings);

#endif
