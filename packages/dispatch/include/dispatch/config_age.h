/// @file config_age.h
/// How old the configuration in force may be, for decisions that must not
/// outlive a withdrawal: a key that the operators have withdrawn.
///
/// The age counts from the start of the last call whose answer showed the
/// configuration, by a clock that also counts the time in which the machine
/// was suspended. Pure: the time is passed in.

#ifndef DISPATCH_CONFIG_AGE_H
#define DISPATCH_CONFIG_AGE_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/// Share of the time limit after which keys are no longer accepted. The rest
/// covers a store whose watches hear nothing for a second while it discards
/// its history.
#define CM_CONFIG_AGE_SHARE 0.75
/// Share of the time limit for which a call of a seed waits for a change. Its
/// age reaches the time of two calls; with the interval at which the others
/// learn it this stays below CM_CONFIG_AGE_REFRESH_SHARE.
#define CM_CONFIG_WAIT_SHARE 0.15
/// Share of the time limit after which the store is asked anew.
#define CM_CONFIG_AGE_REFRESH_SHARE 0.5

struct cm_config_age {
    bool confirmed;
    struct timespec confirmed_at;
    /// The store may have come back from a copy in which withdrawn keys are
    /// still there, and no other gateway has been asked yet.
    bool doubtful;
};

/// Records that the configuration in force was the latest at some time after
/// `at`. An earlier time than the known one changes nothing.
void
CmConfigAge_Confirm(struct cm_config_age *age, struct timespec at);

/// @return the age in ms, or -1 if it was never confirmed.
int64_t
CmConfigAge_Ms(const struct cm_config_age *age, struct timespec now);

/// @param limit_ms time after which a withdrawn key must not be used; 0 for
/// none.
/// @return whether keys may be accepted at `now`.
bool
CmConfigAge_AllowsKeys(const struct cm_config_age *age, int64_t limit_ms,
                       struct timespec now);

#endif
