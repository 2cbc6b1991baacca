/// @file response_check.h
/// Whether an answer is the whole answer to its own request.

#ifndef ANSWERS_H
#define ANSWERS_H

#include "sender.h"

/// Sets `wrong` or `cut` of the result where the body is not what the
/// stand-ins answer to this request.
void
Answer_Check(struct sending *sending);

#endif
