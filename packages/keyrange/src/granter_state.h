#ifndef BANYANGAP_KEYRANGE_GRANTER_STATE_H
#define BANYANGAP_KEYRANGE_GRANTER_STATE_H

/*
 * Internals of the granter, shared by the granter_*.c files. Each file calls
 * only those further down, except for bgap_plan_blocks, bgap_plan_resolved and
 * bgap_restore_records_lost:
 *
 *   granter.c             events
 *   granter_plan.c        changes of the assignment
 *   granter_restore.c     what remains known when the store was restored
 *   granter_balance.c     placement of keys and load balancing
 *   granter_merge.c       reduction of the number of ranges
 *   granter_grants.c      grants that are due
 *   granter_calls.c       releases, and results of calls
 *   granter_checks.c      servers that do not answer grants
 *   granter_candidates.c  load, and the servers that can take keys
 *   granter_leases.c      expiry of leases
 *   granter_targets.c     servers
 */

#include "banyangap/keyrange/granter.h"

/**
 * struct bgap_key_lease - lease that a server may have on a key range
 * @end_ms: expiry according to the answered grants
 * @unanswered_end_ms: expiry according to the grants without a response, which
 *   a new process of the server may still accept
 * @from_former_granter: it may have been granted by a former granter
 * @fenced: the process has confirmed a higher token, so that it accepts no
 *   older grant
 * @held_until_ms: end of the lease of the last answered grant by an exact
 *   clock, 0 if none was answered
 * @unanswered: grants without a response since the last answered one
 * @renew_at_ms: when to renew
 * @confirmed_ms: when the last grant that was answered had been sent, 0 if
 *   none was
 * @call: grant that is in flight, 0 for none
 * @call_sent_ms: when it was sent
 * @call_end_ms: expiry if that grant takes effect without a response
 * @call_lease_ms: duration of the lease in that grant
 */
struct bgap_key_lease
{
  uint32_t first;
  uint32_t last;
  char server[BGAP_KEYRANGE_NAME_SIZE];
  int64_t started_ms;
  uint64_t token;
  int64_t end_ms;
  int64_t unanswered_end_ms;
  bool from_former_granter;
  bool fenced;
  int64_t held_until_ms;
  uint32_t unanswered;
  int64_t renew_at_ms;
  int64_t confirmed_ms;
  uint32_t call;
  int64_t call_sent_ms;
  int64_t call_end_ms;
  int64_t call_lease_ms;
};

/**
 * struct bgap_grant_target - a server and its state
 * @unanswered: consecutive grants without a response
 * @unanswered_since_ms: time of the first of them, 0 for none
 * @grant_lost: one of them was sent, so that its lease may be in force
 * @connected_ms: when a connection to it was last opened, 0 if unknown
 * @held_ms: last pass in which a grant to it waited for a view of the store, 0
 *   if none did in the last one
 * @probe_at_ms: while it does not answer, when to send the next grant, for any
 *   of its ranges
 * @check_call: check that is in flight, 0 for none
 * @check_at_ms: earliest time of the next check
 * @check_pause_ms: pause after the last check without an answer
 * @backoff_until_ms: gets no keys before this time, because it did not answer
 * @backoff_ms: duration of the next backoff
 * @dead: its process is known to have ended
 * @dead_sequence: number of its registration at that time
 * @gone: its registration has been removed
 */
struct bgap_grant_target
{
  struct bgap_granter_server desc;
  uint32_t unanswered;
  int64_t unanswered_since_ms;
  bool grant_lost;
  int64_t connected_ms;
  int64_t held_ms;
  int64_t probe_at_ms;
  uint32_t check_call;
  int64_t check_at_ms;
  int64_t check_pause_ms;
  int64_t backoff_until_ms;
  int64_t backoff_ms;
  bool dead;
  int64_t dead_sequence;
  bool gone;
};

/**
 * struct bgap_release_call - release of a key range by its server
 * @call: release that is in flight, 0 for none
 * @retry_at_ms: earliest time of the next release
 * @confirmed: the server has confirmed the release, at @confirmed_ms
 * @handover: proof from its response
 */
struct bgap_release_call
{
  uint32_t first;
  uint32_t last;
  uint64_t token;
  uint32_t call;
  int64_t retry_at_ms;
  bool confirmed;
  int64_t confirmed_ms;
  char handover[BGAP_HANDOVER_SIZE];
};

/**
 * struct bgap_key_interval - run of keys, both ends inclusive
 */
struct bgap_key_interval
{
  uint32_t first;
  uint32_t last;
};

/* Maximum number of former durations of leases that are kept apart.  */
#define BGAP_FORMER_DURATIONS_MAX 8

/**
 * struct bgap_lease_duration - leases of this duration can be valid until
 * @until_ms
 */
struct bgap_lease_duration
{
  int64_t lease_ms;
  int64_t until_ms;
};

/**
 * struct bgap_granter - state of a granter
 * @current: newest record that was read
 * @current_read_ms: when it was read
 * @known: there is such a record
 * @active: it names this process as the granter
 * @holders_changed: it changed holders, and not only the granter
 * @is_successor: this instance takes over when the granter is lost
 * @timeline: timeline of the store, 0 if it has none or has not answered yet
 * @timeline_since_ms: when it was first seen
 * @next_offset: offset at which the next record is appended
 * @unconfirmed_until_ms: until then other servers can have leases on the
 * ranges of @current that are unconfirmed
 * @overwritten: a record of an earlier timeline was appended after @current;
 *   @current has to be written again
 * @stepping_down: grants no more, until a record says so
 * @superseded: a server has refused a grant of this granter
 * @proposal: record that is being appended
 * @proposing: it has been sent and was neither read back nor refused
 * @proposal_call: identifies its append
 * @proposed_ms: when it was sent
 * @propose_after_ms: earliest time of the next one
 * @unresolved: a proposal got no response and may still be appended
 * @unresolved_keys: keys whose holder such proposals change; their leases are
 *   not renewed
 * @view_ms: everything that the store acknowledged before has been read
 * @last_tick_ms: time of the last tick
 * @activated_ms: when this instance became the granter
 * @resumed_ms: end of the last pause of this process that was long enough for
 *   another instance to take over
 * @former_leases_until_ms: until then leases granted by former granters can be
 *   valid
 * @former_durations: durations of leases that were longer than those of now
 * @rebalance: last move for load balancing
 * @targets: sorted by server id
 * @last_pass_ms: time of the last pass over the ranges
 * @read_wanted_ms: when a read of the store was last requested
 * @allowance: thousandths of a grant that may be sent now
 * @allowance_at_ms: when it was last increased
 * @due: ranges whose grants are due, see bgap_grants_send_due
 * @key_requests: decaying count of requests for each key
 * @requests_total: sum of @key_requests
 * @request_weight: load of one counted request, see granter_candidates.c
 */
struct bgap_granter
{
  struct bgap_granter_desc desc;
  char instance[BGAP_KEYRANGE_NAME_SIZE];
  struct bgap_assignment current;
  bool known;
  bool loaded;
  bool active;
  bool is_successor;
  bool granter_lost;
  uint64_t timeline;
  int64_t timeline_since_ms;
  uint64_t next_offset;
  int64_t unconfirmed_until_ms;
  bool overwritten;
  bool stepping_down;
  bool superseded;
  int64_t superseded_ms;
  int64_t first_server_ms;

  struct bgap_assignment proposal;
  struct bgap_buffer proposal_text;
  bool proposing;
  uint32_t proposal_call;
  int64_t proposed_ms;
  int64_t propose_after_ms;
  bool unresolved;
  struct bgap_key_interval *unresolved_keys;
  uint32_t unresolved_count;

  int64_t view_ms;
  int64_t last_tick_ms;
  int64_t activated_ms;
  int64_t resumed_ms;
  int64_t former_leases_until_ms;
  struct bgap_lease_duration former_durations[BGAP_FORMER_DURATIONS_MAX];
  uint32_t former_duration_count;
  int64_t rebalanced_ms;
  struct bgap_granter_rebalance rebalance;
  int64_t current_read_ms;
  bool holders_changed;
  int64_t aged_ms;

  struct bgap_key_lease *leases;
  uint32_t lease_count;
  uint32_t lease_capacity;
  struct bgap_grant_target *targets;
  uint32_t target_count;
  uint32_t target_capacity;
  struct bgap_release_call *releases;
  uint32_t release_count;
  uint32_t release_capacity;

  struct bgap_granter_action *actions;
  uint32_t action_first;
  uint32_t action_count;
  uint32_t action_capacity;
  uint32_t next_call;
  int64_t last_pass_ms;
  int64_t read_wanted_ms;
  int64_t allowance;
  int64_t allowance_at_ms;
  struct bgap_due_grant *due;
  uint32_t due_capacity;
  uint16_t *key_requests;
  uint64_t requests_total;
  uint64_t request_weight;
  struct bgap_granter_counts counts;
};

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
 * bgap_leases_prune() - drop expired leases
 */
void bgap_leases_prune (struct bgap_granter *g, int64_t now_ms);

/* granter_targets.c: servers.  */

struct bgap_grant_target *
bgap_grant_targets_find (const struct bgap_granter *g, const char *id);
bool bgap_grant_target_usable (const struct bgap_grant_target *target,
                               int64_t now_ms);

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
 * bgap_granter_emit() - queue an action
 *
 * Return: false without memory.
 */
bool bgap_granter_emit (struct bgap_granter *g,
                        const struct bgap_granter_action *action);

/**
 * bgap_calls_target_answered() - a server has answered a call
 */
void bgap_calls_target_answered (struct bgap_granter *g, int64_t now_ms,
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
 * bgap_restore_is_unconfirmed() - whether a range of the current assignment
 * may have an unknown holder
 */
bool bgap_restore_is_unconfirmed (const struct bgap_granter *g, int64_t now_ms,
                                  const struct bgap_key_range *range);

#endif
