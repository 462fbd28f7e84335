/* Rate and burst of accounts over the fleet. */
#include "rate_link.h"

struct rate_link {
	struct node *node;
};

struct rate_link *rate_link_create(struct node *node, int64_t now)
{
	struct rate_link *link = base_alloc(sizeof(*link));

	link->node = node;
	return link;
}

void rate_link_destroy(struct rate_link *link)
{
	free(link);
}

void rate_link_configure(struct rate_link *link,
			 const struct config_snapshot *before, int64_t now)
{
}

struct rate_decision rate_link_admit(struct rate_link *link,
				     const struct config_account *account,
				     uint64_t request, int64_t now)
{
	return (struct rate_decision){ .result = RATE_ADMITTED,
				       .use_by = INT64_MAX };
}

void rate_link_cancel(struct rate_link *link,
		      const struct config_account *account, uint64_t request)
{
}

void rate_link_flush(struct rate_link *link, int64_t now)
{
}

void rate_link_on_ask(struct rate_link *link, const struct peer_remote *remote,
		      const struct peer_message *msg, int64_t now)
{
}

void rate_link_on_grant(struct rate_link *link, struct base_str holder_vm,
			const struct peer_message *msg, int64_t now)
{
}

void rate_link_on_link_down(struct rate_link *link, const struct config_vm *vm,
			    int64_t now)
{
}

void rate_link_on_domain_version(struct rate_link *link, struct base_str domain,
				 uint64_t version, int64_t now)
{
}
