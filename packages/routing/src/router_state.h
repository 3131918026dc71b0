#ifndef BANYANGAP_ROUTING_ROUTER_STATE_H
#define BANYANGAP_ROUTING_ROUTER_STATE_H

/*
 * Internals of the router, shared by the router_*.c files. A request is in one
 * of the states below; every change of state goes through
 * bgap_router_leave_state(), which undoes what the state had entered.
 *
 *   new -> ONCE -> QUEUED <-> IN_FLIGHT -> finished
 *                  RESOLVING, BACKOFF
 */

#include <uthash.h>

#include "action_queue.h"
#include "banyangap/base/random.h"
#include "banyangap/routing/balancer.h"
#include "banyangap/routing/idempotency.h"
#include "banyangap/routing/quarantine.h"
#include "banyangap/routing/retry_budget.h"
#include "banyangap/routing/router.h"
#include "heap.h"

/* Servers that one request remembers as tried.  */
#define BGAP_ROUTER_TRIED_MAX 4

/* Wait before a key without a holder is looked up again, in milliseconds.  */
#define BGAP_ROUTER_RESOLVE_MS 25

/* Wait before a retry after all servers refused; doubles with each attempt. */
#define BGAP_ROUTER_BACKOFF_MS 10

/* Attempts that broke so long before a server was found dead count as in
   flight at its death, in milliseconds.  */
#define BGAP_ROUTER_DEATH_MS 3000

/* Refusals by live servers after which a request ends.  */
#define BGAP_ROUTER_REFUSALS_MAX 10

/* Times that the holder of a key may refuse a request as not its own before
   the request ends, where refusals are charged.  */
#define BGAP_ROUTER_FENCED_MAX 4

/* Samples of the service time before estimates are used.  */
#define BGAP_ROUTER_SAMPLES_MIN 8

enum bgap_request_state
{
  BGAP_REQUEST_NEW,
  BGAP_REQUEST_ONCE,
  BGAP_REQUEST_QUEUED,
  BGAP_REQUEST_RESOLVING,
  BGAP_REQUEST_BACKOFF,
  BGAP_REQUEST_IN_FLIGHT
};

/**
 * struct bgap_router_request - a request
 * @objective_at_ms: an answer after this time has less value; 0 for none
 * @wake_at_ms: BACKOFF, when it continues
 * @maybe_ran: an attempt may have run: it must not end as not run
 * @once: it has an idempotency key in the once table
 * @once_won: its intent has won and bgap_idempotency_finish is due
 * @detached: its caller has gone away; its outcome is still recorded
 * @resolve: continue after BACKOFF with a look-up
 * @fenced: its holder refused it
 * @uncontended: a slot was free for the running attempt, as far as is known
 * @refusals: attempts that a live server refused
 */
struct bgap_router_request
{
  uint32_t id;
  uint32_t service;
  uint32_t holder;
  uint32_t attempt;
  uint64_t token;
  uint64_t digest;
  uint64_t fingerprint;
  int64_t deadline_at_ms;
  int64_t objective_at_ms;
  int64_t wake_at_ms;
  int64_t dispatched_at_ms;
  void *context;
  uint32_t tried[BGAP_ROUTER_TRIED_MAX];
  enum bgap_request_state state;
  enum bgap_class class_;
  uint32_t attempts;
  uint32_t attempts_max;
  uint32_t refusals;
  uint32_t resolves;
  uint32_t fenced_count;
  uint32_t broken;
  bool idempotent;
  bool maybe_ran;
  bool started;
  bool once;
  bool once_won;
  bool detached;
  bool resolve;
  bool fenced;
  bool suspect_counted;
  bool uncontended;
};

/**
 * struct bgap_router_attempt - an attempt in flight
 */
struct bgap_router_attempt
{
  uint32_t request;
  uint32_t server;
};

/**
 * struct bgap_router_rate - how fast a queue drains
 * @per_ms: requests completed per millisecond while others waited, 0 if not
 *   known
 * @completed: since @from_ms
 * @backlog: requests have waited since @from_ms without a break
 */
struct bgap_router_rate
{
  double per_ms;
  uint32_t completed;
  int64_t from_ms;
  bool backlog;
};

/**
 * struct bgap_router_server - a server with its queue
 * @server: first, so that a pointer to it can be converted
 * @lane: waiting requests for keys that it holds
 * @rate: at which they are served
 * @peers: in-flight attempts per peer
 */
struct bgap_router_server
{
  struct bgap_server server;
  uint32_t id;
  struct bgap_heap lane;
  struct bgap_router_rate rate;
  uint16_t *peers;
  UT_hash_handle hh;
};

/**
 * struct bgap_router_service - a service
 * @desc: with defaults filled in, except queue_limit
 * @lane: waiting requests that any server can run
 * @waiting: requests QUEUED, RESOLVING or BACKOFF
 * @once_waiting: requests ONCE
 * @service_ms: smoothed time of an attempt
 * @rate: at which waiting requests are served
 */
struct bgap_router_service
{
  char name[BGAP_ROUTING_NAME_SIZE];
  uint32_t id;
  struct bgap_service_desc desc;
  struct bgap_balancer balancer;
  struct bgap_retry_budget budget;
  struct bgap_server **servers;
  uint32_t server_count;
  uint32_t server_capacity;
  struct bgap_heap lane;
  uint32_t waiting;
  uint32_t once_waiting;
  double service_ms;
  uint32_t samples;
  struct bgap_router_rate rate;
  struct bgap_idempotency once;
  bool pumping;
};

/**
 * struct bgap_router_peer - an instance that reports in-flight counts
 */
struct bgap_router_peer
{
  char name[BGAP_ROUTING_NAME_SIZE];
};

struct bgap_router_state
{
  struct bgap_router_desc desc;
  char instance[BGAP_ROUTING_NAME_SIZE];
  char zone[BGAP_ROUTING_NAME_SIZE];
  struct bgap_random random;
  struct bgap_pool services;
  struct bgap_pool servers;
  struct bgap_pool requests;
  struct bgap_pool attempts;
  uint32_t *timer_positions;
  uint32_t *lane_positions;
  struct bgap_heap timers;
  struct bgap_router_server *by_hash;
  struct bgap_action_queue actions;
  struct bgap_quarantine quarantine;
  struct bgap_router_peer *peers;
  struct bgap_router_counts counts;
  int64_t loads_due_ms;
  bool leaving;
};

/* Objects of a handle; NULL if it is stale.  */
struct bgap_router_service *
bgap_router_service (const struct bgap_router_state *state, uint32_t id);
struct bgap_router_server *
bgap_router_server (const struct bgap_router_state *state, uint32_t id);
struct bgap_router_request *
bgap_router_open_request (const struct bgap_router_state *state, uint32_t id);

/* router_hash.c: servers by hash_full; NULL if not found.  */
struct bgap_router_server *
bgap_router_hash_find (const struct bgap_router_state *state, uint64_t hash);
void bgap_router_hash_add (struct bgap_router_state *state,
                           struct bgap_router_server *server);
void bgap_router_hash_remove (struct bgap_router_state *state,
                              struct bgap_router_server *server);

/* router_queue.c: admission and waiting.  */

/**
 * bgap_router_set_timer() - (re)start the timer of a request
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_router_set_timer (struct bgap_router_state *state,
                                        struct bgap_router_request *request);

/**
 * bgap_router_leave_state() - undo the current state; then it is NEW
 */
void bgap_router_leave_state (struct bgap_router_state *state,
                              struct bgap_router_request *request);

/**
 * bgap_router_queue_limit() - most requests that wait for a server, and most
 * that wait for the once stream
 */
uint32_t bgap_router_queue_limit (const struct bgap_router_service *service);

/**
 * bgap_router_rank() - place in the queue, smallest first: by class, and
 * within it the requests that can meet their objective before the others
 */
int64_t bgap_router_rank (const struct bgap_router_service *service,
                          int64_t now_ms,
                          const struct bgap_router_request *request);

/**
 * bgap_router_rerank() - move a queued request whose rank has grown
 *
 * Return: whether it was moved.
 */
bool bgap_router_rerank (struct bgap_router_state *state, int64_t now_ms,
                         struct bgap_heap *lane, int64_t rank,
                         const struct bgap_router_request *request);

/**
 * bgap_router_retry_after_ms() - when a caller that is refused now can expect
 * to be served, in milliseconds
 */
int64_t bgap_router_retry_after_ms (struct bgap_router_state *state,
                                    const struct bgap_router_service *service,
                                    const struct bgap_router_request *request,
                                    int64_t now_ms);

/**
 * bgap_router_admit() - room to wait, else the request is finished
 *
 * A less urgent request that waits may be refused in its place.
 */
bool bgap_router_admit (struct bgap_router_state *state, int64_t now_ms,
                        struct bgap_router_request *request);

/**
 * bgap_router_update_rate() - measure the rate at which a queue drains
 * @waiting: requests that wait in it now
 */
void bgap_router_update_rate (struct bgap_router_rate *rate, uint32_t waiting,
                              int64_t now_ms);

/**
 * bgap_router_doomed() - the time left is less than an attempt takes
 */
bool bgap_router_doomed (struct bgap_router_service *service, int64_t now_ms,
                         const struct bgap_router_request *request);

/**
 * bgap_router_enqueue() - let a request wait for a server
 */
void bgap_router_enqueue (struct bgap_router_state *state, int64_t now_ms,
                          struct bgap_router_request *request);

/**
 * bgap_router_wait() - continue after @delay_ms, with a look-up if @resolve
 */
void bgap_router_wait (struct bgap_router_state *state, int64_t now_ms,
                       struct bgap_router_request *request, int64_t delay_ms,
                       bool resolve);

/**
 * bgap_router_resolve() - ask for the holder of the key
 */
void bgap_router_resolve (struct bgap_router_state *state, int64_t now_ms,
                          struct bgap_router_request *request);

/* router_dispatch.c: choice of a server.  */

/**
 * bgap_router_route() - dispatch a request in state NEW, or let it wait
 */
void bgap_router_route (struct bgap_router_state *state, int64_t now_ms,
                        struct bgap_router_request *request);

/**
 * bgap_router_pump() - dispatch waiting requests of a service
 */
void bgap_router_pump (struct bgap_router_state *state, int64_t now_ms,
                       struct bgap_router_service *service);

/**
 * bgap_router_pump_server() - dispatch waiting requests for a holder's keys;
 * look them up again if it can no longer serve
 */
void bgap_router_pump_server (struct bgap_router_state *state, int64_t now_ms,
                              struct bgap_router_server *server);

/* router_attempt.c: results and retries.  */

/**
 * bgap_router_end_attempt() - release the server's slot
 */
void bgap_router_end_attempt (struct bgap_router_state *state, int64_t now_ms,
                              struct bgap_router_request *request);

/**
 * bgap_router_cancel_attempt() - emit CANCEL_ATTEMPT and release the slot
 */
void bgap_router_cancel_attempt (struct bgap_router_state *state,
                                 int64_t now_ms,
                                 struct bgap_router_request *request);

/**
 * bgap_router_timed_out() - the deadline passed while an attempt is in flight
 */
void bgap_router_timed_out (struct bgap_router_state *state, int64_t now_ms,
                            struct bgap_router_request *request);

/**
 * bgap_router_broken() - the attempt in flight may have run and is over
 */
void bgap_router_broken (struct bgap_router_state *state, int64_t now_ms,
                         struct bgap_router_request *request,
                         enum bgap_reason reason);

/* router_finish.c: ends of requests.  */

/**
 * bgap_router_finish() - end a request without an answer
 *
 * The outcome is "not run" unless an attempt may have run.
 */
void bgap_router_finish (struct bgap_router_state *state, int64_t now_ms,
                         struct bgap_router_request *request,
                         enum bgap_reason reason);

/**
 * bgap_router_finish_answered() - end a request with a server's answer
 */
void bgap_router_finish_answered (struct bgap_router_state *state,
                                  int64_t now_ms,
                                  struct bgap_router_request *request,
                                  const struct bgap_attempt_result *result);

/**
 * bgap_router_finish_stored() - end a request with a recorded outcome
 */
void bgap_router_finish_stored (struct bgap_router_state *state,
                                int64_t now_ms,
                                struct bgap_router_request *request,
                                const struct bgap_idempotency_answer *answer);

/**
 * bgap_router_emit() - queue an action
 */
void bgap_router_emit (struct bgap_router_state *state,
                       const struct bgap_router_action *action);

/* router_once.c.  */

/**
 * bgap_router_begin_once() - a request with an idempotency key
 */
void bgap_router_begin_once (struct bgap_router_state *state, int64_t now_ms,
                             struct bgap_router_request *request,
                             const struct bgap_request_desc *desc);

/**
 * bgap_router_drain_once() - carry out events and appends of a once table
 */
void bgap_router_drain_once (struct bgap_router_state *state, int64_t now_ms,
                             struct bgap_router_service *service);

/* router_server.c.  */

/**
 * bgap_router_share_slots() - tell a server whether its slots are shared
 */
void bgap_router_share_slots (const struct bgap_router_service *service,
                              struct bgap_server *server);

/**
 * bgap_router_free_server() - free a removed server without attempts
 */
void bgap_router_free_server (struct bgap_router_state *state,
                              struct bgap_router_server *server);

/* router_peer.c.  */

/**
 * bgap_router_send_news() - emit news about fingerprints, if there are any
 */
void bgap_router_send_news (struct bgap_router_state *state);

/**
 * bgap_router_send_loads() - emit the in-flight counts
 */
void bgap_router_send_loads (struct bgap_router_state *state);

#endif
