/// @file sender.h
/// Sends the requests of a trace in open loop and keeps what came of each.

#ifndef SENDER_H
#define SENDER_H

#include "base/list.h"
#include "deployment.h"
#include "http/client.h"
#include "trace.h"

/// What a caller was told.
enum result_outcome {
    RESULT_RAN,
    RESULT_NOT_RUN,
    RESULT_UNKNOWN,
    RESULT_NO_RESPONSE, ///< no answer at all
};

/// What came of one request.
struct result {
    int index;      ///< in the trace
    bool is_resend; ///< sent again under the same key
    enum trace_kind kind;
    int adapter;
    int tokens;
    double sent_s;   ///< sent
    double first_ms; ///< to the first byte of the body, -1 for none
    double total_ms;
    int status;
    enum result_outcome outcome;
    bool retry_after; ///< the refusal said when to come back
    bool wrong;       ///< answered by another adapter or with other content
    bool truncated;   ///< began and did not end properly
    double stall_ms;
    double queue_ms;
    char id[80];          ///< request id that the entry gave
    char key[48];         ///< idempotency key
    char ledger_body[96]; ///< ledger: body of the answer, to compare resends
};

struct sender;

/// One request under way.
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
    size_t entry_index;     ///< tried last
    size_t refused_entries; ///< entries that refused the connection
    int n_retries;          ///< of a keyed request without a clear answer
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
    uint64_t run_id;       ///< makes keys of different runs differ
    bool retry_unanswered; ///< repeat keyed requests without a clear answer
    bool *entry_removed;   ///< entries that the balancer has taken out
    void (*on_complete)(void *context);
    void *context;
};

/// Prepares a sender; `done` is called when all answers are in.
void
Sender_Init(struct sender *sender, struct event_base *base,
            const struct experiment *experiment,
            const struct deployment *deployment, const struct trace *trace,
            void (*on_complete)(void *context), void *context);

/// Starts sending.
void
Sender_Start(struct sender *sender);

/// Frees the sender.
void
Sender_Finish(struct sender *sender);

#endif
