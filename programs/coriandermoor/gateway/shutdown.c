/// @file shutdown.c
/// Ends a gateway while callers keep sending: the load balancer needs some
/// seconds to notice, open connections stay with the process, and the platform
/// kills it at the end of the grace time, which began when it sent the signal.

#include "shutdown.h"

#include <inttypes.h>
#include <string.h>

#include "base/log.h"
#include "caller_conns.h"
#include "h1/conn.h"
#include "request.h"

/// Time from the notice of the signal until the load balancer has stopped
/// sending to this gateway, unless no other gateway is available. Afterwards
/// idle connections are closed, and the process exits once no request is in
/// progress or on its way.
#define GRACE_MS 2300
/// Time from the notice of the signal during which any request is accepted.
/// Callers learn of the shutdown soon after, and streams that began before
/// have the remaining time to end.
#define ACCEPT_MS 2500
/// The same from the signal itself: the platform allows that requests are cut
/// which were sent up to 3 s after it.
#define ACCEPT_SIGNAL_MS 2900
/// Part of the time until requests are ended during which any is accepted, as
/// the others need time to be served.
#define ACCEPT_PART 2
/// Requests still in progress are ended this long before the time limit.
#define MARGIN_MS 500
/// Part of it that the last of them may take to be written.
#define LAST_FLUSH_MS 200
/// Time to flush the last responses before the event loop exits.
#define FLUSH_MS 50
/// Interval of checks once requests have been ended.
#define LAST_CHECK_MS 20
#define MS_PER_S 1000

static int64_t
since_notice_ms(const struct gateway *gateway)
{
    return CmTime_DiffMs(Gateway_Now(gateway), gateway->shutdown.noticed_at);
}

static int64_t
since_signal_ms(const struct gateway *gateway)
{
    return CmTime_DiffMs(Gateway_Now(gateway), gateway->shutdown.signalled_at);
}

/// @return time from the signal until the requests in progress are ended.
static int64_t
total_ms(const struct gateway *gateway)
{
    return (int64_t)(gateway->settings.stop_s * MS_PER_S) - MARGIN_MS;
}

/// @return ms until streams that have begun are cut. Unlike a response that
/// has not begun, they gain nothing by an end before the process is killed, so
/// that their time counts from the notice of the signal.
static int64_t
streams_left_ms(const struct gateway *gateway)
{
    return total_ms(gateway) - since_notice_ms(gateway);
}

/// Waits for the time limit, and checks more often once it has passed.
static void
start_end_timer(struct gateway *gateway)
{
    int64_t left_ms = Shutdown_LeftMs(gateway);
    struct timeval wait =
        CmTime_Timeval(left_ms > 0 ? left_ms : LAST_CHECK_MS);
    evtimer_add(gateway->shutdown.end_timer, &wait);
}

static void
advance(struct gateway *gateway);

static void
on_end_timer(evutil_socket_t fd, short what, void *context)
{
    advance(context);
    start_end_timer(context);
}

void
Shutdown_Init(struct gateway *gateway)
{
    gateway->shutdown.end_timer =
        evtimer_new(gateway->base, on_end_timer, gateway);
    CmSignalTime_Init(&gateway->shutdown.signal_time, Gateway_Now(gateway));
}

void
Shutdown_Finish(struct gateway *gateway)
{
    event_free(gateway->shutdown.end_timer);
}

void
Shutdown_Begin(struct gateway *gateway, int signal_number)
{
    struct gateway_shutdown *shutdown = &gateway->shutdown;
    if (shutdown->active) {
        CmLog_Event(G_LOG_LEVEL_INFO, "shutdown", NULL,
                    "%s once more, %" PRId64 " ms after the first signal",
                    strsignal(signal_number), since_notice_ms(gateway));
        return;
    }
    shutdown->active = true;
    shutdown->noticed_at = Gateway_Now(gateway);
    // A process that got no processor time handles the signal late.
    shutdown->signalled_at = CmSignalTime_Earliest(&shutdown->signal_time);
    shutdown->before = gateway->count;
    start_end_timer(gateway);
    CmLog_Event(G_LOG_LEVEL_INFO, "shutdown", NULL,
                "started by %s, sent up to %" PRId64
                " ms ago: %zu requests are in progress, limit %g s",
                strsignal(signal_number), since_signal_ms(gateway),
                gateway->n_requests, gateway->settings.stop_s);
}

int64_t
Shutdown_LeftMs(const struct gateway *gateway)
{
    return gateway->shutdown.active
               ? total_ms(gateway) - since_signal_ms(gateway)
               : INT64_MAX;
}

/// @return whether any request is still accepted.
static bool
accepts_any(const struct gateway *gateway)
{
    return since_notice_ms(gateway) < ACCEPT_MS &&
           since_signal_ms(gateway) <
               MIN(ACCEPT_SIGNAL_MS, total_ms(gateway) / ACCEPT_PART);
}

bool
Shutdown_Accepts(const struct request *request)
{
    const struct gateway *gateway = request->gateway;
    return !gateway->shutdown.active || accepts_any(gateway) ||
           Request_LeftMs(request) < Shutdown_LeftMs(gateway);
}

/// Closes the idle connections, and logs the first time.
static void
close_idle(struct gateway *gateway)
{
    if (!gateway->shutdown.closed_idle) {
        gateway->shutdown.closed_idle = true;
        CmLog_Event(G_LOG_LEVEL_INFO, "shutdown", NULL,
                    "idle connections are closed after %" PRId64
                    " ms: %" PRId64 " are open, %zu requests are in progress",
                    since_notice_ms(gateway), gateway->count.connections.value,
                    gateway->n_requests);
    }
    CallerConns_CloseIdle(gateway);
}

/// Ends what is left at the time limit, and logs it once.
static void
end_requests(struct gateway *gateway)
{
    if (!gateway->shutdown.ended_requests) {
        gateway->shutdown.ended_requests = true;
        CmLog_Event(G_LOG_LEVEL_INFO, "shutdown", NULL,
                    "time is up after %" PRId64 " ms: %zu requests are ended, "
                    "streams that have begun in %" PRId64 " ms",
                    since_notice_ms(gateway), gateway->n_requests,
                    MAX(streams_left_ms(gateway), 0));
    }
    CallerConns_EndRequests(gateway, streams_left_ms(gateway) <= 0);
}

static void
advance(struct gateway *gateway)
{
    struct gateway_shutdown *shutdown = &gateway->shutdown;
    int64_t since_ms = since_notice_ms(gateway);
    if (since_ms >= GRACE_MS) {
        close_idle(gateway);
    }
    int64_t left_ms = Shutdown_LeftMs(gateway);
    if (left_ms <= 0) {
        end_requests(gateway);
    }
    if ((since_ms < GRACE_MS && left_ms > 0) || gateway->n_requests > 0 ||
        (!TAILQ_EMPTY(&gateway->callers) && left_ms > 0)) {
        shutdown->quiet = false;
        return;
    }
    CmH1Listener_AcceptWaiting(&gateway->callers_listener);
    CmH1Listener_Finish(&gateway->callers_listener);
    if (left_ms <= 0) {
        if (CmH1Conn_Flushing() > 0 &&
            streams_left_ms(gateway) > -LAST_FLUSH_MS) {
            return;
        }
        struct timeval linger = CmTime_Timeval(FLUSH_MS);
        event_base_loopexit(gateway->base, &linger);
        return;
    }
    // Callers that read slowly still wait for the end of their responses. One
    // tick more sends the last releases of leases; no event is handled between
    // this decision and the exit.
    bool quiet = CmH1Conn_Flushing() == 0;
    if (quiet && shutdown->quiet) {
        event_base_loopbreak(gateway->base);
    }
    shutdown->quiet = quiet;
}

void
Shutdown_CountTick(struct gateway *gateway)
{
    CmSignalTime_Tick(&gateway->shutdown.signal_time, Gateway_Now(gateway));
}

void
Shutdown_Tick(struct gateway *gateway)
{
    if (gateway->shutdown.active) {
        advance(gateway);
    }
}

void
Shutdown_LogEnd(const struct gateway *gateway)
{
    const struct gateway_counters *count = &gateway->count;
    const struct gateway_counters *before = &gateway->shutdown.before;
    CmLog_Event(G_LOG_LEVEL_INFO, "shutdown", NULL,
                "complete after %" PRId64 " ms: %" PRId64 " requests arrived "
                "since its start, %" PRId64 " answered, %" PRId64 " refused, "
                "%" PRId64 " failed, %" PRId64 " cut, %" PRId64 " callers "
                "left; %zu requests are abandoned, %zu connections have "
                "unwritten output",
                since_notice_ms(gateway),
                count->requests.value - before->requests.value,
                count->answered.value - before->answered.value,
                count->refused.value - before->refused.value,
                count->failed.value - before->failed.value,
                count->cut.value - before->cut.value,
                count->abandoned.value - before->abandoned.value,
                gateway->n_requests, CmH1Conn_Flushing());
}
