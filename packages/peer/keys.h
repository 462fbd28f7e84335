/* CURVE key pair of the fleet. Private to the package. */
#ifndef PEER_KEYS_H
#define PEER_KEYS_H

#include "peer.h"

#define CURVE_KEY_BYTES 32

/** Key pair that all daemons of a fleet use, as clients and as servers. */
struct fleet_keys {
	uint8_t public_key[CURVE_KEY_BYTES];
	uint8_t secret_key[CURVE_KEY_BYTES];
};

/**
 * Derives the key pair from the fleet secret. The result depends only on the
 * secret, so that it is the same on all machines.
 * @return PEER_ERR_INVALID if the secret is too short, or PEER_ERR_SYSTEM;
 *         @p err may be NULL.
 */
enum peer_status fleet_keys_derive(struct base_str secret,
				   struct fleet_keys *keys,
				   struct base_error *err);
/** Overwrites the secret key in memory. */
void fleet_keys_wipe(struct fleet_keys *keys);

#endif
