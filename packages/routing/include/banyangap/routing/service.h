#ifndef BANYANGAP_ROUTING_SERVICE_H
#define BANYANGAP_ROUTING_SERVICE_H

/*
 * Options of a service and of a backend server, from the configuration.
 *
 *   struct bgap_service_desc desc = {
 *     .name = "groeftregister", .repeat_never = true };
 *   struct bgap_server_desc server = {
 *     .name = "groeft-1", .zone = "aamosen", .slots = 4,
 *     .connections = 110, .entry_hosts_max = 12 };
 */

#include <stdbool.h>
#include <stdint.h>

#include "banyangap/routing/types.h"

struct bgap_balancer_ops;

/**
 * struct bgap_service_desc - options of a service; zero means the default
 * @name: required, unique; also names the stream once.<name>
 * @keyed: partitioned by key: each key has at most one holder, which the
 *   caller of the router passes with the request
 * @repeat_never: requests that are not idempotent run at most once and need
 *   an idempotency key
 * @class_: class of requests that state none; default normal
 * @deadline_ms: deadline of requests that state none; default 10 000
 * @deadline_max_ms: upper bound of a request's deadline; default 600 000
 * @queue_limit: limit of waiting requests; default 4 x the slots of its
 *   servers
 * @attempts_max: attempts per request; default 3
 * @retry_percent: retries per 100 requests; default 20
 * @retry_burst: capacity of the retry budget and, unless @retry_starts_empty,
 *   its initial level; default 20
 * @retry_starts_empty: see struct bgap_retry_budget_desc
 * @charge_refusals: every retry takes from the retry budget, also one after a
 *   refusal, and refused attempts count towards @attempts_max
 * @shared_slots: the load that servers report with their answers counts
 *   against their slots, because other instances use them too; an attempt that
 *   was not sent takes nothing from the retry budget
 * @drain_grace_ms: time after a holder began to drain during which it still
 *   gets requests for its keys, while they move; default BGAP_DRAIN_GRACE_MS,
 *   negative for none
 * @queue_per_server: requests that may wait in a server beyond its slots, with
 *   @shared_slots
 * @idempotency_window_ms: time for which a repeated key is recognised; default
 *   3 600 000
 * @idempotency_keys_max: keys remembered; default 65 536
 * @idempotency_body_bytes_max: bytes of stored answers; default 4 MiB
 * @policy: balancer of a service without keys; default bgap_balancer_default
 */
struct bgap_service_desc
{
  const char *name;
  bool keyed;
  bool repeat_never;
  enum bgap_class class_;
  int64_t deadline_ms;
  int64_t deadline_max_ms;
  uint32_t queue_limit;
  uint32_t attempts_max;
  uint32_t retry_percent;
  uint32_t retry_burst;
  bool retry_starts_empty;
  bool charge_refusals;
  bool shared_slots;
  uint32_t queue_per_server;
  int64_t drain_grace_ms;
  int64_t idempotency_window_ms;
  uint32_t idempotency_keys_max;
  uint32_t idempotency_body_bytes_max;
  const struct bgap_balancer_ops *policy;
};

/**
 * struct bgap_server_desc - options of a backend server
 * @name: required, unique within the service
 * @zone: required
 * @slots: requests that it runs at a time; default 1
 * @connections: connections that it accepts from all instances together;
 *   default 64
 * @entry_hosts_max: number of hosts that @connections is divided by for the
 *   quota of one instance; default 12
 * @instances: number of instances that send requests to it; default 1
 * @already_running: the server was running before this instance started, so
 *   that no slow start applies
 * @joined: the server has joined while others ran, so that it is tried
 * although its response time is not known
 * @bytes_max: bytes of the bodies of this instance's attempts from which on it
 *   gets no further one; 0 for no limit
 * @cold_ms: time from now on for which the server is expected to be slow; 0
 *   for the default slow start
 * @cold_per_s: rate of permits for requests to it during this time, see
 *   bgap_cold_limit_rate(); 0 for no limit. It is applied at each change.
 * @evacuated: its zone is evacuated, as by bgap_router_server_evacuate(), so
 *   that it gets none of the requests that wait; false changes nothing
 * @evacuation_grace_ms: see there
 * @draining: it drains, as by bgap_router_server_drain() with the signal
 *   BGAP_DRAIN_HOST_LIST, so that it gets none of the requests that wait;
 *   false changes nothing
 * @draining_for_ms: for how long that has been known
 * @pause_ms: it has asked for a pause that ends after this time, as by
 *   bgap_router_server_pause(); 0 changes nothing
 * @limit_per_s: rate limit that its process has stated before, as for
 *   bgap_router_server_rate_limit(); 0 changes nothing
 * @limit_age_ms: time since then; newer news have precedence
 */
struct bgap_server_desc
{
  const char *name;
  const char *zone;
  uint32_t slots;
  uint32_t connections;
  uint32_t entry_hosts_max;
  uint32_t instances;
  bool already_running;
  bool joined;
  int64_t cold_ms;
  double cold_per_s;
  bool evacuated;
  int64_t evacuation_grace_ms;
  bool draining;
  int64_t draining_for_ms;
  int64_t pause_ms;
  double limit_per_s;
  int64_t limit_age_ms;
  uint64_t bytes_max;
};

/**
 * enum bgap_drain_signal - sources that can tell that a server drains
 */
enum bgap_drain_signal
{
  BGAP_DRAIN_HOST_LIST,
  BGAP_DRAIN_REPORT,
  BGAP_DRAIN_RESOURCE,
  BGAP_DRAIN_ZONE, /* its zone is evacuated */
  BGAP_DRAIN_COUNT
};

/**
 * struct bgap_server_load - load report of a server
 * @in_flight: requests that it runs
 * @slots: number of slots that it reports, 0 if not stated; fewer than
 *   configured lower its limit
 * @queued: requests that wait in the server
 * @slowdown_percent: how long work takes on its host at this moment, 100 as
 *   usual; 0 if not stated
 * @draining: the server is draining
 */
struct bgap_server_load
{
  uint32_t in_flight;
  uint32_t slots;
  uint32_t queued;
  uint32_t slowdown_percent;
  bool draining;
};

/**
 * struct bgap_server_status - snapshot of a server for reports
 */
struct bgap_server_status
{
  const char *name;
  const char *zone;
  uint32_t slots;
  uint32_t in_flight;     /* sent by this instance */
  uint32_t in_flight_all; /* with those that peers reported */
  uint32_t quota;         /* connections this instance may open */
  double latency_ms; /* of requests that did not wait for a slot; 0: unknown */
  double rate_limit_per_s;   /* that it states, for all instances; 0: none */
  int64_t rate_limit_age_ms; /* since it stated that, if it ever has */
  double cold_per_s;         /* permits for it while it is cold; 0: warm */
  int64_t cold_left_ms;      /* until it is warm */
  uint32_t sent_recently;    /* by this instance within BGAP_WINDOW_MS */
  uint32_t permits;          /* for requests to it, at hand */
  uint32_t permits_asked;    /* asked for and not granted yet */
  int64_t permit_wait_ms;    /* until one is expected, 0 if not known */
  int64_t pause_left_ms; /* it wants no requests for so long; 0: no pause */
  double cost_ratio; /* its time for a request divided by the expected cost */
  double work_ms;    /* cost that remains of all its requests, expected */
  bool draining;
  bool ejected;
  bool lost;
};

#endif
