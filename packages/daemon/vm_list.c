/* The platform's list of VMs. */
#include "vm_list.h"
#include "roster.h"

struct vm_list {
	struct node *node;
	/* The newest list, from the platform or a relay; NULL before one. */
	struct config_vm_list *list;
	/* The list that this daemon read last from the platform. */
	struct base_buf text;
	uint64_t serial;
};

struct vm_list *vm_list_create(struct node *node)
{
	struct vm_list *v = base_alloc(sizeof(*v));

	v->node = node;
	return v;
}

void vm_list_destroy(struct vm_list *v)
{
	if (!v)
		return;
	config_vm_list_destroy(v->list);
	base_buf_release(&v->text);
	free(v);
}

void vm_list_apply(struct vm_list *v)
{
	struct node *node = v->node;
	const struct config_snapshot *s = node->snapshot;
	size_t i;

	for (i = 0; v->list && s && i < s->vm_count; i++) {
		const struct config_vm_state *state =
			config_vm_list_find(v->list, s->vms[i].name);
		enum routing_platform platform = ROUTING_PLATFORM_UNKNOWN;

		if (state)
			platform = state->leaving ? ROUTING_PLATFORM_LEAVING
						  : ROUTING_PLATFORM_LIVE;
		routing_platform(node->routing,
				 roster_vm_id(node->roster, s->vms[i].name),
				 platform);
	}
}

void vm_list_update(struct vm_list *v, struct data_message *msg)
{
	struct base_str text = base_buf_str(&msg->text);

	if (text.len) {
		/*
		 * An unchanged text is skipped: a relay may have sent a newer
		 * list since this daemon read it.
		 */
		if (base_str_equal(text, base_buf_str(&v->text)))
			return;
		base_buf_reset(&v->text);
		base_buf_add_str(&v->text, text);
		v->serial++;
	}
	config_vm_list_destroy(v->list);
	v->list = msg->vms;
	msg->vms = NULL;
	vm_list_apply(v);
}

uint64_t vm_list_serial(const struct vm_list *v)
{
	return v->serial;
}

void vm_list_send(struct vm_list *v, const struct peer_remote *remote)
{
	struct peer_message msg = {
		.type = PEER_CONFIG_VALUE,
		.config_value = {
			.key = BASE_STR(CONFIG_KEY_VMS),
			.value = base_buf_str(&v->text),
			.found = true,
		},
	};

	peer_transport_reply(v->node->transport, remote, &msg);
}
