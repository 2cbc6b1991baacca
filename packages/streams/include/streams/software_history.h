/// @file software_history.h
/// Software versions that the targets of each service have had, so that a
/// stream without a record may go on where only one version can have begun it.

#ifndef STREAMS_SOFTWARE_HISTORY_H
#define STREAMS_SOFTWARE_HISTORY_H

#include "dispatch/target_defs.h"

struct cm_software_history {
    struct timespec observed_at; ///< last observation
    GHashTable *services;        ///< name to struct cm_service_software
};

void
CmSoftwareHistory_Init(struct cm_software_history *history);

void
CmSoftwareHistory_Finish(struct cm_software_history *history);

/// Records the versions of the targets that are listed now. To be called about
/// once a second.
void
CmSoftwareHistory_Observe(struct cm_software_history *history,
                          const struct cm_targets *targets,
                          struct timespec now);

/// @return the only version that targets of the service had during `span_ms`
/// before the last observation, or NULL if there were several or the history
/// is shorter.
const char *
CmSoftwareHistory_Only(const struct cm_software_history *history,
                       const char *service, int64_t span_ms);

/// @return when a target of the service last had this version; 0 for never.
struct timespec
CmSoftwareHistory_LastSeen(const struct cm_software_history *history,
                           const char *service, const char *software);

#endif
