/*
 * The platform's list of VMs. Relays read it from the platform and send it to
 * the daemons of their failure domain.
 */
#ifndef VM_LIST_H
#define VM_LIST_H

#include "node.h"

struct vm_list;

struct vm_list *vm_list_create(struct node *node);
void vm_list_destroy(struct vm_list *v);
/**
 * Replaces the list by that of a DATA_VM_LIST message, from which it is moved.
 * Does nothing when the text is the one that was read last from the platform.
 */
void vm_list_update(struct vm_list *v, struct data_message *msg);
/**
 * Sets the platform's state of each VM in the routing table. To be called for
 * each new snapshot.
 */
void vm_list_apply(struct vm_list *v);
/** Grows with each new list read from the platform; 0 before the first. */
uint64_t vm_list_serial(const struct vm_list *v);
void vm_list_send(struct vm_list *v, const struct peer_remote *remote);

#endif
