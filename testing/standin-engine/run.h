/// @file run.h
/// One generation request in an engine: its output and who reads it.

#ifndef RUN_H
#define RUN_H

#include "engine.h"

struct engine_run {
    TAILQ_ENTRY(engine_run) link;
    struct engine *engine;
    struct evhttp_request *request; ///< reader, NULL while there is none
    char *id;
    char *adapter;
    int priority;
    int max_tokens;
    int tokens;
    int prefill_steps; ///< steps before the first token
    bool chat;
    bool stream;
    bool finished;
    bool resumable;
    bool silent;       ///< the reader gets nothing more
    GString *response; ///< bytes sent or to be sent
    size_t sent_size;  ///< offset up to which the reader has them
};

/// Makes a run of a parsed request; NULL where the body is not valid.
struct engine_run *
Run_New(struct engine *engine, struct evhttp_request *request, json_t *body,
        bool chat);

/// Frees the run; its reader must be gone.
void
Run_Free(struct engine_run *run);

/// Adds the next token to the output; finishes at the last one.
void
Run_DecodeStep(struct engine_run *run);

/// Sends what the reader has not got yet, and the end where it is there.
void
Run_SendPending(struct engine_run *run);

/// Lets `request` read from `offset` on, in place of the present reader.
void
Run_AttachClient(struct engine_run *run, struct evhttp_request *request,
                 size_t offset);

#endif
