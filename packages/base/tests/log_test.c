/// @file log_test.c
/// Guards against a log that blocks the process once nothing reads its pipe,
/// and against one without a rate limit.

#include "base/log.h"

#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "cm_test.h"

#define LINES_WRITTEN 20000

/// Logs LINES_WRITTEN lines while standard output is a pipe that is not read.
/// @return the content of the pipe afterwards, to be freed.
static char *
fill_pipe(GLogLevelFlags level)
{
    int pipe_fds[2];
    CU_ASSERT_EQUAL_FATAL(pipe(pipe_fds), 0);
    fflush(stdout);
    int saved_stdout = dup(STDOUT_FILENO);
    dup2(pipe_fds[1], STDOUT_FILENO);
    for (int i = 0; i < LINES_WRITTEN; i++) {
        CmLog_Event(level, "test", "r1", "line %d", i);
    }
    dup2(saved_stdout, STDOUT_FILENO);
    close(saved_stdout);
    close(pipe_fds[1]);
    GString *text = g_string_new(NULL);
    char buffer[4096];
    ssize_t size;
    while ((size = read(pipe_fds[0], buffer, sizeof(buffer))) > 0) {
        g_string_append_len(text, buffer, size);
    }
    close(pipe_fds[0]);
    return g_string_free(text, FALSE);
}

static void
test_full_pipe_does_not_block(void)
{
    static const GLogLevelFlags levels[] = {G_LOG_LEVEL_INFO,
                                            G_LOG_LEVEL_WARNING};
    CmLog_Init(CM_LOG_JSON, G_LOG_LEVEL_INFO, "p");
    for (size_t i = 0; i < G_N_ELEMENTS(levels); i++) {
        // The pipe is not read, so a blocking write would never return.
        char *text = fill_pipe(levels[i]);
        CU_ASSERT_PTR_NOT_NULL(strstr(text, "\"line 0\""));
        CU_ASSERT_PTR_NULL(strstr(text, "\"line 19999\""));
        g_free(text);
    }
}

static const struct cm_test tests[] = {
    {"full pipe does not block", test_full_pipe_does_not_block}};

CM_TEST_MAIN("log", tests)
