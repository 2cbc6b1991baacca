/// @file lookup.h
/// Lookup of a stream's record at its holders, without sockets: whom to ask,
/// how often, and what follows from the answers.

#ifndef STREAMS_LOOKUP_H
#define STREAMS_LOOKUP_H

#include "streams/holders.h"
#include "streams/message.h"

/// Time after which holders that have not answered are asked again, as
/// datagrams may be lost, and number of times that they are asked.
#define CM_STREAM_LOOKUP_ROUND_MS 60
#define CM_STREAM_LOOKUP_ROUNDS 3
/// Size of the buffer for a holder's address.
#define CM_STREAM_ADDRESS_SIZE 24

enum cm_stream_lookup_state {
    CM_STREAM_LOOKUP_PENDING, ///< answers are missing
    CM_STREAM_LOOKUP_KNOWN,   ///< a holder has the record
    CM_STREAM_LOOKUP_UNKNOWN, ///< no holder that answered has it
};

struct cm_stream_holder {
    char address[CM_STREAM_ADDRESS_SIZE];
    bool answered;
};

struct cm_stream_lookup {
    char id[CM_STREAM_NAME_SIZE];
    struct cm_stream_holder holders[CM_STREAM_HOLDERS_ASKED];
    size_t n_holders;
    int rounds; ///< in which holders were asked
    enum cm_stream_lookup_state state;
    struct cm_stream_record record;      ///< if known
    int64_t age_ms;                      ///< time since its renewal there
    char source[CM_STREAM_ADDRESS_SIZE]; ///< address of the holder
};

/// @param addresses of the holders, which are copied.
void
CmStreamLookup_Init(struct cm_stream_lookup *lookup, const char *id,
                    const char *const addresses[], size_t n);

/// Begins a round.
/// @param[out] addresses of the holders to ask.
/// @return their number; 0 if the lookup has ended.
size_t
CmStreamLookup_NextRound(struct cm_stream_lookup *lookup,
                         const char *addresses[CM_STREAM_HOLDERS_ASKED]);

/// Applies an answer that came from `address`.
/// @return the state afterwards.
enum cm_stream_lookup_state
CmStreamLookup_HandleAnswer(struct cm_stream_lookup *lookup,
                            const char *address,
                            const struct cm_stream_message *answer);

#endif
