#ifndef BANYANGAP_KEYRANGE_GRANTER_STATE_H
#define BANYANGAP_KEYRANGE_GRANTER_STATE_H

/*
 * State of the granter, shared by the granter_*.c files; see granter_parts.h.
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
 * @call_end_ms: expiry if that grant takes effect without a response and its
 *   connection is reset in time
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
 * @gone: its registration has been removed, at @gone_ms
 * @fenced_below: its process is fenced for the unconfirmed keys below this one
 * @fence_call: release that is in flight for that, 0 for none
 * @fence_first, @fence_last: its keys
 * @fence_at_ms: earliest time of the next one
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
  int64_t gone_ms;
  uint32_t fenced_below;
  uint32_t fence_call;
  uint32_t fence_first;
  uint32_t fence_last;
  int64_t fence_at_ms;
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

/**
 * struct bgap_planned_move - keys that are moving, and the server that gets
 * them when they are free
 */
struct bgap_planned_move
{
  uint32_t first;
  uint32_t last;
  char server[BGAP_KEYRANGE_NAME_SIZE];
  int64_t started_ms;
};

/* Number of the newest requests that are kept: those of the window of
   granter_spread.c at 20000 requests a second.  */
#define BGAP_RECENT_REQUESTS 4096u

/**
 * struct bgap_recent_request - a counted request
 * @at_ms: time of the tick before it was counted
 */
struct bgap_recent_request
{
  int64_t at_ms;
  uint16_t key;
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
 * @was_restored: this instance has known the servers since before the store
 *   was restored
 * @next_offset: offset at which the next record is appended
 * @unconfirmed_until_ms: until then other servers can have leases on the
 * ranges of @current that are unconfirmed
 * @unknown_end_ms: earliest known bound of that in @unknown_end_timeline,
 *   which is 0 if none is known; without the fencing of servers
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
 * @moves: planned moves of keys that are marked as moving, or are in the
 *   proposal
 * @recent: ring of the newest requests, @recent_next is the oldest if it is
 *   full
 * @hot_since_ms: since when servers are overloaded, 0 if none is
 * @spread_checked_ms: when that was last examined
 * @spread: last pass that spread the keys of overloaded servers
 * @targets: sorted by server id
 * @most_usable: at the last pass, at least half of the registered servers
 * could take keys. If not, they have a common cause of not answering, and
 * their keys would overload the others
 * @any_open: at the last pass, a server could get keys. If not, evacuated
 *   servers keep theirs
 * @last_pass_ms: time of the last pass over the ranges
 * @read_wanted_ms: when a read of the store was last requested
 * @allowance: thousandths of a grant that may be sent now
 * @allowance_at_ms: when it was last increased
 * @overdue_ms: for how long the oldest renewal was due that could not be sent
 *   in the last pass, 0 if all were
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
  bool was_restored;
  uint64_t next_offset;
  int64_t unconfirmed_until_ms;
  int64_t unknown_end_ms;
  uint64_t unknown_end_timeline;
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

  struct bgap_planned_move *moves;
  uint32_t move_count;
  uint32_t move_capacity;
  struct bgap_recent_request *recent;
  uint32_t recent_next;
  uint32_t recent_count;
  int64_t hot_since_ms;
  int64_t spread_checked_ms;
  struct bgap_granter_spread spread;

  struct bgap_key_lease *leases;
  uint32_t lease_count;
  uint32_t lease_capacity;
  struct bgap_grant_target *targets;
  uint32_t target_count;
  uint32_t target_capacity;
  bool most_usable;
  bool any_open;
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
  int64_t overdue_ms;
  struct bgap_due_grant *due;
  uint32_t due_capacity;
  uint16_t *key_requests;
  uint64_t requests_total;
  uint64_t request_weight;
  struct bgap_granter_counts counts;
};

#endif
