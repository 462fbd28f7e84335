/*
 * Runs a fuzz target on the files of a corpus and on random mutations of them.
 * The seed and the number of an input determine it, so a failure can be
 * reproduced.
 */
#include "fuzz.h"

#include <argp.h>
#include <dirent.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct options {
	const struct fuzz_target *target;
	const char *corpus;
	uint64_t seed;
	uint64_t first;
	uint64_t inputs;
	bool print;
};

struct corpus {
	struct base_buf *files;
	size_t count;
};

static const struct fuzz_target *find_target(const char *name,
					     struct argp_state *state)
{
	BASE_CLEANUP(base_buf_release) struct base_buf names = BASE_BUF_INIT;
	const struct fuzz_target *target;
	size_t i;

	for (i = 0; (target = fuzz_target_at(i)); i++) {
		if (!strcmp(target->name, name))
			return target;
		base_buf_addf(&names, " %s", target->name);
	}
	argp_error(state, "unknown target '%s'; the targets are%s", name,
		   names.ptr);
	return NULL;
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *o = state->input;

	switch (key) {
	case 's':
		o->seed = strtoull(arg, NULL, 10);
		break;
	case 'f':
		o->first = strtoull(arg, NULL, 10);
		break;
	case 'n':
		o->inputs = strtoull(arg, NULL, 10);
		break;
	case 'p':
		o->print = true;
		break;
	case ARGP_KEY_ARG:
		if (state->arg_num == 0) {
			o->target = find_target(arg, state);
		} else if (state->arg_num == 1) {
			o->corpus = arg;
		} else {
			argp_usage(state);
		}
		break;
	case ARGP_KEY_END:
		if (state->arg_num != 2)
			argp_usage(state);
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static bool read_file(const char *folder, const char *name,
		      struct base_buf *out)
{
	BASE_CLEANUP(base_buf_release) struct base_buf path = BASE_BUF_INIT;
	char block[4096];
	size_t len;
	FILE *file;

	base_buf_addf(&path, "%s/%s", folder, name);
	file = fopen(path.ptr, "rb");
	if (!file) {
		perror(path.ptr);
		return false;
	}
	while ((len = fread(block, 1, sizeof(block), file)) > 0)
		base_buf_add(out, block, len);
	fclose(file);
	return true;
}

static int is_input(const struct dirent *entry)
{
	return entry->d_name[0] != '.';
}

static bool read_corpus(const char *folder, struct corpus *corpus)
{
	struct dirent **names;
	int count = scandir(folder, &names, is_input, alphasort);
	bool ok = count > 0;
	int i;

	if (!ok)
		fprintf(stderr, "%s: no inputs\n", folder);
	corpus->files = base_alloc_array(ok ? (size_t)count : 0,
					 sizeof(*corpus->files));
	for (i = 0; i < count; i++) {
		ok = ok && read_file(folder, names[i]->d_name,
				     &corpus->files[corpus->count++]);
		free(names[i]);
	}
	if (count >= 0)
		free(names);
	return ok;
}

static void release_corpus(struct corpus *corpus)
{
	size_t i;

	for (i = 0; i < corpus->count; i++)
		base_buf_release(&corpus->files[i]);
	free(corpus->files);
}

static void make_input(const struct corpus *corpus, uint64_t number,
		       struct base_rand *rnd, struct base_buf *out)
{
	const struct base_buf *from;

	base_buf_reset(out);
	/* The first inputs are the files of the corpus, unchanged. */
	if (number < corpus->count) {
		base_buf_add_str(out, base_buf_str(&corpus->files[number]));
		return;
	}
	from = &corpus->files[base_rand_below(rnd, (uint32_t)corpus->count)];
	base_buf_add_str(out, base_buf_str(from));
	fuzz_mutate(out, rnd);
}

static bool run(const struct options *o, const struct corpus *corpus)
{
	BASE_CLEANUP(base_buf_release) struct base_buf input = BASE_BUF_INIT;
	struct base_rand rnd;
	uint64_t n;

	for (n = o->first; n < o->first + o->inputs; n++) {
		const char *problem;

		base_rand_seed(&rnd,
			       o->seed * UINT64_C(0x9e3779b97f4a7c15) + n);
		make_input(corpus, n, &rnd, &input);
		if (o->print)
			fwrite(input.ptr, 1, input.len, stdout);
		problem = o->target->feed(base_buf_str(&input), &rnd);
		if (!problem)
			continue;
		fprintf(stderr,
			"%s: input %" PRIu64 " of seed %" PRIu64 ": %s\n",
			o->target->name, n, o->seed, problem);
		return false;
	}
	return true;
}

int main(int argc, char **argv)
{
	static const struct argp_option list[] = {
		{ "seed", 's', "N", 0, "Seed of the mutations (1)", 0 },
		{ "first", 'f', "N", 0, "Number of the first input (0)", 0 },
		{ "inputs", 'n', "N", 0, "Number of inputs (100000)", 0 },
		{ "print", 'p', NULL, 0, "Write the inputs to standard output",
		  0 },
		{ 0 },
	};
	static const struct argp argp = {
		list,
		parse_option,
		"TARGET FOLDER",
		"Runs a parser on the inputs in FOLDER and on random mutations "
		"of them. To reproduce a failure: --first N --inputs 1.",
		NULL,
		NULL,
		NULL,
	};
	struct options o = { .seed = 1, .inputs = 100000 };
	struct corpus corpus = { NULL, 0 };
	bool ok;

	argp_parse(&argp, argc, argv, 0, NULL, &o);
	ok = read_corpus(o.corpus, &corpus) && run(&o, &corpus);
	if (ok && !o.print)
		printf("%s: %" PRIu64 " inputs of seed %" PRIu64
		       ", %zu files\n",
		       o.target->name, o.inputs, o.seed, corpus.count);
	release_corpus(&corpus);
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
