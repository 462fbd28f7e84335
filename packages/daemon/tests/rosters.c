/* Small snapshots, loaded from configuration text, for tests of rosters. */
#include "rosters.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <string.h>

/* Returns whether a VM before number i names the same failure domain. */
static bool domain_seen_before(const struct roster_vm_spec *vms, size_t i)
{
	size_t k;

	for (k = 0; k < i; k++)
		if (!strcmp(vms[k].domain, vms[i].domain))
			return true;
	return false;
}

static void add_domain(struct base_buf *text, const char *name, bool out)
{
	base_buf_addf(text,
		      ",{\"kind\":\"failure_domain\",\"name\":\"%s\","
		      "\"region\":\"north\",\"state\":\"%s\"}",
		      name, out ? "out" : "in");
}

static void add_objects(struct base_buf *text, const struct roster_vm_spec *vms,
			size_t count, const char *out, const char *empty)
{
	size_t i;

	base_buf_addf(text, "{\"schema\":2,\"objects\":["
			    "{\"kind\":\"region\",\"name\":\"north\"},"
			    "{\"kind\":\"service\",\"name\":\"shop\","
			    "\"slots\":10,\"connections\":70,\"cold_slots\":2,"
			    "\"cold_ms\":3000}");
	if (empty)
		add_domain(text, empty, false);
	for (i = 0; i < count; i++) {
		if (!domain_seen_before(vms, i))
			add_domain(text, vms[i].domain,
				   out && !strcmp(out, vms[i].domain));
		base_buf_addf(text,
			      ",{\"kind\":\"vm\",\"name\":\"%s\","
			      "\"failure_domain\":\"%s\",\"service\":\"shop\","
			      "\"peer_address\":\"127.0.0.1:%zu\","
			      "\"state\":\"%s\"}",
			      vms[i].name, vms[i].domain, 7100 + i,
			      vms[i].leaving ? "leaving" : "active");
	}
	base_buf_addf(text, "]}");
}

const struct config_snapshot *roster_load(int64_t version,
					  const struct roster_vm_spec *vms,
					  size_t count, const char *out,
					  const char *empty)
{
	BASE_CLEANUP(base_buf_release) struct base_buf text = BASE_BUF_INIT;
	struct config_set *set = config_set_create();
	struct base_error err = { "" };
	enum config_status status;
	struct config_publication *pub;
	struct config_manifest *manifest;
	const struct config_snapshot *snapshot;

	add_objects(&text, vms, count, out, empty);
	status = config_set_add(set, "test.json", base_buf_str(&text), &err);
	cr_assert(eq(int, status, CONFIG_OK), "%s", err.message);
	pub = config_set_render(set, version, &status, &err);
	cr_assert(ne(ptr, pub, NULL), "%s", err.message);
	manifest = config_manifest_parse(base_buf_str(&pub->manifest), &status,
					 &err);
	cr_assert(ne(ptr, manifest, NULL), "%s", err.message);
	snapshot =
		config_snapshot_create(manifest, config_publication_fetch_part,
				       pub, NULL, &status, &err);
	cr_assert(ne(ptr, (void *)snapshot, NULL), "%s", err.message);
	config_manifest_destroy(manifest);
	config_publication_destroy(pub);
	config_set_destroy(set);
	return snapshot;
}
