/// @file writer.c
/// Composition of HTTP/1.1 messages; header values are not validated.

#include "h1/writer.h"

#include <http_parser.h>

#include "h1/conn.h"

void
CmH1Writer_Request(GString *out, const char *method, const char *target)
{
    g_string_append(out, method);
    g_string_append_c(out, ' ');
    g_string_append(out, target);
    g_string_append(out, " HTTP/1.1\r\n");
}

void
CmH1Writer_Response(GString *out, int status)
{
    g_string_append_printf(out, "HTTP/1.1 %d %s\r\n", status,
                           http_status_str((enum http_status)status));
}

void
CmH1Writer_Header(GString *out, const char *name, const char *value)
{
    g_string_append(out, name);
    g_string_append(out, ": ");
    g_string_append(out, value);
    g_string_append(out, "\r\n");
}

void
CmH1Writer_NumberHeader(GString *out, const char *name, gint64 value)
{
    g_string_append_printf(out, "%s: %" G_GINT64_FORMAT "\r\n", name, value);
}

void
CmH1Writer_CallId(GString *out, uint64_t id)
{
    g_string_append_printf(out, CM_H1_CALL_ID ": %" G_GUINT64_FORMAT "\r\n",
                           (guint64)id);
}

void
CmH1Writer_RepeatCallId(GString *out, const struct cm_h1_head *request)
{
    const char *id = CmH1Head_Find(request, CM_H1_CALL_ID);
    if (id != NULL) {
        CmH1Writer_Header(out, CM_H1_CALL_ID, id);
    }
}

void
CmH1Writer_Body(GString *out, const void *body, gsize size)
{
    CmH1Writer_NumberHeader(out, "Content-Length", (gint64)size);
    g_string_append(out, "\r\n");
    if (size > 0) {
        g_string_append_len(out, body, (gssize)size);
    }
}

void
CmH1Writer_StartChunks(GString *out)
{
    g_string_append(out, "Transfer-Encoding: chunked\r\n\r\n");
}

void
CmH1Writer_Chunk(GString *out, const void *data, gsize size)
{
    if (size == 0) {
        return;
    }
    g_string_append_printf(out, "%zx\r\n", size);
    g_string_append_len(out, data, (gssize)size);
    g_string_append(out, "\r\n");
}

void
CmH1Writer_EndChunks(GString *out)
{
    g_string_append(out, "0\r\n\r\n");
}
