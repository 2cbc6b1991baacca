/// @file part_verdict.h
/// Verdicts on parts of prompts.

#ifndef QUARANTINE_PART_VERDICT_H
#define QUARANTINE_PART_VERDICT_H

#include "verdict_defs.h"

/// Refuses the parts whose trials crashed their targets.
void
CmPartVerdict_Refuse(const struct evaluation *evaluation);

/// Puts parts on trial that were in enough crashes. To be called when the
/// contents that are refused are known, since they explain crashes, too.
void
CmPartVerdict_PutOnTrial(const struct evaluation *evaluation);

#endif
