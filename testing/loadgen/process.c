/// @file process.c
/// Signals and restarts processes of the deployment.

#include "process.h"

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/types.h>
#include <sys/wait.h>
#include <unistd.h>

static pid_t
process_pid(const struct deployment *deployment, const char *name)
{
    return (pid_t)json_integer_value(
        json_object_get(json_object_get(deployment->json, "pids"), name));
}

void
Process_Signal(const struct deployment *deployment, const char *name,
               int signal_number)
{
    pid_t pid = process_pid(deployment, name);
    if (pid > 0) {
        kill(pid, signal_number);
    }
}

bool
Process_IsRunning(const struct deployment *deployment, const char *name)
{
    pid_t pid = process_pid(deployment, name);
    waitpid(pid, NULL, WNOHANG); // reaps a process that loadgen restarted
    char path[64];
    snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
    char *text;
    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        return false;
    }
    const char *state = strrchr(text, ')');
    bool running = state != NULL && state[2] != 'Z';
    g_free(text);
    return running;
}

static void
redirect_output(gpointer path)
{
    int fd = open(path, O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (fd >= 0) {
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        close(fd);
    }
    setsid();
}

void
Process_Restart(struct deployment *deployment, const char *name)
{
    const json_t *command =
        json_object_get(json_object_get(deployment->json, "commands"), name);
    GPtrArray *arguments = g_ptr_array_new();
    for (size_t i = 0; i < json_array_size(command); i++) {
        g_ptr_array_add(arguments, (gpointer)json_string_value(
                                       json_array_get(command, i)));
    }
    g_ptr_array_add(arguments, NULL);
    char *log = g_strdup_printf(
        "%s/%s.log",
        json_string_value(json_object_get(deployment->json, "logs")), name);
    GPid pid = 0;
    GError *error = NULL;
    if (g_spawn_async(NULL, (char **)arguments->pdata, NULL,
                      G_SPAWN_DO_NOT_REAP_CHILD, redirect_output, log, &pid,
                      &error)) {
        json_object_set_new(json_object_get(deployment->json, "pids"), name,
                            json_integer(pid));
    }
    else {
        fprintf(stderr, "loadgen: cannot restart %s: %s\n", name,
                error->message);
        g_clear_error(&error);
    }
    g_free(log);
    g_ptr_array_free(arguments, TRUE);
}

void
Process_SavePids(const struct deployment *deployment, const char *path)
{
    json_dump_file(deployment->json, path, JSON_INDENT(1));
}
