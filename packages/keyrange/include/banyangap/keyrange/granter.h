#ifndef BANYANGAP_KEYRANGE_GRANTER_H
#define BANYANGAP_KEYRANGE_GRANTER_H

/*
 * Assigns the keys of one service to its servers by leases, such that a key
 * never has two holders. Every instance runs a granter for each service, but
 * only the one named by the newest record in the store is active and grants.
 * The granter does no I/O: the caller passes in events with the current time
 * and carries out the actions that the granter returns.
 *
 *   struct bgap_granter *granter;
 *   bgap_granter_setup (&granter, &(struct bgap_granter_desc){
 *     .instance = "edge-1", .incarnation = random }, &err);
 *   bgap_granter_on_assignment (granter, now_ms, &assignment);
 *   bgap_granter_on_view (granter, now_ms, sent_ms);
 *   bgap_granter_set_server (granter, now_ms, &server);
 *   bgap_granter_set_successor (granter, now_ms, true, false);
 *   bgap_granter_tick (granter, now_ms);
 *   struct bgap_granter_action action;
 *   while (bgap_granter_next_action (granter, &action))
 *     ...   carry it out
 *   bgap_granter_shutdown (granter);
 *
 * How a key is kept from having two holders:
 *
 * - The store orders the records. A record is appended only at the offset that
 *   follows the record it is based on, and takes effect only when it has been
 *   read back.
 * - A grant gives the server a lease that starts when the grant arrives. The
 *   granter records for each grant, answered or not, when its lease must have
 *   expired. It assigns the keys to another server only after that time, or
 *   after the holder has confirmed a release.
 * - An instance that becomes the granter renews the leases of the same servers
 *   with a higher fencing token, so that calls of the former granter are
 *   refused. If a server does not answer, its keys go to another one only
 *   after the time in which the former granter can have renewed its leases.
 *   That time is bounded, because a granter stops granting when its view of
 *   the store is older than view_age_max_ms.
 * - A server that has ended and started again knows no token, and would take
 * the grants of a former granter. A connection leads to one process; after a
 *   server was reached over a new one, a grant is sent only when the store has
 *   been read since.
 * - When the store was restored from a copy, its records may be older than the
 *   grants that were made. A record of an earlier timeline names nobody who
 *   may grant. The granter in office goes on with the assignment that it
 *   knows, until its view of the earlier timeline is too old. It makes no
 *   change before it has written its whole assignment again, and writes that
 *   when the servers have confirmed that they know no higher token. An
 *   instance that takes over instead grants nothing before all leases have
 *   ended that it cannot know of. If it has known the servers since before the
 *   restore, it need not wait for that: it releases the keys at all servers
 * but their recorded holders.
 * - Fencing tokens rise with the timeline and with the offset of the record,
 * so that they are above those of records that this instance has not seen.
 *
 * Times are in milliseconds on a clock that counts suspended time.
 */

#include "banyangap/keyrange/assignment.h"

/* Time that the grants which follow a record take to reach the servers.  */
#define BGAP_GRANT_DELAY_MS 15

/* Size of a handover proof, terminating zero included.  */
#define BGAP_HANDOVER_SIZE 128

/**
 * struct bgap_granter_desc - options; zero selects the default
 * @instance: name of this instance, required
 * @incarnation: random number drawn at the start of the process, required
 * @lease_ms: duration of a lease; default 2000
 * @lease_max_ms: longest lease that servers accept; leases are longer than
 *   @lease_ms if there are very many ranges; default 10000
 * @renew_interval_ms: time between renewals of a lease; default 500
 * @call_timeout_ms: time after which a call counts as unanswered; its
 *   connection is then reset, so that it cannot arrive later. If the result is
 *   reported later, the call may have arrived until then. Default 400
 * @view_age_max_ms: age of the view of the store above which no grants are
 *   sent; must be the same at all instances; default 9500
 * @settle_ms: time for servers to register before the first assignment;
 *   default 1500
 * @rebalance_interval_ms: time between moves that only balance load; default
 * 600
 */
struct bgap_granter_desc
{
  const char *instance;
  uint64_t incarnation;
  int64_t lease_ms;
  int64_t lease_max_ms;
  int64_t renew_interval_ms;
  int64_t call_timeout_ms;
  int64_t view_age_max_ms;
  int64_t settle_ms;
  int64_t rebalance_interval_ms;
};

/**
 * struct bgap_granter_server - a registered server of the service
 * @started_ms: start time of its process
 * @sequence: number of its registration
 * @slots: number of requests it runs at a time
 * @latency_ms: mean time for which a request takes one of its slots, 0 if
 *   unknown; see service_times.h
 * @draining: the server is shutting down and gives its keys away
 * @cold: it can take only a few requests for a while. It keeps its keys, and
 *   gets more only if fewer than half of the usable servers are not cold.
 * @evacuated: its zone is evacuated: it gets no keys, and gives its keys away
 *   while there are servers that are not
 */
struct bgap_granter_server
{
  char id[BGAP_KEYRANGE_NAME_SIZE];
  int64_t started_ms;
  int64_t sequence;
  uint32_t slots;
  double latency_ms;
  bool draining;
  bool cold;
  bool evacuated;
};

/**
 * enum bgap_granter_action_kind - type of an action
 */
enum bgap_granter_action_kind
{
  /* Send a grant, unless that needs a new connection; report the result with
     bgap_granter_on_reply.  */
  BGAP_GRANTER_GRANT,
  /* Send a release; report the result with bgap_granter_on_reply.  */
  BGAP_GRANTER_RELEASE,
  /* Find out whether the server answers, with a call that has no effect;
     report BGAP_GRANTER_RECONNECTED if it does.  */
  BGAP_GRANTER_CHECK,
  /* Append @bytes at the offset after the last record that was read; report
     the result with bgap_granter_on_append.  */
  BGAP_GRANTER_APPEND,
  /* Read the store now; grants wait for bgap_granter_on_view.  */
  BGAP_GRANTER_READ,
  /* For the log: a server that may be alive was without its lease until the
     grant that follows.  */
  BGAP_GRANTER_LAPSED,
  /* For the log: after a restore of the store, the keys with unknown holders
     have been taken from all servers but the recorded ones.  */
  BGAP_GRANTER_CONFIRMED
};

/**
 * enum bgap_lapse_cause - why a lease ended before it was renewed
 */
enum bgap_lapse_cause
{
  BGAP_LAPSE_RATE,       /* the renewal came late */
  BGAP_LAPSE_UNANSWERED, /* a grant before got no response */
  BGAP_LAPSE_TAKEOVER,   /* the first grant of a new granter came late */
  BGAP_LAPSE_COUNT
};

/**
 * bgap_lapse_cause_name() - short name, never NULL
 */
const char *bgap_lapse_cause_name (enum bgap_lapse_cause cause);

/**
 * struct bgap_granter_action - an action; unused fields are zero
 * @call: GRANT, RELEASE, CHECK, APPEND; identifies the call in
 * bgap_granter_on_reply or bgap_granter_on_append
 * @server: GRANT, RELEASE, CHECK, LAPSED
 * @first, @last: GRANT, RELEASE, LAPSED; inclusive
 * @token: GRANT, RELEASE, LAPSED, CONFIRMED; fencing token
 * @cause: LAPSED
 * @lapsed_ms: LAPSED; time since the lease has ended, at the latest
 * @restored_ms: CONFIRMED; time since the restore was seen
 * @overdue_ms: LAPSED; time since the renewal was due
 * @lease_ms: GRANT, LAPSED; duration of the lease, at LAPSED of the next one
 * @timeout_ms: GRANT, RELEASE
 * @handover: GRANT; proof of the previous holder's release, or ""
 * @bytes, @size: APPEND; valid until the next call
 */
struct bgap_granter_action
{
  enum bgap_granter_action_kind kind;
  uint32_t call;
  char server[BGAP_KEYRANGE_NAME_SIZE];
  uint32_t first;
  uint32_t last;
  uint64_t token;
  int64_t lease_ms;
  int64_t timeout_ms;
  char handover[BGAP_HANDOVER_SIZE];
  enum bgap_lapse_cause cause;
  int64_t lapsed_ms;
  int64_t restored_ms;
  int64_t overdue_ms;
  const void *bytes;
  size_t size;
};

/**
 * enum bgap_granter_result - result of a grant, release or check
 */
enum bgap_granter_result
{
  BGAP_GRANTER_DONE,
  BGAP_GRANTER_FENCED,   /* the server has seen a higher token */
  BGAP_GRANTER_REJECTED, /* refused for another reason, no effect */
  BGAP_GRANTER_REPLACED, /* another server has this address */
  /* Not sent; a new connection to the server was opened, for later calls.  */
  BGAP_GRANTER_RECONNECTED,
  BGAP_GRANTER_CLOSED,   /* connection refused, not sent */
  BGAP_GRANTER_NOT_SENT, /* not sent for another reason */
  BGAP_GRANTER_LOST,     /* no response, it may have an effect */
  BGAP_GRANTER_RESULT_COUNT
};

/**
 * bgap_granter_result_name() - short name, never NULL
 */
const char *bgap_granter_result_name (enum bgap_granter_result result);

/**
 * enum bgap_granter_append_result - result of an append
 */
enum bgap_granter_append_result
{
  BGAP_GRANTER_APPENDED,
  BGAP_GRANTER_NOT_APPENDED,  /* it will never take effect */
  BGAP_GRANTER_APPEND_UNKNOWN /* it may still take effect */
};

/**
 * struct bgap_granter_counts - counters and gauges
 * @spreads, @load_keys_moved: passes that spread keys of overloaded servers,
 *   and keys that were moved for load; counters
 * @takeovers, @moves, @keys_moved, @grants, @releases, @results, @lapses:
 *   counters
 * @ranges, @leases, @token, @active: gauges
 * @overdue: renewals that are due at an active granter
 * @oldest_overdue_ms: time since the first of them was due
 * @renew_interval_ms, @lease_ms: time between renewals of a range, and
 * duration of a lease
 */
struct bgap_granter_counts
{
  uint64_t takeovers;
  uint64_t moves;
  uint64_t keys_moved;
  uint64_t spreads;
  uint64_t load_keys_moved;
  uint64_t grants;
  uint64_t releases;
  uint64_t results[BGAP_GRANTER_RESULT_COUNT];
  uint64_t lapses[BGAP_LAPSE_COUNT];
  uint32_t ranges;
  uint32_t leases;
  uint64_t token;
  bool active;
  uint32_t overdue;
  int64_t oldest_overdue_ms;
  int64_t renew_interval_ms;
  int64_t lease_ms;
};

/**
 * struct bgap_granter_rebalance - a move for load balancing
 * @most_loaded, @least_loaded: servers with the most and the least load
 *   relative to their share
 * @most_loaded_percent, @least_loaded_percent: their load in percent of their
 *   share
 * @first, @last: keys that @most_loaded gives away
 */
struct bgap_granter_rebalance
{
  char most_loaded[BGAP_KEYRANGE_NAME_SIZE];
  char least_loaded[BGAP_KEYRANGE_NAME_SIZE];
  uint32_t most_loaded_percent;
  uint32_t least_loaded_percent;
  uint32_t first;
  uint32_t last;
};

/**
 * struct bgap_granter_spread - a pass that spreads the keys of overloaded
 * servers
 * @number: of the pass, from 1; 0 if there was none
 * @server: most overloaded server
 * @load_percent: requests for its keys in percent of what its slots can run
 * @first, @last: its hot keys
 * @servers_before: overloaded servers
 * @servers_after: servers that have the keys when they have moved
 * @pieces, @keys: key ranges and keys that move
 * @age_ms: age of the oldest request that the decision is based on
 */
struct bgap_granter_spread
{
  uint64_t number;
  char server[BGAP_KEYRANGE_NAME_SIZE];
  uint32_t load_percent;
  uint32_t first;
  uint32_t last;
  uint32_t servers_before;
  uint32_t servers_after;
  uint32_t pieces;
  uint32_t keys;
  int64_t age_ms;
};

struct bgap_granter;

/**
 * bgap_granter_setup() - create an inactive granter without servers
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_granter_setup (struct bgap_granter **granter,
                                     const struct bgap_granter_desc *desc,
                                     struct bgap_error *err);

/**
 * bgap_granter_shutdown() - free the granter; NULL is allowed
 */
void bgap_granter_shutdown (struct bgap_granter *granter);

/**
 * bgap_granter_on_timeline() - the store answers from @timeline. After a
 * restore, call it before anything of the new timeline; the records of the
 * copy follow with bgap_granter_on_assignment()
 */
void bgap_granter_on_timeline (struct bgap_granter *granter, int64_t now_ms,
                               uint64_t timeline);

/**
 * bgap_granter_set_next_offset() - records are appended at @offset, until this
 * is called again; call it whenever a record of the topic has been read
 */
void bgap_granter_set_next_offset (struct bgap_granter *granter,
                                   uint64_t offset);

/**
 * bgap_granter_on_loaded() - all records of the store have been read; without
 * an earlier bgap_granter_on_assignment the store has no assignment
 */
void bgap_granter_on_loaded (struct bgap_granter *granter, int64_t now_ms);

/**
 * bgap_granter_on_assignment() - a record has been read
 *
 * Return: false if it is of an earlier timeline and older than what is known.
 */
bool bgap_granter_on_assignment (struct bgap_granter *granter, int64_t now_ms,
                                 const struct bgap_assignment *assignment);

/**
 * bgap_granter_on_view() - all records acknowledged by the store before
 * @sent_ms have been read
 */
void bgap_granter_on_view (struct bgap_granter *granter, int64_t now_ms,
                           int64_t sent_ms);

/**
 * bgap_granter_on_append() - an append has ended
 * @call: from the action
 */
void bgap_granter_on_append (struct bgap_granter *granter, int64_t now_ms,
                             uint32_t call,
                             enum bgap_granter_append_result result);

/**
 * bgap_granter_on_reply() - a grant or release has ended
 * @call: from the action
 * @handover: proof from the response to a release, or ""
 */
void bgap_granter_on_reply (struct bgap_granter *granter, int64_t now_ms,
                            uint32_t call, enum bgap_granter_result result,
                            const char *handover);

/**
 * bgap_granter_set_server() - a server has registered, or its registration has
 * changed
 */
void bgap_granter_set_server (struct bgap_granter *granter, int64_t now_ms,
                              const struct bgap_granter_server *server);

/**
 * bgap_granter_remove_server() - a registration has been removed
 */
void bgap_granter_remove_server (struct bgap_granter *granter, int64_t now_ms,
                                 const char *id);

/**
 * bgap_granter_suspect() - a request to a server has failed: renew one of its
 * leases at once to learn whether it answers
 */
void bgap_granter_suspect (struct bgap_granter *granter, int64_t now_ms,
                           const char *id);

/**
 * bgap_granter_set_successor() - whether this instance takes over when the
 * granter is lost
 * @successor: this instance is the one to take over
 * @granter_lost: the granter of the newest record is lost
 */
void bgap_granter_set_successor (struct bgap_granter *granter, int64_t now_ms,
                                 bool successor, bool granter_lost);

/**
 * bgap_granter_count_request() - count a request for a key; the counts are the
 * load that is balanced
 */
void bgap_granter_count_request (struct bgap_granter *granter, uint32_t key);

/**
 * bgap_granter_step_down() - stop granting and record it in the store
 */
void bgap_granter_step_down (struct bgap_granter *granter, int64_t now_ms);

/**
 * bgap_granter_tick() - run renewals, moves and timers; call it about every 50
 * ms
 */
void bgap_granter_tick (struct bgap_granter *granter, int64_t now_ms);

/**
 * bgap_granter_next_action() - take the oldest pending action
 *
 * Return: false if there is none.
 */
bool bgap_granter_next_action (struct bgap_granter *granter,
                               struct bgap_granter_action *action);

/**
 * bgap_granter_assignment() - newest assignment that has been read
 */
const struct bgap_assignment *
bgap_granter_assignment (const struct bgap_granter *granter);

/**
 * bgap_granter_holder() - range of a key if requests can be sent to its holder
 *
 * A holder named by a record that was read a few milliseconds ago may not have
 * received its grant yet.
 *
 * Return: NULL if the key is unassigned or moving, or if the grant is still on
 * its way.
 */
const struct bgap_key_range *
bgap_granter_holder (const struct bgap_granter *granter, int64_t now_ms,
                     uint32_t key);

/**
 * bgap_granter_last_rebalance() - last move for load balancing
 */
const struct bgap_granter_rebalance *
bgap_granter_last_rebalance (const struct bgap_granter *granter);

/**
 * bgap_granter_last_spread() - last pass that spread the keys of overloaded
 * servers
 */
const struct bgap_granter_spread *
bgap_granter_last_spread (const struct bgap_granter *granter);

/**
 * bgap_granter_is_active() - whether this instance is the granter of the
 * service
 */
bool bgap_granter_is_active (const struct bgap_granter *granter);

/**
 * bgap_granter_unconfirmed_ms() - how long unknown servers can still have
 * leases on unconfirmed ranges of the newest record; 0 if there are none
 */
int64_t bgap_granter_unconfirmed_ms (const struct bgap_granter *granter,
                                     int64_t now_ms);

/**
 * bgap_granter_counts() - counters and gauges
 */
struct bgap_granter_counts
bgap_granter_counts (const struct bgap_granter *granter);

/**
 * bgap_granter_dump() - append the state as text
 */
enum bgap_status bgap_granter_dump (const struct bgap_granter *granter,
                                    int64_t now_ms, struct bgap_buffer *out);

#endif
