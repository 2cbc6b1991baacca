/// @file exchange.h
/// An exchange: one HTTP request of a caller, from its arrival to its answer,
/// with all attempts that are made for it. "Answer" is what the target
/// returned; "response" is what the entry sends to the caller.

#ifndef EXCHANGE_H
#define EXCHANGE_H

#include "entry.h"

struct exchange {
    TAILQ_ENTRY(exchange) link;
    struct entry *entry;
    struct evhttp_request *request; ///< NULL once answered or disconnected
    struct entry_config *config;
    const struct cm_service *service;
    char *id;
    char *caller;
    char *adapter; ///< "name@version", NULL for plain services
    char *method;
    char *path;
    char *headers; ///< lines for the target, each ended by CRLF
    GString *body;
    char fingerprint[CM_DIGEST_SIZE]; ///< of service, adapter, method, path,
                                      ///< body
    bool idempotent;                  ///< a second run is harmless
    bool admitted;                    ///< counted by admission control
    bool suspect; ///< the content ran in a crash of a target
    int64_t priority;
    struct timespec arrived_at;
    struct timespec deadline;
    struct event *deadline_timer;
    struct event *routing_timer; ///< retry of routing while no target is found
    struct event *hedge_timer;   ///< start of a second attempt

    TAILQ_HEAD(, attempt) attempts;
    GPtrArray *excluded_targets; ///< names that the router must not pick again
    unsigned n_attempts;
    unsigned possible_runs; ///< earlier attempts that may have run

    int status;
    char *answer_headers;
    GString *answer; ///< received body after `discarded_bytes`
    struct cm_memory_hold answer_hold;
    bool answer_dropped;    ///< it took too much memory; the exchange fails
    size_t delivered_bytes; ///< written to the caller's connection
    bool streaming;         ///< the response is sent as the answer arrives
    bool overflowed;        ///< a retry can no longer continue the stream
    size_t discarded_bytes; ///< delivered and no longer in `answer`
    int64_t stall_ms;       ///< wait for the load of the adapter
    int64_t queue_ms;       ///< wait for a place in the engine's batch

    char *key; ///< Idempotency-Key; NULL for idempotent requests
    char key_hash[CM_ONCE_KEY_SIZE];
    char *claim_attempt_id; ///< in the key's claim; NULL without a claim
    struct cm_once_op once_op;
    char *seal_id; ///< job whose seal is awaited
    char *seal_target;
    uint64_t seal_incarnation;
};

/// Creates an exchange under the configuration in force. The fields from
/// `service` to `deadline` that describe the request are still to be set.
struct exchange *
Exchange_New(struct entry *entry, struct evhttp_request *request);

/// Admits the request and routes it, or rejects it. May free the exchange.
void
Exchange_Start(struct exchange *exchange);

/// Picks a target and starts an attempt there. Without a target, routing is
/// retried or the exchange fails. May free the exchange.
void
Exchange_Route(struct exchange *exchange);

/// Frees an attempt that ended without a whole answer. Retries the request if
/// that is safe and the retry budget allows it, else fails the exchange and
/// frees it.
void
Exchange_HandleAttemptFailure(struct exchange *exchange,
                              struct attempt *attempt,
                              enum cm_attempt_event event,
                              enum cm_reason reason);

/// Takes the head of an answer, cancels the other attempts and starts the
/// response if it is a stream.
/// @param headers header lines, which the exchange then owns.
void
Exchange_ReceiveHead(struct exchange *exchange, struct attempt *attempt,
                     int status, char *headers);

/// Takes the next bytes of an attempt's answer.
/// @return false if they differ from what an earlier attempt has delivered.
bool
Exchange_ReceiveData(struct exchange *exchange, struct attempt *attempt,
                     const char *data, size_t size);

/// Frees the part of a streamed answer that is kept for a retry.
void
Exchange_DiscardAnswer(struct exchange *exchange);

/// Sends the whole answer, or ends the streamed response. Frees the exchange.
void
Exchange_Complete(struct exchange *exchange, struct attempt *attempt);

/// Ends with an error response of the entry. Frees the exchange.
/// @param outcome whether the request ran, as far as the entry knows.
void
Exchange_Fail(struct exchange *exchange, int status, const char *type,
              const char *message, enum cm_outcome outcome, int retry_after_s);

/// Ends all exchanges with an error response, as the entry stops.
void
Exchange_FailAll(struct entry *entry);

/// Ends with the recorded answer of an earlier request. Frees the exchange.
void
Exchange_Replay(struct exchange *exchange, int status, const char *headers,
                const char *body);

/// @return milliseconds until the deadline.
int64_t
Exchange_RemainingMs(const struct exchange *exchange);

/// Cancels all attempts but `keep`, which may be NULL.
void
Exchange_CancelAttempts(struct exchange *exchange, const struct attempt *keep);

#endif
