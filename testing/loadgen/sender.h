/// @file sender.h
/// Open-loop sender of a trace. Records the result of every request.

#ifndef SENDER_H
#define SENDER_H

#include "base/list.h"
#include "deployment.h"
#include "http/client.h"
#include "trace.h"

/// Outcome as the response header X-Outcome reports it.
enum result_outcome {
    RESULT_RAN,
    RESULT_NOT_RUN,
    RESULT_UNKNOWN,     ///< response without "ran" or "not-run"
    RESULT_NO_RESPONSE, ///< no response head arrived
};

/// Result of one HTTP request.
struct result {
    int index;      ///< in the trace
    bool is_resend; ///< repeats an earlier request's idempotency key
    enum trace_kind kind;
    int adapter;
    int tokens;
    double sent_s;   ///< since the sender's start
    double first_ms; ///< time to the first body byte; -1 for none
    double total_ms;
    int status;
    enum result_outcome outcome;
    bool retry_after; ///< response has a Retry-After header
    bool wrong;       ///< wrong adapter or unexpected body
    bool truncated;   ///< connection ended after the head, before the end
    double stall_ms;
    double queue_ms;
    char id[80];          ///< request id that the entry assigned
    char key[48];         ///< idempotency key
    char ledger_body[96]; ///< start of the body, to compare resends
};

struct sender;

/// One request in flight.
struct inflight_request {
    LIST_ENTRY(inflight_request) link;
    struct sender *sender;
    struct cm_http_call call;
    struct trace_request request;
    struct result result;
    struct timespec sent_at;
    char adapter[64];
    int tokens;
    bool stream;
    GString *body;
    size_t entry_index; ///< entry that the last attempt went to, modulo their
                        ///< count
    size_t refused_entries; ///< number of entries that refused the connection
    int n_retries;          ///< 0 for the first request of a key
};

struct sender {
    struct event_base *base;
    struct cm_http_client client;
    const struct experiment *experiment;
    const struct deployment *deployment;
    const struct trace *trace;
    guint next_index;
    struct timespec start;
    struct event *timer;
    LIST_HEAD(, inflight_request) inflight;
    size_t n_inflight;
    GArray *results; ///< of struct result
    guint pending_resends;
    uint64_t run_id;       ///< part of idempotency keys; unique per run
    bool retry_unanswered; ///< retry requests with a key and unknown outcome
    bool *entry_removed;   ///< per entry: the load balancer sends it nothing;
                           ///< may be NULL
    void (*on_complete)(void *context);
    void *context;
};

/// Prepares a sender.
/// @param on_complete called when all requests and resends have ended; may be
///        called more than once
void
Sender_Init(struct sender *sender, struct event_base *base,
            const struct experiment *experiment,
            const struct deployment *deployment, const struct trace *trace,
            void (*on_complete)(void *context), void *context);

/// Sends the requests that are due and schedules the others.
void
Sender_Start(struct sender *sender);

/// Frees the sender.
void
Sender_Finish(struct sender *sender);

#endif
