/// @file traffic.c
/// Link traffic as metrics.

#include "link/traffic.h"

#include "base/counter.h"

void
CmLinkTraffic_WriteMetrics(const struct cm_link_traffic *traffic, GString *out)
{
    CmCounters_WriteValue(out, "cm_link_sent_messages_total",
                          "Messages sent over links.", false,
                          traffic->sent_messages);
    CmCounters_WriteValue(out, "cm_link_sent_bytes_total",
                          "Bytes of those messages.", false,
                          traffic->sent_bytes);
    CmCounters_WriteValue(out, "cm_link_received_messages_total",
                          "Messages received over links.", false,
                          traffic->received_messages);
    CmCounters_WriteValue(out, "cm_link_received_bytes_total",
                          "Bytes of those messages.", false,
                          traffic->received_bytes);
    CmCounters_WriteValue(out, "cm_link_bad_frames_total",
                          "Messages dropped as malformed.", false,
                          traffic->bad_frames);
}
