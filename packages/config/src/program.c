/// @file program.c
/// Runs a program from its settings file and reloads the settings.

#include "config/program.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>

#include "config/yaml.h"

#define SETTINGS_DEFAULT "/etc/coriandermoor/boot.json"
#define SETTINGS_VARIABLE "CORIANDERMOOR_BOOT"
#define NS_PER_S 1000000000LL

static void
change_mask(int how)
{
    sigset_t held;
    sigemptyset(&held);
    sigaddset(&held, SIGHUP);
    sigaddset(&held, SIGINT);
    sigaddset(&held, SIGTERM);
    sigprocmask(how, &held, NULL);
}

void
CmProgram_HoldSignals(void)
{
    change_mask(SIG_BLOCK);
}

void
CmProgram_ReleaseSignals(void)
{
    change_mask(SIG_UNBLOCK);
}

static int
read_and_run(const struct cm_program *program, const char *path,
             const char *text, size_t size, void *settings, void *state)
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
    int code = read_and_run(program, path, text, size, settings, state);
    g_free(text);
    return code;
}

bool
CmProgram_FileChanged(const char *path, struct cm_file_stamp *stamp)
{
    struct stat now;
    if (stat(path, &now) != 0) {
        return false;
    }
    struct cm_file_stamp current = {
        .modified_ns = now.st_mtim.tv_sec * NS_PER_S + now.st_mtim.tv_nsec,
        .size = now.st_size,
        .inode = now.st_ino,
    };
    bool first_call = stamp->inode == 0;
    bool changed = current.modified_ns != stamp->modified_ns ||
                   current.size != stamp->size ||
                   current.inode != stamp->inode;
    *stamp = current;
    return changed && !first_call;
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
    bool valid = program->read(settings, text, size, &findings);
    if (!valid) {
        log_findings(&findings);
        CmYaml_Finish(&((struct cm_settings *)settings)->yaml);
    }
    CmFindings_Finish(&findings);
    g_free(text);
    return valid;
}

const char *
CmProgram_DefaultSettingsPath(void)
{
    const char *path = g_getenv(SETTINGS_VARIABLE);
    return path != NULL ? path : SETTINGS_DEFAULT;
}
