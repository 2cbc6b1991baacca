/// @file deployment.h
/// The deployment that load goes to, as scripts/devstack wrote it down.

#ifndef STACK_H
#define STACK_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

struct stack {
    json_t *json;
};

/// Reads the addresses file.
bool
Stack_Init(struct stack *stack, const char *path, GError **error);

/// Frees the description.
void
Stack_Finish(struct stack *stack);

/// @return number of addresses in a list: "entries", "agents"...
size_t
Stack_Count(const struct stack *stack, const char *list);

/// @return IP:PORT of one address of a list.
const char *
Stack_Address(const struct stack *stack, const char *list, size_t i);

#endif
