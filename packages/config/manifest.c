/* Parsing of manifests. */
#include "config.h"
#include "text.h"

#include <jansson.h>
#include <string.h>

static bool parse_part(struct config_part *part, json_t *json)
{
	const char *name = json_string_value(json_object_get(json, "name"));
	const char *hash = json_string_value(json_object_get(json, "hash"));
	const json_t *size = json_object_get(json, "size");
	json_int_t bytes = json_integer_value(size);

	if (json_object_size(json) != 3 || !name || !hash)
		return false;
	if (!json_is_integer(size) || bytes < 1 ||
	    bytes > CONFIG_VALUE_MAX_BYTES)
		return false;
	if (!text_is_name(base_str_from(name)) ||
	    strlen(name) >= sizeof(part->name))
		return false;
	if (!text_is_hash(base_str_from(hash)) ||
	    !base_digest_parse(base_str_from(hash), &part->digest))
		return false;
	memcpy(part->name, name, strlen(name) + 1);
	part->size = (size_t)bytes;
	return true;
}

static bool is_repeated(const struct config_manifest *manifest, size_t index)
{
	size_t i;

	for (i = 0; i < index; i++)
		if (!strcmp(manifest->parts[i].name,
			    manifest->parts[index].name))
			return true;
	return false;
}

static bool parse_parts(struct config_manifest *manifest, const json_t *parts,
			struct base_error *err)
{
	size_t i;

	manifest->part_count = json_array_size(parts);
	manifest->parts = base_alloc_array(manifest->part_count,
					   sizeof(*manifest->parts));
	for (i = 0; i < manifest->part_count; i++) {
		if (parse_part(&manifest->parts[i], json_array_get(parts, i)) &&
		    !is_repeated(manifest, i))
			continue;
		base_error_set(err, "manifest: part %zu is not valid", i + 1);
		return false;
	}
	return true;
}

static enum config_status parse_root(struct config_manifest *manifest,
				     const json_t *root, struct base_error *err)
{
	const json_t *schema = json_object_get(root, "schema");
	const json_t *version = json_object_get(root, "version");
	const json_t *parts = json_object_get(root, "parts");

	if (!json_is_integer(schema) || !json_is_integer(version) ||
	    !json_is_array(parts) || json_object_size(root) != 3) {
		base_error_set(err, "manifest: not an object with the members "
				    "schema, version and parts");
		return CONFIG_ERR_SYNTAX;
	}
	if (json_integer_value(schema) != CONFIG_SCHEMA) {
		base_error_set(err, "manifest: schema is not %d",
			       CONFIG_SCHEMA);
		return CONFIG_ERR_SCHEMA;
	}
	manifest->version = json_integer_value(version);
	if (manifest->version < 1) {
		base_error_set(err, "manifest: version is below 1");
		return CONFIG_ERR_SYNTAX;
	}
	return parse_parts(manifest, parts, err) ? CONFIG_OK
						 : CONFIG_ERR_SYNTAX;
}

struct config_manifest *config_manifest_parse(struct base_str text,
					      enum config_status *status,
					      struct base_error *err)
{
	struct config_manifest *manifest;
	json_error_t json_err;
	json_t *root = json_loadb(text.ptr ? text.ptr : "", text.len,
				  JSON_REJECT_DUPLICATES, &json_err);

	if (!root) {
		base_error_set(err, "manifest:%d:%d: %s", json_err.line,
			       json_err.column, json_err.text);
		*status = CONFIG_ERR_SYNTAX;
		return NULL;
	}
	manifest = base_alloc(sizeof(*manifest));
	manifest->digest = base_digest_of(text);
	*status = parse_root(manifest, root, err);
	json_decref(root);
	if (!*status)
		return manifest;
	config_manifest_destroy(manifest);
	return NULL;
}

void config_manifest_destroy(struct config_manifest *manifest)
{
	if (!manifest)
		return;
	free(manifest->parts);
	free(manifest);
}
