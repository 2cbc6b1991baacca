/// @file crash_watch.c
/// Tells a crash of a target from a lost connection.
///
/// A target that cuts off a request is asked for a new connection. It has
/// crashed if nobody listens at its address any more, or if another
/// incarnation starts there. The latter is also what tells a silent target
/// that has crashed from one that is slow, frozen or cut off. A response to a
/// later request shows that it lives. Otherwise the suspicion ends after a
/// while.

#include "crash_watch.h"

#include <errno.h>
#include <inttypes.h>
#include <string.h>
#include <unistd.h>

#include "base/log.h"
#include "dispatch/notices.h"
#include "peer_gossip.h"
#include "prompt_parts.h"
#include "quarantine/trial.h"
#include "request.h"

/// Time in which the other attempts that a crash cuts off are collected.
#define COLLECT_MS 10
/// Least time between two probes of a target, as it may reset many requests.
#define PROBE_INTERVAL_MS 200
/// Most runs of a target, and most parts of their prompts, that are kept until
/// it is known whether it crashed.
#define RUNS_MAX (CM_CRASH_RUNS_MAX / 2)
/// Connect timeout of a probe.
#define PROBE_TIMEOUT_MS 500
/// Time after the last attempt that a target cut off, within which it may
/// still turn out to have crashed, or to live.
#define SUSPICION_MS 15000
/// A crash is late in a run after this part of the route's target latency,
/// within which even a queued run has started.
#define LATE_DIVISOR 2

/// A run that was cut off, or a part of the prompts of such runs.
struct cut_off {
    char content[CM_CONTENT_SIZE];
    int position; ///< see struct cm_crash_run
    struct timespec sent_at;
    int64_t late_ms; ///< time from its send from which on a crash is late
    bool trial;
};

enum suspicion_state {
    SUSPICION_COLLECTING, ///< attempts that the target cuts off
    SUSPICION_PROBING,    ///< waits for the result of a connect
    SUSPICION_OPEN,       ///< waits for a sign that the target lives or not
    SUSPICION_CONFIRMED,  ///< the target has crashed
};

/// A target that cut off attempts.
struct crash_suspicion {
    LIST_ENTRY(crash_suspicion) link;
    struct gateway *gateway;
    struct cm_live_target *target;
    enum suspicion_state state;
    struct timespec last_cut_off;
    struct timespec probed_at;
    GArray *runs;          ///< of struct cut_off, not recorded yet
    GArray *parts;         ///< the same for parts of prompts, each once
    evutil_socket_t probe; ///< -1 if there is none
    struct event *probe_event;
    struct event *timer;
};

static void
set_timer(struct crash_suspicion *suspicion, int64_t ms)
{
    struct timeval timeout = CmTime_Timeval(ms);
    evtimer_add(suspicion->timer, &timeout);
}

static void
close_probe(struct crash_suspicion *suspicion)
{
    if (suspicion->probe_event != NULL) {
        event_free(suspicion->probe_event);
        suspicion->probe_event = NULL;
    }
    if (suspicion->probe >= 0) {
        close(suspicion->probe);
        suspicion->probe = -1;
    }
}

static void
suspicion_free(struct crash_suspicion *suspicion)
{
    LIST_REMOVE(suspicion, link);
    close_probe(suspicion);
    event_free(suspicion->timer);
    g_array_free(suspicion->runs, TRUE);
    g_array_free(suspicion->parts, TRUE);
    CmTarget_Unref(suspicion->target);
    g_free(suspicion);
}

static struct cm_crash_record *
new_record(struct gateway *gateway, enum cm_crash_record_kind kind,
           const char *target, struct timespec at)
{
    return CmCrashRecord_New(kind, Gateway_RandomId(gateway), target,
                             gateway->settings.common.name, at);
}

/// Moves runs or parts into a record of the crash.
static void
move_to_record(const struct crash_suspicion *suspicion, GArray *runs,
               struct cm_crash_record *record)
{
    for (guint i = 0; i < runs->len; i++) {
        const struct cut_off *run = &g_array_index(runs, struct cut_off, i);
        int64_t ran_ms = CmTime_DiffMs(suspicion->last_cut_off, run->sent_at);
        struct cm_crash_run added = {.position = run->position,
                                     .ran_ms = ran_ms,
                                     .late = ran_ms > run->late_ms,
                                     .trial = run->trial};
        g_strlcpy(added.content, run->content, sizeof(added.content));
        CmCrashRecord_AddRun(record, &added);
    }
    g_array_set_size(runs, 0);
}

static void
log_crash(const struct crash_suspicion *suspicion)
{
    GString *parts = g_string_new(NULL);
    for (guint i = 0; i < suspicion->parts->len; i++) {
        g_string_append_printf(
            parts, "%s%s", i > 0 ? ", " : ", with prompt parts ",
            g_array_index(suspicion->parts, struct cut_off, i).content);
    }
    CmLog_Event(G_LOG_LEVEL_WARNING, "quarantine", NULL,
                "%s at %s crashed and cut off %u requests, which are "
                "suspects%s",
                suspicion->target->id, suspicion->target->address,
                suspicion->runs->len, parts->str);
    g_string_free(parts, TRUE);
}

/// Records the crash with the runs that have been cut off since the last
/// record.
static void
record_crash(struct crash_suspicion *suspicion)
{
    struct gateway *gateway = suspicion->gateway;
    if (suspicion->state != SUSPICION_CONFIRMED) {
        gateway->count.target_crashes.value++;
    }
    suspicion->state = SUSPICION_CONFIRMED;
    set_timer(suspicion, SUSPICION_MS);
    if (suspicion->runs->len + suspicion->parts->len == 0) {
        return;
    }
    char name[CM_CRASH_NAME_SIZE];
    CmTarget_WriteIncarnation(suspicion->target, name, sizeof(name));
    struct cm_crash_record *record = new_record(gateway, CM_CRASH_RECORD_CRASH,
                                                name, suspicion->last_cut_off);
    log_crash(suspicion);
    move_to_record(suspicion, suspicion->runs, record);
    move_to_record(suspicion, suspicion->parts, record);
    PeerGossip_Observe(gateway, record);
}

static void
leave_open(struct crash_suspicion *suspicion)
{
    suspicion->state = SUSPICION_OPEN;
    set_timer(suspicion, SUSPICION_MS);
}

static void
on_probe(evutil_socket_t fd, short what, void *context)
{
    struct crash_suspicion *suspicion = context;
    int code = ETIMEDOUT;
    socklen_t size = sizeof(code);
    if ((what & EV_WRITE) != 0) {
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &code, &size);
    }
    close_probe(suspicion);
    if (code == ECONNREFUSED) {
        record_crash(suspicion);
    }
    else {
        leave_open(suspicion);
    }
}

/// Connects to the target's address, to see whether it still listens.
static void
start_probe(struct crash_suspicion *suspicion)
{
    struct sockaddr_storage address;
    int size = sizeof(address);
    if (evutil_parse_sockaddr_port(suspicion->target->address,
                                   (struct sockaddr *)&address, &size) != 0) {
        leave_open(suspicion);
        return;
    }
    suspicion->probe = socket(address.ss_family,
                              SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (suspicion->probe < 0) {
        leave_open(suspicion);
        return;
    }
    suspicion->state = SUSPICION_PROBING;
    suspicion->probed_at = Gateway_Now(suspicion->gateway);
    if (connect(suspicion->probe, (struct sockaddr *)&address,
                (socklen_t)size) != 0 &&
        errno != EINPROGRESS) {
        bool refused = errno == ECONNREFUSED;
        close_probe(suspicion);
        if (refused) {
            record_crash(suspicion);
        }
        else {
            leave_open(suspicion);
        }
        return;
    }
    struct timeval timeout = CmTime_Timeval(PROBE_TIMEOUT_MS);
    suspicion->probe_event =
        event_new(suspicion->gateway->base, suspicion->probe, EV_WRITE,
                  on_probe, suspicion);
    event_add(suspicion->probe_event, &timeout);
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    struct crash_suspicion *suspicion = context;
    if (suspicion->state == SUSPICION_COLLECTING) {
        start_probe(suspicion);
    }
    else if (suspicion->state == SUSPICION_CONFIRMED &&
             suspicion->runs->len > 0) {
        record_crash(suspicion);
    }
    else {
        suspicion_free(suspicion);
    }
}

static struct crash_suspicion *
find_suspicion(const struct gateway *gateway,
               const struct cm_live_target *target)
{
    struct crash_suspicion *suspicion;
    CmList_FOREACH (suspicion, &gateway->crash_suspicions, link) {
        if (suspicion->target == target) {
            return suspicion;
        }
    }
    return NULL;
}

/// @return the suspicion of a target, which is added if there is none.
static struct crash_suspicion *
find_or_add_suspicion(struct gateway *gateway, struct cm_live_target *target)
{
    struct crash_suspicion *suspicion = find_suspicion(gateway, target);
    if (suspicion != NULL) {
        return suspicion;
    }
    suspicion = g_new0(struct crash_suspicion, 1);
    suspicion->gateway = gateway;
    suspicion->target = CmTarget_Ref(target);
    suspicion->runs = g_array_new(FALSE, FALSE, sizeof(struct cut_off));
    suspicion->parts = g_array_new(FALSE, FALSE, sizeof(struct cut_off));
    suspicion->probe = -1;
    suspicion->timer = evtimer_new(gateway->base, on_timer, suspicion);
    leave_open(suspicion);
    LIST_INSERT_HEAD(&gateway->crash_suspicions, suspicion, link);
    return suspicion;
}

/// @return whether the end of the attempt may show that its content crashes
/// targets. A target that leaves cuts off what it doesn't finish in time.
static bool
is_suspect(const struct attempt *attempt)
{
    return !CmTarget_IsLeaving(attempt->target) && !attempt->target->removed;
}

/// @return whether the attempt is the trial of this content or part.
static bool
is_trial_of(const struct request *request, const char *content)
{
    return request->attempt.is_trial &&
           strcmp(request->trial.content, content) == 0;
}

/// Adds a run, or a part of its prompt.
static void
add_cut_off(GArray *runs, const struct cut_off *run, const char *content)
{
    if (runs->len < RUNS_MAX) {
        struct cut_off added = *run;
        g_strlcpy(added.content, content, sizeof(added.content));
        g_array_append_val(runs, added);
    }
}

static struct cut_off *
find_part(const struct crash_suspicion *suspicion, const char *name)
{
    for (guint i = 0; i < suspicion->parts->len; i++) {
        struct cut_off *part =
            &g_array_index(suspicion->parts, struct cut_off, i);
        if (strcmp(part->content, name) == 0) {
            return part;
        }
    }
    return NULL;
}

/// Adds the parts of the request's prompt, unless the target has survived
/// them.
static void
add_parts(struct crash_suspicion *suspicion, struct request *request,
          struct cut_off run)
{
    const struct prompt_parts *parts = PromptParts_Of(request);
    for (size_t i = 0; !request->attempt.parts_cleared && i < parts->n; i++) {
        run.position = (int)i + 1;
        run.trial = is_trial_of(request, parts->names[i]);
        struct cut_off *known = find_part(suspicion, parts->names[i]);
        if (known == NULL) {
            add_cut_off(suspicion->parts, &run, parts->names[i]);
        }
        else {
            known->trial = known->trial || run.trial;
        }
    }
}

static void
add_run(struct crash_suspicion *suspicion, struct request *request,
        int64_t late_ms)
{
    const char *content = Request_Content(request);
    struct cut_off run = {.sent_at = request->attempt.sent_at,
                          .late_ms = late_ms,
                          .trial = is_trial_of(request, content)};
    add_cut_off(suspicion->runs, &run, content);
    add_parts(suspicion, request, run);
    suspicion->last_cut_off = Gateway_Now(suspicion->gateway);
}

void
CrashWatch_CountCutOff(struct request *request)
{
    struct gateway *gateway = request->gateway;
    struct timespec now = Gateway_Now(gateway);
    if (!is_suspect(&request->attempt)) {
        return;
    }
    struct crash_suspicion *suspicion =
        find_or_add_suspicion(gateway, request->attempt.target);
    if (suspicion->state == SUSPICION_OPEN) {
        suspicion->state = SUSPICION_COLLECTING;
        set_timer(suspicion, MAX(PROBE_INTERVAL_MS -
                                     CmTime_DiffMs(now, suspicion->probed_at),
                                 COLLECT_MS));
    }
    else if (suspicion->state == SUSPICION_CONFIRMED) {
        set_timer(suspicion, COLLECT_MS);
    }
    add_run(suspicion, request,
            request->route->target_latency_ms / LATE_DIVISOR);
}

void
CrashWatch_CountSilent(struct request *request)
{
    if (request->attempt.target == NULL || !is_suspect(&request->attempt)) {
        return;
    }
    struct crash_suspicion *suspicion =
        find_or_add_suspicion(request->gateway, request->attempt.target);
    if (suspicion->state == SUSPICION_OPEN) {
        // No probe: most silent targets are slow, and it would add load.
        leave_open(suspicion);
    }
    // When the target fell silent is unknown.
    add_run(suspicion, request, INT64_MAX);
}

/// Drops the request's content from the runs that are not recorded yet.
static void
forget_runs(struct request *request)
{
    size_t size = Request_ContentSize(request);
    struct crash_suspicion *suspicion;
    CmList_FOREACH (suspicion, &request->gateway->crash_suspicions, link) {
        for (guint i = suspicion->runs->len; i > 0; i--) {
            const char *content =
                g_array_index(suspicion->runs, struct cut_off, i - 1).content;
            if (CmContentName_ContentSize(content) == size &&
                strcmp(content, Request_Content(request)) == 0) {
                g_array_remove_index_fast(suspicion->runs, i - 1);
            }
        }
    }
}

void
CrashWatch_ForgetParts(struct gateway *gateway,
                       const struct prompt_parts *parts)
{
    struct crash_suspicion *suspicion;
    CmList_FOREACH (suspicion, &gateway->crash_suspicions, link) {
        for (size_t i = 0; i < parts->n; i++) {
            const struct cut_off *known =
                find_part(suspicion, parts->names[i]);
            if (known != NULL) {
                g_array_remove_index_fast(
                    suspicion->parts,
                    (guint)(known - (struct cut_off *)suspicion->parts->data));
            }
        }
    }
}

bool
CrashWatch_HasCrashed(const struct gateway *gateway,
                      const struct cm_live_target *target,
                      struct timespec since)
{
    const struct crash_suspicion *suspicion = find_suspicion(gateway, target);
    if (suspicion != NULL && !CmTime_Before(suspicion->last_cut_off, since) &&
        (suspicion->state != SUSPICION_OPEN || suspicion->runs->len > 0)) {
        return true;
    }
    char name[CM_CRASH_NAME_SIZE];
    CmTarget_WriteIncarnation(target, name, sizeof(name));
    const struct cm_crash_record *record;
    CmTailq_FOREACH (record, &gateway->quarantine.records, link) {
        if (record->kind == CM_CRASH_RECORD_CRASH &&
            strcmp(record->target, name) == 0) {
            return true;
        }
    }
    return false;
}

/// @return what is held against the request's content, or NULL.
static const struct cm_suspect *
find_content_suspect(struct request *request)
{
    const struct cm_quarantine *quarantine = &request->gateway->quarantine;
    return CmQuarantine_HasSize(quarantine, Request_ContentSize(request))
               ? CmQuarantine_Find(quarantine, Request_Content(request))
               : NULL;
}

const struct cm_suspect *
CrashWatch_Suspect(struct request *request)
{
    const struct cm_suspect *content = find_content_suspect(request);
    const struct cm_suspect *part = PromptParts_FindSuspect(request);
    bool decides = part != NULL &&
                   (part->refused || content == NULL || !content->refused);
    return decides ? part : content;
}

void
CrashWatch_CountCompleted(struct request *request)
{
    struct gateway *gateway = request->gateway;
    forget_runs(request);
    if (find_content_suspect(request) != NULL) {
        struct cm_crash_record *record = new_record(
            gateway, CM_CRASH_RECORD_COMPLETED, "", Gateway_Now(gateway));
        CmCrashRecord_AddContent(record, Request_Content(request));
        PeerGossip_Observe(gateway, record);
    }
}

void
CrashWatch_CountResponse(struct request *request)
{
    struct gateway *gateway = request->gateway;
    const struct attempt *attempt = &request->attempt;
    struct crash_suspicion *suspicion =
        find_suspicion(gateway, attempt->target);
    if (suspicion == NULL || attempt->response.misdirected ||
        (suspicion->state == SUSPICION_OPEN && suspicion->runs->len == 0) ||
        !CmTime_Before(suspicion->last_cut_off, attempt->sent_at)) {
        return;
    }
    if (suspicion->state == SUSPICION_CONFIRMED) {
        char name[CM_CRASH_NAME_SIZE];
        CmTarget_WriteIncarnation(suspicion->target, name, sizeof(name));
        CmLog_Event(G_LOG_LEVEL_WARNING, "quarantine", request->parsed.id,
                    "%s at %s responds, so it has not crashed",
                    suspicion->target->id, suspicion->target->address);
        PeerGossip_Observe(gateway, new_record(gateway, CM_CRASH_RECORD_ALIVE,
                                               name, Gateway_Now(gateway)));
    }
    g_array_set_size(suspicion->runs, 0);
    g_array_set_size(suspicion->parts, 0);
    close_probe(suspicion);
    leave_open(suspicion);
}

void
CrashWatch_CountStart(struct gateway *gateway,
                      const struct cm_live_target *target)
{
    struct crash_suspicion *suspicion;
    CmList_FOREACH (suspicion, &gateway->crash_suspicions, link) {
        if (suspicion->state != SUSPICION_CONFIRMED &&
            !CmTarget_IsLeaving(suspicion->target) &&
            suspicion->target->started_ms < target->started_ms &&
            strcmp(suspicion->target->address, target->address) == 0) {
            close_probe(suspicion);
            record_crash(suspicion);
        }
    }
}

static const char *
kind_of(const struct cm_suspect *suspect)
{
    return suspect->position > 0 ? "prompt part" : "content";
}

const char *
CrashWatch_Reason(struct request *request)
{
    const struct cm_suspect *suspect = CrashWatch_Suspect(request);
    return suspect != NULL && suspect->position > 0
               ? "a part of its prompt has crashed several targets"
               : "its content has crashed several targets";
}

bool
CrashWatch_Refuses(struct request *request)
{
    struct gateway *gateway = request->gateway;
    if (gateway->quarantine.n_refused + gateway->quarantine.n_on_trial == 0) {
        return false;
    }
    const struct cm_suspect *suspect = CrashWatch_Suspect(request);
    if (CmTrial_NextStep(suspect, Gateway_Now(gateway)) != CM_TRIAL_REFUSE &&
        !PromptParts_AreRefusedTogether(request)) {
        return false;
    }
    CmLog_Event(G_LOG_LEVEL_INFO, "quarantine", request->parsed.id,
                "%s %s is refused after %d crashes and %d trials, seen by %s, "
                "the last %" PRId64 " ms ago",
                kind_of(suspect), suspect->content, suspect->crashes,
                suspect->trials, suspect->observers,
                CmTime_DiffMs(Gateway_Now(gateway), suspect->last_crash));
    gateway->count.quarantine_refusals.value++;
    request->quarantined = true;
    return true;
}

bool
CrashWatch_Lift(struct gateway *gateway, const char *content)
{
    const struct cm_suspect *suspect =
        CmQuarantine_Find(&gateway->quarantine, content);
    if (suspect == NULL || (!suspect->refused && !suspect->on_trial)) {
        return false;
    }
    CmLog_Event(G_LOG_LEVEL_WARNING, "quarantine", NULL,
                "an operator lifts the verdict on %s %s", kind_of(suspect),
                content);
    struct cm_crash_record *record =
        new_record(gateway, CM_CRASH_RECORD_LIFTED, "", Gateway_Now(gateway));
    CmCrashRecord_AddContent(record, content);
    PeerGossip_Observe(gateway, record);
    return true;
}

static void
on_decided(void *context, const struct cm_suspect *suspect, bool refused)
{
    struct gateway *gateway = context;
    if (refused) {
        CmLog_Event(G_LOG_LEVEL_WARNING, "quarantine", NULL,
                    "%s %s is refused from now on: %d crashes of targets, %d "
                    "trials, seen by %s, the last %" PRId64 " ms ago",
                    kind_of(suspect), suspect->content, suspect->crashes,
                    suspect->trials, suspect->observers,
                    CmTime_DiffMs(Gateway_Now(gateway), suspect->last_crash));
    }
    else {
        CmLog_Event(G_LOG_LEVEL_WARNING, "quarantine", NULL,
                    "%s %s is no longer refused", kind_of(suspect),
                    suspect->content);
    }
}

static void
on_trial(void *context, const struct cm_suspect *suspect)
{
    struct gateway *gateway = context;
    CmLog_Event(G_LOG_LEVEL_WARNING, "quarantine", NULL,
                "%s %s is only run alone from now on: %d crashes of targets, "
                "seen by %s, which count as %.1f of %d, the last "
                "%" PRId64 " ms ago",
                kind_of(suspect), suspect->content, suspect->crashes,
                suspect->observers,
                (double)suspect->weight / CM_VERDICT_CRASH_WEIGHT,
                GATEWAY_CRASHES_TO_REFUSE,
                CmTime_DiffMs(Gateway_Now(gateway), suspect->last_crash));
}

void
CrashWatch_Init(struct gateway *gateway)
{
    static const struct cm_quarantine_listener listener = {on_decided,
                                                           on_trial};
    LIST_INIT(&gateway->crash_suspicions);
    CmQuarantine_Init(&gateway->quarantine, GATEWAY_CRASHES_TO_REFUSE,
                      &listener, gateway);
}

void
CrashWatch_Finish(struct gateway *gateway)
{
    struct crash_suspicion *suspicion;
    while ((suspicion = LIST_FIRST(&gateway->crash_suspicions)) != NULL) {
        suspicion_free(suspicion);
    }
    CmQuarantine_Finish(&gateway->quarantine);
}
