/* CURVE keys of the fleet. Private to the package. */
#ifndef PEER_KEYS_H
#define PEER_KEYS_H

#include "peer.h"

#define CURVE_KEY_BYTES 32

/** The one key pair that all daemons of a fleet use on both sides. */
struct fleet_keys {
	uint8_t public_key[CURVE_KEY_BYTES];
	uint8_t secret_key[CURVE_KEY_BYTES];
};

/** Equal secrets give equal keys on all machines. */
enum peer_status fleet_keys_derive(struct base_str secret,
				   struct fleet_keys *keys,
				   struct base_error *err);
/** Overwrites the secret key. */
void fleet_keys_wipe(struct fleet_keys *keys);

#endif
