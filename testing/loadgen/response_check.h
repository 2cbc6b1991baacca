/// @file response_check.h
/// Whether an answer is the whole answer to its own request.

#ifndef RESPONSE_CHECK_H
#define RESPONSE_CHECK_H

#include "sender.h"

/// Sets `wrong` or `cut` of the result where the body is not what the
/// stand-ins answer to this request.
void
Response_Check(struct inflight_request *inflight);

#endif
