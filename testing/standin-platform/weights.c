/// @file weights.c
/// Simulated weight store with a limited rate and a shared bandwidth.

#include "weights.h"

#include <string.h>

#include "base/clock.h"
#include "http/server.h"

struct weights_transfer {
    LIST_ENTRY(weights_transfer) link;
    struct weights *weights;
    struct evhttp_request *request; ///< NULL once the client has disconnected
    struct evhttp_connection *connection;
    struct event *timer;
    bool started;
};

void
Weights_Init(struct weights *weights, struct event_base *base,
             double transfers_per_s, double transfer_ms,
             struct standin_log *execution_log)
{
    memset(weights, 0, sizeof(*weights));
    weights->base = base;
    weights->transfers_per_s = transfers_per_s;
    weights->transfer_ms = transfer_ms;
    weights->execution_log = execution_log;
    LIST_INIT(&weights->transfers);
}

static void
free_transfer(struct weights_transfer *transfer)
{
    if (transfer->request != NULL) {
        evhttp_connection_set_closecb(transfer->connection, NULL, NULL);
    }
    LIST_REMOVE(transfer, link);
    transfer->weights->in_transit--;
    event_free(transfer->timer);
    g_free(transfer);
}

void
Weights_Finish(struct weights *weights)
{
    struct weights_transfer *transfer;
    while ((transfer = LIST_FIRST(&weights->transfers)) != NULL) {
        free_transfer(transfer);
    }
}

static double
now_ms(void)
{
    struct timespec now = CmClock_Now(CmClock_System());
    return CmTime_DiffS(now, (struct timespec){0}) * CM_MS_PER_S;
}

/// Handles a closed client connection. The transfer continues and still uses
/// bandwidth.
static void
detach_client(struct evhttp_connection *connection, void *context)
{
    struct weights_transfer *transfer = context;
    CmHttp_FreeDetached(transfer->request);
    transfer->request = NULL;
}

/// Starts a transfer that waits for its turn, or completes and answers it.
/// Its duration depends on the number of transfers when it starts.
static void
advance_transfer(evutil_socket_t fd, short what, void *context)
{
    struct weights_transfer *transfer = context;
    struct weights *weights = transfer->weights;
    if (!transfer->started) {
        transfer->started = true;
        double load_factor =
            (double)weights->in_transit / WEIGHTS_FULL_SPEED_MAX;
        double duration_ms =
            weights->transfer_ms * (load_factor > 1 ? load_factor : 1);
        struct timeval tv = CmTime_Timeval((int64_t)duration_ms);
        event_add(transfer->timer, &tv);
        return;
    }
    struct evhttp_request *request = transfer->request;
    free_transfer(transfer);
    if (request != NULL) {
        CmHttp_UnwatchClose(request);
        CmHttp_ReplyText(request, HTTP_OK, "application/octet-stream", "w");
    }
}

void
Weights_Handle(struct weights *weights, struct evhttp_request *request,
               const char *name)
{
    struct weights_transfer *transfer = g_new0(struct weights_transfer, 1);
    transfer->weights = weights;
    transfer->request = request;
    transfer->connection = evhttp_request_get_connection(request);
    transfer->timer = evtimer_new(weights->base, advance_transfer, transfer);
    LIST_INSERT_HEAD(&weights->transfers, transfer, link);
    CmHttp_WatchClose(request, detach_client, transfer);
    weights->in_transit++;
    if (weights->in_transit > weights->in_transit_peak) {
        weights->in_transit_peak = weights->in_transit;
    }
    double now = now_ms();
    double start = weights->next_start_ms > now ? weights->next_start_ms : now;
    weights->next_start_ms = start + CM_MS_PER_S / weights->transfers_per_s;
    struct timeval tv = CmTime_Timeval((int64_t)(start - now));
    event_add(transfer->timer, &tv);
    StandinLog_Append(weights->execution_log,
                      json_pack("{s:s,s:I}", "weights", name, "in_transit",
                                (json_int_t)weights->in_transit));
}
