/// @file finding.c
/// Collection of validation findings and their report.

#include "base/finding.h"

#include <stdarg.h>

void
CmFindings_Init(struct cm_findings *findings, const char *input,
                size_t maximum)
{
    TAILQ_INIT(&findings->list);
    findings->count = 0;
    findings->maximum = maximum;
    findings->input = g_strdup(input);
}

void
CmFindings_Finish(struct cm_findings *findings)
{
    struct cm_finding *finding;
    struct cm_finding *next;
    CmTailq_FOREACH_SAFE (finding, &findings->list, link, next) {
        TAILQ_REMOVE(&findings->list, finding, link);
        g_free(finding->message);
        g_free(finding);
    }
    g_free(findings->input);
}

void
CmFindings_Add(struct cm_findings *findings, size_t line, size_t column,
               const char *format, ...)
{
    findings->count++;
    if (findings->count > findings->maximum) {
        return;
    }
    struct cm_finding *finding = g_new0(struct cm_finding, 1);
    finding->line = line;
    finding->column = column;
    va_list args;
    va_start(args, format);
    finding->message = g_strdup_vprintf(format, args);
    va_end(args);
    TAILQ_INSERT_TAIL(&findings->list, finding, link);
}

char *
CmFindings_Report(const struct cm_findings *findings)
{
    GString *report = g_string_new(NULL);
    struct cm_finding *finding;
    CmTailq_FOREACH (finding, &findings->list, link) {
        g_string_append_printf(report, "%s:%zu:%zu: error: %s\n",
                               findings->input, finding->line, finding->column,
                               finding->message);
    }
    if (findings->count > findings->maximum) {
        g_string_append_printf(report, "%s: %zu further findings not shown\n",
                               findings->input,
                               findings->count - findings->maximum);
    }
    return g_string_free(report, FALSE);
}
