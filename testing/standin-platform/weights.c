/// @file weights.c
/// Rate-limited weight store.

#include "weights.h"

#include <string.h>

#include "base/clock.h"
#include "http/server.h"

struct weights_transfer {
    LIST_ENTRY(weights_transfer) link;
    struct weights *weights;
    struct evhttp_request *request; ///< NULL once the client is gone
    struct evhttp_connection *connection;
    struct event *timer;
    bool started;
};

void
Weights_Init(struct weights *weights, struct event_base *base, double rate,
             double transfer_ms, struct standin_log *journal)
{
    memset(weights, 0, sizeof(*weights));
    weights->base = base;
    weights->rate = rate;
    weights->transfer_ms = transfer_ms;
    weights->journal = journal;
    LIST_INIT(&weights->transfers);
}

static void
transfer_free(struct weights_transfer *transfer)
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
        transfer_free(transfer);
    }
}

static double
now_ms(void)
{
    struct timespec now = CmClock_Now(CmClock_System());
    return CmTime_DiffS(now, (struct timespec){0}) * CM_MS_PER_S;
}

static void
on_client_gone(struct evhttp_connection *connection, void *context)
{
    struct weights_transfer *transfer = context;
    CmHttp_FreeDetached(transfer->request);
    transfer->request = NULL;
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    struct weights_transfer *transfer = context;
    struct weights *weights = transfer->weights;
    if (!transfer->started) {
        transfer->started = true;
        double share = (double)weights->in_transit / WEIGHTS_FULL_SPEED_MAX;
        double length = weights->transfer_ms * (share > 1 ? share : 1);
        struct timeval tv = CmTime_Timeval((int64_t)length);
        event_add(transfer->timer, &tv);
        return;
    }
    struct evhttp_request *request = transfer->request;
    transfer_free(transfer);
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
    transfer->timer = evtimer_new(weights->base, on_timer, transfer);
    LIST_INSERT_HEAD(&weights->transfers, transfer, link);
    CmHttp_WatchClose(request, on_client_gone, transfer);
    weights->in_transit++;
    if (weights->in_transit > weights->in_transit_peak) {
        weights->in_transit_peak = weights->in_transit;
    }
    double now = now_ms();
    double start = weights->next_start_ms > now ? weights->next_start_ms : now;
    weights->next_start_ms = start + CM_MS_PER_S / weights->rate;
    struct timeval tv = CmTime_Timeval((int64_t)(start - now));
    event_add(transfer->timer, &tv);
    StandinLog_Append(weights->journal,
                      json_pack("{s:s,s:I}", "weights", name, "in_transit",
                                (json_int_t)weights->in_transit));
}
