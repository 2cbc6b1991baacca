/// @file sender.h
/// Sends the requests of a trace in open loop and keeps what came of each.

#ifndef SENDER_H
#define SENDER_H

#include "base/list.h"
#include "http/client.h"
#include "deployment.h"
#include "trace.h"

/// What a caller was told.
enum result_outcome {
    RESULT_RAN,
    RESULT_NOT_RUN,
    RESULT_UNKNOWN,
    RESULT_NONE, ///< no answer at all
};

/// What came of one request.
struct result {
    int index;      ///< in the trace
    bool is_resend; ///< sent again under the same key
    enum trace_kind kind;
    int adapter;
    int tokens;
    double at_s;     ///< sent
    double first_ms; ///< to the first byte of the body, -1 for none
    double total_ms;
    int status;
    enum result_outcome outcome;
    bool retry_after; ///< the refusal said when to come back
    bool wrong;       ///< answered by another adapter or with other content
    bool cut;         ///< began and did not end properly
    double stall_ms;
    double queue_ms;
    char id[80];  ///< request id that the entry gave
    char key[48]; ///< idempotency key
    char run[96]; ///< ledger: body of the answer, to compare resends
};

struct sender;

/// One request under way.
struct sending {
    LIST_ENTRY(sending) link;
    struct sender *sender;
    struct cm_http_call call;
    struct trace_request request;
    struct result result;
    struct timespec sent;
    char adapter[64];
    int tokens;
    bool stream;
    GString *body;
    size_t entry;    ///< tried last
    size_t refusals; ///< entries that refused the connection
    int tries;       ///< of a keyed request without a clear answer
};

struct sender {
    struct event_base *base;
    struct cm_http_client client;
    const struct experiment *experiment;
    const struct stack *stack;
    const struct trace *trace;
    guint next;
    struct timespec start;
    struct event *timer;
    LIST_HEAD(, sending) under_way;
    size_t n_under_way;
    GArray *results; ///< of struct result
    guint resends_due;
    uint64_t run_number; ///< makes keys of different runs differ
    bool resend_lost;    ///< repeat keyed requests without a clear answer
    bool *entry_out;     ///< entries that the balancer has taken out
    void (*done)(void *context);
    void *context;
};

/// Prepares a sender; `done` is called when all answers are in.
void
Sender_Init(struct sender *sender, struct event_base *base,
            const struct experiment *experiment, const struct stack *stack,
            const struct trace *trace, void (*done)(void *context),
            void *context);

/// Starts sending.
void
Sender_Start(struct sender *sender);

/// Frees the sender.
void
Sender_Finish(struct sender *sender);

#endif
