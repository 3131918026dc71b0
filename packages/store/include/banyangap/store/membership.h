#ifndef BANYANGAP_STORE_MEMBERSHIP_H
#define BANYANGAP_STORE_MEMBERSHIP_H

/*
 * This instance's place in the group of all instances, kept in the store.
 *
 *   struct bgap_membership *membership;
 *   bgap_membership_setup (&membership, &(struct bgap_membership_desc){
 *     .base = base, .store = &store, .group = "bgap", .member = "edge-1",
 *     .ops = { .changed = on_members, .context = me } }, &err);
 *   uint32_t instances = bgap_membership_count (membership);
 *   bgap_membership_shutdown (membership);
 *
 * The list is a hint: safety never rests on it. It may be late, and after an
 * outage of the store it may be short for a moment.
 */

#include <event2/event.h>

#include "banyangap/store/store.h"

/**
 * struct bgap_membership_ops - what the membership reports
 * @changed: the list or this member's place has changed
 * @ended: a call has ended
 */
struct bgap_membership_ops
{
  void (*changed) (void *context);
  void (*ended) (void *context, enum bgap_store_outcome outcome);
  void *context;
};

/**
 * struct bgap_membership_desc - options
 * @base, @store, @group, @member: required; they stay valid
 * @ttl_ms: a member that is silent for so long is out
 * @interval_ms: between calls
 */
struct bgap_membership_desc
{
  struct event_base *base;
  const struct bgap_store_ops *store;
  const char *group;
  const char *member;
  uint32_t ttl_ms;
  uint32_t interval_ms;
  struct bgap_membership_ops ops;
};

struct bgap_membership;

/**
 * bgap_membership_setup() - join the group
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status
bgap_membership_setup (struct bgap_membership **membership,
                       const struct bgap_membership_desc *desc,
                       struct bgap_error *err);

/**
 * bgap_membership_shutdown() - stop; calls in progress must be dropped before
 * @membership: NULL is allowed
 */
void bgap_membership_shutdown (struct bgap_membership *membership);

/**
 * bgap_membership_leave() - leave the group now
 */
void bgap_membership_leave (struct bgap_membership *membership);

/**
 * bgap_membership_set_eager() - whether this member reads the list at once
 * after a change of the group
 *
 * Otherwise it does so less often the more members there are. The first member
 * always reads it at once.
 */
void bgap_membership_set_eager (struct bgap_membership *membership,
                                bool eager);

/**
 * bgap_membership_is_first() - this member was dealt the group's first part
 */
bool bgap_membership_is_first (const struct bgap_membership *membership);

/**
 * bgap_membership_count() - members in the list, at least 1
 */
uint32_t bgap_membership_count (const struct bgap_membership *membership);

/**
 * bgap_membership_listed() - members in the list, 0 before it was read
 */
uint32_t bgap_membership_listed (const struct bgap_membership *membership);

/**
 * bgap_membership_at() - member of an index below bgap_membership_listed()
 *
 * All members have the same order, in which a name says nothing about the
 * place.
 */
const char *bgap_membership_at (const struct bgap_membership *membership,
                                uint32_t index);

/**
 * bgap_membership_index() - index of a member, or where it would be
 */
uint32_t bgap_membership_index (const struct bgap_membership *membership,
                                const char *member);

/**
 * bgap_membership_has() - whether a member is in the list
 */
bool bgap_membership_has (const struct bgap_membership *membership,
                          const char *member);

/**
 * bgap_membership_departed() - members that were listed within the last 12 s
 * and no longer are; the store may only have turned them away
 */
uint32_t bgap_membership_departed (const struct bgap_membership *membership);

/**
 * bgap_membership_departed_at() - departed member of an index below
 * bgap_membership_departed()
 */
const char *
bgap_membership_departed_at (const struct bgap_membership *membership,
                             uint32_t index);

/**
 * bgap_membership_listed_ms() - when the list was last read, 0 for never
 */
int64_t bgap_membership_listed_ms (const struct bgap_membership *membership);

#endif
