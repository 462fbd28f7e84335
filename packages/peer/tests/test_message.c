/* Tests of the encoding of messages. */
#include "peer.h"
#include "samples.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <msgpack.h>
#include <string.h>

#define SEED_COUNT 200
#define MUTATIONS 20

static struct base_buf encoded(enum peer_message_type type)
{
	struct base_buf buf = BASE_BUF_INIT;
	struct peer_message msg = sample_message(type);

	cr_assert(eq(int, peer_message_encode(&msg, &buf, NULL), PEER_OK));
	return buf;
}

/* Decodes from memory of the exact size, so that a sanitizer finds overreads.
 */
static enum peer_status decode_exact(const char *bytes, size_t len,
				     struct base_error *err)
{
	char *copy = malloc(len ? len : 1);
	struct peer_message msg;
	enum peer_status status;

	if (len)
		memcpy(copy, bytes, len);
	status = peer_message_decode((struct base_str){ copy, len }, &msg, err);
	if (status == PEER_OK)
		peer_message_release(&msg);
	free(copy);
	return status;
}

/* Guards against a copy that points to the original, and per-field copying. */
Test(copy, owns_all_in_one_piece)
{
	struct base_buf buf = encoded(PEER_REQUEST);
	struct peer_message decoded;
	struct peer_message sample = sample_message(PEER_REQUEST);
	struct peer_message copy = sample;
	uint64_t before;
	void *memory;

	cr_assert(eq(int,
		     peer_message_decode(base_buf_str(&buf), &decoded, NULL),
		     PEER_OK));
	before = base_allocation_count();
	cr_assert(
		eq(int,
		   peer_request_copy(&decoded.request, &copy.request, &memory),
		   PEER_OK));
	cr_assert(eq(u64, base_allocation_count() - before, 1));
	peer_message_release(&decoded);
	base_buf_release(&buf);
	sample_assert_equal(&copy, &sample);
	free(memory);
}

/* Guards against taking on a request that no link could carry. */
Test(copy, rejects_what_cannot_be_encoded)
{
	struct peer_message sample = sample_message(PEER_REQUEST);
	struct peer_request copy;
	void *memory;

	sample.request.method.len = PEER_NAME_MAX_BYTES + 1;
	cr_assert(eq(int, peer_request_copy(&sample.request, &copy, &memory),
		     PEER_ERR_TOO_LARGE));
	cr_assert(eq(ptr, memory, NULL));
}

/* Guards against fields that are lost, swapped or truncated by the encoding. */
Test(message, every_type_survives_a_round_trip)
{
	int type;

	for (type = PEER_HELLO; type < PEER_TYPE_END; type++) {
		struct peer_message msg = sample_message(type);
		struct base_buf buf = encoded(type);
		struct peer_message back;

		cr_assert(
			eq(int,
			   peer_message_decode(base_buf_str(&buf), &back, NULL),
			   PEER_OK));
		sample_assert_equal(&msg, &back);
		peer_message_release(&back);
		base_buf_release(&buf);
	}
}

/* Guards against decoding part of a message as a shorter message. */
Test(message, every_truncation_is_malformed)
{
	int type;
	size_t len;

	for (type = PEER_HELLO; type < PEER_TYPE_END; type++) {
		struct base_buf buf = encoded(type);

		for (len = 0; len < buf.len; len++) {
			struct base_error err = { "" };

			cr_assert(eq(int, decode_exact(buf.ptr, len, &err),
				     PEER_ERR_MALFORMED));
			cr_assert(err.message[0] != '\0');
		}
		base_buf_release(&buf);
	}
}

Test(message, trailing_bytes_are_malformed)
{
	struct base_buf buf = encoded(PEER_CANCEL);
	struct base_error err;

	base_buf_add(&buf, "\0", 1);
	cr_assert(eq(int, decode_exact(buf.ptr, buf.len, &err),
		     PEER_ERR_MALFORMED));
	base_buf_release(&buf);
}

static void mutate(struct base_buf *buf, struct base_rand *rnd)
{
	uint32_t at = base_rand_below(rnd, (uint32_t)buf->len);
	uint32_t count = base_rand_below(rnd, 4) + 1;
	uint32_t kind = base_rand_below(rnd, 3);

	if (kind == 0) {
		buf->ptr[at] = (char)base_rand_below(rnd, 256);
	} else if (kind == 1) {
		memset(buf->ptr + at, 0xdd, 1);
		while (count-- && at + count + 1 < buf->len)
			buf->ptr[at + count + 1] = (char)0xff;
	} else if (buf->len > count + at) {
		memmove(buf->ptr + at, buf->ptr + at + count,
			buf->len - at - count);
		buf->len -= count;
	}
}

/* Guards against overreads and unbounded allocation for damaged messages. */
Test(message, mutated_frames_never_crash)
{
	struct base_rand rnd;
	int accepted = 0;
	int seed;
	int type;
	int i;

	for (seed = 1; seed <= SEED_COUNT; seed++) {
		base_rand_seed(&rnd, (uint64_t)seed);
		for (type = PEER_HELLO; type < PEER_TYPE_END; type++) {
			struct base_buf buf = encoded(type);

			for (i = 0; i < MUTATIONS && buf.len; i++) {
				mutate(&buf, &rnd);
				if (decode_exact(buf.ptr, buf.len, NULL) ==
				    PEER_OK)
					accepted++;
			}
			base_buf_release(&buf);
		}
	}
	cr_assert(accepted < SEED_COUNT * (PEER_TYPE_END - 1) * MUTATIONS);
}

Test(message, random_bytes_never_crash)
{
	struct base_rand rnd;
	char bytes[64];
	int seed;
	size_t i;

	for (seed = 1; seed <= SEED_COUNT * 100; seed++) {
		size_t len;

		base_rand_seed(&rnd, (uint64_t)seed);
		len = base_rand_below(&rnd, sizeof(bytes));
		for (i = 0; i < len; i++)
			bytes[i] = (char)base_rand_below(&rnd, 256);
		if (len && seed % 2)
			bytes[0] = (char)0x97;
		decode_exact(bytes, len, NULL);
	}
}

/* Guards against a few bytes that make the decoder allocate gigabytes. */
Test(message, declared_sizes_are_bounded_by_the_frame)
{
	static const char array32[] = "\xdd\xff\xff\xff\xff";
	static const char map32[] = "\xdf\xff\xff\xff\xff";
	static const char str32[] = "\x94\x04\x01\x01\xdb\xff\xff\xff\xff";
	char nested[64];

	memset(nested, 0x91, sizeof(nested));
	nested[63] = 0x01;
	cr_assert(not(eq(int, decode_exact(array32, 5, NULL), PEER_OK)));
	cr_assert(not(eq(int, decode_exact(map32, 5, NULL), PEER_OK)));
	cr_assert(not(eq(int, decode_exact(str32, 9, NULL), PEER_OK)));
	cr_assert(not(eq(int, decode_exact(nested, 64, NULL), PEER_OK)));
}

static int append(void *data, const char *bytes, size_t len)
{
	base_buf_add(data, bytes, len);
	return 0;
}

static void pack_prefix(msgpack_packer *pk, size_t elements, uint64_t type)
{
	msgpack_pack_array(pk, elements);
	msgpack_pack_uint64(pk, type);
	msgpack_pack_uint64(pk, 1);
	msgpack_pack_int64(pk, 2);
}

/* Guards against rejecting messages of a newer version during an upgrade. */
Test(message, extra_elements_are_ignored)
{
	BASE_CLEANUP(base_buf_release) struct base_buf buf = BASE_BUF_INIT;
	struct peer_message msg;
	msgpack_packer pk;

	msgpack_packer_init(&pk, &buf, append);
	pack_prefix(&pk, 6, PEER_CONFIG_GET);
	msgpack_pack_str_with_body(&pk, "key", 3);
	msgpack_pack_map(&pk, 1);
	msgpack_pack_nil(&pk);
	msgpack_pack_array(&pk, 0);
	msgpack_pack_double(&pk, 0.5);
	cr_assert(eq(int, peer_message_decode(base_buf_str(&buf), &msg, NULL),
		     PEER_OK));
	cr_assert(base_str_equal(msg.config_get.key, BASE_STR("key")));
	peer_message_release(&msg);
}

/* Guards against rejecting messages of an older version during an upgrade. */
Test(message, suspect_without_appended_fields_is_decoded)
{
	BASE_CLEANUP(base_buf_release) struct base_buf buf = BASE_BUF_INIT;
	struct base_digest digest = base_digest_of(BASE_STR("suspect"));
	struct peer_message msg;
	msgpack_packer pk;

	msgpack_packer_init(&pk, &buf, append);
	pack_prefix(&pk, 6, PEER_SUSPECT);
	msgpack_pack_str_with_body(&pk, "packing", 7);
	msgpack_pack_bin_with_body(&pk, digest.bytes, sizeof(digest.bytes));
	msgpack_pack_int(&pk, PEER_SUSPECT_CLEARED);
	cr_assert(eq(int, peer_message_decode(base_buf_str(&buf), &msg, NULL),
		     PEER_OK));
	cr_assert(eq(int, (int)msg.suspect.state, PEER_SUSPECT_CLEARED));
	cr_assert(eq(u32, msg.suspect.round, 0));
	cr_assert(eq(u64, msg.suspect.permit_id, 0));
	peer_message_release(&msg);
	base_buf_reset(&buf);
	pack_prefix(&pk, 5, PEER_SUSPECT);
	msgpack_pack_str_with_body(&pk, "packing", 7);
	msgpack_pack_bin_with_body(&pk, digest.bytes, sizeof(digest.bytes));
	cr_assert(eq(int, decode_exact(buf.ptr, buf.len, NULL),
		     PEER_ERR_MALFORMED));
}

Test(message, unknown_type_has_its_own_status)
{
	BASE_CLEANUP(base_buf_release) struct base_buf buf = BASE_BUF_INIT;
	struct base_error err = { "" };
	msgpack_packer pk;

	msgpack_packer_init(&pk, &buf, append);
	pack_prefix(&pk, 3, PEER_TYPE_END);
	cr_assert(eq(int, decode_exact(buf.ptr, buf.len, &err),
		     PEER_ERR_UNKNOWN_TYPE));
	cr_assert(strstr(err.message, "18") != NULL);
}

/* Guards against a number or binary value accepted as a string. */
Test(message, wrong_types_and_missing_fields_are_malformed)
{
	BASE_CLEANUP(base_buf_release) struct base_buf buf = BASE_BUF_INIT;
	struct base_error err = { "" };
	msgpack_packer pk;

	msgpack_packer_init(&pk, &buf, append);
	pack_prefix(&pk, 4, PEER_CONFIG_GET);
	msgpack_pack_bin_with_body(&pk, "key", 3);
	cr_assert(eq(int, decode_exact(buf.ptr, buf.len, &err),
		     PEER_ERR_MALFORMED));
	cr_assert(
		eq(str, err.message, "key: wrong type or value out of range"));
	base_buf_reset(&buf);
	pack_prefix(&pk, 3, PEER_CONFIG_GET);
	cr_assert(eq(int, decode_exact(buf.ptr, buf.len, &err),
		     PEER_ERR_MALFORMED));
	base_buf_reset(&buf);
	pack_prefix(&pk, 4, PEER_SUSPECT_ANSWER);
	msgpack_pack_int(&pk, PEER_SUSPECT_VERDICT_END);
	cr_assert(eq(int, decode_exact(buf.ptr, buf.len, &err),
		     PEER_ERR_MALFORMED));
}

/* Guards against sending a field that a peer would reject as too large. */
Test(message, oversize_fields_are_rejected_and_leave_the_buffer_unchanged)
{
	BASE_CLEANUP(base_buf_release) struct base_buf buf = BASE_BUF_INIT;
	struct peer_message msg = sample_message(PEER_CONFIG_VALUE);
	char *large = base_alloc(PEER_BODY_MAX_BYTES + 1);
	struct base_error err = { "" };

	base_buf_addf(&buf, "kept");
	msg.config_value.value =
		(struct base_str){ large, PEER_BODY_MAX_BYTES + 1 };
	cr_assert(eq(int, peer_message_encode(&msg, &buf, &err),
		     PEER_ERR_TOO_LARGE));
	cr_assert(eq(str, buf.ptr, "kept"));
	base_buf_reset(&buf);
	msg.config_value.value.len = PEER_BODY_MAX_BYTES;
	cr_assert(eq(int, peer_message_encode(&msg, &buf, &err), PEER_OK));
	cr_assert(eq(int, decode_exact(buf.ptr, buf.len, &err), PEER_OK));
	free(large);
}

Test(message, oversize_frames_and_lists_are_rejected)
{
	BASE_CLEANUP(base_buf_release) struct base_buf buf = BASE_BUF_INIT;
	char *large = base_alloc(PEER_FRAME_MAX_BYTES + 1);
	msgpack_packer pk;
	int i;

	cr_assert(eq(int, decode_exact(large, PEER_FRAME_MAX_BYTES + 1, NULL),
		     PEER_ERR_TOO_LARGE));
	free(large);
	msgpack_packer_init(&pk, &buf, append);
	pack_prefix(&pk, 9, PEER_RATE_ASK);
	msgpack_pack_str_with_body(&pk, "a", 1);
	msgpack_pack_str_with_body(&pk, "v", 1);
	for (i = 0; i < 3; i++)
		msgpack_pack_int(&pk, i);
	msgpack_pack_array(&pk, PEER_LIST_MAX_ITEMS + 1);
	for (i = 0; i <= PEER_LIST_MAX_ITEMS; i++)
		msgpack_pack_array(&pk, 0);
	cr_assert(eq(int, decode_exact(buf.ptr, buf.len, NULL),
		     PEER_ERR_TOO_LARGE));
}

static void pack_grant(struct base_buf *buf, int fields)
{
	msgpack_packer pk;
	int i;

	base_buf_reset(buf);
	msgpack_packer_init(&pk, buf, append);
	pack_prefix(&pk, 3 + (size_t)fields, PEER_RATE_GRANT);
	msgpack_pack_str_with_body(&pk, "zawadzki", 8);
	for (i = 1; i < fields; i++)
		msgpack_pack_int(&pk, 10 + i);
}

/* Guards against daemons of two versions that reject each other's grants. */
Test(message, rate_grant_without_appended_fields_is_decoded)
{
	BASE_CLEANUP(base_buf_release) struct base_buf buf = BASE_BUF_INIT;
	struct peer_message msg;

	pack_grant(&buf, 6);
	cr_assert(eq(int, peer_message_decode(base_buf_str(&buf), &msg, NULL),
		     PEER_OK));
	cr_assert(eq(i64, msg.rate_grant.wait_us, 15));
	cr_assert(eq(u64, msg.rate_grant.incarnation, 0));
	cr_assert(eq(u64, msg.rate_grant.holder, 0));
	cr_assert(eq(int, msg.rate_grant.status, PEER_RATE_OK));
	peer_message_release(&msg);
	pack_grant(&buf, 7);
	cr_assert(eq(int, peer_message_decode(base_buf_str(&buf), &msg, NULL),
		     PEER_OK));
	cr_assert(eq(u64, msg.rate_grant.incarnation, 16));
	cr_assert(eq(u64, msg.rate_grant.holder, 0));
	peer_message_release(&msg);
	pack_grant(&buf, 5);
	cr_assert(eq(int, decode_exact(buf.ptr, buf.len, NULL),
		     PEER_ERR_MALFORMED));
}
