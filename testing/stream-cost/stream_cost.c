/// @file stream_cost.c
/// Measures what keeping the record of a stream costs: the choice of its
/// holders among 5,400 engines, its datagrams over loopback, and its place in
/// the table of a holder.

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "dispatch/targets.h"
#include "streams/datagram_port.h"
#include "streams/holders.h"
#include "streams/message.h"

#define ENGINES 5400
#define RECORDS 60000
#define PORT 9000
#define US_PER_S 1e6

static void
ignore(void *context, const char *address, const char *data, size_t size)
{
}

static void
add_engines(struct cm_targets *targets)
{
    for (int i = 0; i < ENGINES; i++) {
        char id[32];
        char address[32];
        g_snprintf(id, sizeof(id), "i-%010x", i);
        g_snprintf(address, sizeof(address), "10.%d.%d.%d:8100", i / 60000,
                   i / 250, i % 250);
        struct cm_target_info info = {.id = id,
                                      .service = "model-servers",
                                      .address = address,
                                      .zone = "a",
                                      .software = "v1.1",
                                      .max_requests = 64,
                                      .is_engine = true};
        CmTargets_Update(targets, &info);
    }
}

static struct cm_stream_message
message_of(int i)
{
    struct cm_stream_message message = {
        .kind = CM_STREAM_KEEP,
        .record = {.service = "model-servers", .software = "v1.1"}};
    g_snprintf(message.record.id, sizeof(message.record.id), "%016x", i);
    return message;
}

static double
us_each(struct timespec start)
{
    return CmTime_DiffS(CmClock_Now(CmClock_System()), start) * US_PER_S /
           RECORDS;
}

static void
measure_gateway(void)
{
    struct cm_targets targets;
    CmTargets_Init(&targets, "a", PORT);
    add_engines(&targets);
    struct event_base *base = event_base_new();
    struct cm_datagram_port port;
    struct cm_datagram_port holder;
    GError *error = NULL;
    if (!CmDatagramPort_Init(&port, base, "127.0.0.1", ignore, NULL, &error) ||
        !CmDatagramPort_Init(&holder, base, "127.0.0.1:23999", ignore, NULL,
                             &error)) {
        fprintf(stderr, "stream-cost: %s\n", error->message);
        exit(EXIT_FAILURE);
    }
    size_t bytes = 0;
    struct timespec start = CmClock_Now(CmClock_System());
    for (int i = 0; i < RECORDS; i++) {
        struct cm_stream_message message = message_of(i);
        const char *holders[CM_STREAM_HOLDERS];
        size_t n = CmStreamHolders_Choose(&targets, message.record.id,
                                          CM_STREAM_HOLDERS, holders);
        for (size_t j = 0; j < n; j++) {
            char data[CM_STREAM_MESSAGE_MAX];
            size_t size = CmStreamMessage_Encode(&message, data);
            CmDatagramPort_Send(&port, "127.0.0.1:23999", data, size);
            bytes += size;
        }
    }
    printf("gateway: %.2f us and %zu bytes for each record at %d of %d "
           "agents\n",
           us_each(start), bytes / RECORDS, CM_STREAM_HOLDERS, ENGINES);
    CmDatagramPort_Finish(&port);
    CmDatagramPort_Finish(&holder);
    event_base_free(base);
    CmTargets_Finish(&targets);
}

static void
measure_holder(void)
{
    struct cm_stream_records records;
    CmStreamRecords_Init(&records);
    struct timespec now = CmClock_Now(CmClock_System());
    size_t before = mallinfo2().uordblks;
    struct timespec start = now;
    for (int i = 0; i < RECORDS; i++) {
        struct cm_stream_message sent = message_of(i);
        char data[CM_STREAM_MESSAGE_MAX];
        size_t size = CmStreamMessage_Encode(&sent, data);
        struct cm_stream_message read;
        if (CmStreamMessage_Decode(&read, data, size)) {
            CmStreamRecords_Keep(&records, &read.record, now);
        }
    }
    printf("agent: %.2f us and %zu bytes of memory for each record\n",
           us_each(start), (mallinfo2().uordblks - before) / RECORDS);
    CmStreamRecords_Finish(&records);
}

int
main(void)
{
    measure_gateway();
    measure_holder();
    return EXIT_SUCCESS;
}
