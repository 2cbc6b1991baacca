/// @file main.c
/// Stand-in for the targets: simulates model engines and plain targets, each
/// on its own port. The control port serves the fault controls, counters and
/// execution log of all targets.

#include <stdlib.h>
#include <string.h>

#include "engine.h"
#include "http/server.h"
#include "plain.h"

/// Interval at which engines sample their load report.
#define REPORT_LAG_MS 200

struct standin {
    struct shared_state shared;
    struct engine *engines;
    int n_engines;
    struct plain_target *plains;
    int n_plains;
};

/// Applies the faults in `body` to the target that it names, or to all.
static void
set_faults(struct standin *standin, const json_t *body)
{
    const char *target = json_string_value(json_object_get(body, "target"));
    for (int i = 0; i < standin->n_engines; i++) {
        if (target == NULL || strcmp(target, standin->engines[i].name) == 0) {
            Engine_SetFaults(&standin->engines[i], body);
        }
    }
    for (int i = 0; i < standin->n_plains; i++) {
        if (target == NULL || strcmp(target, standin->plains[i].name) == 0) {
            PlainTarget_SetFaults(&standin->plains[i], body);
        }
    }
}

static void
reply_stats(struct standin *standin, struct evhttp_request *request)
{
    json_t *targets = json_array();
    for (int i = 0; i < standin->n_engines; i++) {
        json_array_append_new(targets, Engine_Stats(&standin->engines[i]));
    }
    CmHttp_ReplyJson(request, HTTP_OK, json_pack("{s:o}", "targets", targets));
}

static void
reply_faults(struct standin *standin, struct evhttp_request *request)
{
    json_t *targets = json_array();
    for (int i = 0; i < standin->n_engines; i++) {
        const struct engine *engine = &standin->engines[i];
        json_array_append_new(
            targets,
            json_pack("{s:s,s:s,s:f,s:i}", "target", engine->name, "crash_on",
                      engine->faults.crash_on != NULL ? engine->faults.crash_on
                                                      : "",
                      "load_failure_rate", engine->faults.load_failure_rate,
                      "token_delay_ms", engine->faults.token_delay_ms));
    }
    CmHttp_ReplyJson(request, HTTP_OK, json_pack("{s:o}", "targets", targets));
}

static void
handle_control_request(struct evhttp_request *request, void *context)
{
    struct standin *standin = context;
    const char *path = CmHttp_Path(request);
    if (strcmp(path, "/executions") == 0) {
        StandinLog_Reply(&standin->shared.execution_log, request);
    }
    else if (strcmp(path, "/stats") == 0) {
        reply_stats(standin, request);
    }
    else if (strcmp(path, "/faults") == 0) {
        json_t *body = CmHttp_JsonBody(request);
        if (json_is_object(body)) {
            set_faults(standin, body);
        }
        json_decref(body);
        reply_faults(standin, request);
    }
    else {
        CmHttp_ReplyError(request, 404, "not_found", "no such path");
    }
}

/// Options, in the order of their names and values in main().
enum {
    CONTROL_PORT,
    ENGINES,
    ENGINE_PORT,
    PLAINS,
    PLAIN_PORT,
    SLOTS,
    CAPACITY,
    STEP_MS,
    STEP_REQUEST_MS,
    WEIGHTS,
    FENCE,
    SEED,
    N_OPTIONS
};

static void
init_shared_state(struct shared_state *shared, const char **values)
{
    shared->base = event_base_new();
    CmHttpClient_Init(&shared->client, shared->base);
    StandinLog_Init(&shared->execution_log);
    shared->weights = values[WEIGHTS];
    shared->random =
        g_rand_new_with_seed((guint32)strtoul(values[SEED], NULL, 10));
    shared->slots = atoi(values[SLOTS]);
    shared->capacity = atoi(values[CAPACITY]);
    shared->step_ms = g_ascii_strtod(values[STEP_MS], NULL);
    shared->step_request_ms = g_ascii_strtod(values[STEP_REQUEST_MS], NULL);
    shared->report_lag_ms = REPORT_LAG_MS;
    shared->reject_stale_fence = strcmp(values[FENCE], "keep") == 0;
}

static void
init_targets(struct standin *standin, const char **values)
{
    standin->n_engines = atoi(values[ENGINES]);
    standin->n_plains = atoi(values[PLAINS]);
    standin->engines = g_new0(struct engine, (gsize)standin->n_engines + 1);
    standin->plains =
        g_new0(struct plain_target, (gsize)standin->n_plains + 1);
    char name[ENGINE_NAME_MAX];
    for (int i = 0; i < standin->n_engines; i++) {
        g_snprintf(name, sizeof(name), "engine-%02d", i + 1);
        Engine_Init(&standin->engines[i], &standin->shared, name,
                    atoi(values[ENGINE_PORT]) + i);
    }
    for (int i = 0; i < standin->n_plains; i++) {
        g_snprintf(name, sizeof(name), "plain-%02d", i + 1);
        PlainTarget_Init(&standin->plains[i], &standin->shared, name,
                         atoi(values[PLAIN_PORT]) + i);
    }
}

static void
free_targets(struct standin *standin)
{
    for (int i = 0; i < standin->n_engines; i++) {
        Engine_Finish(&standin->engines[i]);
    }
    for (int i = 0; i < standin->n_plains; i++) {
        PlainTarget_Finish(&standin->plains[i]);
    }
    g_free(standin->engines);
    g_free(standin->plains);
    CmHttpClient_Finish(&standin->shared.client);
    StandinLog_Finish(&standin->shared.execution_log);
    g_rand_free(standin->shared.random);
    event_base_free(standin->shared.base);
}

int
main(int argc, char **argv)
{
    static const char *const names[] = {
        "control-port",    "engines", "engine-port", "plains",
        "plain-port",      "slots",   "capacity",    "step-ms",
        "step-request-ms", "weights", "fence",       "seed"};
    const char *values[] = {"7100", "1",  "7101", "0",   "7180",
                            "8",    "32", "2",    "0.1", "127.0.0.1:7000",
                            "keep", "1"};
    Standin_ParseOptions(argc, argv, names, values, N_OPTIONS);
    struct standin standin = {0};
    init_shared_state(&standin.shared, values);
    init_targets(&standin, values);
    struct evhttp *control =
        Standin_Listen(standin.shared.base, atoi(values[CONTROL_PORT]),
                       handle_control_request, &standin);
    Standin_Run(standin.shared.base);
    evhttp_free(control);
    free_targets(&standin);
    return EXIT_SUCCESS;
}
