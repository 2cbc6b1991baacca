/// @file intake.h
/// Limits of the connections that a process accepts at one or more ports:
/// their number, and the memory that their requests take.

#ifndef MEMORY_INTAKE_H
#define MEMORY_INTAKE_H

#include <stdbool.h>

#include "base/list.h"
#include "memory/budget.h"

/// Time in which a new connection's first request begins: the slowest round
/// trip. Later it is the first to make room for others.
#define CM_INTAKE_FIRST_REQUEST_MS 1000

/// What a connection does.
enum cm_intake_client_phase {
    CM_INTAKE_IDLE,     ///< no part of a request has arrived
    CM_INTAKE_ARRIVING, ///< a part of one has
    CM_INTAKE_BUSY,     ///< its request is in progress
};

/// Why a connection is ended.
enum cm_intake_client_end {
    CM_INTAKE_END_MEMORY, ///< the requests of all clients take too much memory
    CM_INTAKE_END_CROWDED, ///< a new connection needs its place
};

struct cm_intake {
    struct cm_memory_budget *budget;
    struct cm_clock *clock;
    int64_t max; ///< connections
    int64_t count;
    int64_t evicted; ///< connections that made room for new ones
    TAILQ_HEAD(, cm_intake_client) clients;
};

/// One accepted connection, in memory of its owner.
struct cm_intake_client {
    TAILQ_ENTRY(cm_intake_client) link;
    struct cm_intake *intake;
    struct cm_memory_hold hold;
    enum cm_intake_client_phase phase;
    bool has_requested;    ///< a whole request has arrived
    struct timespec since; ///< last input, or end of the last response
    /// Ends the connection, and with it the client.
    void (*end)(struct cm_intake_client *client,
                enum cm_intake_client_end why);
};

/// Initializes an intake without clients.
void
CmIntake_Init(struct cm_intake *intake, struct cm_memory_budget *budget,
              struct cm_clock *clock, int64_t max);

/// Makes room for a new connection by ending another one without a request in
/// progress, if need be: one that is slow to send its first request, or else
/// the one that has been still for the longest time.
/// @param others connections that count, too, but can't be ended.
/// @return whether there is room.
bool
CmIntake_MakeRoom(struct cm_intake *intake, int64_t others);

/// Adds a client that has just connected.
void
CmIntakeClient_Init(struct cm_intake_client *client, struct cm_intake *intake,
                    void (*end)(struct cm_intake_client *client,
                                enum cm_intake_client_end why));

/// Removes the client and gives its memory back.
void
CmIntakeClient_Finish(struct cm_intake_client *client);

/// Records that a part of a request has arrived.
/// @param bytes memory that the request takes so far.
/// @return false if the client was ended, as all of them take too much.
bool
CmIntakeClient_Arriving(struct cm_intake_client *client, size_t bytes);

/// Records that a request has arrived whole and is to be served.
/// @param bytes memory that it takes until it has been.
/// @return whether it may be served: otherwise there is no memory for it, and
/// nothing is held for it.
bool
CmIntakeClient_Begin(struct cm_intake_client *client, size_t bytes);

/// Records that no request is in progress any more.
/// @param bytes memory that the connection keeps.
void
CmIntakeClient_BecomeIdle(struct cm_intake_client *client, size_t bytes);

#endif
