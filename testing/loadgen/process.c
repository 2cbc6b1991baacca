/// @file process.c
/// Processes of the deployment.

#include "process.h"

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/types.h>
#include <sys/wait.h>
#include <unistd.h>

static pid_t
pid_of(const struct stack *stack, const char *name)
{
    return (pid_t)json_integer_value(
        json_object_get(json_object_get(stack->json, "pids"), name));
}

void
Process_Signal(const struct stack *stack, const char *name, int number)
{
    pid_t pid = pid_of(stack, name);
    if (pid > 0) {
        kill(pid, number);
    }
}

bool
Process_Runs(const struct stack *stack, const char *name)
{
    pid_t pid = pid_of(stack, name);
    waitpid(pid, NULL, WNOHANG); // where it is a child of this process
    char path[64];
    snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
    char *text;
    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        return false;
    }
    const char *state = strrchr(text, ')');
    bool runs = state != NULL && state[2] != 'Z';
    g_free(text);
    return runs;
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
Process_Restart(struct stack *stack, const char *name)
{
    const json_t *command =
        json_object_get(json_object_get(stack->json, "commands"), name);
    GPtrArray *arguments = g_ptr_array_new();
    for (size_t i = 0; i < json_array_size(command); i++) {
        g_ptr_array_add(arguments, (gpointer)json_string_value(
                                       json_array_get(command, i)));
    }
    g_ptr_array_add(arguments, NULL);
    char *log = g_strdup_printf(
        "%s/%s.log", json_string_value(json_object_get(stack->json, "logs")),
        name);
    GPid pid = 0;
    GError *error = NULL;
    if (g_spawn_async(NULL, (char **)arguments->pdata, NULL,
                      G_SPAWN_DO_NOT_REAP_CHILD, redirect_output, log, &pid,
                      &error)) {
        json_object_set_new(json_object_get(stack->json, "pids"), name,
                            json_integer(pid));
    }
    else {
        fprintf(stderr, "loadgen: %s\n", error->message);
        g_clear_error(&error);
    }
    g_free(log);
    g_ptr_array_free(arguments, TRUE);
}

void
Process_Save(const struct stack *stack, const char *path)
{
    json_dump_file(stack->json, path, JSON_INDENT(1));
}
