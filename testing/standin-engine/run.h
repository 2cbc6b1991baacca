/// @file run.h
/// A run: one completion request in an engine, with its response so far and
/// the client connection that receives it.

#ifndef RUN_H
#define RUN_H

#include "engine.h"

struct engine_run {
    TAILQ_ENTRY(engine_run) link;
    struct engine *engine;
    struct evhttp_request *request; ///< client, NULL while none is connected
    char *id;                       ///< of the request
    char *adapter;
    int priority; ///< 0 is the most urgent
    int max_tokens;
    int tokens;        ///< generated so far
    int prefill_steps; ///< decode steps left before the first token
    bool chat;
    bool stream;
    bool finished;     ///< complete or cancelled
    bool resumable;    ///< survives the loss of its client connection
    bool silent;       ///< injected fault: the client gets nothing more
    GString *response; ///< generated so far
    size_t sent_size;  ///< bytes of `response` sent to the client
};

/// Creates a run from the parsed body of `request`.
/// @return the run, or NULL if the body has no model or no prompt.
struct engine_run *
Run_New(struct engine *engine, struct evhttp_request *request, json_t *body,
        bool chat);

/// Frees the run. Does not close its client connection.
void
Run_Free(struct engine_run *run);

/// Runs one decode step: continues the prefill, or appends the next token to
/// the response and finishes the run at the last one.
void
Run_DecodeStep(struct engine_run *run);

/// Sends the part of the response that the client has not received yet, and
/// ends the answer of a finished run. A response that is not streamed is sent
/// once it is complete.
void
Run_SendPending(struct engine_run *run);

/// Makes `request` the client of the run, in place of the present one, which
/// is disconnected.
/// @param offset of the first byte of the response to send.
void
Run_AttachClient(struct engine_run *run, struct evhttp_request *request,
                 size_t offset);

#endif
