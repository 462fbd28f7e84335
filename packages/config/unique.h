/* Values that no two objects of a kind may share. */
#ifndef CONFIG_UNIQUE_H
#define CONFIG_UNIQUE_H

#include "set.h"

/** Reports key ids, key hashes, peer addresses and routes used twice. */
void unique_check(const struct config_set *set, struct config_report *report);

#endif
