/*
 * The platform's list of VMs. Relays read it at the platform and hand it to the
 * daemons of their failure domain.
 */
#ifndef VM_LIST_H
#define VM_LIST_H

#include "node.h"

struct vm_list;

struct vm_list *vm_list_create(struct node *node);
void vm_list_destroy(struct vm_list *v);
/** Takes the list out of a DATA_VM_LIST message. */
void vm_list_update(struct vm_list *v, struct data_message *msg);
/** Tells the routing table the list; called for each new snapshot. */
void vm_list_apply(struct vm_list *v);
/** Changes with each list read at the platform; 0 before the first one. */
uint64_t vm_list_serial(const struct vm_list *v);
void vm_list_send(struct vm_list *v, const struct peer_remote *remote);

#endif
