/// @file intake.h
/// Limits of the connections that a process accepts at one or more ports:
/// their number, and the memory that their requests take.

#ifndef H1_INTAKE_H
#define H1_INTAKE_H

#include <stdbool.h>

#include "base/list.h"
#include "memory/budget.h"

/// Time in which a new connection's first request begins: the slowest round
/// trip. Later it is the first to make room for others.
#define CM_H1_FIRST_REQUEST_MS 1000

/// What a connection does.
enum cm_h1_client_phase {
    CM_H1_CLIENT_IDLE,     ///< no part of a request has arrived
    CM_H1_CLIENT_ARRIVING, ///< a part of one has
    CM_H1_CLIENT_BUSY,     ///< its request is in progress
};

/// Why a connection is ended.
enum cm_h1_client_end {
    CM_H1_END_MEMORY,  ///< the requests of all clients take too much memory
    CM_H1_END_CROWDED, ///< a new connection needs its place
};

struct cm_h1_intake {
    struct cm_memory_budget *budget;
    struct cm_clock *clock;
    int64_t max; ///< connections
    int64_t count;
    int64_t evicted; ///< connections that made room for new ones
    TAILQ_HEAD(, cm_h1_client) clients;
};

/// One accepted connection, in memory of its owner.
struct cm_h1_client {
    TAILQ_ENTRY(cm_h1_client) link;
    struct cm_h1_intake *intake;
    struct cm_memory_hold hold;
    enum cm_h1_client_phase phase;
    bool has_requested;    ///< a whole request has arrived
    struct timespec since; ///< last input, or end of the last response
    /// Ends the connection, and with it the client.
    void (*end)(struct cm_h1_client *client, enum cm_h1_client_end why);
};

/// Initializes an intake without clients.
void
CmH1Intake_Init(struct cm_h1_intake *intake, struct cm_memory_budget *budget,
                struct cm_clock *clock, int64_t max);

/// Makes room for a new connection by ending another one without a request in
/// progress, if need be: one that is slow to send its first request, or else
/// the one that has been still for the longest time.
/// @param others connections that count, too, but can't be ended.
/// @return whether there is room.
bool
CmH1Intake_MakeRoom(struct cm_h1_intake *intake, int64_t others);

/// Adds a client that has just connected.
void
CmH1Client_Init(struct cm_h1_client *client, struct cm_h1_intake *intake,
                void (*end)(struct cm_h1_client *client,
                            enum cm_h1_client_end why));

/// Removes the client and gives its memory back.
void
CmH1Client_Finish(struct cm_h1_client *client);

/// Records that a part of a request has arrived.
/// @param bytes memory that the request takes so far.
/// @return false if the client was ended, as all of them take too much.
bool
CmH1Client_Arriving(struct cm_h1_client *client, size_t bytes);

/// Records that a request has arrived whole and is to be served.
/// @param bytes memory that it takes until it has been.
/// @return whether it may be served: otherwise there is no memory for it, and
/// nothing is held for it.
bool
CmH1Client_Begin(struct cm_h1_client *client, size_t bytes);

/// Records that no request is in progress any more.
/// @param bytes memory that the connection keeps.
void
CmH1Client_BecomeIdle(struct cm_h1_client *client, size_t bytes);

#endif
