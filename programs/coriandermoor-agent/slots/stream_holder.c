/// @file stream_holder.c
/// Answers the datagrams of gateways: keeps the records that they send,
/// answers their lookups, and introduces them to each other.

#include "stream_holder.h"

#include "streams/message.h"

static void
answer_lookup(struct slots *slots, const char *address, const char *id)
{
    struct timespec now = Slots_Now(slots);
    const struct cm_stream_entry *entry =
        CmStreamRecords_Find(&slots->stream_records, id, now);
    struct cm_stream_message answer = {.kind = CM_STREAM_UNKNOWN};
    g_strlcpy(answer.record.id, id, sizeof(answer.record.id));
    if (entry != NULL) {
        answer.kind = CM_STREAM_KNOWN;
        answer.record = entry->record;
        answer.age_ms = CmTime_DiffMs(now, entry->renewed_at);
    }
    char data[CM_STREAM_MESSAGE_MAX];
    size_t size = CmStreamMessage_Encode(&answer, data);
    CmDatagramPort_Send(&slots->stream_port, address, data, size);
    slots->stream_lookups.value++;
}

static void
introduce(struct slots *slots, const char *address, const char *data,
          size_t size)
{
    struct cm_introduction introduction;
    struct cm_introduction answer;
    char text[CM_INTRODUCTION_MAX];
    if (!CmIntroduction_Decode(&introduction, data, size)) {
        return;
    }
    CmIntroducer_Answer(&slots->introducer, &introduction, &answer);
    if (answer.n > 0) {
        CmDatagramPort_Send(&slots->stream_port, address, text,
                            CmIntroduction_Encode(&answer, text));
    }
    slots->introductions.value++;
}

static void
on_datagram(void *context, const char *address, const char *data, size_t size)
{
    struct slots *slots = context;
    if (size > 0 && data[0] == CM_INTRODUCTION_MARK) {
        introduce(slots, address, data, size);
        return;
    }
    struct cm_stream_message message;
    if (!CmStreamMessage_Decode(&message, data, size)) {
        return;
    }
    if (message.kind == CM_STREAM_KEEP) {
        CmStreamRecords_Keep(&slots->stream_records, &message.record,
                             Slots_Now(slots));
    }
    else if (message.kind == CM_STREAM_ASK) {
        answer_lookup(slots, address, message.record.id);
    }
}

void
StreamHolder_Init(struct slots *slots)
{
    slots->stream_port.fd = -1;
    CmStreamRecords_Init(&slots->stream_records);
    CmIntroducer_Init(&slots->introducer, slots->clock);
    CmCounters_Add(&slots->counters, &slots->introductions,
                   "cm_agent_introductions_total",
                   "Introductions of gateways that this agent answered.");
    CmCounters_Add(&slots->counters, &slots->stream_lookups,
                   "cm_agent_stream_lookups_total",
                   "Lookups of streams that gateways asked for.");
}

gboolean
StreamHolder_Listen(struct slots *slots, GError **error)
{
    return CmDatagramPort_Init(&slots->stream_port, slots->base,
                               slots->settings.listen, on_datagram, slots,
                               error);
}

void
StreamHolder_Expire(struct slots *slots)
{
    CmStreamRecords_Expire(&slots->stream_records, Slots_Now(slots));
}

void
StreamHolder_Finish(struct slots *slots)
{
    CmDatagramPort_Finish(&slots->stream_port);
    CmIntroducer_Finish(&slots->introducer);
    CmStreamRecords_Finish(&slots->stream_records);
}
