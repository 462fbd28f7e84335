/* Bounded decoding of JSON. */
#include "registry_json.h"

/* Upper bounds of what Jansson allocates for each, with its text apart. */
#define OBJECT_BYTES 320
#define ARRAY_BYTES 128
#define MEMBER_BYTES 96

/* Memory that the text takes when decoded, its own length included. */
static size_t estimate_memory(struct base_str text)
{
	size_t bytes = text.len;
	bool in_string = false;
	size_t i;

	for (i = 0; i < text.len; i++) {
		switch (text.ptr[i]) {
		case '"':
			in_string = !in_string;
			break;
		case '\\':
			i += in_string;
			break;
		case '{':
			bytes += in_string ? 0 : OBJECT_BYTES;
			break;
		case '[':
			bytes += in_string ? 0 : ARRAY_BYTES;
			break;
		case ',':
		case ':':
			bytes += in_string ? 0 : MEMBER_BYTES;
			break;
		default:
			break;
		}
	}
	return bytes;
}

json_t *registry_json_load(struct base_str text, struct base_error *err)
{
	json_error_t problem;
	json_t *json;

	if (estimate_memory(text) > REGISTRY_JSON_MAX_MEMORY) {
		base_error_set(err, "it has too many values");
		return NULL;
	}
	json = json_loadb(text.ptr ? text.ptr : "", text.len, 0, &problem);
	if (!json)
		base_error_set(err, "%s", problem.text);
	return json;
}
