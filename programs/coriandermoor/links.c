/// @file links.c
/// Connections to agents.

#include "links.h"

#include <stdio.h>
#include <string.h>

#include "attempts.h"
#include "base/log.h"
#include "once_flow.h"

/// Unit of the eviction cost in reports.
#define THOUSANDTHS 1000.0

uint64_t
Links_ClockMs(const struct entry *entry)
{
    return (uint64_t)CmTime_DiffMs(Entry_Now(entry), (struct timespec){0});
}

static void
on_message(void *context, const struct cm_link_peer *peer,
           const struct cm_message *message);

struct agent_link *
Link_New(struct entry *entry, struct cm_member *member)
{
    struct agent_link *link = g_new0(struct agent_link, 1);
    link->entry = entry;
    link->member = member;
    link->used = Entry_Now(entry);
    member->owner = link;
    TAILQ_INIT(&link->attempts);
    LIST_INSERT_HEAD(&entry->links, link, link);
    return link;
}

static int64_t
hello_interval_ms(const struct entry *entry)
{
    int64_t links = entry->count.links.value;
    int64_t factor = (links + CM_HELLO_LINKS - 1) / CM_HELLO_LINKS;
    return CM_HELLO_INTERVAL_MS * (factor > 1 ? factor : 1);
}

static void
send_hello(struct agent_link *link)
{
    struct entry *entry = link->entry;
    struct cm_message message = {.type = CM_MSG_HELLO};
    message.hello.entry = CmBytes_FromText(entry->settings.common.name);
    message.hello.revision = entry->revisions.revision;
    message.hello.sent_ms = Links_ClockMs(entry);
    message.hello.known_slots_version = link->slots_seen;
    message.hello.instance_draining = link->member->listed_draining;
    message.hello.interval_ms = (uint64_t)hello_interval_ms(entry);
    link->hello = Entry_Now(entry);
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
                                endpoint, on_message, link, &error);
    if (!link->open) {
        CmLog_Event(G_LOG_LEVEL_WARNING, "links", NULL, "%s", error->message);
        g_clear_error(&error);
    }
    link->socket.traffic = &entry->traffic;
    link->opened = Entry_Now(entry);
    link->heard = link->opened;
    link->slots_seen = 0;
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

/// Calls `act` for each attempt that stands now and still does when its turn
/// comes: one that ends may end others, or bring new ones.
static void
each_attempt(struct agent_link *link,
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

/// Which attempts fail, and by what.
struct failure {
    enum cm_attempt_event event;
    bool only_repeatable;
};

static void
fail_attempt(struct attempt *attempt, const void *context)
{
    const struct failure *failure = context;
    bool repeatable = attempt->exchange->repeatable;
    if (!attempt->held && (repeatable || !failure->only_repeatable)) {
        Exchange_Failed(attempt->exchange, attempt, failure->event,
                        CM_REASON_TARGET_LOST);
    }
}

/// Ends attempts whose agent is gone.
static void
fail_attempts(struct agent_link *link, enum cm_attempt_event event,
              bool only_repeatable)
{
    struct failure failure = {event, only_repeatable};
    each_attempt(link, fail_attempt, &failure);
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
Links_Find(const struct entry *entry, const struct cm_route_target *target)
{
    struct cm_member *member = CmMembers_Find(&entry->members, target->name);
    return member != NULL ? member->owner : NULL;
}

void
Link_UpdateUsable(struct agent_link *link)
{
    if (link->route == NULL) {
        return;
    }
    const struct cm_member *member = link->member;
    // Over the limit of links one that is not open counts as well: it is
    // opened when a request is routed there.
    bool closed_by_choice =
        !link->open && member->listed && !CmMember_IsDraining(member);
    bool usable =
        closed_by_choice || (link->healthy && CmMember_IsUsable(member));
    CmRouter_SetUsable(&link->entry->router, link->route, usable,
                       Entry_Now(link->entry));
}

static void
take_slots(struct agent_link *link, const struct cm_msg_report *report)
{
    CmRouter_ClearCopies(link->route);
    for (uint64_t i = 0; i < report->n_slots; i++) {
        char *adapter = CmBytes_Dup(report->slots[i].adapter);
        CmRouter_AddCopy(link->route, adapter, report->slots[i].ready != 0);
        g_free(adapter);
    }
    link->slots_seen = report->slots_version;
}

static void
take_load(struct agent_link *link, const struct cm_msg_report *report)
{
    struct cm_route_target *route = link->route;
    route->running = report->running;
    route->waiting = report->waiting;
    route->capacity = report->capacity;
    route->slot_count = report->slot_count;
    route->load_ms = (double)report->load_ms;
    route->run_ms = (double)report->run_ms;
    route->eviction_cost = (double)report->eviction_cost / THOUSANDTHS;
    route->unreported = 0;
}

static void
resume_attempts(struct agent_link *link)
{
    struct attempt *attempt;
    CmTailq_FOREACH (attempt, &link->attempts, in_link) {
        Attempt_Resume(attempt);
    }
}

static void
on_report(struct agent_link *link, const struct cm_msg_report *report)
{
    struct entry *entry = link->entry;
    if (!CmBytes_Equal(report->target, link->member->name)) {
        return; // another target's agent has the address
    }
    enum cm_heartbeat_result heard = CmMembers_RecordHeartbeat(
        &entry->members, link->member, report->incarnation,
        report->draining != 0, Entry_Now(entry));
    if (heard == CM_HEARTBEAT_OUTDATED) {
        return;
    }
    bool first = !link->ready;
    bool replaced =
        link->incarnation != 0 && link->incarnation != report->incarnation;
    link->ready = true;
    link->incarnation = report->incarnation;
    link->revision = report->revision;
    link->healthy = report->healthy != 0;
    if (replaced) {
        fail_attempts(link, CM_ATTEMPT_AGENT_LOST, false);
    }
    if (link->route != NULL) {
        take_load(link, report);
        if (report->slots_included) {
            take_slots(link, report);
        }
    }
    Link_UpdateUsable(link);
    OnceFlow_LinkReady(link);
    if (first) {
        resume_attempts(link);
    }
}

static void
on_crash(struct agent_link *link, const struct cm_msg_crash *crash)
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
                "crash %s with %zu contents running", name, n);
    for (size_t i = 0; i < n; i++) {
        if (CmQuarantine_IsRefused(&entry->quarantine, fingerprints[i],
                                   Entry_Now(entry))) {
            CmLog_Decision("quarantine", NULL, fingerprints[i], "refuse", name,
                           "ran in crashes of two targets");
        }
        g_free((gpointer)fingerprints[i]);
    }
    g_free(fingerprints);
    g_free(name);
}

static void
on_permit(struct agent_link *link, const struct cm_msg_permit *permit)
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
on_message(void *context, const struct cm_link_peer *peer,
           const struct cm_message *message)
{
    struct agent_link *link = context;
    link->heard = Entry_Now(link->entry);
    switch (message->type) {
    case CM_MSG_REPORT:
        on_report(link, &message->report);
        break;
    case CM_MSG_ACCEPTED:
        Attempts_Accepted(link, message->accepted.id);
        break;
    case CM_MSG_STARTED:
        Attempts_Started(link, message->started.id);
        break;
    case CM_MSG_HEAD:
        Attempts_Head(link, &message->head);
        break;
    case CM_MSG_CHUNK:
        Attempts_Chunk(link, &message->chunk);
        break;
    case CM_MSG_END:
        Attempts_End(link, &message->end);
        break;
    case CM_MSG_SEALED:
        OnceFlow_Sealed(link, &message->sealed);
        break;
    case CM_MSG_CRASH:
        on_crash(link, &message->crash);
        break;
    case CM_MSG_PERMIT:
        on_permit(link, &message->permit);
        break;
    default:
        link->entry->traffic.bad_frames++;
        break;
    }
}

/// A connection that went silent is replaced; requests go on over the new
/// one, from where their answers stopped.
static void
check_silence(struct agent_link *link, struct timespec now,
              int64_t interval_ms)
{
    int64_t limit_ms = CM_LINK_SILENT_MS + interval_ms - CM_HELLO_INTERVAL_MS;
    if (CmTime_DiffMs(now, link->heard) < limit_ms) {
        return;
    }
    link->entry->count.reconnects.value++;
    Link_Open(link);
    if (link->member->state != CM_MEMBER_LIVE) {
        fail_attempts(link, CM_ATTEMPT_AGENT_TIMEOUT, true);
    }
}

void
Links_ForgivePause(struct entry *entry, int64_t pause_ms)
{
    struct agent_link *link;
    CmList_FOREACH (link, &entry->links, link) {
        link->heard = CmTime_AddMs(link->heard, pause_ms);
        struct cm_member *member = link->member;
        member->last_heartbeat =
            CmTime_AddMs(member->last_heartbeat, pause_ms);
    }
}

static bool
is_idle(const struct agent_link *link, struct timespec now)
{
    return TAILQ_EMPTY(&link->attempts) &&
           CmTime_DiffMs(now, link->used) >= CM_LINK_IDLE_MS;
}

/// Opens links as long as there are few; closes idle ones over the limit.
static void
keep_within_limit(struct agent_link *link, struct timespec now)
{
    const struct entry *entry = link->entry;
    int64_t limit = entry->settings.links;
    bool wanted = link->route != NULL && link->member->listed;
    if (!link->open && wanted && entry->count.links.value < limit) {
        Link_Open(link);
    }
    bool over = entry->count.links.value > limit;
    if (link->open && is_idle(link, now) && (over || !wanted)) {
        Link_Close(link);
        Link_UpdateUsable(link);
    }
}

/// @return whether some attempt still waits for the agent's first word; only
///         those have anything to do on a tick.
static bool
has_unheard_attempt(const struct agent_link *link)
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
tick_attempt(struct attempt *attempt, const void *context)
{
    Attempt_Tick(attempt, *(const struct timespec *)context);
}

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
    int64_t interval_ms = hello_interval_ms(entry);
    entry->members.slack_ms = interval_ms - CM_HELLO_INTERVAL_MS;
    struct agent_link *link;
    CmList_FOREACH (link, &entry->links, link) {
        keep_within_limit(link, now);
        if (!link->open) {
            continue;
        }
        int64_t since_ms = CmTime_DiffMs(now, link->hello);
        if (since_ms >= (link->ready ? interval_ms : 50)) {
            send_hello(link);
        }
        check_silence(link, now, interval_ms);
        if (has_unheard_attempt(link)) {
            each_attempt(link, tick_attempt, &now);
        }
    }
    grant_permits(entry);
}
