/*
 * The worst entry that the protocol allows: it holds every token that it can
 * get, exchanges them shortly before they lapse, and uses them up to the last
 * microsecond, also those of former holders.
 */
#ifndef GREEDY_ENTRY_H
#define GREEDY_ENTRY_H

#include "rate.h"

struct rate_entry *greedy_entry_create(uint64_t incarnation);

#endif
