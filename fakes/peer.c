/*
 * Stand-in for another daemon that sends answers as FILE says:
 *
 *     fake_peer IP:PORT VM DOMAIN FILE
 *
 * The fleet secret is in BILBERRYHINGE_FLEET_SECRET. FILE is read for each
 * message and has lines NAME=VALUE, of which each may be missing:
 *
 *     status=N           status of the answers to requests; 200
 *     outcome=N          their outcome, as a number of enum peer_outcome; 0
 *     reason=TEXT        their reason for a refusal
 *     name=TEXT          name of a header in them and in stored answers
 *     value=TEXT         its value
 *     stored=N           status of a stored answer, with which claims are
 *                        answered; without it they are new
 *
 * Prints "request id=... path=..." for each request, with the X-Request-Id.
 */
#include "fake.h"
#include "peer.h"

#include <event2/event.h>
#include <stdio.h>
#include <string.h>

#define LIMIT 100
#define FIELD_SIZE 128

struct fake_peer {
	struct peer_transport *transport;
	const char *file;
	uint64_t last_claim;
	/* Its own, with the version of the last heartbeat. */
	struct peer_domain_version domain;
};

/* Returns whether FILE has a line for @p name. */
static bool read_field(const struct fake_peer *p, const char *name,
		       char out[FIELD_SIZE])
{
	size_t len = strlen(name);
	FILE *file = fopen(p->file, "r");
	char line[FIELD_SIZE + 32];
	bool found = false;

	while (file && !found && fgets(line, sizeof(line), file)) {
		line[strcspn(line, "\n")] = '\0';
		found = !strncmp(line, name, len) && line[len] == '=';
		if (found)
			snprintf(out, FIELD_SIZE, "%s", line + len + 1);
	}
	if (file)
		fclose(file);
	return found;
}

static uint32_t read_number(const struct fake_peer *p, const char *name,
			    uint32_t initial)
{
	char text[FIELD_SIZE];

	return read_field(p, name, text)
		       ? (uint32_t)fake_parse_number(name, text)
		       : initial;
}

/* @param h  storage of the header, whose strings are in @p name and @p value */
static struct peer_headers read_headers(const struct fake_peer *p,
					struct peer_header *h,
					char name[FIELD_SIZE],
					char value[FIELD_SIZE])
{
	if (!read_field(p, "name", name))
		return (struct peer_headers){ NULL, 0 };
	if (!read_field(p, "value", value))
		value[0] = '\0';
	*h = (struct peer_header){ base_str_from(name), base_str_from(value) };
	return (struct peer_headers){ h, 1 };
}

static void reply(struct fake_peer *p, const struct peer_remote *remote,
		  struct peer_message *msg)
{
	if (peer_transport_reply(p->transport, remote, msg))
		fake_die("cannot send a message of type %d", (int)msg->type);
}

static void print_request(const struct peer_request *r)
{
	struct base_str id = BASE_STR_NONE;
	size_t i;

	for (i = 0; i < r->headers.count; i++)
		if (base_str_equal_nocase(r->headers.items[i].name,
					  BASE_STR("X-Request-Id")))
			id = r->headers.items[i].value;
	printf("request id=%.*s path=%.*s\n", BASE_STR_ARG(id),
	       BASE_STR_ARG(r->path));
	fflush(stdout);
}

static void answer_request(struct fake_peer *p,
			   const struct peer_remote *remote,
			   const struct peer_message *request)
{
	char name[FIELD_SIZE], value[FIELD_SIZE], reason[FIELD_SIZE] = "";
	struct peer_header header;
	struct peer_message msg = {
		.type = PEER_ANSWER,
		.id = request->id,
		.answer = {
			.status = read_number(p, "status", 200),
			.outcome = (enum peer_outcome)read_number(
				p, "outcome", PEER_OUTCOME_RAN),
			.headers = read_headers(p, &header, name, value),
			.body = BASE_STR("ab"),
			.limit = LIMIT,
			.arrived = true,
		},
	};

	read_field(p, "reason", reason);
	msg.answer.reason = base_str_from(reason);
	print_request(&request->request);
	reply(p, remote, &msg);
}

static void answer_claim(struct fake_peer *p, const struct peer_remote *remote,
			 const struct peer_message *claim)
{
	char name[FIELD_SIZE], value[FIELD_SIZE], text[FIELD_SIZE];
	struct peer_header header;
	struct peer_message msg = { .type = PEER_CLAIM_ANSWER,
				    .id = claim->id };

	if (read_field(p, "stored", text))
		msg.claim_answer = (struct peer_claim_answer){
			.result = PEER_CLAIM_DONE,
			.stored = {
				.status = read_number(p, "stored", 0),
				.headers = read_headers(p, &header, name,
							value),
				.body = BASE_STR("ab"),
			},
		};
	else
		msg.claim_answer = (struct peer_claim_answer){
			.result = PEER_CLAIM_NEW,
			.claim_id = ++p->last_claim,
		};
	reply(p, remote, &msg);
}

/* The configuration of the sender is taken for its own. */
static void answer_heartbeat(struct fake_peer *p,
			     const struct peer_remote *remote,
			     const struct peer_heartbeat *beat)
{
	struct peer_message msg = { .type = PEER_HEARTBEAT };

	p->domain.version = beat->version;
	msg.heartbeat = (struct peer_heartbeat){
		.limit = LIMIT,
		.version = beat->version,
		.hash = beat->hash,
		.domains = { &p->domain, 1 },
	};
	reply(p, remote, &msg);
}

static void on_remote_message(void *ctx, const struct peer_remote *remote,
			      const struct peer_message *msg,
			      const struct peer_receive_info *receive_info)
{
	if (msg->type == PEER_REQUEST)
		answer_request(ctx, remote, msg);
	else if (msg->type == PEER_CLAIM)
		answer_claim(ctx, remote, msg);
	else if (msg->type == PEER_HEARTBEAT)
		answer_heartbeat(ctx, remote, &msg->heartbeat);
}

int main(int argc, char **argv)
{
	const char *secret = getenv("BILBERRYHINGE_FLEET_SECRET");
	struct event_base *loop = fake_loop_create();
	struct base_counters *counters = base_counters_create();
	struct fake_peer p = { 0 };
	struct peer_transport_settings settings = {
		.incarnation = 1,
		.counters = counters,
		.callbacks = { .remote_message = on_remote_message },
		.ctx = &p,
	};
	struct base_error err;

	if (argc != 5 || !secret)
		fake_die("usage: fake_peer IP:PORT VM DOMAIN FILE");
	p.domain.domain = base_str_from(argv[3]);
	p.file = argv[4];
	settings.listen = base_str_from(argv[1]);
	settings.vm = base_str_from(argv[2]);
	settings.fleet_secret = base_str_from(secret);
	if (peer_transport_create(&settings, loop, &p.transport, &err))
		fake_die("%s", err.message);
	fake_handle_signals(loop);
	printf("listening=%.*s\n",
	       BASE_STR_ARG(peer_transport_address(p.transport)));
	fflush(stdout);
	event_base_dispatch(loop);
	peer_transport_destroy(p.transport);
	base_counters_destroy(counters);
	event_base_free(loop);
	return 0;
}
