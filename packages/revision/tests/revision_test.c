/// @file revision_test.c
/// Revisions: chunks, the head, submissions under faults.

#include "revision/revisions.h"

#include <string.h>

#include "cm_test.h"
#include "fake_objects.h"

#define CLIENTS 2

static char *
make_text(int lines, int changed)
{
    GString *text = g_string_new(NULL);
    for (int i = 0; i < lines; i++) {
        g_string_append_printf(text, "  - {name: adapter-%05d, version: %d}\n",
                               i, i == changed ? 2 : 1);
    }
    return g_string_free(text, FALSE);
}

static void
test_chunks_cover_text(void)
{
    static const int lines[] = {0, 1, 10, 1000, 30000};
    for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
        char *text = make_text(lines[i], -1);
        struct cm_chunks chunks;
        CmChunks_Init(&chunks, text, strlen(text));
        size_t end = 0;
        for (size_t j = 0; j < chunks.n; j++) {
            CU_ASSERT_EQUAL(chunks.items[j].offset, end);
            CU_ASSERT_TRUE(chunks.items[j].size <= CM_CHUNK_MAX_BYTES);
            end += chunks.items[j].size;
        }
        CU_ASSERT_EQUAL(end, strlen(text));
        CmChunks_Finish(&chunks);
        g_free(text);
    }
}

/// A one-line change makes one or two new chunks.
static void
test_small_change_small_write(void)
{
    char *before = make_text(24000, -1);
    char *after = make_text(24000, 12345);
    struct cm_chunks old_chunks;
    struct cm_chunks new_chunks;
    CmChunks_Init(&old_chunks, before, strlen(before));
    CmChunks_Init(&new_chunks, after, strlen(after));
    size_t fresh = 0;
    for (size_t i = 0; i < new_chunks.n; i++) {
        bool found = false;
        for (size_t j = 0; j < old_chunks.n && !found; j++) {
            found = strcmp(old_chunks.items[j].digest,
                           new_chunks.items[i].digest) == 0;
        }
        fresh += !found;
    }
    CU_ASSERT_TRUE(fresh >= 1 && fresh <= 2);
    CmChunks_Finish(&old_chunks);
    CmChunks_Finish(&new_chunks);
    g_free(before);
    g_free(after);
}

struct bench {
    struct event_base *base;
    struct fake_store store;
    struct fake_objects objects[CLIENTS];
    struct cm_revisions revisions[CLIENTS];
    uint64_t highest[CLIENTS];
    bool went_down;
};

struct taker {
    struct bench *bench;
    int client;
};

static struct taker takers[CLIENTS];

static bool
on_arrived(void *context, uint64_t revision, const char *text, size_t size)
{
    struct taker *taker = context;
    struct bench *bench = taker->bench;
    if (strstr(text, "unsound") != NULL) {
        return false;
    }
    bench->went_down |= revision <= bench->highest[taker->client];
    bench->highest[taker->client] = revision;
    return true;
}

static void
bench_init(struct bench *bench)
{
    memset(bench, 0, sizeof(*bench));
    bench->base = event_base_new();
    FakeStore_Init(&bench->store);
    for (int i = 0; i < CLIENTS; i++) {
        takers[i] = (struct taker){bench, i};
        FakeObjects_Init(&bench->objects[i], &bench->store);
        CmRevisions_Init(&bench->revisions[i], &bench->objects[i].base,
                         bench->base, on_arrived, &takers[i]);
    }
}

static void
bench_finish(struct bench *bench)
{
    for (int i = 0; i < CLIENTS; i++) {
        CmRevisions_Finish(&bench->revisions[i]);
        FakeObjects_Finish(&bench->objects[i]);
    }
    FakeStore_Finish(&bench->store);
    event_base_free(bench->base);
}

/// Shows the watch of a client the present head.
static void
show_head(struct bench *bench, int client)
{
    json_t *head =
        g_hash_table_lookup(bench->store.objects, "configheads/current");
    struct cm_object_watch *watch = bench->objects[client].watch;
    if (head != NULL && watch != NULL) {
        watch->event(watch->context, "MODIFIED", head);
    }
}

static void
settle(struct bench *bench)
{
    bool more = true;
    while (more) {
        more = false;
        for (int i = 0; i < CLIENTS; i++) {
            more |= FakeObjects_CompleteNext(&bench->objects[i]);
        }
        bool waits = bench->revisions[0].submit != NULL ||
                     bench->revisions[1].submit != NULL;
        if (!more && waits) {
            event_base_loop(bench->base, EVLOOP_ONCE); // the next retry
            more = true;
        }
    }
}

struct told {
    int count;
    enum cm_submit_result result;
    uint64_t revision;
};

static void
on_submitted(void *context, enum cm_submit_result result, uint64_t revision)
{
    struct told *told = context;
    told->count++;
    told->result = result;
    told->revision = revision;
}

static void
submit(struct bench *bench, int client, const char *text, uint64_t base,
       struct told *told)
{
    CmRevisions_Submit(&bench->revisions[client], text, strlen(text), base,
                       false, on_submitted, told);
}

static void
test_submit_under_faults(void)
{
    for (int fault = FAKE_NO_FAULT; fault <= FAKE_CONNECTION_REFUSED;
         fault++) {
        for (int skip = 0; skip < 3; skip++) {
            struct bench bench;
            bench_init(&bench);
            settle(&bench);
            struct told told = {0};
            submit(&bench, 0, "first: text\n", 0, &told);
            for (int i = 0; i < skip; i++) {
                FakeObjects_CompleteNext(&bench.objects[0]);
            }
            bench.objects[0].fault = (enum fake_fault)fault;
            bench.objects[0].faults_left = 1;
            settle(&bench);
            CU_ASSERT_EQUAL(told.count, 1);
            CU_ASSERT_EQUAL(told.result, CM_SUBMIT_ACCEPTED);
            CU_ASSERT_EQUAL(told.revision, 1);
            CU_ASSERT_EQUAL(bench.revisions[0].revision, 1);
            show_head(&bench, 1);
            settle(&bench);
            CU_ASSERT_EQUAL(bench.revisions[1].revision, 1);
            CU_ASSERT_STRING_EQUAL(bench.revisions[1].text, "first: text\n");
            bench_finish(&bench);
        }
    }
}

/// Two operators race from one revision, with lost answers: one is accepted,
/// the other one is told of the conflict.
static void
test_conflicting_submits(void)
{
    for (int faulty = 0; faulty < 4; faulty++) {
        struct bench bench;
        bench_init(&bench);
        settle(&bench);
        bench.objects[0].fault = FAKE_RESPONSE_LOST;
        bench.objects[0].faults_left = faulty;
        struct told told[CLIENTS] = {{0}};
        submit(&bench, 0, "text: a\n", 0, &told[0]);
        submit(&bench, 1, "text: b\n", 0, &told[1]);
        settle(&bench);
        int accepted = (told[0].result == CM_SUBMIT_ACCEPTED) +
                       (told[1].result == CM_SUBMIT_ACCEPTED);
        CU_ASSERT_EQUAL(told[0].count + told[1].count, 2);
        CU_ASSERT_EQUAL(accepted, 1);
        show_head(&bench, 0);
        show_head(&bench, 1);
        settle(&bench);
        CU_ASSERT_STRING_EQUAL(bench.revisions[0].text,
                               bench.revisions[1].text);
        CU_ASSERT_FALSE(bench.went_down);
        bench_finish(&bench);
    }
}

/// The text that is in force makes no new revision.
static void
test_same_text_again(void)
{
    struct bench bench;
    bench_init(&bench);
    settle(&bench);
    struct told told[2] = {{0}};
    submit(&bench, 0, "text: a\n", 0, &told[0]);
    settle(&bench);
    submit(&bench, 0, "text: a\n", 1, &told[1]);
    settle(&bench);
    CU_ASSERT_EQUAL(told[1].result, CM_SUBMIT_ACCEPTED);
    CU_ASSERT_EQUAL(told[1].revision, 1);
    CU_ASSERT_EQUAL(bench.revisions[0].revision, 1);
    bench_finish(&bench);
}

static void
test_never_goes_back(void)
{
    struct bench bench;
    bench_init(&bench);
    settle(&bench);
    static const struct {
        uint64_t revision;
        const char *text;
        bool taken;
    } offers[] = {{3, "three\n", true},
                  {2, "two\n", false},
                  {3, "again\n", false},
                  {9, "unsound\n", false},
                  {4, "four\n", true}};
    for (size_t i = 0; i < G_N_ELEMENTS(offers); i++) {
        CU_ASSERT_EQUAL(
            CmRevisions_ApplyIfNewer(&bench.revisions[0], offers[i].revision,
                                     offers[i].text, strlen(offers[i].text)),
            offers[i].taken);
    }
    CU_ASSERT_EQUAL(bench.revisions[0].revision, 4);
    CU_ASSERT_FALSE(bench.went_down);
    bench_finish(&bench);
}

static void
test_damaged_heads(void)
{
    static const char *const heads[] = {
        "{}",
        "{\"format\":2,\"revision\":5,\"digest\":\"x\",\"chunks\":[]}",
        "{\"format\":1,\"revision\":0,\"digest\":\"x\",\"chunks\":[]}",
        "{\"format\":1,\"revision\":5,\"digest\":\"x\",\"chunks\":[\"s\"]}",
        "{\"format\":1,\"revision\":5,\"digest\":\"x\",\"chunks\":[7]}",
        "{\"format\":1,\"revision\":5,\"chunks\":[]}",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(heads); i++) {
        json_t *spec = json_loads(heads[i], 0, NULL);
        struct cm_config_head head;
        CU_ASSERT_FALSE(CmConfigHead_Init(&head, spec));
        CmConfigHead_Finish(&head);
        json_decref(spec);
    }
}

static void
test_head_tokens_and_garbage(void)
{
    json_t *previous = NULL;
    size_t garbage_seen = 0;
    for (int i = 0; i < 2 * CM_HEAD_RETENTION_REVISIONS; i++) {
        char text[16];
        char token[16];
        g_snprintf(text, sizeof(text), "text %d\n", i);
        g_snprintf(token, sizeof(token), "token %d", i);
        struct cm_chunks chunks;
        CmChunks_Init(&chunks, text, strlen(text));
        json_t *next = CmConfigHead_NextSpec(previous, &chunks, text,
                                             strlen(text), token);
        CU_ASSERT_EQUAL(CmConfigHead_FindToken(next, token), (uint64_t)i + 1);
        CU_ASSERT_EQUAL(CmConfigHead_FindToken(next, "token none"), 0);
        GPtrArray *garbage = CmConfigHead_ListExpiredChunks(previous, next);
        garbage_seen += garbage->len;
        g_ptr_array_free(garbage, TRUE);
        CmChunks_Finish(&chunks);
        json_decref(previous);
        previous = next;
    }
    CU_ASSERT_TRUE(garbage_seen > 0 && garbage_seen < 64);
    json_decref(previous);
}

static const struct cm_test tests[] = {
    {"chunks cover the text", test_chunks_cover_text},
    {"small change, small write", test_small_change_small_write},
    {"submit under faults", test_submit_under_faults},
    {"conflicting submits", test_conflicting_submits},
    {"same text again", test_same_text_again},
    {"never goes back", test_never_goes_back},
    {"damaged heads", test_damaged_heads},
    {"head tokens and garbage", test_head_tokens_and_garbage},
};

CM_TEST_MAIN("revision", tests)
