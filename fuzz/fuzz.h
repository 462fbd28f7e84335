/*
 * Fuzz targets: each feeds bytes from outside to one parser and checks what
 * must hold for any input. See docs/contributing.md for how to run them.
 */
#ifndef FUZZ_H
#define FUZZ_H

#include "base.h"

struct fuzz_target {
	const char *name;
	/**
	 * @param rnd  for choices of the target, such as where input is split
	 * @return what does not hold, or NULL
	 */
	const char *(*feed)(struct base_str input, struct base_rand *rnd);
};

/** The targets, one after the other; NULL behind the last. */
const struct fuzz_target *fuzz_target_at(size_t i);

/** Changes the input at random, mostly in a few places. */
void fuzz_mutate(struct base_buf *input, struct base_rand *rnd);

#endif
