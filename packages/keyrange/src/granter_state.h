#ifndef BANYANGAP_KEYRANGE_GRANTER_STATE_H
#define BANYANGAP_KEYRANGE_GRANTER_STATE_H

/*
 * Internals of the granter, shared by the granter_*.c files. Calls go one way:
 * granter.c (events) -> granter_plan.c (changes of the assignment) ->
 * granter_balance.c (which server gets keys), granter_merge.c (fewer ranges)
 * and granter_calls.c (orders) -> granter_candidates.c (load and shares),
 * granter_targets.c (servers) and granter_leases.c (when holds end).
 */

#include "banyangap/keyrange/granter.h"

/**
 * struct bgap_key_lease - keys that a server may hold
 * @end_ms: end of the hold by the answered grants
 * @unanswered_end_ms: end of the hold by grants without a response, which a
 * new process of the server may still take
 * @from_former_granter: by a former granter
 * @fenced: the process has confirmed a higher fence number, so that it takes
 *   no older grant
 * @renew_at_ms: when to renew
 * @call: grant that is running, 0 for none
 * @call_end_ms: end of the hold if that grant takes effect unanswered
 * @call_lease_ms: how long that grant holds
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
  int64_t renew_at_ms;
  uint32_t call;
  int64_t call_end_ms;
  int64_t call_lease_ms;
};

/**
 * struct bgap_grant_target - a server and what is known of it
 * @unanswered: grants in a row without a response
 * @unanswered_since_ms: first of them, 0 for none
 * @backoff_until_ms: gets no keys before, because it did not answer
 * @backoff_ms: how long it is avoided the next time
 * @dead: its process is known to have ended
 * @dead_sequence: its registrations at that time
 * @gone: its registration is gone
 */
struct bgap_grant_target
{
  struct bgap_granter_server desc;
  uint32_t unanswered;
  int64_t unanswered_since_ms;
  int64_t backoff_until_ms;
  int64_t backoff_ms;
  bool dead;
  int64_t dead_sequence;
  bool gone;
};

/**
 * struct bgap_release_call - keys that are being taken from a server
 * @call: release that is running, 0 for none
 * @confirmed: the server has confirmed it, at @done_ms
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
 * struct bgap_key_interval - keys, both inclusive
 */
struct bgap_key_interval
{
  uint32_t first;
  uint32_t last;
};

/**
 * struct bgap_granter - the engine
 * @current: newest record
 * @known: there is a record
 * @active: it names this process
 * @proposal: record being appended
 * @proposing: it was not read back yet, and no error came
 * @proposed_ms: when it was sent
 * @unresolved: it may still be appended, although no response came
 * @unresolved_keys: keys whose holder such records change; not renewed
 * @superseded: a server has refused a grant of this granter
 * @former_leases_until_ms: until then a former granter's grants can be valid
 * @view_ms: everything that was acknowledged before is known
 * @last_tick_ms: last tick
 * @resumed_ms: end of the last pause of this process that was long enough for
 *   another instance to take over
 * @rebalance: last move that evened out the load
 * @current_read_ms: when the newest record was read
 * @holders_changed: it changed holders, and not only the granter
 * @targets: by id
 * @last_pass_ms: last pass over the ranges
 * @next_renewal: range of the assignment that is looked at first
 * @pace_start_ms: begin of the interval in which @paced grants were sent
 * @key_requests: requests for each key, aged
 * @request_weight: load of a request of the sample, see granter_balance.c
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
  bool stepping_down;
  bool superseded;
  int64_t superseded_ms;
  int64_t first_server_ms;

  struct bgap_assignment proposal;
  struct bgap_buffer proposal_text;
  bool proposing;
  int64_t proposed_ms;
  int64_t propose_after_ms;
  bool unresolved;
  struct bgap_key_interval *unresolved_keys;
  uint32_t unresolved_count;

  int64_t view_ms;
  int64_t last_tick_ms;
  int64_t resumed_ms;
  int64_t former_leases_until_ms;
  int64_t rebalanced_ms;
  int64_t merged_ms;
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
  uint32_t next_renewal;
  int64_t pace_start_ms;
  uint32_t paced_grants;
  uint16_t *key_requests;
  uint64_t requests_total;
  uint64_t request_weight;
  struct bgap_granter_counts counts;
};

/* granter_leases.c: when holds end.  */

/**
 * bgap_leases_end_ms() - latest end of a hold of @hold_ms that arrives by
 * @arrival_ms at a server whose clock is slow
 */
int64_t bgap_leases_end_ms (int64_t arrival_ms, int64_t lease_ms);

/**
 * bgap_leases_renew_interval_ms() - time between two grants of a range; longer
 * than the option if there are so many ranges that the granter would be kept
 * busy
 */
int64_t bgap_leases_renew_interval_ms (const struct bgap_granter *g);

/**
 * bgap_leases_duration_ms() - how long a grant holds: the above and the margin
 * of the options
 */
int64_t bgap_leases_duration_ms (const struct bgap_granter *g);

/**
 * bgap_leases_find() - hold of exactly this range, or NULL
 */
struct bgap_key_lease *bgap_leases_find (struct bgap_granter *g,
                                         const struct bgap_key_range *range);

/**
 * bgap_leases_add() - a new one without an end, or NULL without memory
 */
struct bgap_key_lease *bgap_leases_add (struct bgap_granter *g,
                                        const struct bgap_key_range *range);

/**
 * bgap_leases_free_for() - no server but @server can hold any of the keys
 * @server: "" for none
 */
bool bgap_leases_free_for (const struct bgap_granter *g, int64_t now_ms,
                           uint32_t first, uint32_t last, const char *server);

/**
 * bgap_leases_confirm_token() - the process has confirmed @fence for the keys
 * @released: it holds them no longer
 */
void bgap_leases_confirm_token (struct bgap_granter *g, int64_t now_ms,
                                uint32_t first, uint32_t last,
                                const char *server, int64_t started_ms,
                                uint64_t token, bool released);

/**
 * bgap_leases_end_process() - the process has ended
 */
void bgap_leases_end_process (struct bgap_granter *g, int64_t now_ms,
                              const char *server, int64_t started_ms);

/**
 * bgap_leases_take_over() - note what a former granter may have granted
 */
enum bgap_status bgap_leases_take_over (struct bgap_granter *g);

/**
 * bgap_leases_prune() - forget those that have ended
 */
void bgap_leases_prune (struct bgap_granter *g, int64_t now_ms);

/* granter_targets.c: the servers.  */

struct bgap_grant_target *
bgap_grant_targets_find (const struct bgap_granter *g, const char *id);
bool bgap_grant_target_usable (const struct bgap_grant_target *target,
                               int64_t now_ms);

/* granter_calls.c: orders to servers.  */

/**
 * bgap_granter_emit() - queue an action; false without memory
 */
bool bgap_granter_emit (struct bgap_granter *g,
                        const struct bgap_granter_action *action);

/**
 * bgap_calls_renew() - send the grants that are due
 */
void bgap_calls_renew (struct bgap_granter *g, int64_t now_ms);

/**
 * bgap_calls_release() - send a release, or wait for the one that runs
 */
void bgap_calls_release (struct bgap_granter *g, int64_t now_ms,
                         const struct bgap_key_range *range);

/**
 * bgap_calls_drop_releases() - forget releases that are no longer needed
 */
void bgap_calls_drop_releases (struct bgap_granter *g, int64_t now_ms);

/* granter_balance.c: which server gets keys.  */

/**
 * bgap_balance_place() - give keys to the servers with the most room
 *
 * Return: whether there was a server.
 */
bool bgap_balance_place (struct bgap_granter *g, int64_t now_ms,
                         struct bgap_assignment *next, uint32_t first,
                         uint32_t last, uint64_t token);

/**
 * bgap_balance_move_load() - mark keys of the busiest servers as moving
 *
 * Return: whether the load is uneven enough.
 */
bool bgap_balance_move_load (struct bgap_granter *g, int64_t now_ms,
                             struct bgap_assignment *next, uint64_t token);

/**
 * bgap_balance_age_counts() - halve the counts of requests
 */
void bgap_balance_age_counts (struct bgap_granter *g);

/* granter_merge.c: fewer ranges.  */

/**
 * bgap_merge_neighbours() - make one range of neighbours with the same holder
 *
 * Return: whether there were any.
 */
bool bgap_merge_neighbours (struct bgap_assignment *next, uint64_t token);

/**
 * bgap_merge_fragments() - mark small ranges as moving that belong to the
 * server of a neighbouring range better
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
 * bgap_plan_resolved() - a record was read: no earlier proposal can follow
 */
void bgap_plan_resolved (struct bgap_granter *g);

/**
 * bgap_plan_blocks() - a proposal that may still be appended changes the
 * holder of one of the keys
 */
bool bgap_plan_blocks (const struct bgap_granter *g, uint32_t first,
                       uint32_t last);

#endif
