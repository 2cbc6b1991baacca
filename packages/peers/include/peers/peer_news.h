/// @file peer_news.h
/// What one gateway tells another of a third one, or of itself, as JSON. Times
/// are sent as ages, since clocks differ between machines.

#ifndef PEERS_PEER_NEWS_H
#define PEERS_PEER_NEWS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/// Size of a gateway's control address, IP:PORT; longer ones are truncated.
#define CM_PEER_ADDRESS_SIZE 64
/// An age of what has never happened, or is not known.
#define CM_PEER_NEVER (-1)

struct cm_peer_news {
    char address[CM_PEER_ADDRESS_SIZE];
    int64_t candidate_ms; ///< since it became a candidate
    int64_t steady_ms;    ///< since it runs without interruption
    int64_t heard_ms;     ///< since the teller was last in contact with it
};

/// Reads an age, which may be CM_PEER_NEVER.
/// @return whether it is valid.
bool
CmPeerNews_DecodeAge(int64_t *ms, const json_t *json);

/// @return the ages as a JSON array, a new reference.
json_t *
CmPeerNews_Encode(const struct cm_peer_news *news);

/// Reads the ages; the address is left as it is.
/// @return whether they are valid.
bool
CmPeerNews_Decode(struct cm_peer_news *news, const json_t *json);

#endif
