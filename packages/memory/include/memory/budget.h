/// @file budget.h
/// Owner of the memory that peers can make a process hold: messages that
/// arrive, requests in progress, responses, and output that is not read. It
/// bounds the sum over all connections of all ports, in both directions, and
/// chooses what ends when the sum exceeds its limit.

#ifndef MEMORY_BUDGET_H
#define MEMORY_BUDGET_H

#include <stdbool.h>

#include "memory/budget_defs.h"

#define CM_MIB ((size_t)1024 * 1024)

/// Initializes an empty budget.
/// @param max_bytes limit of all classes together.
void
CmMemoryBudget_Init(struct cm_memory_budget *budget, struct cm_clock *clock,
                    size_t max_bytes);

/// Changes the limit. CmMemoryBudget_Enforce() applies a lower one.
void
CmMemoryBudget_SetMax(struct cm_memory_budget *budget, size_t max_bytes);

/// Releases holds of a class until it is within its limit, the one first for
/// which the least is lost. May end the connection that calls it.
void
CmMemoryBudget_Enforce(struct cm_memory_budget *budget,
                       enum cm_memory_class class);

/// @return whether a hold of `bytes` may join a class. Once half of the class
/// is taken, it gets at most half of what is left, so that small ones still
/// fit beside many large ones. A denial is counted.
bool
CmMemoryBudget_Admit(struct cm_memory_budget *budget,
                     enum cm_memory_class class, size_t bytes);

/// @return bytes that are held in all classes.
size_t
CmMemoryBudget_Total(const struct cm_memory_budget *budget);

/// @return the name of a class, for logs and metrics.
const char *CmMemoryClass_Name(enum cm_memory_class class);

/// Initializes an empty hold.
/// @param release NULL if it is never released.
void
CmMemoryHold_Init(struct cm_memory_hold *hold, struct cm_memory_budget *budget,
                  enum cm_memory_class class,
                  void (*release)(struct cm_memory_hold *hold));

/// Gives all of it back. May be called more than once.
void
CmMemoryHold_Finish(struct cm_memory_hold *hold);

/// Changes what is held.
void
CmMemoryHold_Set(struct cm_memory_hold *hold, size_t bytes);

/// Records that the peer has sent or read something just now.
void
CmMemoryHold_CountProgress(struct cm_memory_hold *hold);

/// Takes the hold out of the account of its class if it may go alone and no
/// other one of the class does.
/// @return whether it does now.
bool
CmMemoryHold_GoAlone(struct cm_memory_hold *hold);

/// Moves the hold to another class.
void
CmMemoryHold_Move(struct cm_memory_hold *hold, enum cm_memory_class class);

#endif
