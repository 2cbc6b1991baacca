/// @file output.c
/// Watches the output of accepted connections.

#include "h1/output.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stddef.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "h1/conn_defs.h"

/// Time in which the kernel may take what has just been written, before the
/// limit is applied.
#define OVER_LIMIT_DELAY_MS 5

static struct {
    struct cm_clock *clock;
    struct event *timer; ///< NULL unless started
    struct event *over_limit;
    struct cm_memory_budget *budget;
} checks;

/// Outputs that the peers have not acknowledged completely.
static TAILQ_HEAD(, cm_h1_output) unread = TAILQ_HEAD_INITIALIZER(unread);

/// @return bytes that the kernel holds, sent or not.
static size_t
queued_bytes(const struct cm_h1_output *output)
{
    int queued = 0;
    if (ioctl(bufferevent_getfd(output->bev), SIOCOUTQ, &queued) != 0 ||
        queued < 0) {
        return 0;
    }
    // Other sockets than those of TCP count their overhead, too.
    return (uint64_t)queued < output->passed ? (size_t)queued
                                             : (size_t)output->passed;
}

static bool
is_over_limit(void)
{
    return checks.budget->classes[CM_MEMORY_OUTPUT].bytes >
           checks.budget->class_max_bytes;
}

static void
on_change(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
          void *context)
{
    struct cm_h1_output *output = context;
    output->length += info->n_added - info->n_deleted;
    output->passed += info->n_deleted;
    CmMemoryHold_Set(&output->hold, output->length);
    if (!output->is_checked) {
        output->is_checked = true;
        output->progress_at = (struct timespec){0};
        output->silent_since = (struct timespec){0};
        TAILQ_INSERT_TAIL(&unread, output, link);
    }
    if (output->progress_at.tv_sec != 0) {
        output->hold.progress_at = output->progress_at;
    }
    if (is_over_limit() && checks.over_limit != NULL &&
        !evtimer_pending(checks.over_limit, NULL)) {
        struct timeval delay = CmTime_Timeval(OVER_LIMIT_DELAY_MS);
        event_add(checks.over_limit, &delay);
    }
}

static void
end_check(struct cm_h1_output *output)
{
    if (output->is_checked) {
        output->is_checked = false;
        TAILQ_REMOVE(&unread, output, link);
    }
}

/// Updates `silent_since`.
/// @return whether something that was sent has been unanswered for so long
/// that the peer is lost. A live peer answers probes of its closed window.
static bool
is_lost(struct cm_h1_output *output, struct timespec now)
{
    struct tcp_info info = {0};
    socklen_t size = sizeof(info);
    bool unanswered = getsockopt(bufferevent_getfd(output->bev), IPPROTO_TCP,
                                 TCP_INFO, &info, &size) == 0 &&
                      (info.tcpi_probes > 0 ||
                       (info.tcpi_unacked > 0 &&
                        info.tcpi_last_data_sent < info.tcpi_last_ack_recv));
    if (!unanswered) {
        output->silent_since = (struct timespec){0};
        return false;
    }
    int64_t silent_ms = CmTime_DiffMs(now, output->silent_since);
    if (output->silent_since.tv_sec == 0 ||
        (int64_t)info.tcpi_last_ack_recv < silent_ms) {
        output->silent_since = now;
        return false;
    }
    return silent_ms >= CM_H1_TCP_USER_TIMEOUT_MS;
}

/// Updates the progress of an output.
/// @return whether its peer is lost.
static bool
check(struct cm_h1_output *output, struct timespec now)
{
    size_t queued = queued_bytes(output);
    if (queued == 0 && output->length == 0) {
        output->taken = output->passed;
        end_check(output);
        return false;
    }
    uint64_t taken = output->passed - queued;
    if (taken > output->taken || output->progress_at.tv_sec == 0) {
        output->progress_at = now;
        output->hold.progress_at = now;
    }
    output->taken = taken;
    return queued > 0 && is_lost(output, now);
}

static void
release(struct cm_memory_hold *hold)
{
    struct cm_h1_output *output =
        (struct cm_h1_output *)((char *)hold -
                                offsetof(struct cm_h1_output, hold));
    output->drop(output, false);
}

/// @return an output with a lost peer, or NULL once all are checked.
static struct cm_h1_output *
find_lost(struct timespec now)
{
    struct cm_h1_output *output;
    struct cm_h1_output *next;
    CmTailq_FOREACH_SAFE (output, &unread, link, next) {
        if (check(output, now)) {
            return output;
        }
    }
    return NULL;
}

void
CmH1Output_Check(void)
{
    struct timespec now = CmClock_Now(checks.clock);
    struct cm_h1_output *output;
    // The list is read again each time, as an end may end other connections.
    while ((output = find_lost(now)) != NULL) {
        output->drop(output, true);
    }
    CmMemoryBudget_Enforce(checks.budget, CM_MEMORY_OUTPUT);
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    CmH1Output_Check();
}

void
CmH1Output_Start(struct event_base *base, struct cm_clock *clock,
                 struct cm_memory_budget *budget)
{
    checks.clock = clock;
    checks.budget = budget;
    checks.timer = event_new(base, -1, EV_PERSIST, on_timer, NULL);
    checks.over_limit = event_new(base, -1, 0, on_timer, NULL);
    struct timeval interval = CmTime_Timeval(CM_H1_OUTPUT_CHECK_MS);
    event_add(checks.timer, &interval);
}

void
CmH1Output_Stop(void)
{
    event_free(checks.timer);
    event_free(checks.over_limit);
    checks.timer = NULL;
    checks.over_limit = NULL;
}

bool
CmH1Output_IsStarted(void)
{
    return checks.timer != NULL;
}

void
CmH1Output_Init(struct cm_h1_output *output, struct bufferevent *bev,
                void (*drop)(struct cm_h1_output *output, bool is_lost))
{
    *output = (struct cm_h1_output){.bev = bev, .drop = drop};
    CmMemoryHold_Init(&output->hold, checks.budget, CM_MEMORY_OUTPUT, release);
    evbuffer_add_cb(bufferevent_get_output(bev), on_change, output);
}

void
CmH1Output_Finish(struct cm_h1_output *output)
{
    evbuffer_remove_cb(bufferevent_get_output(output->bev), on_change, output);
    CmMemoryHold_Finish(&output->hold);
    end_check(output);
}

size_t
CmH1Output_Unread(const struct cm_h1_output *output)
{
    return output->length + queued_bytes(output);
}
