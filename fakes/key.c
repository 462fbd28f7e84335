/*
 * Prints a new idempotency key of ACCOUNT that the VM named OWNER owns, so that
 * a test can control which daemons handle the request:
 *
 *     fake_key ACCOUNT OWNER VM...
 *
 * The owner is chosen by rendezvous hashing over all the VMs listed.
 */
#include "fake.h"

#include <stdio.h>
#include <string.h>

static const char *find_owner(struct base_str name, char **vms, int count)
{
	const char *owner = NULL;
	uint64_t greatest = 0;
	int i;

	for (i = 0; i < count; i++) {
		uint64_t weight =
			base_rendezvous_weight(name, base_str_from(vms[i]));

		if (owner && weight < greatest)
			continue;
		owner = vms[i];
		greatest = weight;
	}
	return owner;
}

int main(int argc, char **argv)
{
	BASE_CLEANUP(base_buf_release) struct base_buf name = BASE_BUF_INIT;
	char key[FAKE_UUID_SIZE];
	struct base_rand rnd;

	if (argc < 4)
		fake_die("usage: fake_key ACCOUNT OWNER VM...");
	base_rand_seed_system(&rnd);
	do {
		fake_uuid7_generate(&rnd, key);
		base_buf_reset(&name);
		base_buf_add(&name, argv[1], strlen(argv[1]) + 1);
		base_buf_add(&name, key, strlen(key));
	} while (strcmp(find_owner(base_buf_str(&name), argv + 3, argc - 3),
			argv[2]) != 0);
	puts(key);
	return 0;
}
