#ifndef BANYANGAP_STORE_MEMBERSHIP_H
#define BANYANGAP_STORE_MEMBERSHIP_H

/*
 * Membership of this instance in the group of all instances, which the store
 * keeps.
 *
 *   struct bgap_membership *membership;
 *   bgap_membership_setup (&membership, &(struct bgap_membership_desc){
 *     .base = base, .store = &store, .group = "bgap", .member = "edge-1",
 *     .ops = { .changed = on_members, .context = me } }, &err);
 *   uint32_t instances = bgap_membership_count (membership);
 *   bgap_membership_shutdown (membership);
 *
 * The member list is a hint, and safety must not depend on it. It may be out
 * of date, and after an outage of the store it may lack members for a short
 * time.
 */

#include <event2/event.h>

#include "banyangap/store/store.h"

/**
 * struct bgap_membership_ops - callbacks
 * @changed: the member list or bgap_membership_is_first() has changed
 * @join_done: a join call has ended, and no later one has ended before
 */
struct bgap_membership_ops
{
  void (*changed) (void *context);
  void (*join_done) (void *context, enum bgap_store_outcome outcome);
  void *context;
};

/**
 * struct bgap_membership_pace - how a member stays in the group
 * @ttl_ms: the store removes a member that makes no call for this long
 * @interval_ms: time between join calls; a call is also made if an earlier one
 *   is still without an answer
 * @ordinary: it does not become the first member
 */
struct bgap_membership_pace
{
  uint32_t ttl_ms;
  uint32_t interval_ms;
  bool ordinary;
};

/**
 * struct bgap_membership_desc - options
 * @base, @store, @group, @member: required; they must stay valid
 * @pace: at the start
 */
struct bgap_membership_desc
{
  struct event_base *base;
  const struct bgap_store_ops *store;
  const char *group;
  const char *member;
  struct bgap_membership_pace pace;
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
 * bgap_membership_shutdown() - stop and free the membership
 * @membership: NULL is allowed
 *
 * The store's client must have dropped the calls in progress before.
 */
void bgap_membership_shutdown (struct bgap_membership *membership);

/**
 * bgap_membership_restored() - the store was restored from a copy, and so was
 * the group: its generations are given out again
 */
void bgap_membership_restored (struct bgap_membership *membership);

/**
 * bgap_membership_leave() - leave the group
 */
void bgap_membership_leave (struct bgap_membership *membership);

/**
 * bgap_membership_set_pace() - change how this member stays in the group
 *
 * The first member has to be replaced within about a second, and so do the
 * members that others depend on. All others cost the store fewer calls if they
 * join seldom. A change takes effect with a join at once, except that the
 * first member stays what it is.
 */
void bgap_membership_set_pace (struct bgap_membership *membership,
                               const struct bgap_membership_pace *pace);

/**
 * bgap_membership_set_eager() - set whether this member reads the list
 * immediately after each change of the group
 *
 * Otherwise the minimum time between two reads is proportional to the number
 * of members. The first member always reads the list immediately.
 */
void bgap_membership_set_eager (struct bgap_membership *membership,
                                bool eager);

/**
 * bgap_membership_is_first() - whether the group's first partition is assigned
 * to this member
 */
bool bgap_membership_is_first (const struct bgap_membership *membership);

/**
 * bgap_membership_count() - members in the list, at least 1
 */
uint32_t bgap_membership_count (const struct bgap_membership *membership);

/**
 * bgap_membership_listed() - members in the list, 0 before it is read
 */
uint32_t bgap_membership_listed (const struct bgap_membership *membership);

/**
 * bgap_membership_at() - name of a member
 * @index: below bgap_membership_listed()
 *
 * The order is the same on all members and does not follow from the names.
 */
const char *bgap_membership_at (const struct bgap_membership *membership,
                                uint32_t index);

/**
 * bgap_membership_index() - index of a member, or the index at which it would
 * be inserted
 */
uint32_t bgap_membership_index (const struct bgap_membership *membership,
                                const char *member);

/**
 * bgap_membership_has() - whether a member is in the list
 */
bool bgap_membership_has (const struct bgap_membership *membership,
                          const char *member);

/**
 * bgap_membership_departed() - number of members that left the list within the
 * last 12 s; they may be alive, and the store may only have refused their
 * calls
 */
uint32_t bgap_membership_departed (const struct bgap_membership *membership);

/**
 * bgap_membership_departed_at() - name of a departed member
 * @index: below bgap_membership_departed()
 */
const char *
bgap_membership_departed_at (const struct bgap_membership *membership,
                             uint32_t index);

/**
 * bgap_membership_departed_ms() - when a departed member left the list
 * @index: below bgap_membership_departed()
 */
int64_t bgap_membership_departed_ms (const struct bgap_membership *membership,
                                     uint32_t index);

/**
 * bgap_membership_listed_ms() - when the list was last read, 0 for never
 */
int64_t bgap_membership_listed_ms (const struct bgap_membership *membership);

#endif
