/* Parsing of the arguments of a command. */
#include "args.h"

#include <string.h>

struct parse_ctx {
	const struct args_spec *spec;
	struct args *args;
};

static void add_operand(struct parse_ctx *ctx, char *operand,
			struct argp_state *state)
{
	struct args *args = ctx->args;

	if (args->operand_count == ctx->spec->max_operands)
		argp_error(state, "unexpected argument \"%s\"", operand);
	args->operands =
		base_realloc(args->operands, (args->operand_count + 1) *
						     sizeof(*args->operands));
	args->operands[args->operand_count++] = operand;
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct parse_ctx *ctx = state->input;
	struct args *args = ctx->args;

	switch (key) {
	case ARGS_JSON:
		args->json = true;
		return 0;
	case ARGS_VERSION:
		if (!base_str_to_i64(base_str_from(arg), &args->version) ||
		    args->version < 1)
			argp_error(state,
				   "version \"%s\" is not an integer of "
				   "at least 1",
				   arg);
		return 0;
	case ARGS_OUT:
		args->out = arg;
		return 0;
	case ARGS_ROUTE:
		args->route = arg;
		return 0;
	case ARGS_ACCOUNT:
		args->account = arg;
		return 0;
	case ARGS_NAME:
		args->name = arg;
		return 0;
	case ARGS_ADMIN:
		args->admin = arg;
		return 0;
	case ARGS_IN_FORCE:
		args->in_force = arg;
		return 0;
	case ARGP_KEY_ARG:
		add_operand(ctx, arg, state);
		return 0;
	case ARGP_KEY_END:
		if (args->operand_count < ctx->spec->min_operands)
			argp_error(state, "missing argument");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

void args_parse(const struct args_spec *spec, int argc, char **argv,
		struct args *args)
{
	struct argp argp = {
		.options = spec->options,
		.parser = parse_option,
		.args_doc = spec->usage,
		.doc = spec->doc,
	};
	struct parse_ctx ctx = { spec, args };

	memset(args, 0, sizeof(*args));
	argp_parse(&argp, argc, argv, 0, NULL, &ctx);
}

void args_release(struct args *args)
{
	free(args->operands);
}
