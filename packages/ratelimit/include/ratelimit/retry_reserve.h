/// @file retry_reserve.h
/// The reserve of retries of a service, which all gateways share. Each
/// candidate (peers/roster.h) holds an equal part of it and grants permits
/// from that; other gateways hold nothing. The parts of candidates that are
/// lost or cut off are left unused, so that those of all add up to at most the
/// reserve whichever of the gateways run, how many they are, and whom each of
/// them reaches. A candidate that is new grants nothing until the others have
/// heard of it, and until what they granted of larger parts is over. Pure.

#ifndef RATELIMIT_RETRY_RESERVE_H
#define RATELIMIT_RETRY_RESERVE_H

#include <glib.h>
#include <stdint.h>
#include <time.h>

/// Bytes of a service's name in a message, with the terminating zero.
#define CM_RETRY_NAME_SIZE 128
/// Time from a claim until its permits end.
#define CM_RETRY_PERMIT_VALID_MS 1000
/// Most permits of one claim.
#define CM_RETRY_WANTED_MAX 256
/// Claims a second that a holder wants to get while it has nothing to grant;
/// it tells claimants to come back accordingly. A claim and its answer take
/// some 500 bytes.
#define CM_RETRY_CLAIMS_PER_S 40

/// Claim of one gateway.
struct cm_retry_claim {
    char service[CM_RETRY_NAME_SIZE];
    int wanted;
};

struct cm_retry_grant {
    int permits;
    int64_t retry_ms; ///< time until more may be had; 0 if all was granted
};

/// A part of the reserve.
struct cm_retry_part {
    double size;       ///< permits in any window
    int64_t window_ms; ///< length of the window
};

/// What a gateway has granted.
struct cm_retry_reserve {
    GHashTable *services; ///< name to its grants
    struct timespec since;
    struct timespec claims_since; ///< present second of claims
    int claims;                   ///< denied ones in it
    int claims_before;            ///< in the second before
};

/// Initializes a reserve. Nothing is granted until its predecessor's permits,
/// and the retries made with them, have left the window.
/// @param now in this and all other functions by the time since boot.
void
CmRetryReserve_Init(struct cm_retry_reserve *reserve, struct timespec now);

void
CmRetryReserve_Finish(struct cm_retry_reserve *reserve);

/// Grants nothing until permits that were granted by `time` have left the
/// window.
void
CmRetryReserve_WaitFrom(struct cm_retry_reserve *reserve,
                        struct timespec time);

/// Grants at most what the claim asks for.
struct cm_retry_grant
CmRetryReserve_Grant(struct cm_retry_reserve *reserve,
                     const struct cm_retry_claim *claim,
                     const struct cm_retry_part *part, struct timespec now);

/// @return permits of the part that are not granted now.
int
CmRetryReserve_Left(struct cm_retry_reserve *reserve, const char *service,
                    const struct cm_retry_part *part, struct timespec now);

/// Counts permits as granted.
void
CmRetryReserve_Count(struct cm_retry_reserve *reserve, const char *service,
                     int permits, const struct cm_retry_part *part,
                     struct timespec now);

/// @return time for which a granted permit counts.
int64_t
CmRetryReserve_HoldMs(const struct cm_retry_part *part);

/// Drops services without grants; to be called periodically.
void
CmRetryReserve_Expire(struct cm_retry_reserve *reserve, struct timespec now);

#endif
