/* Idempotency keys: claims of the entry and the ledger of owned keys. */
#include "claims.h"
#include "entry.h"

struct claims {
	struct node *node;
};

struct claims *claims_create(struct node *node, int64_t wall_ms, int64_t now)
{
	struct claims *claims = base_alloc(sizeof(*claims));

	claims->node = node;
	return claims;
}

void claims_destroy(struct claims *claims)
{
	free(claims);
}

void claims_configure(struct claims *claims,
		      const struct config_snapshot *before, int64_t now)
{
}

void claims_claim(struct claims *claims, const struct claims_request *request,
		  int64_t now)
{
	struct peer_claim_answer answer = { .result = PEER_CLAIM_NEW,
					    .claim_id = 1 };

	entry_on_claim(claims->node->entry, request->request, &answer);
}

void claims_complete(struct claims *claims, struct base_str account,
		     struct base_str key, uint64_t claim_id,
		     const struct peer_stored_answer *stored, int64_t now)
{
}

void claims_release(struct claims *claims, struct base_str account,
		    struct base_str key, uint64_t claim_id, int64_t now)
{
}

void claims_cancel(struct claims *claims, uint64_t request, int64_t now)
{
}

void claims_on_remote(struct claims *claims, const struct peer_remote *remote,
		      const struct peer_message *msg,
		      const struct peer_receipt *receipt)
{
}

void claims_on_answer(struct claims *claims, const struct peer_message *msg,
		      int64_t now)
{
}

void claims_on_link_down(struct claims *claims, const struct config_vm *vm,
			 int64_t now)
{
}

void claims_on_domain_version(struct claims *claims, struct base_str domain,
			      uint64_t version, int64_t now)
{
}

void claims_woke(struct claims *claims, int64_t now)
{
}
