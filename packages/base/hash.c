/* Hashing, digests and seeded random numbers. */
#include "base.h"

#include <assert.h>
#include <math.h>
#include <sodium.h>
#include <string.h>
#include <xxhash.h>

uint64_t base_hash64(struct base_str s, uint64_t seed)
{
	return XXH64(s.ptr ? s.ptr : "", s.len, seed);
}

uint64_t base_rendezvous_weight(struct base_str key, struct base_str candidate)
{
	return base_hash64(candidate, base_hash64(key, 0));
}

struct base_digest base_digest_of(struct base_str data)
{
	struct base_digest digest;

	crypto_generichash(digest.bytes, sizeof(digest.bytes),
			   (const unsigned char *)data.ptr, data.len, NULL, 0);
	return digest;
}

bool base_digest_equal(const struct base_digest *a, const struct base_digest *b)
{
	return !sodium_memcmp(a->bytes, b->bytes, sizeof(a->bytes));
}

void base_digest_hex(const struct base_digest *digest, char out[65])
{
	sodium_bin2hex(out, 65, digest->bytes, sizeof(digest->bytes));
}

bool base_digest_parse(struct base_str hex, struct base_digest *digest)
{
	size_t len;

	if (hex.len != (size_t)BASE_DIGEST_SIZE * 2)
		return false;
	if (sodium_hex2bin(digest->bytes, sizeof(digest->bytes), hex.ptr,
			   hex.len, NULL, &len, NULL))
		return false;
	return len == sizeof(digest->bytes);
}

/* Bytes that one system call fetches. */
#define RANDOM_POOL_BYTES 512

void base_random_bytes(void *out, size_t len)
{
	static _Thread_local uint8_t pool[RANDOM_POOL_BYTES];
	static _Thread_local size_t left;

	if (len > sizeof(pool)) {
		randombytes_buf(out, len);
		return;
	}
	if (left < len) {
		randombytes_buf(pool, sizeof(pool));
		left = sizeof(pool);
	}
	left -= len;
	memcpy(out, pool + left, len);
	/* What was handed out must not be found in memory later. */
	sodium_memzero(pool + left, len);
}

void base_rand_seed(struct base_rand *rnd, uint64_t seed)
{
	uint16_t words[3] = { (uint16_t)seed, (uint16_t)(seed >> 16),
			      (uint16_t)(seed >> 32) };

	memset(rnd, 0, sizeof(*rnd));
	seed48_r(words, &rnd->state);
}

void base_rand_seed_system(struct base_rand *rnd)
{
	uint64_t seed;

	randombytes_buf(&seed, sizeof(seed));
	base_rand_seed(rnd, seed);
}

double base_rand_unit(struct base_rand *rnd)
{
	double value;

	drand48_r(&rnd->state, &value);
	return value;
}

uint32_t base_rand_below(struct base_rand *rnd, uint32_t bound)
{
	assert(bound > 0);
	return (uint32_t)floor(base_rand_unit(rnd) * bound);
}
