#ifndef BANYANGAP_KEYRANGE_GRANTER_PARTS_H
#define BANYANGAP_KEYRANGE_GRANTER_PARTS_H

/*
 * Functions of the granter's parts. Each file calls only those further down,
 * except for bgap_plan_blocks, bgap_plan_resolved and
 * bgap_restore_records_lost:
 *
 *   granter.c             events
 *   granter_plan.c        changes of the assignment
 *   granter_restore.c     what remains known when the store was restored
 *   granter_fence.c       keys whose holder is unknown since then
 *   granter_balance.c     placement of keys and load balancing
 *   granter_spread.c      spreads the keys of overloaded servers
 *   granter_hot_spans.c   the decision for that, without state
 *   granter_hot_runs.c    runs of hot keys
 *   granter_moves.c       planned moves
 *   granter_merge.c       reduction of the number of ranges
 *   granter_calls.c       releases, and results of calls
 *   granter_checks.c      servers that do not answer grants
 *   granter_grants.c      grants that are due
 *   granter_candidates.c  load, and the servers that can take keys
 *   granter_leases.c      expiry of leases
 *   granter_targets.c     servers
 *   granter_actions.c     queue of actions
 */

#include "granter_state.h"

/* granter_actions.c: queue of actions.  */

/**
 * bgap_granter_emit() - queue an action
 *
 * Return: false without memory.
 */
bool bgap_granter_emit (struct bgap_granter *g,
                        const struct bgap_granter_action *action);

/* granter.c: events.  */

/**
 * bgap_granter_is_own() - whether a record was written by this process
 */
bool bgap_granter_is_own (const struct bgap_granter *g,
                          const struct bgap_assignment *assignment);

/* granter_leases.c: expiry of leases.  */

/* Server of a lease whose holder is not known.  */
#define BGAP_KEYRANGE_UNKNOWN_SERVER "?"

/**
 * bgap_leases_end_ms() - latest expiry of a lease of @lease_ms that starts at
 * @arrival_ms, at a server whose clock is slow
 */
int64_t bgap_leases_end_ms (int64_t arrival_ms, int64_t lease_ms);

/**
 * bgap_leases_until() - the longest lease that starts at @arrival_ms and has
 * ended at @end_ms by bgap_leases_end_ms(); negative if there is none
 */
int64_t bgap_leases_until (int64_t arrival_ms, int64_t end_ms);

/**
 * bgap_leases_renew_interval_ms() - time between two grants of a range; longer
 * than the option if there are so many ranges that renewals would overload the
 * granter
 */
int64_t bgap_leases_renew_interval_ms (const struct bgap_granter *g);

/**
 * bgap_leases_duration_ms() - duration of a lease: two rounds of renewals of
 * all ranges, plus the margin by which the option lease_ms exceeds
 * renew_interval_ms
 */
int64_t bgap_leases_duration_ms (const struct bgap_granter *g);

/**
 * bgap_leases_longest_ms() - longest lease that can be in force, or be granted
 * with @count ranges: earlier ones may be longer, with more ranges or by
 * former granters
 */
int64_t bgap_leases_longest_ms (const struct bgap_granter *g, int64_t now_ms,
                                uint32_t count);

/**
 * bgap_leases_note_former() - leases of up to @lease_ms can be valid until
 * @until_ms, although those that are granted now are shorter
 */
void bgap_leases_note_former (struct bgap_granter *g, int64_t now_ms,
                              int64_t lease_ms, int64_t until_ms);

/**
 * bgap_leases_ranges_max() - number of ranges up to which a lease of that
 * duration is allowed; with more, leases may end before they are renewed
 */
uint32_t bgap_leases_ranges_max (const struct bgap_granter *g);

/**
 * bgap_leases_find() - lease of exactly this range, or NULL
 */
struct bgap_key_lease *bgap_leases_find (struct bgap_granter *g,
                                         const struct bgap_key_range *range);

/**
 * bgap_leases_add() - add a lease whose expiry is not set, or NULL without
 * memory
 */
struct bgap_key_lease *bgap_leases_add (struct bgap_granter *g,
                                        const struct bgap_key_range *range);

/**
 * bgap_leases_inherit() - take over what is known of a new lease from those
 * that cover its keys at the same process, if neighbouring ranges were merged
 */
void bgap_leases_inherit (const struct bgap_granter *g,
                          struct bgap_key_lease *lease);

/**
 * bgap_leases_free_for() - whether no server but @server can have a lease on
 * any of the keys
 * @server: "" for none
 */
bool bgap_leases_free_for (const struct bgap_granter *g, int64_t now_ms,
                           uint32_t first, uint32_t last, const char *server);

/**
 * bgap_leases_confirm_token() - the process has confirmed @token for the keys,
 * so that it accepts no older grants; leases that it has remain
 * @released: it has released the keys
 */
void bgap_leases_confirm_token (struct bgap_granter *g, int64_t now_ms,
                                uint32_t first, uint32_t last,
                                const char *server, int64_t started_ms,
                                uint64_t token, bool released);

/**
 * bgap_leases_end_process() - the process has ended, and its leases with it
 */
void bgap_leases_end_process (struct bgap_granter *g, int64_t now_ms,
                              const char *server, int64_t started_ms);

/**
 * bgap_leases_take_over() - record the leases that a former granter may have
 * granted
 */
enum bgap_status bgap_leases_take_over (struct bgap_granter *g);

/**
 * bgap_leases_add_unknown() - record that any server may have a lease on the
 * keys until @end_ms
 */
enum bgap_status bgap_leases_add_unknown (struct bgap_granter *g,
                                          uint32_t first, uint32_t last,
                                          int64_t end_ms);

/**
 * bgap_leases_identify() - of the servers that may have an unknown lease on
 * keys of the range, only its holder remains
 */
void bgap_leases_identify (struct bgap_granter *g,
                           const struct bgap_key_range *range);

/**
 * bgap_leases_prune() - drop expired leases
 */
void bgap_leases_prune (struct bgap_granter *g, int64_t now_ms);

/* granter_targets.c: servers.  */

/* First backoff of a server that did not answer; it gets no keys for this
   time, which doubles each time until it answers a grant.  */
#define BGAP_BACKOFF_FIRST_MS 2000

struct bgap_grant_target *
bgap_grant_targets_find (const struct bgap_granter *g, const char *id);
bool bgap_grant_target_usable (const struct bgap_grant_target *target,
                               int64_t now_ms);

/**
 * bgap_grant_target_is_open() - whether the server may get keys, whether or
 * not it answers now
 */
bool bgap_grant_target_is_open (const struct bgap_grant_target *target);

/**
 * bgap_grant_targets_any_open() - whether any server may get keys
 */
bool bgap_grant_targets_any_open (const struct bgap_granter *g);

/**
 * bgap_grant_targets_most_usable() - whether at least half of the servers that
 * are registered can take keys
 */
bool bgap_grant_targets_most_usable (const struct bgap_granter *g,
                                     int64_t now_ms);

/**
 * bgap_grant_target_answered() - a server has answered a call; its grants are
 * due
 */
void bgap_grant_target_answered (struct bgap_granter *g, int64_t now_ms,
                                 struct bgap_grant_target *target);

/* granter_grants.c: grants that are due.  */

/**
 * bgap_grants_send_due() - send the grants that are due
 */
void bgap_grants_send_due (struct bgap_granter *g, int64_t now_ms);

/**
 * bgap_grants_is_granted() - whether the holder of a range gets grants for it
 */
bool bgap_grants_is_granted (const struct bgap_granter *g,
                             const struct bgap_key_range *range);

/**
 * bgap_grants_probes_ended() - whether a server that does not answer gets no
 * more grants until it has answered a check
 */
bool bgap_grants_probes_ended (const struct bgap_grant_target *target,
                               int64_t now_ms);

/**
 * bgap_grants_take_allowance() - count a call against the rate of calls
 *
 * Return: false if no call may be sent now.
 */
bool bgap_grants_take_allowance (struct bgap_granter *g);

/**
 * bgap_grants_refund() - a grant was not sent; another one may be
 */
void bgap_grants_refund (struct bgap_granter *g);

/* granter_checks.c: servers that do not answer grants.  */

/**
 * bgap_checks_send_due() - send the checks that are due
 */
void bgap_checks_send_due (struct bgap_granter *g, int64_t now_ms);

/**
 * bgap_checks_on_reply() - handle the result of a check
 *
 * Return: false if the call is no check.
 */
bool bgap_checks_on_reply (struct bgap_granter *g, int64_t now_ms,
                           uint32_t call, enum bgap_granter_result result);

/* granter_calls.c: releases, and results of calls.  */

/**
 * bgap_calls_send_release() - send a release of the keys with the token of the
 * newest record
 *
 * Return: its call, or 0 without memory.
 */
uint32_t bgap_calls_send_release (struct bgap_granter *g, const char *server,
                                  uint32_t first, uint32_t last,
                                  uint64_t token);

/**
 * bgap_calls_target_died() - the process of the server has ended
 */
void bgap_calls_target_died (struct bgap_granter *g, int64_t now_ms,
                             struct bgap_grant_target *target);

/**
 * bgap_calls_release() - send a release unless one is in flight or confirmed
 */
void bgap_calls_release (struct bgap_granter *g, int64_t now_ms,
                         const struct bgap_key_range *range);

/**
 * bgap_calls_drop_releases() - drop releases that are no longer needed
 */
void bgap_calls_drop_releases (struct bgap_granter *g, int64_t now_ms);

/* granter_balance.c: placement of keys and load balancing.  */

/**
 * bgap_balance_place() - assign keys to the servers with the most spare
 * capacity
 *
 * Return: whether there was such a server.
 */
bool bgap_balance_place (struct bgap_granter *g, int64_t now_ms,
                         struct bgap_assignment *next, uint32_t first,
                         uint32_t last, uint64_t token);

/**
 * bgap_balance_move_load() - mark keys of the most loaded servers as moving
 *
 * Return: whether the load was uneven enough.
 */
bool bgap_balance_move_load (struct bgap_granter *g, int64_t now_ms,
                             struct bgap_assignment *next, uint64_t token);

/**
 * bgap_balance_age_counts() - halve the request counts
 */
void bgap_balance_age_counts (struct bgap_granter *g);

/* granter_merge.c: reduction of the number of ranges.  */

/**
 * bgap_merge_limit() - number of ranges above which small ones are merged
 */
uint32_t bgap_merge_limit (const struct bgap_granter *g, uint32_t servers);

/**
 * bgap_merge_neighbours() - merge neighbouring ranges with the same holder
 *
 * Return: whether there were any.
 */
bool bgap_merge_neighbours (struct bgap_assignment *next, uint64_t token);

/**
 * bgap_merge_fragments() - mark small ranges as moving that the server of a
 * neighbouring range can take
 *
 * Return: whether there were any.
 */
bool bgap_merge_fragments (struct bgap_granter *g, int64_t now_ms,
                           struct bgap_assignment *next, uint64_t token);

/* granter_plan.c: changes of the assignment.  */

/**
 * bgap_plan_run() - propose the next change, if there is one
 */
void bgap_plan_run (struct bgap_granter *g, int64_t now_ms);

/**
 * bgap_plan_resolved() - a record has been read, so that no earlier proposal
 * can be appended any more
 */
void bgap_plan_resolved (struct bgap_granter *g);

/**
 * bgap_plan_blocks() - whether an unresolved proposal changes the holder of
 * one of the keys
 */
bool bgap_plan_blocks (const struct bgap_granter *g, uint32_t first,
                       uint32_t last);

/* granter_fence.c: keys whose holder is unknown since a restore.  */

/**
 * bgap_fence_restart() - no server is fenced; call it when ranges have become
 * unconfirmed
 */
void bgap_fence_restart (struct bgap_granter *g);

/**
 * bgap_fence_run() - fence the servers for unconfirmed keys, as far as the
 * allowance of calls goes, and confirm these keys when all are fenced
 */
void bgap_fence_run (struct bgap_granter *g, int64_t now_ms);

/**
 * bgap_fence_on_reply() - handle the result of a release that fences
 *
 * Return: false if the call is none.
 */
bool bgap_fence_on_reply (struct bgap_granter *g, int64_t now_ms,
                          uint32_t call, enum bgap_granter_result result);

/* granter_restore.c: what remains known when the store was restored.  */

/**
 * bgap_restore_is_past() - whether a record is of an earlier timeline than the
 * store's
 */
bool bgap_restore_is_past (const struct bgap_granter *g,
                           const struct bgap_assignment *assignment);

/**
 * bgap_restore_records_lost() - whether the last granter may have granted
 * leases by records that are lost: the store was restored, and no granter has
 * written its assignment since
 */
bool bgap_restore_records_lost (const struct bgap_granter *g);

/**
 * bgap_restore_next_token() - fencing token of the next record: it rises with
 * the timeline and the offset of the record
 */
uint64_t bgap_restore_next_token (const struct bgap_granter *g);

/**
 * bgap_restore_on_past_record() - a record of an earlier timeline has been
 * read. It names nobody who may grant, but it may show that this instance no
 * longer may
 *
 * Return: whether it is newer than the known one.
 */
bool bgap_restore_on_past_record (struct bgap_granter *g, int64_t now_ms,
                                  const struct bgap_assignment *assignment);

/**
 * bgap_restore_on_record() - a record of the present timeline has been read
 * @was_active, @records_lost: before it
 */
void bgap_restore_on_record (struct bgap_granter *g, int64_t now_ms,
                             bool was_active, bool records_lost);

/**
 * bgap_restore_is_confirmed() - whether the granter in office can write its
 * assignment again: the servers that answer have confirmed that they know no
 * higher token
 */
bool bgap_restore_is_confirmed (struct bgap_granter *g, int64_t now_ms);

/**
 * bgap_restore_is_vacant() - whether no granter in office remains to write its
 * assignment
 * @is_missing: it is not in the list of instances
 */
bool bgap_restore_is_vacant (const struct bgap_granter *g, int64_t now_ms,
                             bool is_missing);

/**
 * bgap_restore_steps_in() - whether this instance takes over after a restore
 * although it is not the successor, because it has known the servers since
 * before and the successor may not
 */
bool bgap_restore_steps_in (const struct bgap_granter *g, int64_t now_ms);

/**
 * bgap_restore_unknown_end_ms() - when all leases have ended that a granter
 * can have granted to the server, or to any one, whose records are lost
 * @from_ms: when it granted the last one at the latest, if it could read the
 *   store
 */
int64_t bgap_restore_unknown_end_ms (const struct bgap_granter *g,
                                     int64_t from_ms);

/**
 * bgap_restore_mark_unconfirmed() - if records are lost, mark the ranges of
 * the proposal on which a server may have a lease that this instance does not
 * know of
 */
void bgap_restore_mark_unconfirmed (struct bgap_granter *g);

/**
 * bgap_restore_state_unconfirmed() - state in the proposal how long ranges
 * remain unconfirmed
 */
void bgap_restore_state_unconfirmed (struct bgap_granter *g, int64_t now_ms);

/**
 * bgap_restore_is_restated() - whether the granter is to write how long ranges
 * still remain unconfirmed, or that none does any more
 */
bool bgap_restore_is_restated (const struct bgap_granter *g, int64_t now_ms);

/**
 * bgap_restore_is_unconfirmed() - whether a range of the current assignment
 * may have an unknown holder
 */
bool bgap_restore_is_unconfirmed (const struct bgap_granter *g, int64_t now_ms,
                                  const struct bgap_key_range *range);

#endif
