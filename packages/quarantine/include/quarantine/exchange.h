/// @file exchange.h
/// Message between two gateways: crash records and the addresses of gateways,
/// as JSON. Times are sent as ages, since clocks differ between machines.

#ifndef QUARANTINE_EXCHANGE_H
#define QUARANTINE_EXCHANGE_H

#include <glib.h>

#include "peers/peer_news.h"
#include "quarantine/crash_record.h"

/// Most records of one message; further ones follow in the next one.
#define CM_EXCHANGE_RECORDS_MAX 48
/// Most gateways of which one message tells.
#define CM_EXCHANGE_PEERS_MAX 4
/// Longest message, in bytes.
#define CM_EXCHANGE_BYTES_MAX ((size_t)512 * 1024)

/// One message. Requests and responses have the same form.
struct cm_exchange {
    char from[CM_CRASH_NAME_SIZE]; ///< sender's address, IP:PORT
    uint64_t digest;               ///< of all records that the sender has
    struct timespec horizon; ///< the sender takes no older records; 0 if none
    bool seeks_ids; ///< in polls: the sender has records that others may lack
    bool has_ids;   ///< `ids` lists all of the sender's records
    GArray *ids;    ///< of uint64_t
    bool has_self;  ///< in polls and their responses
    struct cm_peer_news self; ///< the sender; without its address
    size_t n_others;
    struct cm_peer_news others[CM_EXCHANGE_PEERS_MAX];
    bool has_reader; ///< in responses to polls: what the sender knew of the
                     ///< reader
    int64_t reader_candidate_ms; ///< as cm_peer_news.candidate_ms
    struct cm_crash_records records;
    char
        claim[CM_CONTENT_SIZE]; ///< content that the sender asks to try, or ""
    uint64_t claim_id;          ///< random; the same when a claim is repeated
    bool granted;               ///< the answer to a claim
};

/// Initializes an empty message.
void
CmExchange_Init(struct cm_exchange *exchange, const char *from,
                uint64_t digest);

void
CmExchange_Finish(struct cm_exchange *exchange);

/// @return the message as JSON, to be freed with free().
char *
CmExchange_Encode(const struct cm_exchange *exchange, struct timespec now);

/// Reads a message into an initialized one.
/// @return false if it is malformed; `exchange` is then to be finished only.
bool
CmExchange_Decode(struct cm_exchange *exchange, const char *text, size_t size,
                  struct timespec now);

#endif
