/// @file socket_test.c
/// Sockets whose calls are interrupted by signals.

#include "link/socket.h"

#include <signal.h>
#include <string.h>
#include <sys/time.h>
#include <zmq.h>

#include "cm_test.h"

#define SIGNAL_INTERVAL_US 50
#define BINDS 300
#define MESSAGES 5000
#define RECEIVE_TIMEOUT_S 5

static void
ignore_signal(int number)
{
}

/// Starts a series of signals that interrupt system calls, or ends it.
static void
set_signals(bool active)
{
    struct sigaction action = {.sa_handler = ignore_signal};
    struct itimerval timer = {0};
    timer.it_interval.tv_usec = active ? SIGNAL_INTERVAL_US : 0;
    timer.it_value = timer.it_interval;
    sigaction(SIGALRM, &action, NULL);
    setitimer(ITIMER_REAL, &timer, NULL);
}

static void
ignore_message(void *context, const struct cm_link_peer *peer,
               const struct cm_message *message)
{
}

static void
test_bind_and_connect(void)
{
    void *zmq = zmq_ctx_new();
    struct event_base *base = event_base_new();
    int failed = 0;
    set_signals(true);
    for (int i = 0; i < BINDS; i++) {
        struct cm_link_socket router = {0};
        struct cm_link_socket dealer = {0};
        GError *error = NULL;
        failed += !CmLink_Bind(&router, zmq, base, "tcp://127.0.0.1:*",
                               ignore_message, NULL, &error);
        g_clear_error(&error);
        failed +=
            !CmLink_Connect(&dealer, zmq, base, "name", "tcp://127.0.0.1:9",
                            ignore_message, NULL, &error);
        g_clear_error(&error);
        CmLink_Finish(&dealer);
        CmLink_Finish(&router);
    }
    set_signals(false);
    CU_ASSERT_EQUAL(failed, 0);
    event_base_free(base);
    zmq_ctx_term(zmq);
}

static void
count_message(void *context, const struct cm_link_peer *peer,
              const struct cm_message *message)
{
    int *n_received = context;
    (*n_received)++;
}

static void
test_send_and_receive(void)
{
    void *zmq = zmq_ctx_new();
    struct event_base *base = event_base_new();
    struct cm_link_socket router = {0};
    struct cm_link_socket dealer = {0};
    char endpoint[64];
    size_t size = sizeof(endpoint);
    int n_received = 0;
    CU_ASSERT_TRUE_FATAL(CmLink_Bind(&router, zmq, base, "tcp://127.0.0.1:*",
                                     count_message, &n_received, NULL));
    zmq_getsockopt(router.socket, ZMQ_LAST_ENDPOINT, endpoint, &size);
    CU_ASSERT_TRUE_FATAL(CmLink_Connect(&dealer, zmq, base, "name", endpoint,
                                        ignore_message, NULL, NULL));
    const struct cm_message message = {.type = CM_MSG_CANCEL,
                                       .cancel = {{"id", 2}}};
    while (!CmLink_Send(&dealer, NULL, &message)) {
        g_usleep(1000);
    }
    int n_sent = 1;
    set_signals(true);
    for (int i = 0; i < MESSAGES; i++) {
        n_sent += CmLink_Send(&dealer, NULL, &message);
        event_base_loop(base, EVLOOP_NONBLOCK);
    }
    set_signals(false);
    gint64 end = g_get_monotonic_time() + RECEIVE_TIMEOUT_S * G_USEC_PER_SEC;
    while (n_received < n_sent && g_get_monotonic_time() < end) {
        event_base_loop(base, EVLOOP_NONBLOCK);
    }
    CU_ASSERT_EQUAL(n_sent, MESSAGES + 1);
    CU_ASSERT_EQUAL(n_received, n_sent);
    CmLink_Finish(&dealer);
    CmLink_Finish(&router);
    event_base_free(base);
    zmq_ctx_term(zmq);
}

static const struct cm_test tests[] = {
    {"bind and connect", test_bind_and_connect},
    {"send and receive", test_send_and_receive},
};

CM_TEST_MAIN("link/socket", tests)
