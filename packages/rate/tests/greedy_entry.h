/*
 * Entry that takes as much as the protocol allows: it asks for every token,
 * returns tokens halfway through their lifetime and asks for them again, and
 * spends tokens up to their last microsecond, also those of former holders.
 */
#ifndef GREEDY_ENTRY_H
#define GREEDY_ENTRY_H

#include "rate.h"

struct rate_entry *greedy_entry_create(uint64_t incarnation);

#endif
