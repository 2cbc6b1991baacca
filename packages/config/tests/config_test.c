/// @file config_test.c
/// The operators' text: each finding with its place, and what is sound.

#include "config/config.h"

#include <string.h>

#include "cm_test.h"
#include "config/settings.h"

#define SOUND                                                                 \
    "deployment: d\n"                                                         \
    "zones: [a, b]\n"                                                         \
    "models:\n"                                                               \
    "  - {name: m}\n"                                                         \
    "adapters:\n"                                                             \
    "  - {name: x, model: m, versions: [1, 3]}\n"

#define SERVICE                                                               \
    "services:\n"                                                             \
    "  - name: s\n"                                                           \
    "    kind: engines\n"                                                     \
    "    models: [m]\n"                                                       \
    "    idempotent: true\n"                                                  \
    "    targets:\n"                                                          \
    "      - {name: t, zone: a}\n"

/// Texts and what the report on them must contain, NULL for sound ones.
static const struct {
    const char *text;
    const char *finding;
} cases[] = {
    {SOUND SERVICE, NULL},
    {"", "t:1:1: error: the text is empty"},
    {"deployment: [", "t:2:1: error: bad YAML"},
    {"a: b: c", "bad YAML: mapping values are not allowed"},
    {"- x\n", "t:1:1: error: the text must be a mapping"},
    {"zones: [a]\nservices: []\n", "t:1:1: error: the text lacks"},
    {"deployment: d\ndeployment: e\nzones: [a]\nservices: []\n",
     "t:2:1: error: \"deployment\" stands twice"},
    {SOUND SERVICE "colour: red\n",
     "t:14:1: error: the text has no field \"colour\""},
    {"deployment: d\nzones: [a, a]\nservices: []\n",
     "t:2:12: error: zone \"a\" stands twice"},
    {"deployment: d\nzones: a\nservices: []\n",
     "t:2:8: error: zones must be a list"},
    {"deployment: d\nzones: [\"b c\"]\nservices: []\n",
     "t:2:9: error: \"b c\" is no name for a zone"},
    {SOUND "objective: {load_stall: 0.9, batch_efficiency: 0.3}\n" SERVICE,
     "t:7:12: error: the weights of the objective sum to 1.2, not 1"},
    {SOUND "objective: {load_stall: 2, batch_efficiency: 0}\n" SERVICE,
     "load_stall is 2; it must be from 0 to 1"},
    {SOUND "  - {name: x, model: m, versions: [1]}\n" SERVICE,
     "t:7:5: error: adapter \"x\" stands twice"},
    {SOUND "  - {name: y, model: n, versions: [1]}\n" SERVICE,
     "t:7:5: error: unknown model \"n\""},
    {SOUND "  - {name: y, model: m, versions: []}\n" SERVICE,
     "t:7:35: error: an adapter needs a version"},
    {SOUND "  - {name: y, model: m, versions: [0]}\n" SERVICE,
     "t:7:36: error: a version must be a whole number from 1"},
    {SOUND "  - {name: y, model: m, versions: [2, 2]}\n" SERVICE,
     "t:7:39: error: version 2 stands twice"},
    {SOUND "  - {name: y, model: m}\n" SERVICE,
     "t:7:5: error: adapter lacks \"versions\""},
    {SOUND SERVICE "      - {name: t, zone: a}\n",
     "t:14:9: error: target \"t\" stands twice"},
    {SOUND SERVICE "      - {name: u, zone: c}\n",
     "t:14:9: error: unknown zone \"c\""},
    {SOUND SERVICE "    timeout_ms: -5\n",
     "t:14:17: error: timeout_ms is -5; it must be from 1 to 600000"},
    {SOUND SERVICE "    timeout_ms: soon\n",
     "t:14:17: error: timeout_ms must be a whole number"},
    {SOUND SERVICE "    timeout_ms: 1.5\n",
     "t:14:17: error: timeout_ms must be a whole number"},
    {SOUND SERVICE "    stream: maybe\n",
     "t:14:13: error: stream must be true or false"},
    {SOUND SERVICE "    adapters: [x@3]\n", NULL},
    {SOUND SERVICE "    adapters: [x@2]\n",
     "t:14:16: error: no adapter has the name and version \"x@2\""},
    {SOUND SERVICE "    adapters: [x]\n",
     "no adapter has the name and version \"x\""},
    {SOUND SERVICE "    depends_on: [nowhere]\n",
     "t:14:18: error: unknown service \"nowhere\""},
    {SOUND SERVICE "    depends_on: [s]\n",
     "t:8:5: error: service \"s\" depends on itself"},
    {SOUND SERVICE "    depends_on: [p]\n"
                   "  - {name: p, kind: plain, idempotent: false, "
                   "depends_on: [s], targets: [{name: q, zone: b}]}\n",
     "depends on itself"},
    {SOUND SERVICE "  - {name: p, kind: plain, idempotent: false, "
                   "hedge_ms: 5, targets: [{name: q, zone: b}]}\n",
     "hedge_ms needs an idempotent service"},
    {SOUND SERVICE "  - {name: p, kind: plain, idempotent: false, "
                   "models: [m], targets: [{name: q, zone: b}]}\n",
     "a plain service has no \"models\""},
    {SOUND SERVICE "  - {name: p, kind: odd, idempotent: false, "
                   "targets: [{name: q, zone: b}]}\n",
     "kind is \"odd\"; it must be engines or plain"},
    {SOUND SERVICE "  - {name: p, kind: plain, idempotent: false, "
                   "targets: []}\n",
     "a service needs a target"},
    {"deployment: &x d\nzones: [*x]\nservices: []\n",
     "aliases are not supported"},
    {"a: [[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]]\n", "nested too deeply"},
    {"deployment: d\n---\nother: e\n", "more than one document"},
};

static void
test_findings(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct cm_findings findings;
        CmFindings_Init(&findings, "t", CM_FINDINGS_MAX);
        struct cm_config config;
        bool sound = CmConfig_Init(&config, cases[i].text,
                                   strlen(cases[i].text), &findings);
        char *report = CmFindings_Report(&findings);
        bool as_expected =
            cases[i].finding == NULL
                ? sound && findings.count == 0
                : !sound && strstr(report, cases[i].finding) != NULL;
        if (!as_expected) {
            printf("case %zu:\n%s", i, report);
        }
        CU_ASSERT_TRUE(as_expected);
        g_free(report);
        CmConfig_Finish(&config);
        CmFindings_Finish(&findings);
    }
}

static void
test_all_findings_together(void)
{
    const char *text = SOUND SERVICE "    timeout_ms: x\n    stream: 1\n"
                                     "    depends_on: [a, b]\n";
    struct cm_findings findings;
    CmFindings_Init(&findings, "t", CM_FINDINGS_MAX);
    struct cm_config config;
    CU_ASSERT_FALSE(CmConfig_Init(&config, text, strlen(text), &findings));
    CU_ASSERT_EQUAL(findings.count, 4);
    CmConfig_Finish(&config);
    CmFindings_Finish(&findings);
}

static void
test_lookups(void)
{
    struct cm_findings findings;
    CmFindings_Init(&findings, "t", CM_FINDINGS_MAX);
    struct cm_config config;
    CU_ASSERT_TRUE(CmConfig_Init(&config, SOUND SERVICE, strlen(SOUND SERVICE),
                                 &findings));
    static const struct {
        const char *reference;
        bool known;
    } references[] = {{"x@1", true},   {"x@3", true}, {"x@2", false},
                      {"x", false},    {"x@", false}, {"y@1", false},
                      {"x@1@", false}, {"@1", false}, {"x@01x", false}};
    for (size_t i = 0; i < G_N_ELEMENTS(references); i++) {
        uint32_t version;
        CU_ASSERT_EQUAL(CmConfig_FindAdapter(&config, references[i].reference,
                                             &version) != NULL,
                        references[i].known);
    }
    const struct cm_service *service = CmConfig_FindService(&config, "s");
    CU_ASSERT_PTR_NOT_NULL(service);
    CU_ASSERT_PTR_NULL(CmConfig_FindService(&config, "none"));
    CU_ASSERT_PTR_NOT_NULL(CmConfig_FindTarget(service, "t"));
    CU_ASSERT_PTR_EQUAL(
        CmConfig_FindServiceByModel(&config, &config.models[0]), service);
    CmConfig_Finish(&config);
    CmFindings_Finish(&findings);
}

#define ENTRY                                                                 \
    "name: e\nzone: a\nadmin: 127.0.0.1:1\nlisten: 127.0.0.1:2\n"             \
    "platform: 127.0.0.1:3\n"

static void
test_settings(void)
{
    static const struct {
        const char *text;
        const char *finding;
    } settings[] = {
        {ENTRY, NULL},
        {ENTRY "limits: {waiting: 5}\npeers: [127.0.0.1:4]\n", NULL},
        {ENTRY "limits: {waiting: 0}\n", "t:6:19: error: waiting is 0"},
        {ENTRY "limits: {depth: 1}\n", "limits has no field \"depth\""},
        {ENTRY "log: {level: loud}\n", "log level must be"},
        {ENTRY "log: {format: xml}\n", "log format must be json or text"},
        {"name: e\n", "the settings lacks \"listen\""},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(settings); i++) {
        struct cm_findings findings;
        CmFindings_Init(&findings, "t", CM_FINDINGS_MAX);
        struct cm_entry_settings entry;
        bool sound = CmSettings_ReadEntry(&entry, settings[i].text,
                                          strlen(settings[i].text), &findings);
        char *report = CmFindings_Report(&findings);
        CU_ASSERT_EQUAL(sound, settings[i].finding == NULL);
        CU_ASSERT_TRUE(settings[i].finding == NULL ||
                       strstr(report, settings[i].finding) != NULL);
        g_free(report);
        CmSettings_FinishEntry(&entry);
        CmFindings_Finish(&findings);
    }
}

static const struct cm_test tests[] = {
    {"findings with their place", test_findings},
    {"all findings together", test_all_findings_together},
    {"lookups", test_lookups},
    {"settings", test_settings},
};

CM_TEST_MAIN("config", tests)
