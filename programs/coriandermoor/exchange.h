/// @file exchange.h
/// One request of a caller, from its arrival to its answer.

#ifndef EXCHANGE_H
#define EXCHANGE_H

#include "entry.h"

struct exchange {
    TAILQ_ENTRY(exchange) link;
    struct entry *entry;
    struct evhttp_request *request; ///< NULL once the caller is gone
    struct entry_config *config;
    const struct cm_service *service;
    char *id;
    char *caller;
    char *adapter; ///< "name@version", NULL for plain services
    char *method;
    char *path;
    char *headers;
    GString *body;
    char fingerprint[CM_DIGEST_SIZE];
    bool idempotent;
    bool admitted;
    bool suspect;
    int64_t priority;
    struct timespec arrived;
    struct timespec deadline;
    struct event *deadline_timer; ///< deadline
    struct event *routing_timer;  ///< next try to find a target
    struct event *hedge_timer;

    TAILQ_HEAD(, attempt) attempts;
    GPtrArray *excluded_targets; ///< names of targets
    unsigned n_attempts;
    unsigned possible_runs; ///< attempts after one that may have run

    int status;
    char *answer_headers;
    GString *answer;        ///< received, from the first byte on
    size_t delivered_bytes; ///< bytes handed to the caller
    bool streaming;         ///< the reply has begun before the answer is whole
    bool overflowed;        ///< `answer` no longer holds everything
    size_t discarded_bytes; ///< bytes no longer in `answer`
    int64_t stall_ms;       ///< waited for its adapter
    int64_t queue_ms;       ///< waited for room in the batch

    char *key; ///< idempotency key, NULL where none is needed
    char key_hash[CM_ONCE_KEY_SIZE];
    char *claim_attempt_id; ///< attempt id that the key's record bears, NULL
                            ///< for none
    struct cm_once_op once_op;
    char *seal_id; ///< job whose seal is awaited
    char *seal_target;
    uint64_t seal_incarnation;
};

/// Makes an exchange; the fields of the request are the caller's to fill.
struct exchange *
Exchange_New(struct entry *entry, struct evhttp_request *request);

/// Starts to have it answered.
void
Exchange_Start(struct exchange *exchange);

/// Chooses a target and sends the request there.
void
Exchange_Route(struct exchange *exchange);

/// An attempt ended without a whole answer.
void
Exchange_HandleAttemptFailure(struct exchange *exchange,
                              struct attempt *attempt,
                              enum cm_attempt_event event,
                              enum cm_reason reason);

/// The head of an answer arrived.
void
Exchange_ReceiveHead(struct exchange *exchange, struct attempt *attempt,
                     int status, char *headers);

/// Bytes of an answer arrived, the next ones of this attempt.
/// @return false where they do not continue what the caller has.
bool
Exchange_ReceiveData(struct exchange *exchange, struct attempt *attempt,
                     const char *data, size_t size);

/// The whole answer is here.
void
Exchange_Complete(struct exchange *exchange, struct attempt *attempt);

/// Ends with a refusal or an error of our own. Frees the exchange.
void
Exchange_Fail(struct exchange *exchange, int status, const char *type,
              const char *message, enum cm_outcome outcome, int retry_after_s);

/// Ends with an answer that was kept. Frees the exchange.
void
Exchange_Replay(struct exchange *exchange, int status, const char *headers,
                const char *body);

/// @return milliseconds until the deadline.
int64_t
Exchange_RemainingMs(const struct exchange *exchange);

/// Drops all attempts but `keep`.
void
Exchange_CancelAttempts(struct exchange *exchange, const struct attempt *keep);

#endif
