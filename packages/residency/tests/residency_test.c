/// @file residency_test.c
/// Slots of one engine: loads, evictions, pins, the window of store loads,
/// replacements, and a random run against an engine that crashes if it is
/// told to hold too much.

#include "residency/residency.h"

#include <stdio.h>
#include <string.h>

#include "cm_test.h"
#include "base/clock.h"
#include "residency/lease_message.h"

#define SLOTS 3

static int notified;

static void
on_granted(struct cm_lease *lease)
{
    notified++;
}

static struct cm_lease
lease_for(const char *adapter, int64_t version)
{
    return (struct cm_lease){
        .adapter = (char *)adapter, .version = version, .notify = on_granted};
}

static struct timespec
at(int64_t ms)
{
    return CmTime_AddMs((struct timespec){.tv_sec = 1000}, ms);
}

/// Reports `adapters` ("a", "b+" for one on its way, "c2" for version 2).
static void
report(struct cm_residency *residency, const char *const *adapters, size_t n,
       struct timespec now)
{
    CmResidency_BeginReport(residency);
    for (size_t i = 0; i < n; i++) {
        char name[8];
        g_strlcpy(name, adapters[i], sizeof(name));
        size_t last = strlen(name) - 1;
        bool incoming = name[last] == '+';
        if (incoming) {
            name[last--] = '\0';
        }
        int64_t version = 1;
        if (g_ascii_isdigit(name[last])) {
            version = name[last] - '0';
            name[last] = '\0';
        }
        CmResidency_ReportAdapter(residency, name, version, incoming, now);
    }
    CmResidency_EndReport(residency, now);
}

/// @return the next order as text: "+a", "-a" or "".
static const char *
next_order(struct cm_residency *residency, struct timespec now)
{
    static char text[16];
    struct cm_residency_order order;
    text[0] = '\0';
    if (CmResidency_NextOrder(residency, now, &order)) {
        snprintf(text, sizeof(text), "%c%s", order.load ? '+' : '-',
                 order.adapter);
        CmResidency_OrderAccepted(residency, &order, !order.load, now);
        g_free(order.adapter);
    }
    return text;
}

static void
test_grant_when_loaded(void)
{
    struct cm_residency residency;
    CmResidency_Init(&residency, SLOTS);
    struct cm_lease one = lease_for("a", 0);
    struct cm_lease two = lease_for("a", 0);
    notified = 0;
    CU_ASSERT_EQUAL(CmResidency_Request(&residency, &one, at(0)),
                    CM_LEASE_WAITING);
    CU_ASSERT_EQUAL(CmResidency_Request(&residency, &two, at(0)),
                    CM_LEASE_WAITING);
    CU_ASSERT_STRING_EQUAL(next_order(&residency, at(0)), "+a");
    CU_ASSERT_STRING_EQUAL(next_order(&residency, at(1)), "");
    static const char *const coming[] = {"a+"};
    report(&residency, coming, 1, at(20));
    CU_ASSERT_EQUAL(notified, 0);
    static const char *const here[] = {"a"};
    report(&residency, here, 1, at(250));
    CU_ASSERT_EQUAL(notified, 2);
    CmResidency_Release(&residency, &one);
    CmResidency_Release(&residency, &two);
    CmResidency_Finish(&residency);
}

/// Engines told apart by what is ahead: nothing for an adapter that is there
/// or due anyway, a slot's wait where all are pinned, a turn for each load.
static void
test_ahead(void)
{
    static const struct {
        const char *pattern;
        int pins;  ///< of the slots that hold "a", "b", "c"
        int waits; ///< other adapters that wait
        const char *adapter;
        int64_t ahead_ms;
    } cases[] = {
        {"held", 3, 0, "a", 0},
        {"held, while others wait", 3, 2, "b", 0},
        {"waited for already", 3, 1, "w0", 0},
        {"a slot that nobody needs", 2, 0, "x", 0},
        {"all slots pinned", 3, 0, "x", CM_RESIDENCY_SLOT_WAIT_MS},
        {"a wait takes the last slot", 2, 1, "x",
         CM_RESIDENCY_SLOT_WAIT_MS + CM_RESIDENCY_QUEUED_LOAD_MS},
        {"a queue", 3, 2, "x",
         CM_RESIDENCY_SLOT_WAIT_MS + 2 * CM_RESIDENCY_QUEUED_LOAD_MS},
    };
    static const char *const names[] = {"a", "b", "c"};
    static const char *const others[] = {"w0", "w1"};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct cm_residency residency;
        CmResidency_Init(&residency, SLOTS);
        report(&residency, names, SLOTS, at(0));
        struct cm_lease leases[SLOTS + G_N_ELEMENTS(others)];
        size_t n = 0;
        for (int p = 0; p < cases[i].pins; p++) {
            leases[n] = lease_for(names[p], 0);
            CmResidency_Request(&residency, &leases[n++], at(0));
        }
        for (int w = 0; w < cases[i].waits; w++) {
            leases[n] = lease_for(others[w], 0);
            CmResidency_Request(&residency, &leases[n++], at(0));
        }
        int64_t ahead =
            CmResidency_QueueWaitMs(&residency, cases[i].adapter, 0);
        if (ahead != cases[i].ahead_ms) {
            printf("\n%s: %d\n", cases[i].pattern, (int)ahead);
        }
        CU_ASSERT_EQUAL(ahead, cases[i].ahead_ms);
        while (n > 0) {
            CmResidency_Release(&residency, &leases[--n]);
        }
        CmResidency_Finish(&residency);
    }
}

/// The adapter with the fewest recent uses makes room; a pinned one or one
/// that is waited for never does.
static void
test_victim(void)
{
    struct cm_residency residency;
    CmResidency_Init(&residency, SLOTS);
    static const char *const full[] = {"a", "b", "c"};
    report(&residency, full, 3, at(0));
    struct cm_lease pin = lease_for("a", 0);
    CU_ASSERT_EQUAL(CmResidency_Request(&residency, &pin, at(1)),
                    CM_LEASE_GRANTED);
    struct cm_lease used = lease_for("b", 0);
    CmResidency_Request(&residency, &used, at(2));
    CmResidency_Release(&residency, &used);
    struct cm_lease wanted = lease_for("d", 0);
    CU_ASSERT_EQUAL(CmResidency_Request(&residency, &wanted, at(3)),
                    CM_LEASE_WAITING);
    CU_ASSERT_STRING_EQUAL(next_order(&residency, at(3)), "-c");
    CU_ASSERT_STRING_EQUAL(next_order(&residency, at(4)), "+d");
    struct cm_lease more = lease_for("e", 0);
    CmResidency_Request(&residency, &more, at(5));
    CU_ASSERT_STRING_EQUAL(next_order(&residency, at(5)), "-b");
    CU_ASSERT_STRING_EQUAL(next_order(&residency, at(6)), "+e");
    struct cm_lease last = lease_for("f", 0);
    CmResidency_Request(&residency, &last, at(7));
    CU_ASSERT_STRING_EQUAL(next_order(&residency, at(8)), "");
    CmResidency_Finish(&residency);
}

/// An adapter that the engine will not unload is left alone for a while.
static void
test_refused_victim(void)
{
    struct cm_residency residency;
    CmResidency_Init(&residency, 2);
    static const char *const full[] = {"a", "b"};
    report(&residency, full, 2, at(0));
    struct cm_lease used = lease_for("b", 0);
    CmResidency_Request(&residency, &used, at(1));
    CmResidency_Release(&residency, &used);
    struct cm_lease wanted = lease_for("c", 0);
    CmResidency_Request(&residency, &wanted, at(2));
    struct cm_residency_order order;
    CU_ASSERT_FATAL(CmResidency_NextOrder(&residency, at(2), &order));
    CU_ASSERT_STRING_EQUAL(order.adapter, "a");
    CmResidency_OrderRefused(&residency, &order, at(3));
    g_free(order.adapter);
    CU_ASSERT_STRING_EQUAL(next_order(&residency, at(4)), "-b");
    CmResidency_Finish(&residency);
}

/// Many cold adapters at once: only a window of store loads is under way,
/// copies that the engine has kept go past it, and what would wait behind too
/// many loads is sent elsewhere.
static void
test_window(void)
{
    struct cm_residency residency;
    CmResidency_Init(&residency, 8);
    static const char *const kept[] = {"k"};
    report(&residency, kept, 1, at(0));
    report(&residency, NULL, 0, at(1));
    struct cm_lease leases[5];
    static const char *const names[] = {"a", "b", "c", "d", "k"};
    static const enum cm_lease_result results[] = {
        CM_LEASE_WAITING, CM_LEASE_WAITING, CM_LEASE_WAITING, CM_LEASE_PINNED,
        CM_LEASE_WAITING};
    for (size_t i = 0; i < 4; i++) {
        leases[i] = lease_for(names[i], 0);
        CU_ASSERT_EQUAL(CmResidency_Request(&residency, &leases[i], at(2)),
                        results[i]);
    }
    CU_ASSERT_STRING_EQUAL(next_order(&residency, at(2)), "+a");
    CU_ASSERT_STRING_EQUAL(next_order(&residency, at(2)), "+b");
    CU_ASSERT_STRING_EQUAL(next_order(&residency, at(2)), "");
    leases[4] = lease_for("k", 0);
    CU_ASSERT_EQUAL(CmResidency_Request(&residency, &leases[4], at(3)),
                    CM_LEASE_WAITING);
    CU_ASSERT_STRING_EQUAL(next_order(&residency, at(3)), "+k");
    CmResidency_Finish(&residency);
}

/// The window follows how long loads take.
static void
test_window_adapts(void)
{
    static const struct {
        int64_t took_ms[4];
        double window;
    } cases[] = {
        {{250, 250, 250, 250}, 3.0},
        {{250, 500, 500, 500}, 1.0},
        {{250, 330, 330, 330}, 2.25},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct cm_residency residency;
        CmResidency_Init(&residency, SLOTS);
        int64_t time = 0;
        for (size_t load = 0; load < 4; load++) {
            char name[] = {(char)('a' + load), '\0'};
            struct cm_lease lease = lease_for(name, 0);
            CmResidency_Request(&residency, &lease, at(time));
            next_order(&residency, at(time));
            time += cases[i].took_ms[load];
            const char *const here[] = {name};
            report(&residency, here, 1, at(time));
            CmResidency_Release(&residency, &lease);
        }
        CU_ASSERT_DOUBLE_EQUAL(residency.cold_window, cases[i].window, 0.01);
        CmResidency_Finish(&residency);
    }
}

/// A newer version is ordered once and waited for; nothing is granted before.
static void
test_replacement(void)
{
    struct cm_residency residency;
    CmResidency_Init(&residency, SLOTS);
    static const char *const old[] = {"a1"};
    report(&residency, old, 1, at(0));
    struct cm_lease lease = lease_for("a", 2);
    notified = 0;
    CU_ASSERT_EQUAL(CmResidency_Request(&residency, &lease, at(1)),
                    CM_LEASE_WAITING);
    CU_ASSERT_STRING_EQUAL(next_order(&residency, at(1)), "+a");
    report(&residency, old, 1, at(20));
    CU_ASSERT_STRING_EQUAL(next_order(&residency, at(21)), "");
    CU_ASSERT_EQUAL(notified, 0);
    static const char *const new[] = {"a2"};
    report(&residency, new, 1, at(300));
    CU_ASSERT_EQUAL(notified, 1);
    CmResidency_Release(&residency, &lease);
    CmResidency_Finish(&residency);
}

/// More loads are due than can be made: those whose answers can still be on
/// time go first, then those that more requests wait for.
static void
test_order_of_loads(void)
{
    static const struct {
        const char *pattern;
        int64_t on_time_ms[2]; ///< of the leases for "a" and "b"
        int leases[2];
        const char *order;
    } cases[] = {
        {"the earlier one", {800, 800}, {1, 1}, "+a"},
        {"the one that can be on time", {300, 800}, {1, 1}, "+b"},
        {"the one that more wait for", {800, 800}, {1, 2}, "+b"},
        {"on time before many", {800, 300}, {1, 2}, "+a"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct cm_residency residency;
        CmResidency_Init(&residency, SLOTS);
        struct cm_lease leases[4];
        size_t n = 0;
        for (size_t k = 0; k < 2; k++) {
            for (int l = 0; l < cases[i].leases[k]; l++) {
                leases[n] = lease_for(k == 0 ? "a" : "b", 0);
                leases[n].on_time_ms = cases[i].on_time_ms[k];
                CmResidency_Request(&residency, &leases[n], at((int64_t)n));
                n++;
            }
        }
        CU_ASSERT_STRING_EQUAL(next_order(&residency, at(200)),
                               cases[i].order);
        CmResidency_Finish(&residency);
    }
}

/// In a full engine another adapter makes room for the newer version first,
/// and nothing else is loaded beside both.
static void
test_replacement_in_full_engine(void)
{
    struct cm_residency residency;
    CmResidency_Init(&residency, SLOTS);
    static const char *const full[] = {"a1", "b", "c"};
    report(&residency, full, 3, at(0));
    struct cm_lease newer = lease_for("a", 2);
    CmResidency_Request(&residency, &newer, at(1));
    CU_ASSERT_STRING_EQUAL(next_order(&residency, at(1)), "-c");
    CU_ASSERT_STRING_EQUAL(next_order(&residency, at(2)), "+a");
    struct cm_lease other = lease_for("d", 0);
    CmResidency_Request(&residency, &other, at(3));
    CU_ASSERT_STRING_EQUAL(next_order(&residency, at(3)), "-b");
    CU_ASSERT_STRING_EQUAL(next_order(&residency, at(4)), "+d");
    CmResidency_Finish(&residency);
}

/// The engine reports both versions while the newer one is in transit: both
/// count, and the older one still serves.
static void
test_both_versions_reported(void)
{
    struct cm_residency residency;
    CmResidency_Init(&residency, SLOTS);
    static const char *const both[] = {"a1", "b", "a2+"};
    report(&residency, both, 3, at(0));
    struct cm_lease older = lease_for("a", 1);
    CU_ASSERT_EQUAL(CmResidency_Request(&residency, &older, at(1)),
                    CM_LEASE_GRANTED);
    CmResidency_Release(&residency, &older);
    struct cm_lease other = lease_for("d", 0);
    CmResidency_Request(&residency, &other, at(2));
    CU_ASSERT_STRING_EQUAL(next_order(&residency, at(2)), "-b");
    CU_ASSERT_STRING_EQUAL(next_order(&residency, at(3)), "+d");
    CmResidency_Finish(&residency);
}

/// With one slot, the older version makes room itself.
static void
test_replacement_in_one_slot(void)
{
    struct cm_residency residency;
    CmResidency_Init(&residency, 1);
    static const char *const full[] = {"a1"};
    report(&residency, full, 1, at(0));
    struct cm_lease newer = lease_for("a", 2);
    CmResidency_Request(&residency, &newer, at(1));
    CU_ASSERT_STRING_EQUAL(next_order(&residency, at(1)), "-a");
    CU_ASSERT_STRING_EQUAL(next_order(&residency, at(2)), "+a");
    CmResidency_Finish(&residency);
}

/// Leases of urgent requests go before others.
static void
test_priority(void)
{
    struct cm_residency residency;
    CmResidency_Init(&residency, 1);
    struct cm_lease low = lease_for("a", 0);
    low.priority = 1;
    struct cm_lease high = lease_for("b", 0);
    CmResidency_Request(&residency, &low, at(0));
    CmResidency_Request(&residency, &high, at(1));
    CU_ASSERT_STRING_EQUAL(next_order(&residency, at(2)), "+b");
    CmResidency_Finish(&residency);
}

#define RUN_ADAPTERS 12
#define RUN_LEASES 40

/// An engine in the small: what it holds and what is on its way.
struct fake_engine {
    char held[SLOTS];
    int64_t ready_at[SLOTS]; ///< -1 if it is there
    size_t count;
};

static void
carry_out(struct fake_engine *engine, const struct cm_residency_order *order,
          int64_t now)
{
    char name = order->adapter[0];
    size_t i = 0;
    while (i < engine->count && engine->held[i] != name) {
        i++;
    }
    if (order->load) {
        CU_ASSERT_EQUAL(i, engine->count);
        CU_ASSERT_FATAL(engine->count < SLOTS);
        engine->held[engine->count] = name;
        engine->ready_at[engine->count++] = now + 100;
        return;
    }
    CU_ASSERT_FATAL(i < engine->count);
    engine->held[i] = engine->held[--engine->count];
    engine->ready_at[i] = engine->ready_at[engine->count];
}

static void
report_engine(struct cm_residency *residency, struct fake_engine *engine,
              int64_t now)
{
    CmResidency_BeginReport(residency);
    for (size_t i = 0; i < engine->count; i++) {
        char name[] = {engine->held[i], '\0'};
        CmResidency_ReportAdapter(residency, name, 1,
                                  engine->ready_at[i] > now, at(now));
    }
    CmResidency_EndReport(residency, at(now));
}

/// A random run: the engine is never told to hold more than it can, a pinned
/// adapter is never unloaded, and every lease that waits is granted.
static void
test_random_run(void)
{
    for (guint32 seed = 1; seed <= 20; seed++) {
        GRand *random = g_rand_new_with_seed(seed);
        struct cm_residency residency;
        CmResidency_Init(&residency, SLOTS);
        struct fake_engine engine = {0};
        struct cm_lease leases[RUN_LEASES];
        char names[RUN_LEASES][2];
        int64_t until[RUN_LEASES];
        bool active[RUN_LEASES] = {false};
        for (int64_t now = 0; now < 60000; now += 20) {
            int i = g_rand_int_range(random, 0, RUN_LEASES);
            if (!active[i] && now < 50000) {
                names[i][0] =
                    (char)('a' + g_rand_int_range(random, 0, RUN_ADAPTERS));
                names[i][1] = '\0';
                leases[i] = lease_for(names[i], 0);
                active[i] = CmResidency_Request(&residency, &leases[i],
                                                at(now)) != CM_LEASE_PINNED;
                until[i] = now + g_rand_int_range(random, 20, 400);
            }
            struct cm_residency_order order;
            while (CmResidency_NextOrder(&residency, at(now), &order)) {
                carry_out(&engine, &order, now);
                CmResidency_OrderAccepted(&residency, &order, !order.load,
                                          at(now));
                for (int l = 0; l < RUN_LEASES; l++) {
                    CU_ASSERT(order.load || !active[l] || !leases[l].granted ||
                              strcmp(names[l], order.adapter) != 0);
                }
                g_free(order.adapter);
            }
            report_engine(&residency, &engine, now);
            for (int l = 0; l < RUN_LEASES; l++) {
                if (active[l] && leases[l].granted && now >= until[l]) {
                    CmResidency_Release(&residency, &leases[l]);
                    active[l] = false;
                }
            }
        }
        CU_ASSERT_EQUAL(CmResidency_WaitingLeases(&residency), 0);
        CmResidency_Finish(&residency);
        g_rand_free(random);
    }
}

static void
test_messages(void)
{
    struct cm_lease_request ask = {.id = "r1",
                                   .gateway = "g",
                                   .target = "i-1",
                                   .model = "m",
                                   .adapter = "m/a",
                                   .version = 2,
                                   .wait_ms = 300};
    char *text = CmLeaseRequest_Encode(&ask);
    struct cm_lease_request read;
    CU_ASSERT_FATAL(CmLeaseRequest_Decode(&read, text, strlen(text)));
    CU_ASSERT_STRING_EQUAL(read.adapter, "m/a");
    CU_ASSERT_STRING_EQUAL(read.target, "i-1");
    CU_ASSERT_EQUAL(read.wait_ms, 300);
    CmLeaseRequest_Finish(&read);
    free(text);
    struct cm_lease_reply reply = {CM_LEASE_OUTCOME_LATE, 1, 0, 2, 3, 4, 5, 6};
    text = CmLeaseReply_Encode(&reply);
    struct cm_lease_reply answer = {0};
    CU_ASSERT_FATAL(CmLeaseReply_Decode(&answer, text, strlen(text)));
    // Member by member: the bytes between them are not defined.
    CU_ASSERT_EQUAL(answer.outcome, reply.outcome);
    CU_ASSERT_EQUAL(answer.version, reply.version);
    CU_ASSERT_EQUAL(answer.lacks_model, reply.lacks_model);
    CU_ASSERT_EQUAL(answer.slot_wait_ms, reply.slot_wait_ms);
    CU_ASSERT_EQUAL(answer.backlog_ms, reply.backlog_ms);
    CU_ASSERT_EQUAL(answer.gateways, reply.gateways);
    CU_ASSERT_EQUAL(answer.running, reply.running);
    CU_ASSERT_EQUAL(answer.waiting, reply.waiting);
    free(text);
    static const char *const broken[] = {"", "{}", "[1]", "{\"id\": 3}",
                                         "{\"outcome\": \"perhaps\"}"};
    for (size_t i = 0; i < G_N_ELEMENTS(broken); i++) {
        CU_ASSERT_FALSE(
            CmLeaseRequest_Decode(&read, broken[i], strlen(broken[i])));
        CU_ASSERT_FALSE(
            CmLeaseReply_Decode(&answer, broken[i], strlen(broken[i])));
    }
}

static const struct cm_test tests[] = {
    {"what is ahead of a load", test_ahead},
    {"granted when loaded", test_grant_when_loaded},
    {"who makes room", test_victim},
    {"who will not make room", test_refused_victim},
    {"window of store loads", test_window},
    {"window adapts", test_window_adapts},
    {"replacement", test_replacement},
    {"replacement in a full engine", test_replacement_in_full_engine},
    {"both versions reported", test_both_versions_reported},
    {"replacement in one slot", test_replacement_in_one_slot},
    {"order of loads", test_order_of_loads},
    {"priority", test_priority},
    {"random run", test_random_run},
    {"messages", test_messages},
};

CM_TEST_MAIN("residency", tests)
