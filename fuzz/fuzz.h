/*
 * Fuzz targets. Each passes untrusted bytes to one parser and checks the
 * invariants that hold for every input. docs/contributing.md describes how to
 * run them.
 */
#ifndef FUZZ_H
#define FUZZ_H

#include "base.h"

struct fuzz_target {
	const char *name;
	/**
	 * Parses the input.
	 * @param rnd  random numbers, such as for the offset of a split
	 * @return the violated invariant, or NULL
	 */
	const char *(*feed)(struct base_str input, struct base_rand *rnd);
};

/** Returns target number @p i, or NULL after the last. */
const struct fuzz_target *fuzz_target_at(size_t i);

/** Applies a few random mutations to the input. */
void fuzz_mutate(struct base_buf *input, struct base_rand *rnd);

#endif
