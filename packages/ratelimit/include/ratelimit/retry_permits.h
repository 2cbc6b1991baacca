/// @file retry_permits.h
/// Permits of one gateway for retries beyond what its own requests allow: what
/// it has been granted, and which holder of the reserve it asks next. Pure, as
/// retry_reserve.h.

#ifndef RATELIMIT_RETRY_PERMITS_H
#define RATELIMIT_RETRY_PERMITS_H

#include <stdbool.h>

#include "ratelimit/retry_reserve.h"

/// Most holders of parts of a reserve that a gateway asks.
#define CM_RETRY_HOLDERS_MAX 16
/// Time for which a holder that did not answer is not asked again.
#define CM_RETRY_SILENT_MS 2000

/// No holder is to be asked now.
#define CM_RETRY_NO_HOLDER (-1)

/// Permit of one request.
struct cm_retry_permit {
    bool held;
    struct timespec until;
};

/// The holders that a gateway may ask, by their addresses.
struct cm_retry_holders {
    size_t n;
    const char *addresses[CM_RETRY_HOLDERS_MAX];
};

struct cm_retry_permits {
    GHashTable *services; ///< name to its state
    size_t first; ///< holder that is asked first: not the same at all gateways
    /// What this gateway uses of the reserves. Its own settings limit that,
    /// too, whatever the holders' ones are.
    struct cm_retry_reserve used;
};

/// @param first any number.
void
CmRetryPermits_Init(struct cm_retry_permits *permits, size_t first,
                    struct timespec now);

void
CmRetryPermits_Finish(struct cm_retry_permits *permits);

/// @param reserve the whole reserve, by this gateway's settings.
/// @return index of the holder to claim at, or CM_RETRY_NO_HOLDER.
int
CmRetryPermits_ChooseHolder(struct cm_retry_permits *permits,
                            const char *service,
                            const struct cm_retry_holders *holders,
                            const struct cm_retry_part *reserve,
                            struct timespec now);

/// @return permits to claim for `waiting` requests.
int
CmRetryPermits_Wanted(struct cm_retry_permits *permits, const char *service,
                      int waiting, const struct cm_retry_part *reserve,
                      struct timespec now);

/// Applies the answer to a claim.
/// @param holder its address.
/// @param grant NULL for no answer.
/// @param claimed_at when the claim was sent: permits are valid from then on.
void
CmRetryPermits_Apply(struct cm_retry_permits *permits, const char *service,
                     const char *holder, const struct cm_retry_grant *grant,
                     const struct cm_retry_part *reserve,
                     struct timespec claimed_at, struct timespec now);

/// Takes a permit that no request holds.
/// @return whether there is one; `permit` is valid then.
bool
CmRetryPermits_Take(struct cm_retry_permits *permits, const char *service,
                    struct cm_retry_permit *permit, struct timespec now);

/// Gives a permit back that was not used.
void
CmRetryPermits_GiveBack(struct cm_retry_permits *permits, const char *service,
                        struct cm_retry_permit *permit, struct timespec now);

/// @return whether the permit may still be used.
bool
CmRetryPermit_IsValid(const struct cm_retry_permit *permit,
                      struct timespec now);

/// Drops unused state; to be called periodically.
void
CmRetryPermits_Expire(struct cm_retry_permits *permits, struct timespec now);

#endif
