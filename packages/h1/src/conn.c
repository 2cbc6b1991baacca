/// @file conn.c
/// HTTP/1.1 connection over a bufferevent and http-parser.

#include "h1/conn.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include "base/clock.h"
#include "base/list.h"
#include "h1/output.h"

/// Socket and parser of a connection. While the parser runs, this outlives the
/// handle `struct cm_h1_conn`, as a callback may finish the connection.
struct cm_h1_io {
    struct cm_h1_conn *conn; ///< NULL once finished
    struct bufferevent *bev;
    struct cm_h1_output output;
    bool watches_output; ///< `output` is in use
    uint64_t flushed;    ///< bytes that the peer had taken when last looked at
    http_parser parser;
    struct cm_h1_head head;
    bool connecting;
    bool parsing;
    bool message_begun; ///< a byte of the current message has been read
    bool message_done;  ///< the current message has been read
    bool awaits_write;  ///< input is parsed once all output is written
    bool no_body;       ///< the response is to a HEAD request
    bool in_value;      ///< the parser is inside a header value
    /// The header section is complete: trailer fields that follow the body are
    /// ignored, as they would pass for header fields.
    bool head_done;
    int informational; ///< 1xx responses before the one being read
    bool read_ended;   ///< the peer sends no more
    bool lost;         ///< reset, or lost otherwise
    bool flush_output; ///< once finished, write the output before closing
    size_t header_bytes;
    TAILQ_ENTRY(cm_h1_io) link; ///< in `detached`
    bool is_detached;
    bool counts_as_flushing;
    size_t linger_bytes;        ///< read since the connection was finished
    struct event *linger_timer; ///< once all output is written
};

/// Write timeout for the last output of a finished connection.
#define FLUSH_TIMEOUT_S 5
/// Memory of a head that is kept for the next one.
#define HEAD_KEPT_BYTES ((gsize)4096)
/// Finished connections of all ports that wait for their peers to end, too.
#define LINGERING_MAX 100
/// Output is copied in blocks of this size, as the memory of a block is freed
/// once all of it is written.
#define BLOCK_BYTES ((size_t)64 * 1024)

/// Finished connections of this process that are still open.
static TAILQ_HEAD(, cm_h1_io) detached = TAILQ_HEAD_INITIALIZER(detached);
static size_t n_detached;
static size_t n_flushing;

static struct cm_h1_io *
io_from_parser(http_parser *parser)
{
    return parser->data;
}

static GString *
new_text(GString *former)
{
    g_string_free(former, TRUE);
    return g_string_new(NULL);
}

/// Frees the memory of a head that was longer than usual.
static void
shrink_head(struct cm_h1_io *io)
{
    struct cm_h1_head *head = &io->head;
    if (head->target->allocated_len + head->text->allocated_len +
            head->fields->len * sizeof(struct cm_h1_field) <=
        HEAD_KEPT_BYTES) {
        return;
    }
    head->target = new_text(head->target);
    head->text = new_text(head->text);
    g_array_free(head->fields, TRUE);
    head->fields = g_array_new(FALSE, FALSE, sizeof(struct cm_h1_field));
}

static void
reset_head(struct cm_h1_io *io)
{
    g_string_truncate(io->head.target, 0);
    g_string_truncate(io->head.text, 0);
    g_array_set_size(io->head.fields, 0);
    io->head.status = 0;
    io->head.method = NULL;
    io->in_value = false;
    io->head_done = false;
    io->header_bytes = 0;
}

static int
on_message_begin(http_parser *parser)
{
    struct cm_h1_io *io = io_from_parser(parser);
    reset_head(io);
    io->message_begun = true;
    if (io->conn->handler->begin != NULL) {
        io->conn->handler->begin(io->conn->context);
    }
    return io->conn == NULL;
}

/// Counts `size` bytes against the limit of the header section.
/// @return whether the limit still holds.
static bool
count_header_bytes(struct cm_h1_io *io, size_t size)
{
    io->header_bytes += size;
    return io->header_bytes <= CM_H1_HEADER_MAX_BYTES;
}

static int
on_url(http_parser *parser, const char *data, size_t size)
{
    struct cm_h1_io *io = io_from_parser(parser);
    g_string_append_len(io->head.target, data, (gssize)size);
    return !count_header_bytes(io, size);
}

/// Ends a field's name or value. Spaces after a value don't belong to it, and
/// http-parser removes just those before it.
static void
terminate_text(struct cm_h1_io *io)
{
    if (io->in_value) {
        GString *text = io->head.text;
        size_t begin = g_array_index(io->head.fields, struct cm_h1_field,
                                     io->head.fields->len - 1)
                           .value;
        while (text->len > begin && (text->str[text->len - 1] == ' ' ||
                                     text->str[text->len - 1] == '\t')) {
            g_string_truncate(text, text->len - 1);
        }
    }
    g_string_append_c(io->head.text, '\0');
}

static int
on_header_field(http_parser *parser, const char *data, size_t size)
{
    struct cm_h1_io *io = io_from_parser(parser);
    if (io->head_done) {
        return !count_header_bytes(io, size);
    }
    if (io->in_value || io->head.fields->len == 0) {
        if (io->in_value) {
            terminate_text(io);
        }
        struct cm_h1_field field = {(uint32_t)io->head.text->len, 0};
        g_array_append_val(io->head.fields, field);
        io->in_value = false;
    }
    g_string_append_len(io->head.text, data, (gssize)size);
    return !count_header_bytes(io, size);
}

static int
on_header_value(http_parser *parser, const char *data, size_t size)
{
    struct cm_h1_io *io = io_from_parser(parser);
    if (io->head_done) {
        return !count_header_bytes(io, size);
    }
    if (!io->in_value) {
        terminate_text(io);
        struct cm_h1_field *field = &g_array_index(
            io->head.fields, struct cm_h1_field, io->head.fields->len - 1);
        field->value = (uint32_t)io->head.text->len;
        io->in_value = true;
    }
    g_string_append_len(io->head.text, data, (gssize)size);
    return !count_header_bytes(io, size);
}

#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304

/// @return whether the message has no body, whatever its header names.
/// http-parser would read one that a length or a transfer coding names.
static bool
has_no_body(const struct cm_h1_io *io)
{
    const http_parser *parser = &io->parser;
    return io->no_body || (parser->type == HTTP_RESPONSE &&
                           (parser->status_code / 100 == 1 ||
                            parser->status_code == STATUS_NO_CONTENT ||
                            parser->status_code == STATUS_NOT_MODIFIED));
}

/// @return whether the message itself determines the end of its body, so that
/// it does not end by a close of the connection.
static bool
is_self_delimited(const struct cm_h1_io *io)
{
    const http_parser *parser = &io->parser;
    return parser->type == HTTP_REQUEST || has_no_body(io) ||
           (parser->flags & (F_CHUNKED | F_CONTENTLENGTH)) != 0;
}

/// Guards against request smuggling: http-parser accepts spaces in header
/// names, which other parsers read as a different header.
static bool
has_space_in_name(const struct cm_h1_head *head)
{
    for (size_t i = 0; i < CmH1Head_Count(head); i++) {
        const char *value;
        if (strpbrk(CmH1Head_Field(head, i, &value), " \t") != NULL) {
            return true;
        }
    }
    return false;
}

static int
on_headers_complete(http_parser *parser)
{
    struct cm_h1_io *io = io_from_parser(parser);
    if (io->in_value) {
        terminate_text(io);
        io->in_value = false;
    }
    io->head_done = true;
    if (has_space_in_name(&io->head)) {
        return -1;
    }
    io->head.status = parser->status_code;
    io->head.method = http_method_str((enum http_method)parser->method);
    bool has_length = (parser->flags & F_CONTENTLENGTH) != 0;
    io->head.body_bytes =
        has_length ? (int64_t)MIN(parser->content_length, (uint64_t)INT64_MAX)
                   : -1;
    io->head.keep_alive =
        http_should_keep_alive(parser) != 0 && !parser->upgrade;
    io->head.self_delimited = is_self_delimited(io);
    if (io->conn->handler->head != NULL) {
        io->conn->handler->head(io->conn->context, &io->head);
    }
    // 1 tells the parser to expect no body.
    return io->conn == NULL ? -1 : has_no_body(io) ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *data, size_t size)
{
    struct cm_h1_io *io = io_from_parser(parser);
    if (io->conn->handler->body != NULL) {
        io->conn->handler->body(io->conn->context, data, size);
    }
    return io->conn == NULL;
}

static int
on_message_complete(http_parser *parser)
{
    io_from_parser(parser)->message_done = true;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_message_begin,
    .on_url = on_url,
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

static void
io_free(struct cm_h1_io *io)
{
    if (io->is_detached) {
        TAILQ_REMOVE(&detached, io, link);
        n_detached--;
        n_flushing -= io->counts_as_flushing;
    }
    if (io->linger_timer != NULL) {
        event_free(io->linger_timer);
    }
    if (io->watches_output) {
        CmH1Output_Finish(&io->output);
    }
    bufferevent_free(io->bev);
    g_string_free(io->head.target, TRUE);
    g_string_free(io->head.text, TRUE);
    g_array_free(io->head.fields, TRUE);
    g_free(io);
}

/// Closes the connection that has waited for its peer for the longest time
/// while there are too many.
static void
limit_lingering(void)
{
    struct cm_h1_io *io = NULL;
    if (n_detached > LINGERING_MAX) {
        CmTailq_FOREACH (io, &detached, link) {
            if (io->linger_timer != NULL) {
                break;
            }
        }
    }
    if (io != NULL) {
        io_free(io);
    }
}

static void
on_linger_timer(evutil_socket_t fd, short what, void *context)
{
    io_free(context);
}

/// Ends the sending direction of a detached connection whose output is
/// written, and reads on until the peer ends, too. A close with unread input
/// would reset the connection, which discards output on its way.
static void
start_linger(struct cm_h1_io *io)
{
    if (io->read_ended || shutdown(bufferevent_getfd(io->bev), SHUT_WR) != 0) {
        io_free(io);
        return;
    }
    struct timeval timeout = CmTime_Timeval(CM_H1_LINGER_MS);
    io->linger_timer =
        evtimer_new(bufferevent_get_base(io->bev), on_linger_timer, io);
    evtimer_add(io->linger_timer, &timeout);
    limit_lingering();
}

static void
on_detached_read(struct bufferevent *bev, void *context)
{
    struct cm_h1_io *io = context;
    struct evbuffer *input = bufferevent_get_input(bev);
    io->linger_bytes += evbuffer_get_length(input);
    evbuffer_drain(input, evbuffer_get_length(input));
    if (io->linger_bytes <= CM_H1_LINGER_MAX_BYTES) {
        return;
    }
    if (io->linger_timer != NULL) {
        io_free(io);
        return;
    }
    // The output is still written, but the close won't wait for the peer.
    io->read_ended = true;
    bufferevent_disable(bev, EV_READ);
}

static void
on_detached_write(struct bufferevent *bev, void *context)
{
    struct cm_h1_io *io = context;
    if (io->linger_timer == NULL) {
        start_linger(io);
    }
}

/// @return whether the peer has read some of the output since the last call.
/// The kernel takes more only once a large part of its own buffer is free.
static bool
has_progress(struct cm_h1_io *io)
{
    if (!io->watches_output) {
        return false;
    }
    uint64_t taken =
        io->output.passed + io->output.length - CmH1Output_Unread(&io->output);
    bool progress = taken > io->flushed;
    io->flushed = taken;
    return progress;
}

static void
on_detached_event(struct bufferevent *bev, short what, void *context)
{
    struct cm_h1_io *io = context;
    if ((what & BEV_EVENT_TIMEOUT) && has_progress(io)) {
        bufferevent_enable(bev, EV_WRITE);
        return;
    }
    if ((what & BEV_EVENT_EOF) && io->linger_timer == NULL) {
        io->read_ended = true;
        return;
    }
    io_free(io);
}

/// Frees a connection without an owner, after its output is written and the
/// peer has ended if that was asked for.
static void
free_detached(struct cm_h1_io *io)
{
    if (!io->flush_output || io->lost) {
        io_free(io);
        return;
    }
    io->is_detached = true;
    TAILQ_INSERT_TAIL(&detached, io, link);
    n_detached++;
    bufferevent_setcb(io->bev, on_detached_read, on_detached_write,
                      on_detached_event, io);
    on_detached_read(io->bev, io);
    if (evbuffer_get_length(bufferevent_get_output(io->bev)) == 0) {
        start_linger(io);
        return;
    }
    io->counts_as_flushing = true;
    n_flushing++;
    has_progress(io);
    struct timeval timeout = {FLUSH_TIMEOUT_S, 0};
    bufferevent_set_timeouts(io->bev, NULL, &timeout);
}

static void
report_closed(struct cm_h1_io *io, enum cm_h1_close_reason reason)
{
    if (io->conn != NULL && io->conn->handler->closed != NULL) {
        io->conn->handler->closed(io->conn->context, reason);
    }
}

static void
report_message_complete(struct cm_h1_io *io)
{
    if (io->conn->handler->message_complete != NULL) {
        io->conn->handler->message_complete(io->conn->context);
    }
}

static void
start_message(struct cm_h1_io *io)
{
    enum http_parser_type type = (enum http_parser_type)io->parser.type;
    http_parser_init(&io->parser, type);
    io->parser.data = io;
    io->message_begun = false;
    io->message_done = false;
}

/// Restarts the parser after a 1xx response, which is not passed to the owner
/// as a message of its own, or reports too many of them as an invalid message.
/// @return whether the response was one.
static bool
skip_informational(struct cm_h1_io *io)
{
    if (io->parser.type != HTTP_RESPONSE || io->head.status / 100 != 1) {
        io->informational = 0;
        return false;
    }
    if (++io->informational > CM_H1_INFORMATIONAL_MAX) {
        report_closed(io, CM_H1_INVALID);
        return true;
    }
    start_message(io);
    return true;
}

/// Parses the buffered input up to the end of the current message.
static void
parse_input(struct cm_h1_io *io)
{
    if (io->parsing || io->awaits_write) {
        return;
    }
    io->parsing = true;
    struct evbuffer *input = bufferevent_get_input(io->bev);
    while (io->conn != NULL && !io->message_done && !io->awaits_write &&
           evbuffer_get_length(input) > 0) {
        size_t size = evbuffer_get_contiguous_space(input);
        const char *data = (const char *)evbuffer_pullup(input, (int)size);
        size_t used =
            http_parser_execute(&io->parser, &parser_settings, data, size);
        evbuffer_drain(input, used);
        if (io->conn == NULL) {
            break;
        }
        if (io->message_done) {
            if (!skip_informational(io)) {
                report_message_complete(io);
            }
        }
        else if (HTTP_PARSER_ERRNO(&io->parser) != HPE_OK) {
            bool too_large =
                io->header_bytes > CM_H1_HEADER_MAX_BYTES ||
                HTTP_PARSER_ERRNO(&io->parser) == HPE_HEADER_OVERFLOW;
            io->message_done = true;
            report_closed(io,
                          too_large ? CM_H1_HEADER_TOO_LARGE : CM_H1_INVALID);
        }
    }
    if (io->conn != NULL && io->message_begun && !io->message_done &&
        io->conn->handler->progress != NULL) {
        io->conn->handler->progress(io->conn->context);
    }
    io->parsing = false;
    if (io->conn == NULL) {
        free_detached(io);
    }
}

static void
on_read(struct bufferevent *bev, void *context)
{
    parse_input(context);
}

static void
on_write(struct bufferevent *bev, void *context)
{
    struct cm_h1_io *io = context;
    io->parsing = true;
    if (io->conn != NULL && io->conn->handler->drained != NULL) {
        io->conn->handler->drained(io->conn->context);
    }
    io->parsing = false;
    if (io->conn == NULL) {
        free_detached(io);
        return;
    }
    if (io->awaits_write) {
        io->awaits_write = false;
        parse_input(io);
    }
}

/// Handles a close by the peer: completes a response whose body ends by the
/// close, and reports the close otherwise.
static void
handle_eof(struct cm_h1_io *io)
{
    if (io->parser.type == HTTP_RESPONSE && !io->message_done &&
        io->head.status != 0 && !io->head.self_delimited) {
        io->parsing = true;
        http_parser_execute(&io->parser, &parser_settings, NULL, 0);
        io->parsing = false;
        if (io->conn == NULL) {
            free_detached(io);
            return;
        }
        if (io->message_done) {
            report_message_complete(io);
            return;
        }
    }
    report_closed(io, CM_H1_CLOSED);
}

static void
on_event(struct bufferevent *bev, short what, void *context)
{
    struct cm_h1_io *io = context;
    if (what & BEV_EVENT_CONNECTED) {
        io->connecting = false;
        if (io->conn->handler->connected != NULL) {
            io->conn->handler->connected(io->conn->context);
        }
    }
    else if ((what & BEV_EVENT_EOF) && !io->connecting) {
        io->read_ended = true;
        handle_eof(io);
    }
    else if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) {
        io->lost = true;
        report_closed(io, CM_H1_RESET);
    }
}

/// Ends a connection because of its output.
static void
drop_output(struct cm_h1_output *output, bool is_lost)
{
    struct cm_h1_io *io =
        (struct cm_h1_io *)((char *)output -
                            offsetof(struct cm_h1_io, output));
    io->lost = true;
    if (io->conn != NULL) {
        report_closed(io, is_lost ? CM_H1_RESET : CM_H1_UNREAD);
    }
    else {
        io_free(io);
    }
}

/// Disables Nagle's algorithm, and detects a lost peer by unacknowledged data
/// and, on an idle connection, by keepalive probes.
/// @param watches_output whether unacknowledged data is checked for otherwise.
static void
set_socket_options(evutil_socket_t fd, bool watches_output)
{
    int on = 1;
    int probe_s = CM_H1_TCP_KEEPALIVE_S;
    // TCP_USER_TIMEOUT ends idle connections after one unanswered probe, too.
    int probes = watches_output ? 1 : CM_H1_TCP_KEEPALIVE_PROBES;
    unsigned timeout_ms = watches_output ? 0 : CM_H1_TCP_USER_TIMEOUT_MS;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &probe_s, sizeof(probe_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe_s, sizeof(probe_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
               sizeof(timeout_ms));
}

static struct cm_h1_io *
io_new(struct cm_h1_conn *conn, struct event_base *base, evutil_socket_t fd,
       enum http_parser_type type, const struct cm_h1_handler *handler,
       void *context)
{
    struct cm_h1_io *io = g_new0(struct cm_h1_io, 1);
    io->bev = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
    io->head.target = g_string_new(NULL);
    io->head.text = g_string_new(NULL);
    io->head.fields = g_array_new(FALSE, FALSE, sizeof(struct cm_h1_field));
    http_parser_init(&io->parser, type);
    io->parser.data = io;
    io->conn = conn;
    *conn = (struct cm_h1_conn){io, handler, context};
    bufferevent_setcb(io->bev, on_read, on_write, on_event, io);
    bufferevent_setwatermark(io->bev, EV_READ, 0, CM_H1_INPUT_MAX_BYTES);
    return io;
}

void
CmH1Conn_Accept(struct cm_h1_conn *conn, struct event_base *base,
                evutil_socket_t fd, const struct cm_h1_handler *handler,
                void *context)
{
    bool watches_output = CmH1Output_IsStarted();
    set_socket_options(fd, watches_output);
    struct cm_h1_io *io =
        io_new(conn, base, fd, HTTP_REQUEST, handler, context);
    io->watches_output = watches_output;
    if (watches_output) {
        CmH1Output_Init(&io->output, io->bev, drop_output);
    }
    bufferevent_enable(io->bev, EV_READ | EV_WRITE);
}

bool
CmH1Conn_Connect(struct cm_h1_conn *conn, struct event_base *base,
                 const char *address, const struct cm_h1_handler *handler,
                 void *context)
{
    conn->io = NULL;
    struct sockaddr_in endpoint;
    int size = sizeof(endpoint);
    if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&endpoint,
                                   &size) != 0 ||
        endpoint.sin_family != AF_INET) {
        return false;
    }
    evutil_socket_t fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return false;
    }
    set_socket_options(fd, false);
    struct cm_h1_io *io =
        io_new(conn, base, fd, HTTP_RESPONSE, handler, context);
    io->connecting = true;
    if (bufferevent_socket_connect(io->bev, (struct sockaddr *)&endpoint,
                                   size) != 0) {
        CmH1Conn_Finish(conn);
        return false;
    }
    bufferevent_enable(io->bev, EV_READ | EV_WRITE);
    return true;
}

static void
detach(struct cm_h1_conn *conn, bool flush_output)
{
    struct cm_h1_io *io = conn->io;
    if (io == NULL) {
        return;
    }
    conn->io = NULL;
    io->conn = NULL;
    io->flush_output = flush_output;
    if (!io->parsing) {
        free_detached(io);
    }
}

void
CmH1Conn_Finish(struct cm_h1_conn *conn)
{
    detach(conn, false);
}

void
CmH1Conn_FinishAfterWrite(struct cm_h1_conn *conn)
{
    detach(conn, true);
}

size_t
CmH1Conn_Flushing(void)
{
    return n_flushing;
}

size_t
CmH1Conn_Detached(void)
{
    return n_detached;
}

void
CmH1Conn_FinishDetached(void)
{
    struct cm_h1_io *io;
    while ((io = TAILQ_FIRST(&detached)) != NULL) {
        io_free(io);
    }
}

bool
CmH1Conn_HasBegun(const struct cm_h1_conn *conn)
{
    return conn->io->message_begun;
}

bool
CmH1Conn_HeadDone(const struct cm_h1_conn *conn)
{
    return conn->io->head_done;
}

void
CmH1Conn_ReadNext(struct cm_h1_conn *conn)
{
    shrink_head(conn->io);
    start_message(conn->io);
    conn->io->no_body = false;
    // Requests that follow each other without a wait for their responses are
    // served one by one, so that responses don't pile up.
    conn->io->awaits_write = conn->io->parser.type == HTTP_REQUEST &&
                             CmH1Conn_PendingOutput(conn) > 0;
    parse_input(conn->io);
}

void
CmH1Conn_SetReading(struct cm_h1_conn *conn, bool reading)
{
    if (reading) {
        bufferevent_enable(conn->io->bev, EV_READ);
    }
    else {
        bufferevent_disable(conn->io->bev, EV_READ);
    }
}

void
CmH1Conn_ExpectNoBody(struct cm_h1_conn *conn)
{
    conn->io->no_body = true;
}

void
CmH1Conn_Write(struct cm_h1_conn *conn, const void *data, size_t size)
{
    const char *bytes = data;
    for (size_t at = 0; at < size; at += BLOCK_BYTES) {
        bufferevent_write(conn->io->bev, bytes + at,
                          MIN(size - at, BLOCK_BYTES));
    }
}

size_t
CmH1Conn_PendingOutput(const struct cm_h1_conn *conn)
{
    return evbuffer_get_length(bufferevent_get_output(conn->io->bev));
}

size_t
CmH1Conn_UnreadOutput(const struct cm_h1_conn *conn)
{
    return conn->io->watches_output ? CmH1Output_Unread(&conn->io->output)
                                    : CmH1Conn_PendingOutput(conn);
}

evutil_socket_t
CmH1Conn_Socket(const struct cm_h1_conn *conn)
{
    return bufferevent_getfd(conn->io->bev);
}

size_t
CmH1Conn_PendingInput(const struct cm_h1_conn *conn)
{
    return evbuffer_get_length(bufferevent_get_input(conn->io->bev));
}

size_t
CmH1Conn_HeldInput(const struct cm_h1_conn *conn)
{
    const struct cm_h1_head *head = &conn->io->head;
    // An array has up to twice the room that it needs.
    return head->target->allocated_len + head->text->allocated_len +
           2 * head->fields->len * sizeof(struct cm_h1_field) +
           CmH1Conn_PendingInput(conn);
}

const struct cm_h1_head *
CmH1Conn_Head(const struct cm_h1_conn *conn)
{
    return &conn->io->head;
}
