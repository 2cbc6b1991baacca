/// @file program.c
/// Starts a program from its settings file.

#include "config/program.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>

#include "config/yaml.h"

#define SETTINGS_DEFAULT "/etc/coriandermoor/boot.json"
#define SETTINGS_VARIABLE "CORIANDERMOOR_BOOT"
#define NS_PER_S 1000000000LL

static int
start(const struct cm_program *program, const char *path, const char *text,
      size_t size, void *settings, void *state)
{
    struct cm_findings findings;
    CmFindings_Init(&findings, path, CM_FINDINGS_MAX);
    struct cm_settings *common = settings;
    int code = EXIT_FAILURE;
    if (program->read(settings, text, size, &findings)) {
        common->path = path;
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

bool
CmProgram_FileChanged(const char *path, struct cm_file_stamp *mark)
{
    struct stat now;
    if (stat(path, &now) != 0) {
        return false;
    }
    struct cm_file_stamp seen = {
        .modified_ns = now.st_mtim.tv_sec * NS_PER_S + now.st_mtim.tv_nsec,
        .size = now.st_size,
        .number = now.st_ino,
    };
    bool first = mark->number == 0;
    bool changed = seen.modified_ns != mark->modified_ns ||
                   seen.size != mark->size || seen.number != mark->number;
    *mark = seen;
    return changed && !first;
}

static void
log_findings(const struct cm_findings *findings)
{
    char *report = CmFindings_Report(findings);
    char **lines = g_strsplit(g_strchomp(report), "\n", -1);
    for (size_t i = 0; lines[i] != NULL; i++) {
        CmLog_Event(G_LOG_LEVEL_CRITICAL, "settings", NULL, "%s", lines[i]);
    }
    g_strfreev(lines);
    g_free(report);
}

bool
CmProgram_ReloadSettings(const struct cm_program *program, const char *path,
                         void *settings)
{
    size_t size;
    GError *error = NULL;
    char *text = CmSettings_LoadFile(path, &size, &error);
    if (text == NULL) {
        CmLog_Event(G_LOG_LEVEL_CRITICAL, "settings", NULL, "%s",
                    error->message);
        g_clear_error(&error);
        return false;
    }
    struct cm_findings findings;
    CmFindings_Init(&findings, path, CM_FINDINGS_MAX);
    bool sound = program->read(settings, text, size, &findings);
    if (!sound) {
        log_findings(&findings);
        CmYaml_Finish(&((struct cm_settings *)settings)->yaml);
    }
    CmFindings_Finish(&findings);
    g_free(text);
    return sound;
}

const char *
CmProgram_DefaultSettingsPath(void)
{
    const char *path = g_getenv(SETTINGS_VARIABLE);
    return path != NULL ? path : SETTINGS_DEFAULT;
}
