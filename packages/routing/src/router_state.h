#ifndef BANYANGAP_ROUTING_ROUTER_STATE_H
#define BANYANGAP_ROUTING_ROUTER_STATE_H

/*
 * State of the router, shared by the router_*.c files; see router_parts.h. A
 * request is in one of the states of enum bgap_request_state. It leaves a
 * waiting state through bgap_router_leave_state(), which removes it from the
 * queue and the counts of that state.
 *
 *   NEW -> IDEMPOTENCY -> QUEUED <-> IN_FLIGHT -> finished
 *                         RESOLVING, BACKOFF
 */

#include <uthash.h>

#include "action_queue.h"
#include "banyangap/base/random.h"
#include "banyangap/routing/balancer.h"
#include "banyangap/routing/cost_model.h"
#include "banyangap/routing/idempotency.h"
#include "banyangap/routing/message.h"
#include "banyangap/routing/permit_issuer.h"
#include "banyangap/routing/quarantine.h"
#include "banyangap/routing/response_time.h"
#include "banyangap/routing/retry_budget.h"
#include "banyangap/routing/router.h"
#include "banyangap/routing/router_stop.h"
#include "banyangap/routing/urgency.h"
#include "heap.h"

/* Number of last tried servers that a request remembers.  */
#define BGAP_ROUTER_TRIED_MAX 4

/* Wait before the holder of a key is looked up again, in milliseconds;
   doubles with each look-up up to eightfold.  */
#define BGAP_ROUTER_RESOLVE_BACKOFF_MS 25

/* First wait before a retry that is not immediate, in milliseconds; doubles
   with each attempt up to sixteenfold.  */
#define BGAP_ROUTER_BACKOFF_MS 10

/* Cost for which response times are kept; those of requests with another cost
   enter as if they had this one.  */
#define BGAP_ROUTER_COST_UNIT_MS 100.0

/* Uncharged refusals by live servers after which a request ends.  */
#define BGAP_ROUTER_REFUSALS_MAX 10

/* Number of times that a request whose holder refused it as fenced or draining
   may be sent again, in services with charge_refusals.  */
#define BGAP_ROUTER_FENCED_MAX 4

enum bgap_request_state
{
  BGAP_REQUEST_NEW,
  BGAP_REQUEST_IDEMPOTENCY, /* waits for its intent or a stored outcome */
  BGAP_REQUEST_QUEUED,      /* waits for a slot */
  BGAP_REQUEST_RESOLVING,   /* waits for the look-up of its holder */
  BGAP_REQUEST_BACKOFF,     /* waits for wake_at_ms */
  BGAP_REQUEST_IN_FLIGHT    /* has an attempt */
};

/**
 * struct bgap_router_request - a request
 * @objective_at_ms: time of its latency objective; 0 for none
 * @wake_at_ms: BACKOFF, time at which it continues
 * @expected_ms: time that its answer was expected to take when it was refused
 *   because of that or compared with the end of the process, 0 otherwise
 * @cost_class, @cost_detail: see struct bgap_request_desc
 * @cost_ms: expected cost, 0 if not known
 * @forecast_ms: see bgap_router_forecast_ms(), of the running attempt
 * @tried: servers of its last attempts
 * @refusals: attempts refused by a live server and not charged
 * @fenced_refusals: refusals by its holder, in services with charge_refusals
 * @broken_attempts: attempts that ended without an answer and may have run
 * @maybe_ran: an attempt may have run: the outcome must not be NOT_RUN
 * @started: the answer has begun to arrive
 * @has_idempotency_record: it is in the table of idempotency records
 * @intent_won: its intent has won and bgap_idempotency_finish is due
 * @detached: its caller has disconnected; its outcome is still recorded
 * @resolve_on_wake: look up its holder after BACKOFF
 * @fenced_by_holder: its holder refused it as fenced or draining
 * @suspect_counted: the running attempt counts in the server's suspects
 * @uncontended: a slot was free for the running attempt, as far as known
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
  uint64_t body_size;
  int64_t deadline_at_ms;
  int64_t objective_at_ms;
  int64_t wake_at_ms;
  int64_t dispatched_at_ms;
  int64_t expected_ms;
  uint64_t cost_class;
  uint64_t cost_detail;
  double cost_ms;
  double forecast_ms;
  int64_t outage_ms; /* of its key, if it is refused for that */
  void *context;
  uint32_t tried[BGAP_ROUTER_TRIED_MAX];
  enum bgap_request_state state;
  enum bgap_class class_;
  uint32_t attempts;
  uint32_t attempts_max;
  uint32_t refusals;
  uint32_t resolves;
  uint32_t fenced_refusals;
  uint32_t broken_attempts;
  bool idempotent;
  bool maybe_ran;
  bool started;
  bool has_idempotency_record;
  bool intent_won;
  bool detached;
  bool resolve_on_wake;
  bool fenced_by_holder;
  bool suspect_counted;
  bool trial; /* of a fingerprint in quarantine */
  bool uncontended;
};

/**
 * struct bgap_router_attempt - an attempt in flight
 * @stamp: see struct bgap_quarantine_attempt
 * @cost_ms: expected cost when it was sent
 * @cleared_until_ms: how long the permit or the health check counts that it
 *   uses, 0 if neither was needed
 * @has_permit: it uses a permit for a cold server
 */
struct bgap_router_attempt
{
  uint32_t request;
  uint32_t server;
  uint64_t stamp;
  double cost_ms;
  int64_t cleared_until_ms;
  bool has_permit;
};

/**
 * struct bgap_router_rate - rate at which a queue is served
 * @per_ms: requests completed per millisecond while others waited, 0 if not
 *   known
 * @completed: requests completed since @from_ms
 * @backlog: the queue has not been empty since @from_ms
 */
struct bgap_router_rate
{
  double per_ms;
  uint32_t completed;
  int64_t from_ms;
  bool backlog;
};

/**
 * struct bgap_router_spare - whether a queue has slots for requests that can
 * no longer meet their objective, which go after those that can
 * @at_ms: when one of them was last sent, or the queue was last empty
 * @others_sent: others that were sent since
 * @checked_ms: when the requests that wait were last compared with that
 */
struct bgap_router_spare
{
  int64_t at_ms;
  uint32_t others_sent;
  int64_t checked_ms;
};

/**
 * struct bgap_router_server - a server with its queue
 * @server: the first member, so that a pointer to it can be converted
 * @queue: waiting requests for keys that it holds
 * @rate: rate at which @queue is served
 * @spare: slots of @queue for late requests
 * @peers_in_flight: in-flight attempts by peer
 */
struct bgap_router_server
{
  struct bgap_server server;
  uint32_t id;
  struct bgap_heap queue;
  struct bgap_router_rate rate;
  struct bgap_router_spare spare;
  uint16_t *peers_in_flight;
  UT_hash_handle hh;
};

/**
 * struct bgap_router_service - a service
 * @desc: options, with defaults filled in except for queue_limit
 * @queue: waiting requests that any server can run
 * @waiting: number of requests in state QUEUED, RESOLVING or BACKOFF
 * @idempotency_waiting: number of requests in state IDEMPOTENCY
 * @costs: expected costs of its requests
 * @others_per_slot: see struct bgap_outstanding_usual
 * @free_times: response times of requests that did not wait for a slot, for a
 *   cost of BGAP_ROUTER_COST_UNIT_MS
 * @all_times: response times of all requests, likewise
 * @forecast_errors: response times in per mille of the forecasts for the
 *   servers that answered, see bgap_router_forecast_ms()
 * @response_ms: smoothed response time of all requests
 * @rate: rate at which waiting requests are served
 * @spare: slots of @queue for late requests
 * @arrivals: recent requests
 * @has_limits: some of its servers may have a rate limit
 * @paused_until_ms: end of the last pause of one of its servers
 * @dispatching: a queue of the service is being dispatched; prevents recursion
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
  struct bgap_heap queue;
  uint32_t waiting;
  uint32_t idempotency_waiting;
  struct bgap_cost_model costs;
  double others_per_slot;
  struct bgap_response_times free_times;
  struct bgap_response_times all_times;
  struct bgap_response_times forecast_errors;
  double response_ms;
  struct bgap_router_rate rate;
  struct bgap_router_spare spare;
  struct bgap_idempotency idempotency;
  struct bgap_window_count arrivals;
  struct bgap_urgency urgency;
  bool has_limits;
  int64_t paused_until_ms;
  bool dispatching;
};

/**
 * struct bgap_router_peer - an instance that reports in-flight counts
 */
struct bgap_router_peer
{
  char name[BGAP_ROUTING_NAME_SIZE];
};

/**
 * struct bgap_router_peer_instance - an instance that may issue permits
 * @departed: it has left the list of instances, at @departed_ms
 */
struct bgap_router_peer_instance
{
  char name[BGAP_ROUTING_NAME_SIZE];
  bool departed;
  int64_t departed_ms;
};

/**
 * struct bgap_router_state - the router
 * @instances: all instances, as bgap_router_set_instances() has set them
 * @listed_ms: when the store last confirmed that it lists this instance
 * @listing_ttl_ms: time after which the store removes this instance from the
 *   list without a call
 * @listed_since_ms: since when it does without a gap, as far as this instance
 *   knows; 0 if it does not
 * @servers_read_ms: time as of which the registrations of the servers are
 *   known, 0 if that is not tracked
 * @wall_offset_ms: UTC time minus now_ms, 0 before the first tick
 * @issuer: permits that this instance hands out
 * @issuing: they are being handed out; prevents recursion
 * @shutting_down: bgap_router_stop_accepting() was called
 * @stop: limits of the graceful stop, all 0 if the process does not stop
 */
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
  uint32_t *queue_positions;
  struct bgap_heap timers;
  struct bgap_router_server *servers_by_hash;
  struct bgap_action_queue actions;
  struct bgap_quarantine quarantine;
  struct bgap_router_peer *peers;
  struct bgap_router_peer_instance *instances;
  uint32_t instance_count;
  uint32_t instance_capacity;
  int64_t listed_ms;
  int64_t listing_ttl_ms;
  int64_t listed_since_ms;
  int64_t servers_read_ms;
  int64_t wall_offset_ms;
  struct bgap_permit_issuer *issuer;
  bool issuing;
  struct bgap_router_counts counts;
  int64_t loads_due_ms;
  bool shutting_down;
  struct bgap_router_stop stop;
};

#endif
