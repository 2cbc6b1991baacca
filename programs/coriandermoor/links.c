/// @file links.c
/// Connections to agents: dispatch of their messages, heartbeats, reconnects
/// after silence, limit of open connections.

#include "links.h"

#include <stdio.h>
#include <string.h>

#include "attempts.h"
#include "base/log.h"
#include "once_flow.h"

/// Heartbeat interval until the first report arrives over a connection; until
/// then its attempts are not sent.
#define FIRST_HEARTBEAT_INTERVAL_MS 50
/// Reports carry the eviction cost in thousandths.
#define EVICTION_COST_SCALE 1000.0

uint64_t
Links_ClockMs(const struct entry *entry)
{
    return (uint64_t)CmTime_DiffMs(Entry_Now(entry), (struct timespec){0});
}

static void
dispatch_message(void *context, const struct cm_link_peer *peer,
                 const struct cm_message *message);

struct agent_link *
Link_New(struct entry *entry, struct cm_member *member)
{
    struct agent_link *link = g_new0(struct agent_link, 1);
    link->entry = entry;
    link->member = member;
    link->last_used_at = Entry_Now(entry);
    member->owner = link;
    TAILQ_INIT(&link->attempts);
    LIST_INSERT_HEAD(&entry->links, link, link);
    return link;
}

/// @return the heartbeat interval, which grows with the number of links.
static int64_t
heartbeat_interval_ms(const struct entry *entry)
{
    int64_t links = entry->count.links.value;
    int64_t factor = (links + CM_HEARTBEAT_LINKS - 1) / CM_HEARTBEAT_LINKS;
    return CM_HEARTBEAT_INTERVAL_MS * (factor > 1 ? factor : 1);
}

static void
send_heartbeat(struct agent_link *link)
{
    struct entry *entry = link->entry;
    struct cm_message message = {.type = CM_MSG_HELLO};
    message.hello.entry = CmBytes_FromText(entry->settings.common.name);
    message.hello.revision = entry->revisions.revision;
    message.hello.sent_ms = Links_ClockMs(entry);
    message.hello.known_slots_version = link->slots_version;
    message.hello.instance_draining = link->member->listed_draining;
    message.hello.interval_ms = (uint64_t)heartbeat_interval_ms(entry);
    link->last_heartbeat_at = Entry_Now(entry);
    Link_Send(link, &message);
    entry->count.control_messages.value++;
}

void
Link_Open(struct agent_link *link)
{
    struct entry *entry = link->entry;
    Link_Close(link);
    char name[CM_LINK_PEER_NAME_MAX_BYTES];
    snprintf(name, sizeof(name), "%.48s/%x", entry->identity,
             (unsigned)entry->next_connection++);
    char *endpoint = g_strconcat("tcp://", link->member->endpoint, NULL);
    GError *error = NULL;
    link->open = CmLink_Connect(&link->socket, entry->zmq, entry->base, name,
                                endpoint, dispatch_message, link, &error);
    if (!link->open) {
        CmLog_Event(G_LOG_LEVEL_WARNING, "links", NULL,
                    "cannot open a link: %s", error->message);
        g_clear_error(&error);
    }
    link->socket.traffic = &entry->traffic;
    link->opened_at = Entry_Now(entry);
    link->last_received_at = link->opened_at;
    link->slots_version = 0;
    entry->count.links.value += link->open;
    g_free(endpoint);
}

void
Link_Close(struct agent_link *link)
{
    if (link->open) {
        CmLink_Finish(&link->socket);
        link->entry->count.links.value--;
    }
    link->open = false;
    link->ready = false;
}

/// Calls `act` for each present attempt of the link. Iterates over a copy of
/// the stream names, as `act` may end other attempts or start new ones; those
/// that ended are skipped.
static void
for_each_attempt(struct agent_link *link,
                 void (*act)(struct attempt *attempt, const void *context),
                 const void *context)
{
    GPtrArray *streams = g_ptr_array_new_with_free_func(g_free);
    struct attempt *attempt;
    CmTailq_FOREACH (attempt, &link->attempts, in_link) {
        g_ptr_array_add(streams, g_strdup(attempt->stream));
    }
    for (guint i = 0; i < streams->len; i++) {
        attempt = g_hash_table_lookup(link->entry->streams,
                                      g_ptr_array_index(streams, i));
        if (attempt != NULL && attempt->link == link) {
            act(attempt, context);
        }
    }
    g_ptr_array_free(streams, TRUE);
}

/// Event with which attempts fail, and whether it is limited to idempotent
/// requests.
struct failure {
    enum cm_attempt_event event;
    bool only_idempotent;
};

static void
fail_attempt(struct attempt *attempt, const void *context)
{
    const struct failure *failure = context;
    bool idempotent = attempt->exchange->idempotent;
    if (!attempt->awaits_claim && (idempotent || !failure->only_idempotent)) {
        Exchange_HandleAttemptFailure(attempt->exchange, attempt,
                                      failure->event, CM_REASON_TARGET_LOST);
    }
}

/// Fails the link's attempts, except those that wait for their claim, as they
/// were not sent.
static void
fail_attempts(struct agent_link *link, enum cm_attempt_event event,
              bool only_idempotent)
{
    struct failure failure = {event, only_idempotent};
    for_each_attempt(link, fail_attempt, &failure);
}

void
Link_Free(struct agent_link *link)
{
    fail_attempts(link, CM_ATTEMPT_AGENT_LOST, false);
    struct attempt *attempt;
    while ((attempt = TAILQ_FIRST(&link->attempts)) != NULL) {
        Attempt_Free(attempt, false);
    }
    Link_Close(link);
    link->member->owner = NULL;
    LIST_REMOVE(link, link);
    g_free(link);
}

bool
Link_Send(struct agent_link *link, const struct cm_message *message)
{
    return link->open && CmLink_Send(&link->socket, NULL, message);
}

struct agent_link *
Links_FindByTarget(const struct entry *entry,
                   const struct cm_route_target *target)
{
    struct cm_member *member = CmMembers_Find(&entry->members, target->name);
    return member != NULL ? member->owner : NULL;
}

void
Link_UpdateUsable(struct agent_link *link)
{
    if (link->target == NULL) {
        return;
    }
    const struct cm_member *member = link->member;
    // Beyond the limit of links, idle ones are closed. Their targets stay
    // usable: a request that is routed there opens the link.
    bool idle_closed =
        !link->open && member->listed && !CmMember_IsDraining(member);
    bool usable = idle_closed || (link->healthy && CmMember_IsUsable(member));
    CmRouter_SetUsable(&link->entry->router, link->target, usable,
                       Entry_Now(link->entry));
}

static void
update_resident_adapters(struct agent_link *link,
                         const struct cm_msg_report *report)
{
    CmRouter_ClearCopies(link->target);
    for (uint64_t i = 0; i < report->n_slots; i++) {
        char *adapter = CmBytes_Dup(report->slots[i].adapter);
        CmRouter_AddCopy(link->target, adapter, report->slots[i].ready != 0);
        g_free(adapter);
    }
    link->slots_version = report->slots_version;
}

static void
update_load(struct agent_link *link, const struct cm_msg_report *report)
{
    struct cm_route_target *target = link->target;
    target->running = report->running;
    target->waiting = report->waiting;
    target->capacity = report->capacity;
    target->slot_count = report->slot_count;
    target->load_ms = (double)report->load_ms;
    target->run_ms = (double)report->run_ms;
    target->eviction_cost =
        (double)report->eviction_cost / EVICTION_COST_SCALE;
    target->unreported = 0;
}

/// Continues the link's attempts over a new connection.
static void
resume_attempts(struct agent_link *link)
{
    struct attempt *attempt;
    CmTailq_FOREACH (attempt, &link->attempts, in_link) {
        Attempt_Resume(attempt);
    }
}

static void
apply_report(struct agent_link *link, const struct cm_msg_report *report)
{
    struct entry *entry = link->entry;
    if (!CmBytes_Equal(report->target, link->member->name)) {
        return; // the agent of another target has taken over the address
    }
    enum cm_heartbeat_result result = CmMembers_RecordHeartbeat(
        &entry->members, link->member, report->incarnation,
        report->draining != 0, Entry_Now(entry));
    if (result == CM_HEARTBEAT_OUTDATED) {
        return;
    }
    bool first_report = !link->ready;
    bool restarted =
        link->incarnation != 0 && link->incarnation != report->incarnation;
    link->ready = true;
    link->incarnation = report->incarnation;
    link->revision = report->revision;
    link->healthy = report->healthy != 0;
    if (restarted) {
        fail_attempts(link, CM_ATTEMPT_AGENT_LOST, false);
    }
    if (link->target != NULL) {
        update_load(link, report);
        if (report->slots_included) {
            update_resident_adapters(link, report);
        }
    }
    Link_UpdateUsable(link);
    // Asks the agent about earlier attempts with the same idempotency key.
    OnceFlow_ResumeSeals(link);
    if (first_report) {
        resume_attempts(link);
    }
}

static void
record_crash(struct agent_link *link, const struct cm_msg_crash *crash)
{
    struct entry *entry = link->entry;
    size_t n = crash->n_suspects;
    const char **fingerprints = g_new0(const char *, n + 1);
    for (size_t i = 0; i < n; i++) {
        fingerprints[i] = CmBytes_Dup(crash->suspects[i].fingerprint);
    }
    char *name = g_strdup_printf("%s/%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT,
                                 link->member->name, crash->incarnation,
                                 crash->crash_number);
    CmQuarantine_RecordCrash(&entry->quarantine, name, fingerprints, n,
                             Entry_Now(entry));
    CmLog_Event(G_LOG_LEVEL_WARNING, "quarantine", NULL,
                "target crashed (%s) while %zu request contents ran; "
                "these are suspects",
                name, n);
    for (size_t i = 0; i < n; i++) {
        if (CmQuarantine_IsRefused(&entry->quarantine, fingerprints[i])) {
            CmLog_Decision("quarantine", NULL, fingerprints[i], "refuse", name,
                           "ran in at least two crashes");
        }
        g_free((gpointer)fingerprints[i]);
    }
    g_free(fingerprints);
    g_free(name);
}

static void
update_permit(struct agent_link *link, const struct cm_msg_permit *permit)
{
    struct entry *entry = link->entry;
    const char *holder = link->member->name;
    if (permit->release) {
        CmPermits_Release(&entry->permits, holder, permit->number);
        return;
    }
    struct timespec now = Entry_Now(entry);
    CmPermits_Request(&entry->permits, holder, permit->number,
                      permit->waiters > 0,
                      CmTime_AddMs(now, (int64_t)permit->deadline_ms), now);
}

static void
dispatch_message(void *context, const struct cm_link_peer *peer,
                 const struct cm_message *message)
{
    struct agent_link *link = context;
    link->last_received_at = Entry_Now(link->entry);
    switch (message->type) {
    case CM_MSG_REPORT:
        apply_report(link, &message->report);
        break;
    case CM_MSG_ACCEPTED:
        Attempts_HandleAccepted(link, message->accepted.id);
        break;
    case CM_MSG_STARTED:
        Attempts_HandleStarted(link, message->started.id);
        break;
    case CM_MSG_HEAD:
        Attempts_HandleHead(link, &message->head);
        break;
    case CM_MSG_CHUNK:
        Attempts_HandleChunk(link, &message->chunk);
        break;
    case CM_MSG_END:
        Attempts_HandleEnd(link, &message->end);
        break;
    case CM_MSG_SEALED:
        OnceFlow_HandleSealed(link, &message->sealed);
        break;
    case CM_MSG_CRASH:
        record_crash(link, &message->crash);
        break;
    case CM_MSG_PERMIT:
        update_permit(link, &message->permit);
        break;
    default:
        link->entry->traffic.bad_frames++;
        break;
    }
}

/// Replaces a connection if no message arrived for too long. Attempts resume
/// over the new one, from the last received byte of their answers. If the
/// member is not live, attempts of idempotent requests fail, as these may be
/// retried at other targets.
static void
replace_silent_connection(struct agent_link *link, struct timespec now,
                          int64_t interval_ms)
{
    int64_t limit_ms =
        CM_LINK_SILENCE_TIMEOUT_MS + interval_ms - CM_HEARTBEAT_INTERVAL_MS;
    if (CmTime_DiffMs(now, link->last_received_at) < limit_ms) {
        return;
    }
    link->entry->count.reconnects.value++;
    Link_Open(link);
    if (link->member->state != CM_MEMBER_LIVE) {
        fail_attempts(link, CM_ATTEMPT_AGENT_TIMEOUT, true);
    }
}

void
Links_ResetTimeouts(struct entry *entry, int64_t suspended_ms)
{
    struct agent_link *link;
    CmList_FOREACH (link, &entry->links, link) {
        link->last_received_at =
            CmTime_AddMs(link->last_received_at, suspended_ms);
        struct cm_member *member = link->member;
        member->last_heartbeat =
            CmTime_AddMs(member->last_heartbeat, suspended_ms);
    }
}

static bool
is_idle(const struct agent_link *link, struct timespec now)
{
    return TAILQ_EMPTY(&link->attempts) &&
           CmTime_DiffMs(now, link->last_used_at) >= CM_LINK_IDLE_TIMEOUT_MS;
}

/// Opens the link of a configured target while the limit allows it. Closes an
/// idle link beyond the limit, or whose target is not configured or listed.
static void
enforce_link_limit(struct agent_link *link, struct timespec now)
{
    const struct entry *entry = link->entry;
    int64_t limit = entry->settings.links;
    bool configured = link->target != NULL && link->member->listed;
    if (!link->open && configured && entry->count.links.value < limit) {
        Link_Open(link);
    }
    bool over_limit = entry->count.links.value > limit;
    if (link->open && is_idle(link, now) && (over_limit || !configured)) {
        Link_Close(link);
        Link_UpdateUsable(link);
    }
}

/// @return whether the agent has not acknowledged some attempt; only such
///         attempts have timeouts.
static bool
has_unacknowledged_attempt(const struct agent_link *link)
{
    const struct attempt *attempt;
    CmTailq_FOREACH (attempt, &link->attempts, in_link) {
        if (attempt->phase <= CM_ATTEMPT_SENT) {
            return true;
        }
    }
    return false;
}

static void
check_attempt_timeouts(struct attempt *attempt, const void *context)
{
    Attempt_CheckTimeouts(attempt, *(const struct timespec *)context);
}

/// Sends the load permits that are due to the agents that requested them. A
/// permit for an agent that is no longer a member expires unused.
static void
grant_permits(struct entry *entry)
{
    const struct cm_permit *permit;
    while ((permit = CmPermits_Grant(&entry->permits, Entry_Now(entry))) !=
           NULL) {
        struct cm_member *member =
            CmMembers_Find(&entry->members, permit->holder);
        if (member == NULL || member->owner == NULL) {
            continue;
        }
        struct cm_message message = {.type = CM_MSG_GRANT};
        message.grant.number = permit->number;
        message.grant.expiry_ms = CM_PERMIT_EXPIRY_MS;
        Link_Send(member->owner, &message);
    }
}

void
Links_Tick(struct entry *entry)
{
    struct timespec now = Entry_Now(entry);
    int64_t interval_ms = heartbeat_interval_ms(entry);
    entry->members.slack_ms = interval_ms - CM_HEARTBEAT_INTERVAL_MS;
    struct agent_link *link;
    CmList_FOREACH (link, &entry->links, link) {
        enforce_link_limit(link, now);
        if (!link->open) {
            continue;
        }
        int64_t since_ms = CmTime_DiffMs(now, link->last_heartbeat_at);
        if (since_ms >=
            (link->ready ? interval_ms : FIRST_HEARTBEAT_INTERVAL_MS)) {
            send_heartbeat(link);
        }
        replace_silent_connection(link, now, interval_ms);
        if (has_unacknowledged_attempt(link)) {
            for_each_attempt(link, check_attempt_timeouts, &now);
        }
    }
    grant_permits(entry);
}
