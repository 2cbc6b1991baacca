/// @file standin_process.c
/// Runs a stand-in server as a child process of a contract test.

#include "standin_process.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define CONNECT_ATTEMPTS 200
#define CONNECT_INTERVAL_US 25000

static struct sockaddr_in
loopback(int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int
StandinProcess_FreePort(void)
{
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    struct sockaddr_in address = loopback(0);
    socklen_t size = sizeof(address);
    if (bind(fd, (struct sockaddr *)&address, size) != 0 ||
        getsockname(fd, (struct sockaddr *)&address, &size) != 0) {
        perror("cannot get a free TCP port");
        exit(EXIT_FAILURE);
    }
    close(fd);
    return ntohs(address.sin_port);
}

static gboolean
accepts_connections(int port)
{
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    struct sockaddr_in address = loopback(port);
    int result = connect(fd, (struct sockaddr *)&address, sizeof(address));
    close(fd);
    return result == 0;
}

void
StandinProcess_Start(struct standin_process *process, const char *program,
                     int port, const char *const *arguments)
{
    GPtrArray *argv = g_ptr_array_new();
    char *path = g_build_filename(CM_BINARY_DIR, program, NULL);
    g_ptr_array_add(argv, path);
    for (size_t i = 0; arguments[i] != NULL; i++) {
        g_ptr_array_add(argv, (gpointer)arguments[i]);
    }
    g_ptr_array_add(argv, NULL);
    GError *error = NULL;
    if (!g_spawn_async(NULL, (char **)argv->pdata, NULL,
                       G_SPAWN_DO_NOT_REAP_CHILD, NULL, NULL, &process->pid,
                       &error)) {
        fprintf(stderr, "cannot start %s: %s\n", program, error->message);
        exit(EXIT_FAILURE);
    }
    process->port = port;
    snprintf(process->address, sizeof(process->address), "127.0.0.1:%d", port);
    for (int i = 0; i < CONNECT_ATTEMPTS && !accepts_connections(port); i++) {
        usleep(CONNECT_INTERVAL_US);
    }
    g_ptr_array_free(argv, TRUE);
    g_free(path);
}

void
StandinProcess_Stop(struct standin_process *process)
{
    kill(process->pid, SIGTERM);
    waitpid(process->pid, NULL, 0);
}
