/// @file start.c
/// Starts a program from its settings file.

#include "config/start.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "config/yaml.h"

#define SETTINGS_DEFAULT "/etc/coriandermoor/boot.json"
#define SETTINGS_VARIABLE "CORIANDERMOOR_BOOT"

static int
start(const struct cm_program *program, const char *path, const char *text,
      size_t size, void *settings, void *state)
{
    struct cm_findings findings;
    CmFindings_Init(&findings, path, CM_FINDINGS_MAX);
    struct cm_settings *common = settings;
    int code = EXIT_FAILURE;
    if (program->read(settings, text, size, &findings)) {
        CmLog_Init(common->log_format, common->log_level, common->name);
        code = program->run(state);
    }
    else {
        char *report = CmFindings_Report(&findings);
        fputs(report, stderr);
        g_free(report);
    }
    CmYaml_Finish(&common->yaml);
    CmFindings_Finish(&findings);
    return code;
}

int
CmProgram_Start(const struct cm_program *program, const char *path,
                void *settings, void *state)
{
    signal(SIGPIPE, SIG_IGN);
    size_t size;
    GError *error = NULL;
    char *text = CmSettings_LoadFile(path, &size, &error);
    if (text == NULL) {
        fprintf(stderr, "%s: %s\n", program->name, error->message);
        g_clear_error(&error);
        return EXIT_FAILURE;
    }
    int code = start(program, path, text, size, settings, state);
    g_free(text);
    return code;
}

const char *
CmProgram_DefaultSettings(void)
{
    const char *path = g_getenv(SETTINGS_VARIABLE);
    return path != NULL ? path : SETTINGS_DEFAULT;
}
