/// @file response_check.h
/// Checks responses of the stand-ins against the requests that they answer.

#ifndef RESPONSE_CHECK_H
#define RESPONSE_CHECK_H

#include "sender.h"

/// Sets `wrong` of the result if the body of a 200 response is incomplete or
/// isn't what the stand-ins produce for this request. Keeps the body of a
/// plain response in `ledger_body`.
void
Response_Check(struct inflight_request *inflight);

#endif
