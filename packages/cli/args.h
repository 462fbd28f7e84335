/* Arguments of the commands. */
#ifndef CLI_ARGS_H
#define CLI_ARGS_H

#include "base.h"

#include <argp.h>

/** Keys of the options that commands choose from. */
enum args_option {
	ARGS_JSON = 'j',
	ARGS_VERSION = 'n',
	ARGS_OUT = 'o',
	ARGS_ROUTE = 'r',
	ARGS_ACCOUNT = 'a',
	ARGS_NAME = 'm',
	ARGS_ADMIN = 'd',
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
	/** Arguments that are not options; the caller frees the array. */
	char **operands;
	size_t operand_count;
};

/** What a command takes. */
struct args_spec {
	const struct argp_option *options;
	const char *usage;
	const char *doc;
	size_t min_operands;
	size_t max_operands;
};

/** Ends the process with CLI_EXIT_ERROR when the arguments do not fit. */
void args_parse(const struct args_spec *spec, int argc, char **argv,
		struct args *args);
void args_release(struct args *args);

#endif
