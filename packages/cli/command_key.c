/* The command `key`. */
#include "args.h"
#include "commands.h"
#include "load.h"
#include "print.h"

#include <sodium.h>
#include <string.h>

static const struct argp_option options[] = {
	{ "account", ARGS_ACCOUNT, "NAME", 0, "Account that the key is for",
	  0 },
	{ "name", ARGS_NAME, "NAME", 0,
	  "Name of the key object (default: the account's name and the key's "
	  "id)",
	  0 },
	ARGS_JSON_OPTION,
	{ 0 },
};

static const struct args_spec spec = {
	.options = options,
	.usage = "--account NAME [SET...]",
	.doc = "Creates a key for an account.\n\n"
	       "Prints the key, bhk_ID_SECRET, which is shown only once and "
	       "not stored, and the key object to add to the configuration "
	       "set, which contains only the hash of the secret. With SET, the "
	       "account must exist in that set."
	       "\vExit status: 0 on success, 1 when the account does not "
	       "exist or the set has problems, 2 for invalid arguments or a "
	       "set that cannot be read.",
	.min_operands = 0,
	.max_operands = SIZE_MAX,
};

/* Checks that the account exists in the given set; passes without a set. */
static int check_account(const struct args *args, const char *program)
{
	int status = CLI_EXIT_OK;
	const struct config_snapshot *snapshot;

	if (!args->operand_count)
		return CLI_EXIT_OK;
	snapshot = load_snapshot(args->operands, args->operand_count, program,
				 &status);
	if (!snapshot)
		return status;
	status = CLI_EXIT_OK;
	if (!config_snapshot_find_account(snapshot,
					  base_str_from(args->account))) {
		fprintf(stderr, "%s: there is no account \"%s\"\n", program,
			args->account);
		status = CLI_EXIT_NEGATIVE;
	}
	config_snapshot_unref(snapshot);
	return status;
}

static json_t *key_object(const struct args *args,
			  const struct config_credential *credential)
{
	BASE_CLEANUP(base_buf_release) struct base_buf name = BASE_BUF_INIT;
	struct base_digest digest =
		base_digest_of(base_str_from(credential->secret));
	char hex[65];

	if (args->name)
		base_buf_addf(&name, "%s", args->name);
	else
		base_buf_addf(&name, "%s-%s", args->account, credential->id);
	/* Uses the id alone when account and id exceed the length of a name. */
	if (!config_name_valid(base_buf_str(&name))) {
		base_buf_reset(&name);
		base_buf_addf(&name, "%s", credential->id);
	}
	base_digest_hex(&digest, hex);
	return json_pack("{s:s, s:s, s:s, s:s, s:s, s:s}", "kind", "key",
			 "name", name.ptr, "account", args->account, "id",
			 credential->id, "hash", hex, "state", "active");
}

static void print_key(const struct args *args,
		      const struct config_credential *credential)
{
	json_t *object = key_object(args, credential);
	char text[sizeof(CONFIG_CREDENTIAL_PREFIX) + sizeof(*credential) + 2];

	snprintf(text, sizeof(text), "%s%s_%s", CONFIG_CREDENTIAL_PREFIX,
		 credential->id, credential->secret);
	if (args->json) {
		print_json(
			json_pack("{s:s, s:O}", "key", text, "object", object));
	} else {
		printf("key, shown this once: %s\nobject to publish:\n", text);
		json_dumpf(object, stdout, 0);
		putchar('\n');
	}
	json_decref(object);
	sodium_memzero(text, sizeof(text));
}

int command_key(int argc, char **argv)
{
	BASE_CLEANUP(args_release) struct args args;
	struct config_credential credential;
	int status;

	args_parse(&spec, argc, argv, &args);
	if (!args.account || !config_name_valid(base_str_from(args.account)) ||
	    (args.name && !config_name_valid(base_str_from(args.name)))) {
		fprintf(stderr,
			"%s: --account and --name take 1 to 64 "
			"letters, digits, '.', '_' and '-'\n",
			argv[0]);
		return CLI_EXIT_ERROR;
	}
	status = check_account(&args, argv[0]);
	if (status)
		return status;
	config_credential_generate(&credential);
	print_key(&args, &credential);
	config_credential_wipe(&credential);
	return CLI_EXIT_OK;
}
