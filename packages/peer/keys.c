/* Derives the CURVE key pair from the fleet secret. */
#include "keys.h"

#include <sodium.h>

/* Hashed with the secret, so that other uses of it derive other keys. */
static const char hash_context[] = "bilberryhinge peer curve 1";

_Static_assert(crypto_box_SEEDBYTES == CURVE_KEY_BYTES, "seed size");
_Static_assert(crypto_box_PUBLICKEYBYTES == CURVE_KEY_BYTES, "public key size");
_Static_assert(crypto_box_SECRETKEYBYTES == CURVE_KEY_BYTES, "secret key size");

enum peer_status fleet_keys_derive(struct base_str secret,
				   struct fleet_keys *keys,
				   struct base_error *err)
{
	uint8_t seed[crypto_box_SEEDBYTES];

	if (secret.len < PEER_SECRET_MIN_BYTES) {
		base_error_set(
			err,
			"fleet secret has %zu bytes, at least %d are required",
			secret.len, PEER_SECRET_MIN_BYTES);
		return PEER_ERR_INVALID;
	}
	if (sodium_init() < 0) {
		base_error_set(err, "libsodium cannot be initialised");
		return PEER_ERR_SYSTEM;
	}
	crypto_generichash(seed, sizeof(seed), (const uint8_t *)secret.ptr,
			   secret.len, (const uint8_t *)hash_context,
			   sizeof(hash_context) - 1);
	crypto_box_seed_keypair(keys->public_key, keys->secret_key, seed);
	sodium_memzero(seed, sizeof(seed));
	return PEER_OK;
}

void fleet_keys_wipe(struct fleet_keys *keys)
{
	sodium_memzero(keys->secret_key, sizeof(keys->secret_key));
}
