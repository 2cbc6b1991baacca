/// @file prompt_parts.h
/// Parts of prompts that several requests share, as suspects of crashes.

#ifndef GATEWAY_PROMPT_PARTS_H
#define GATEWAY_PROMPT_PARTS_H

#include "request_defs.h"

void
PromptParts_Init(struct gateway *gateway);

void
PromptParts_Finish(struct gateway *gateway);

/// @return the names of the parts of the request's prompt, without the last
/// part, which is its own. Computed on first use.
const struct prompt_parts *
PromptParts_Of(struct request *request);

/// @return what is held against a part of the request's prompt that is refused
/// or on trial, or NULL. Of several parts that on which a trial depends.
const struct cm_suspect *
PromptParts_FindSuspect(struct request *request);

/// @return whether the request's prompt has all of several parts that are only
/// refused together.
bool
PromptParts_AreRefusedTogether(struct request *request);

/// Counts events of the attempt. A target that lives on for a while after its
/// first event shows that the prompt's parts crash no targets.
void
PromptParts_CountEvents(struct request *request);

/// Counts an attempt that its target answered in full. It shows the same if
/// the target still lives after that time.
void
PromptParts_CountCompleted(struct request *request);

#endif
