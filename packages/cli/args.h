/* Parsing of the arguments of a command. */
#ifndef CLI_ARGS_H
#define CLI_ARGS_H

#include "base.h"

#include <argp.h>

/** Keys of the options; also the letters of their short forms. */
enum args_option {
	ARGS_JSON = 'j',
	ARGS_VERSION = 'n',
	ARGS_OUT = 'o',
	ARGS_ROUTE = 'r',
	ARGS_ACCOUNT = 'a',
	ARGS_NAME = 'm',
	ARGS_ADMIN = 'd',
	ARGS_IN_FORCE = 'f',
};

#define ARGS_JSON_OPTION                                             \
	{                                                            \
		"json", ARGS_JSON, NULL, 0,                          \
			"Print one JSON document instead of text", 0 \
	}

struct args {
	bool json;
	/** 0 when not given. */
	int64_t version;
	const char *out;
	const char *route;
	const char *account;
	const char *name;
	const char *admin;
	/** Set that is in force; NULL when not given. */
	const char *in_force;
	/**
	 * Arguments that are not options, as pointers into argv. The array is
	 * freed by args_release().
	 */
	char **operands;
	size_t operand_count;
};

/** Options, operands and help text of a command. */
struct args_spec {
	const struct argp_option *options;
	const char *usage;
	const char *doc;
	size_t min_operands;
	size_t max_operands;
};

/**
 * Parses the arguments into @p args; release it with args_release(). Ends the
 * process after --help and --usage, and with CLI_EXIT_ERROR when the arguments
 * are invalid.
 */
void args_parse(const struct args_spec *spec, int argc, char **argv,
		struct args *args);
void args_release(struct args *args);

#endif
