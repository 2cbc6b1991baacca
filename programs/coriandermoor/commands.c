/// @file commands.c
/// Subcommands of `coriandermoor`: options, calls to an entry's admin
/// listener, output and exit codes.

#include "commands.h"

#include <event2/event.h>
#include <getopt.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/config.h"
#include "config/settings.h"
#include "config/yaml.h"
#include "entry_main.h"
#include "explain.h"
#include "gateway/gateway_main.h"
#include "http/client.h"

#define DEFAULT_ADMIN "127.0.0.1:8100"
#define CALL_TIMEOUT_MS 15000
#define STATUS_OK 200
#define STATUS_PRECONDITION_FAILED 412
#define STATUS_SERVER_ERROR 500

/// Options of all subcommands but `explain`.
struct options {
    const char *admin;
    const char *settings;
    const char *base; ///< revision that the configuration was edited from
    bool json;
    bool help;
    const char *file; ///< positional argument, or NULL
};

/// @return whether all options are known and at most one positional argument
///         is given.
static bool
parse_options(int argc, char **argv, struct options *options)
{
    static const struct option names[] = {
        {"admin", required_argument, NULL, 'a'},
        {"settings", required_argument, NULL, 's'},
        {"base", required_argument, NULL, 'b'},
        {"output", required_argument, NULL, 'o'},
        {"help", no_argument, NULL, 'h'},
        {0}};
    *options = (struct options){.admin = DEFAULT_ADMIN};
    int code;
    while ((code = getopt_long(argc, argv, "a:s:b:o:h", names, NULL)) != -1) {
        switch (code) {
        case 'a':
            options->admin = optarg;
            break;
        case 's':
            options->settings = optarg;
            break;
        case 'b':
            options->base = optarg;
            break;
        case 'o':
            options->json = strcmp(optarg, "json") == 0;
            if (!options->json && strcmp(optarg, "text") != 0) {
                return false;
            }
            break;
        case 'h':
            options->help = true;
            break;
        default:
            return false;
        }
    }
    if (optind < argc) {
        options->file = argv[optind++];
    }
    return optind == argc;
}

static int
print_usage(bool requested, const char *text)
{
    fprintf(requested ? stdout : stderr, "usage: coriandermoor %s\n", text);
    return requested ? EXIT_SUCCESS : CM_EXIT_USAGE;
}

int
Command_Entry(int argc, char **argv)
{
    struct options options;
    if (!parse_options(argc, argv, &options) || options.help ||
        options.settings == NULL) {
        return print_usage(options.help, "entry --settings FILE");
    }
    return Entry_Main(options.settings);
}

int
Command_Gateway(int argc, char **argv)
{
    struct options options;
    if (!parse_options(argc, argv, &options) || options.help) {
        return print_usage(options.help, "gateway [--settings FILE]");
    }
    return Gateway_Main(options.settings);
}

int
Command_Explain(int argc, char **argv)
{
    static const struct option names[] = {
        {"request", required_argument, NULL, 'r'},
        {"summary", no_argument, NULL, 's'},
        {"help", no_argument, NULL, 'h'},
        {0}};
    const char *request = NULL;
    bool summary = false;
    bool help = false;
    bool valid = true;
    int code;
    while ((code = getopt_long(argc, argv, "r:sh", names, NULL)) != -1) {
        switch (code) {
        case 'r':
            request = optarg;
            break;
        case 's':
            summary = true;
            break;
        case 'h':
            help = true;
            break;
        default:
            valid = false;
            break;
        }
    }
    if (help || !valid || summary == (request != NULL)) {
        return print_usage(help, "explain --request ID [LOG...], or "
                                 "explain --summary [LOG...]");
    }
    return Explain_PrintTimeline(request, argv + optind,
                                 (size_t)(argc - optind));
}

static void
print_findings_json(const struct cm_findings *findings)
{
    json_t *list = json_array();
    const struct cm_finding *finding;
    CmTailq_FOREACH (finding, &findings->list, link) {
        json_array_append_new(
            list, json_pack("{s:I,s:I,s:s}", "line", (json_int_t)finding->line,
                            "column", (json_int_t)finding->column, "message",
                            finding->message));
    }
    json_t *report =
        json_pack("{s:s,s:I,s:o}", "file", findings->input, "count",
                  (json_int_t)findings->count, "findings", list);
    json_dumpf(report, stdout, JSON_COMPACT);
    printf("\n");
    json_decref(report);
}

static void
print_findings(const struct options *options,
               const struct cm_findings *findings)
{
    if (options->json) {
        print_findings_json(findings);
    }
    else if (findings->count > 0) {
        char *report = CmFindings_Report(findings);
        fputs(report, stderr);
        g_free(report);
    }
}

/// Validates a configuration and prints its findings.
/// @return whether it is valid.
static bool
validate_text(const struct options *options, const char *text, size_t size)
{
    struct cm_findings findings;
    CmFindings_Init(&findings, options->file, CM_FINDINGS_MAX);
    struct cm_config config;
    bool valid = CmConfig_Init(&config, text, size, &findings);
    print_findings(options, &findings);
    CmConfig_Finish(&config);
    CmFindings_Finish(&findings);
    return valid;
}

static char *
load_text(const char *path, size_t *size)
{
    GError *error = NULL;
    char *text = CmSettings_LoadFile(path, size, &error);
    if (text == NULL) {
        fprintf(stderr, "coriandermoor: %s\n", error->message);
        g_clear_error(&error);
    }
    return text;
}

/// Validates the settings of a gateway or of an agent with adapter slots, and
/// prints all findings. Only a gateway's settings have `store:`.
static int
check_settings(const struct options *options)
{
    size_t size;
    char *text = load_text(options->settings, &size);
    if (text == NULL) {
        return CM_EXIT_USAGE;
    }
    struct cm_findings findings;
    CmFindings_Init(&findings, options->settings, CM_FINDINGS_MAX);
    bool valid;
    if (strstr(text, "store:") != NULL) {
        struct cm_gateway_settings settings;
        valid = CmSettings_ReadGateway(&settings, text, size, &findings);
        CmYaml_Finish(&settings.common.yaml);
    }
    else {
        struct cm_slot_agent_settings settings;
        valid = CmSettings_ReadSlotAgent(&settings, text, size, &findings);
        CmYaml_Finish(&settings.common.yaml);
    }
    print_findings(options, &findings);
    CmFindings_Finish(&findings);
    g_free(text);
    return valid ? EXIT_SUCCESS : CM_EXIT_REJECTED;
}

int
Command_Check(int argc, char **argv)
{
    struct options options;
    if (parse_options(argc, argv, &options) && !options.help &&
        options.settings != NULL && options.file == NULL) {
        return check_settings(&options);
    }
    if (options.help || options.file == NULL || options.settings != NULL) {
        return print_usage(options.help, "check [--output text|json] FILE, or "
                                         "check --settings FILE");
    }
    size_t size;
    char *text = load_text(options.file, &size);
    if (text == NULL) {
        return CM_EXIT_USAGE;
    }
    bool valid = validate_text(&options, text, size);
    g_free(text);
    return valid ? EXIT_SUCCESS : CM_EXIT_REJECTED;
}

/// One HTTP call to an entry's admin listener.
struct admin_call {
    struct event_base *base;
    struct cm_http_call call;
    enum cm_http_result end;
    int status;
    char etag[64];
    GString *body;
};

static void
store_head(void *context, int status, const struct cm_h1_head *head)
{
    struct admin_call *call = context;
    call->status = status;
    const char *etag = CmH1Head_Find(head, "ETag");
    g_strlcpy(call->etag, etag != NULL ? etag : "", sizeof(call->etag));
}

static void
append_body(void *context, const void *data, size_t size)
{
    struct admin_call *call = context;
    g_string_append_len(call->body, data, (gssize)size);
}

static void
finish_call(void *context, enum cm_http_result end)
{
    struct admin_call *call = context;
    call->end = end;
    event_base_loopbreak(call->base);
}

static const struct cm_http_handler handler = {store_head, append_body,
                                               finish_call};

/// Makes one call and waits for the response.
/// @param if_match value of If-Match, or NULL for none.
/// @return whether a complete response arrived; if not, an error is printed.
static bool
call_admin_listener(struct admin_call *call, const struct options *options,
                    enum evhttp_cmd_type method, const char *path,
                    const char *if_match, const char *body, size_t size)
{
    memset(call, 0, sizeof(*call));
    call->base = event_base_new();
    call->body = g_string_new(NULL);
    struct cm_http_client client;
    CmHttpClient_Init(&client, call->base);
    struct cm_http_header header = {"If-Match", if_match};
    struct cm_http_request request = {
        .address = options->admin,
        .method = method,
        .path = path,
        .headers = &header,
        .n_headers = if_match != NULL,
        .body = body,
        .body_size = size,
        .timeout_ms = CALL_TIMEOUT_MS,
    };
    CmHttpCall_Start(&call->call, &client, &request, &handler, call);
    event_base_dispatch(call->base);
    CmHttpClient_Finish(&client);
    event_base_free(call->base);
    if (call->end == CM_HTTP_COMPLETE) {
        return true;
    }
    fprintf(stderr, "coriandermoor: no answer from %s\n", options->admin);
    return false;
}

static void
print_error(const struct admin_call *call)
{
    json_t *json = json_loads(call->body->str, 0, NULL);
    const char *message = json_string_value(
        json_object_get(json_object_get(json, "error"), "message"));
    fprintf(stderr, "coriandermoor: %s\n",
            message != NULL ? message : call->body->str);
    json_decref(json);
}

static int
exit_code_for(const struct admin_call *call)
{
    if (call->status == STATUS_OK) {
        return EXIT_SUCCESS;
    }
    print_error(call);
    if (call->status == STATUS_PRECONDITION_FAILED) {
        return CM_EXIT_CONFLICT;
    }
    return call->status >= STATUS_SERVER_ERROR ? CM_EXIT_UNKNOWN
                                               : CM_EXIT_REJECTED;
}

/// Submits a valid configuration to the entry.
static int
apply_text(const struct options *options, const char *text, size_t size)
{
    struct admin_call call;
    char if_match[64];
    g_strlcpy(if_match, options->base != NULL ? options->base : "",
              sizeof(if_match));
    if (options->base == NULL) {
        // The base is the revision in force now, so a change by another
        // operator until the PUT is a conflict. "0" is the base of the first
        // revision.
        bool ok = call_admin_listener(&call, options, EVHTTP_REQ_GET,
                                      "/admin/config", NULL, NULL, 0);
        g_strlcpy(if_match, call.status == STATUS_OK ? call.etag : "\"0\"",
                  sizeof(if_match));
        g_string_free(call.body, TRUE);
        if (!ok) {
            return CM_EXIT_UNKNOWN;
        }
    }
    bool ok = call_admin_listener(&call, options, EVHTTP_REQ_PUT,
                                  "/admin/config", if_match, text, size);
    int code = ok ? exit_code_for(&call) : CM_EXIT_UNKNOWN;
    if (code == EXIT_SUCCESS && options->json) {
        printf("%s\n", call.body->str);
    }
    else if (code == EXIT_SUCCESS) {
        printf("accepted as revision %s\n", call.etag);
    }
    g_string_free(call.body, TRUE);
    return code;
}

int
Command_Apply(int argc, char **argv)
{
    struct options options;
    if (!parse_options(argc, argv, &options) || options.help ||
        options.file == NULL) {
        return print_usage(options.help,
                           "apply [--admin IP:PORT] [--base REVISION] "
                           "[--output text|json] FILE");
    }
    size_t size;
    char *text = load_text(options.file, &size);
    if (text == NULL) {
        return CM_EXIT_USAGE;
    }
    struct options quiet = options;
    quiet.json = false;
    int code = validate_text(&quiet, text, size)
                   ? apply_text(&options, text, size)
                   : CM_EXIT_REJECTED;
    g_free(text);
    return code;
}

int
Command_Show(int argc, char **argv)
{
    struct options options;
    if (!parse_options(argc, argv, &options) || options.help ||
        options.file != NULL) {
        return print_usage(options.help,
                           "show [--admin IP:PORT] [--output text|json]");
    }
    struct admin_call call;
    bool ok = call_admin_listener(&call, &options, EVHTTP_REQ_GET,
                                  "/admin/config", NULL, NULL, 0);
    int code = ok ? exit_code_for(&call) : CM_EXIT_UNKNOWN;
    if (code == EXIT_SUCCESS && options.json) {
        json_t *json = json_pack("{s:s,s:s}", "revision", call.etag, "text",
                                 call.body->str);
        json_dumpf(json, stdout, JSON_COMPACT);
        printf("\n");
        json_decref(json);
    }
    else if (code == EXIT_SUCCESS) {
        fputs(call.body->str, stdout);
    }
    g_string_free(call.body, TRUE);
    return code;
}

static int64_t
json_int_field(const json_t *json, const char *name)
{
    return json_integer_value(json_object_get(json, name));
}

static const char *
json_text_field(const json_t *json, const char *name)
{
    const char *text = json_string_value(json_object_get(json, name));
    return text != NULL ? text : "";
}

static void
print_target(const json_t *target, int64_t revision)
{
    const char *note =
        json_is_true(json_object_get(target, "leaving")) ? "leaving"
        : json_int_field(target, "revision") < revision  ? "older revision"
                                                         : "";
    printf("  %-14s %-14s %-16s %-8s %4" PRId64 "/%-4" PRId64 " %5" PRId64
           " %5zu  %s\n",
           json_text_field(target, "name"), json_text_field(target, "zone"),
           json_text_field(target, "service"),
           json_text_field(target, "state"), json_int_field(target, "running"),
           json_int_field(target, "capacity"),
           json_int_field(target, "waiting"),
           json_array_size(json_object_get(target, "adapters")), note);
}

static void
print_status(const json_t *status)
{
    int64_t revision = json_int_field(status, "revision");
    const json_t *targets = json_object_get(status, "targets");
    size_t behind = 0;
    for (size_t i = 0; i < json_array_size(targets); i++) {
        behind +=
            json_int_field(json_array_get(targets, i), "revision") < revision;
    }
    printf("entry %s in %s, revision %" PRId64 " (%zu of %zu targets behind)"
           ", object API %s\n",
           json_text_field(status, "entry"), json_text_field(status, "zone"),
           revision, behind, json_array_size(targets),
           json_is_true(json_object_get(status, "platform_reachable"))
               ? "reachable"
               : "OUT OF REACH");
    printf("requests: %" PRId64 " in progress, %" PRId64 " ran, %" PRId64
           " not run, %" PRId64 " unknown; mean stall %.1f ms\n",
           json_int_field(status, "in_progress"),
           json_int_field(status, "ran"), json_int_field(status, "not_run"),
           json_int_field(status, "unknown"),
           json_number_value(json_object_get(status, "mean_stall_ms")));
    printf("quarantined contents: %zu\n",
           json_array_size(json_object_get(status, "quarantined")));
    printf("  %-14s %-14s %-16s %-8s %9s %5s %5s\n", "target", "zone",
           "service", "state", "running", "wait", "held");
    for (size_t i = 0; i < json_array_size(targets); i++) {
        print_target(json_array_get(targets, i), revision);
    }
}

int
Command_Status(int argc, char **argv)
{
    struct options options;
    if (!parse_options(argc, argv, &options) || options.help ||
        options.file != NULL) {
        return print_usage(options.help,
                           "status [--admin IP:PORT] [--output text|json]");
    }
    struct admin_call call;
    bool ok = call_admin_listener(&call, &options, EVHTTP_REQ_GET,
                                  "/admin/status", NULL, NULL, 0);
    int code = ok ? exit_code_for(&call) : CM_EXIT_UNKNOWN;
    if (code == EXIT_SUCCESS && options.json) {
        printf("%s\n", call.body->str);
    }
    else if (code == EXIT_SUCCESS) {
        json_t *status = json_loads(call.body->str, 0, NULL);
        print_status(status);
        json_decref(status);
    }
    g_string_free(call.body, TRUE);
    return code;
}
