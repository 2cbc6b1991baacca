/// @file verdict.h
/// Derives from a set of crash records which contents crash their targets. A
/// pure function: the order of the records doesn't matter.
///
/// Every run that a crash cut off is a suspect. A suspect that was in enough
/// crashes is on trial: it may only be run alone, and a crash of its trial
/// decides (trial.h). It is refused without a trial once it was in enough
/// crashes that nothing else explains:
///
/// - Runs that end before the content's last completed run don't count.
/// - Runs of one content that overlap in time count once, as racks end all
///   their targets at the same moment.
/// - A crash late in a run counts half.
/// - Crashes in which a refused content ran don't count for others, also not
///   for a trial. A crash of a trial doesn't decide either if another target,
///   without the content, crashed at the same moment.
/// - A crash doesn't count while another content that was in as many crashes
///   ran in it, too: the next crash of either tells them apart.
///
/// Parts of prompts are suspects as well, by rules of their own
/// (src/part_verdict.c).

#ifndef QUARANTINE_VERDICT_H
#define QUARANTINE_VERDICT_H

#include <glib.h>

#include "quarantine/crash_record.h"

/// Weight of a crash that nothing else explains.
#define CM_VERDICT_CRASH_WEIGHT 2

/// Time after a crash in which the platform counts no sends, as gateways can't
/// know of it yet.
#define CM_CONTACT_MS 3000

/// A content, or a part of prompts, that crashes cut off and that has not
/// completed since.
struct cm_suspect {
    char content[CM_CONTENT_SIZE];
    int position; ///< deepest in a prompt; 0 for a content
    int crashes;  ///< in which it ran
    int weight;   ///< of these crashes; CM_VERDICT_CRASH_WEIGHT each at most
    bool refused;
    bool on_trial; ///< not refused, but may only be run alone
    /// Parts of prompts that one trial can't tell apart: a request that has
    /// all `group_size` of them is refused. 0 for others.
    int group;
    int group_size;
    int trials;        ///< granted and used since it last completed
    int late_grants;   ///< of trials, CM_CONTACT_MS after the last crash or
                       ///< later, with those that were given back
    int trial_crashes; ///< trials whose target crashed
    struct timespec last_trial;
    struct timespec last_crash;
    char observers[CM_CRASH_NAME_SIZE]; ///< of its crashes, comma-separated
};

/// @param crashes after which a content is refused, twice as many late ones.
/// @param counts  content to the number of its crash records. Contents with
///                fewer than `crashes - 1` can't be refused soon and are
///                left out.
/// @return content to struct cm_suspect, which the table owns.
GHashTable *
CmVerdict_Compute(const struct cm_crash_records *records, int crashes,
                  GHashTable *counts);

#endif
