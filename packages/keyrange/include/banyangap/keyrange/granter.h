#ifndef BANYANGAP_KEYRANGE_GRANTER_H
#define BANYANGAP_KEYRANGE_GRANTER_H

/*
 * Decides which server holds which keys of one service, and keeps it so that a
 * key never has two holders. Every instance runs one; the newest record in the
 * store names the instance that may grant. It does no I/O: events come in with
 * the time, actions go out.
 *
 *   struct bgap_granter *granter;
 *   bgap_granter_setup (&granter, &(struct bgap_granter_desc){
 *     .instance = "edge-1", .life = random }, &err);
 *   bgap_granter_on_assignment (granter, now_ms, &assignment);
 *   bgap_granter_on_view (granter, now_ms, sent_ms);
 *   bgap_granter_set_server (granter, now_ms, &server);
 *   bgap_granter_set_successor (granter, now_ms, true);
 *   bgap_granter_tick (granter, now_ms);
 *   struct bgap_granter_action action;
 *   while (bgap_granter_next_action (granter, &action))
 *     ...   carry it out
 *   bgap_granter_shutdown (granter);
 *
 * How a key is kept from having two holders:
 *
 * - The store orders the records. A record is appended only at the offset that
 *   follows the one it is based on, and acted on only when it was read back.
 * - A server holds keys for a limited time from the arrival of a grant. The
 *   granter notes for each grant when the hold must have ended, also for calls
 *   without a response, and gives keys to another server only after that, or
 *   after the holder has confirmed a release.
 * - An instance that becomes the granter renews the same keys at the same
 *   servers under a higher fence number, so that calls of the former granter
 *   are refused. Before it gives keys of a server that does not answer to
 *   another one, it waits for the time in which the former granter may still
 *   have renewed them. That time is bounded, because a granter stops when its
 *   view of the store is older than view_max_ms.
 *
 * Times are in milliseconds on a clock that counts suspended time.
 */

#include "banyangap/keyrange/assignment.h"

/* Size of a handover proof, terminating zero included.  */
#define BGAP_HANDOVER_SIZE 128

/**
 * struct bgap_granter_desc - options; zero means the default
 * @instance: name of this instance, required
 * @incarnation: random number drawn at the start of the process, required
 * @lease_ms: how long a grant holds; default 2000
 * @lease_max_ms: longest hold that servers grant; holds are longer than
 *   @hold_ms if there are very many ranges; default 10000
 * @renew_interval_ms: between renewals; default 500
 * @call_timeout_ms: after it an order counts as not answered and its
 *   connection is reset, so that it cannot arrive later; default 400
 * @view_age_max_ms: grants stop when the view of the store is older; the same
 * at all instances; default 9500
 * @settle_ms: wait for servers to register before the first assignment;
 *   default 1500
 * @rebalance_interval_ms: between moves that only even out the load; default
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
 * @started_ms: start of its process
 * @sequence: counts its registrations
 * @slots: requests it runs at a time
 * @latency_ms: time that it takes for a request, 0 if not known; only the
 *   proportion to the other servers counts
 * @draining: it leaves
 */
struct bgap_granter_server
{
  char id[BGAP_KEYRANGE_NAME_SIZE];
  int64_t started_ms;
  int64_t sequence;
  uint32_t slots;
  double latency_ms;
  bool draining;
};

/**
 * enum bgap_granter_action_kind - kind of an action
 */
enum bgap_granter_action_kind
{
  /* Send a grant; report with bgap_granter_on_reply.  */
  BGAP_GRANTER_GRANT,
  /* Send a release; report with bgap_granter_on_reply.  */
  BGAP_GRANTER_RELEASE,
  /* Append @bytes at the offset after the last record that was read; report
     with bgap_granter_on_append.  */
  BGAP_GRANTER_APPEND
};

/**
 * struct bgap_granter_action - an action; unused fields are zero
 * @call: names the call in the report
 * @server: GRANT, RELEASE
 * @first, @last: GRANT, RELEASE, both inclusive
 * @timeout_ms: GRANT, RELEASE
 * @lease_ms, @handover: GRANT
 * @bytes, @size: APPEND, valid until the next call
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
  const void *bytes;
  size_t size;
};

/**
 * enum bgap_granter_result - how an order ended
 */
enum bgap_granter_result
{
  BGAP_GRANTER_DONE,
  BGAP_GRANTER_FENCED,   /* the server knows a higher fence number */
  BGAP_GRANTER_REJECTED, /* refused for another reason; it has no effect */
  BGAP_GRANTER_REPLACED, /* another server has the address */
  BGAP_GRANTER_CLOSED,   /* the connection was refused; it was not sent */
  BGAP_GRANTER_NOT_SENT, /* not sent for another reason */
  BGAP_GRANTER_LOST,     /* no response; it may have an effect */
  BGAP_GRANTER_RESULT_COUNT
};

/**
 * bgap_granter_result_name() - short name, never NULL
 */
const char *bgap_granter_result_name (enum bgap_granter_result result);

/**
 * enum bgap_granter_append_result - how an append ended
 */
enum bgap_granter_append_result
{
  BGAP_GRANTER_APPENDED,
  BGAP_GRANTER_NOT_APPENDED, /* it certainly has no effect */
  BGAP_GRANTER_APPEND_UNKNOWN
};

/**
 * struct bgap_granter_counts - totals, and gauges
 */
struct bgap_granter_counts
{
  uint64_t takeovers;
  uint64_t moves;
  uint64_t keys_moved;
  uint64_t grants;
  uint64_t releases;
  uint64_t results[BGAP_GRANTER_RESULT_COUNT];
  uint32_t ranges;
  uint32_t leases;
  uint64_t token;
  bool active;
};

/**
 * struct bgap_granter_rebalance - a move that evens out the load
 * @most_loaded, @idlest: servers with the most and the least load for their
 * share
 * @most_loaded_percent, @idle_percent: their load in percent of their share
 * @first, @last: keys that leave @busiest
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

struct bgap_granter;

/**
 * bgap_granter_setup() - create an engine that knows nothing yet
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_granter_setup (struct bgap_granter **granter,
                                     const struct bgap_granter_desc *desc,
                                     struct bgap_error *err);

/**
 * bgap_granter_shutdown() - free it; NULL is allowed
 */
void bgap_granter_shutdown (struct bgap_granter *granter);

/**
 * bgap_granter_on_loaded() - all records of the store were read; without an
 * assignment there is none
 */
void bgap_granter_on_loaded (struct bgap_granter *granter, int64_t now_ms);

/**
 * bgap_granter_on_assignment() - a record was read
 */
void bgap_granter_on_assignment (struct bgap_granter *granter, int64_t now_ms,
                                 const struct bgap_assignment *assignment);

/**
 * bgap_granter_on_view() - all records acknowledged before @sent_ms were read
 */
void bgap_granter_on_view (struct bgap_granter *granter, int64_t now_ms,
                           int64_t sent_ms);

/**
 * bgap_granter_on_append() - an append ended
 */
void bgap_granter_on_append (struct bgap_granter *granter, int64_t now_ms,
                             enum bgap_granter_append_result result);

/**
 * bgap_granter_on_reply() - a grant or release ended
 * @handover: proof in the response to a release, or ""
 */
void bgap_granter_on_reply (struct bgap_granter *granter, int64_t now_ms,
                            uint32_t call, enum bgap_granter_result result,
                            const char *handover);

/**
 * bgap_granter_set_server() - a server has registered or changed
 */
void bgap_granter_set_server (struct bgap_granter *granter, int64_t now_ms,
                              const struct bgap_granter_server *server);

/**
 * bgap_granter_remove_server() - a registration is gone
 */
void bgap_granter_remove_server (struct bgap_granter *granter, int64_t now_ms,
                                 const char *id);

/**
 * bgap_granter_suspect() - a request to the server failed: ask it at once
 */
void bgap_granter_suspect (struct bgap_granter *granter, int64_t now_ms,
                           const char *id);

/**
 * bgap_granter_set_successor() - whether this instance is to take over when
 * the granter is lost
 * @granter_lost: the granter of the newest record is lost
 */
void bgap_granter_set_successor (struct bgap_granter *granter, int64_t now_ms,
                                 bool candidate, bool granter_lost);

/**
 * bgap_granter_count_request() - a request for a key, for the balance
 */
void bgap_granter_count_request (struct bgap_granter *granter, uint32_t key);

/**
 * bgap_granter_step_down() - stop granting and say so in the store
 */
void bgap_granter_step_down (struct bgap_granter *granter, int64_t now_ms);

/**
 * bgap_granter_tick() - renewals, moves and timers; about every 50 ms
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
 * bgap_granter_assignment() - newest assignment that was read
 */
const struct bgap_assignment *
bgap_granter_assignment (const struct bgap_granter *granter);

/**
 * bgap_granter_holder() - range of a key if its holder can be sent requests
 *
 * A holder that was named only just now has not received its grant yet.
 *
 * Return: NULL if nobody holds the key, it is moving, or its grant is on its
 * way.
 */
const struct bgap_key_range *
bgap_granter_holder (const struct bgap_granter *granter, int64_t now_ms,
                     uint32_t key);

/**
 * bgap_granter_last_rebalance() - the last move that evened out the load
 */
const struct bgap_granter_rebalance *
bgap_granter_last_rebalance (const struct bgap_granter *granter);

/**
 * bgap_granter_is_active() - whether this instance is the granter
 */
bool bgap_granter_is_active (const struct bgap_granter *granter);

/**
 * bgap_granter_counts() - totals and gauges
 */
struct bgap_granter_counts
bgap_granter_counts (const struct bgap_granter *granter);

/**
 * bgap_granter_dump() - append the state as text
 */
enum bgap_status bgap_granter_dump (const struct bgap_granter *granter,
                                    int64_t now_ms, struct bgap_buffer *out);

#endif
