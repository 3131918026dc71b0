#ifndef BANYANGAP_ROUTING_ROUTER_H
#define BANYANGAP_ROUTING_ROUTER_H

/*
 * Routes requests to backend servers: admission, server selection, retries,
 * deadlines, at-most-once execution, quarantine and drain. It does no I/O:
 * the caller passes in events with the current time and carries out the
 * actions that the router returns.
 *
 *   struct bgap_router router;
 *   bgap_router_setup (&router, &(struct bgap_router_desc){
 *     .instance = "entry-1", .zone = "aamosen" }, &err);
 *   struct bgap_service_id service;
 *   bgap_router_set_service (&router, now_ms,
 *     &(struct bgap_service_desc){ .name = "vandstand" }, &service, &err);
 *   struct bgap_server_id server;
 *   bgap_router_set_server (&router, now_ms, service,
 *     &(struct bgap_server_desc){ .name = "v1", .zone = "aamosen",
 *                                 .slots = 4, .connections = 110 },
 *     &server, &err);
 *   struct bgap_request_id request = bgap_router_request (&router, now_ms,
 *     &(struct bgap_request_desc){ .service = service, .idempotent = true,
 *                                  .context = connection });
 *   ... carry out the actions of bgap_router_next_action ...
 *   bgap_router_on_attempt (&router, now_ms, attempt, &result);
 *   ... carry out the actions; one of them is FINISH for the request ...
 *   bgap_router_shutdown (&router);
 *
 * After every call that takes now_ms the caller must take all pending actions.
 * Each request ends with exactly one FINISH, or with none if it was cancelled.
 * now_ms is monotonic and includes time in which the host was suspended;
 * wall_ms is UTC.
 *
 * A service with repeat_never keeps its idempotency records in the stream
 * once.<service>. Read the stream from its oldest kept record and pass every
 * record in offset order to bgap_router_on_idempotency_record. After the
 * process has started, read the end of the stream and pass it to
 * bgap_router_on_idempotency_end: requests are accepted once the replay has
 * reached this end. The replay continues as long as the service exists.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "banyangap/base/buffer.h"
#include "banyangap/base/status.h"
#include "banyangap/routing/action.h"
#include "banyangap/routing/attempt.h"
#include "banyangap/routing/quarantine.h"
#include "banyangap/routing/router_servers.h"
#include "banyangap/routing/service.h"
#include "banyangap/routing/types.h"

/**
 * struct bgap_router_desc - options; zero means the default
 * @instance: name of this instance, required
 * @zone: zone of this instance, required
 * @seed: seed of the random choices and of the incarnation in idempotency
 *   records, which must differ between processes; 0 means a seed from the
 *   operating system
 * @requests_max: requests in flight and waiting; default 4096, at most 65 535
 * @services_max: default 64
 * @servers_max: servers of all services; default 1024
 * @peers_max: peers whose in-flight counts are kept; default 16
 * @quarantine_max: fingerprints remembered; default 1024
 * @quarantine_ops: calls for logs
 * @crash_window_ms: see struct bgap_quarantine_desc
 * @load_interval_ms: interval of the in-flight counts sent to peers; default
 *   500, negative to send none
 */
struct bgap_router_desc
{
  const char *instance;
  const char *zone;
  uint64_t seed;
  uint32_t requests_max;
  uint32_t services_max;
  uint32_t servers_max;
  uint32_t peers_max;
  uint32_t quarantine_max;
  struct bgap_quarantine_ops quarantine_ops;
  int64_t crash_window_ms;
  int64_t load_interval_ms;
};

/**
 * struct bgap_request_desc - options of a request
 * @service: required
 * @holder: keyed services: the server that holds the lease on the key, { 0 }
 *   if not known
 * @token: keyed services: fencing token of the holder's grant
 * @class_: BGAP_CLASS_DEFAULT for the service's class
 * @deadline_ms: milliseconds that the caller waits; 0 for the service's
 *   default
 * @objective_ms: latency objective in milliseconds; a request that can no
 *   longer meet it waits behind those that can; 0 for none
 * @attempts_max: limit of attempts; the service's limit still applies; 0 for
 *   only the service's
 * @idempotent: may be run again without proof that it did not run
 * @key: header Idempotency-Key, or NULL; only used if @idempotent is false
 *   and the service has repeat_never
 * @key_size: size of @key in bytes
 * @digest: hash of method, path and body; detects a key that is reused for a
 *   different request
 * @fingerprint: XXH3 of service, method, path and body digest; 0 for none
 * @body_size: bytes of its body; see bytes_max of struct bgap_server_desc
 * @cost_class: hash of its route: requests of one class are expected to cost
 *   the same, on the average
 * @cost_detail: finer hash within the class, 0 for none; used where it
 *   predicts the cost better
 * @wall_ms: UTC time
 * @context: returned with the actions of the request
 */
struct bgap_request_desc
{
  struct bgap_service_id service;
  struct bgap_server_id holder;
  uint64_t token;
  enum bgap_class class_;
  int64_t deadline_ms;
  int64_t objective_ms;
  uint32_t attempts_max;
  bool idempotent;
  const char *key;
  size_t key_size;
  uint64_t digest;
  uint64_t fingerprint;
  uint64_t body_size;
  uint64_t cost_class;
  uint64_t cost_detail;
  int64_t wall_ms;
  void *context;
};

/**
 * struct bgap_router_instance - an instance that sends requests to the same
 * servers
 * @name: its option instance
 * @departed: it has left the list of instances, but may still run
 * @departed_for_ms: for how long
 */
struct bgap_router_instance
{
  const char *name;
  bool departed;
  int64_t departed_for_ms;
};

/**
 * struct bgap_router_counts - totals since setup, and gauges
 */
struct bgap_router_counts
{
  uint64_t requests;
  uint64_t dispatches;
  uint64_t retries;
  uint64_t finished[BGAP_OUTCOME_COUNT];
  uint64_t reasons[BGAP_REASON_COUNT];
  uint64_t cancelled;
  uint64_t rejected_input; /* malformed records and peer messages */
  uint32_t in_flight;      /* attempts of this instance */
  uint32_t queued;
  uint32_t open; /* requests that have not ended */
};

struct bgap_router_state;

/**
 * struct bgap_router - the router; @state is private
 */
struct bgap_router
{
  struct bgap_router_state *state;
};

/**
 * bgap_router_setup() - allocate all pools
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_router_setup (struct bgap_router *router,
                                    const struct bgap_router_desc *desc,
                                    struct bgap_error *err);

/**
 * bgap_router_shutdown() - free the router; open requests get no FINISH
 */
void bgap_router_shutdown (struct bgap_router *router);

/**
 * bgap_router_set_service() - add a service or change its options
 * @id: handle, the same for the same name
 *
 * keyed, repeat_never and the idempotency_ options cannot change: remove the
 * service and add it again instead.
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID, BGAP_ERR_FULL or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_router_set_service (struct bgap_router *router,
                                          int64_t now_ms,
                                          const struct bgap_service_desc *desc,
                                          struct bgap_service_id *id,
                                          struct bgap_error *err);

/**
 * bgap_router_remove_service() - remove a service with its servers
 *
 * Waiting requests end with outcome NOT_RUN, or UNKNOWN if an earlier attempt
 * may have run. Requests in flight are cancelled and end with UNKNOWN. A stale
 * handle is ignored.
 */
void bgap_router_remove_service (struct bgap_router *router, int64_t now_ms,
                                 struct bgap_service_id service_id);

/**
 * bgap_router_find_service() - find a service by name
 *
 * Return: its handle, or { 0 } if there is none.
 */
struct bgap_service_id
bgap_router_find_service (const struct bgap_router *router, const char *name);

/**
 * bgap_router_request() - dispatch, queue or refuse a request
 *
 * Return: the handle of the request, also if it is refused (then a FINISH
 * action is pending). If all request handles are in use, { 0 } without an
 * action: answer with status 503 and outcome not-run.
 */
struct bgap_request_id
bgap_router_request (struct bgap_router *router, int64_t now_ms,
                     const struct bgap_request_desc *desc);

/**
 * bgap_router_resolved() - response to the action RESOLVE
 * @holder: { 0 } if the key has no holder now; the router then repeats the
 *   look-up until the deadline of the request
 * @token: fencing token of the holder's grant
 *
 * A stale @request_id is ignored.
 */
void bgap_router_resolved (struct bgap_router *router, int64_t now_ms,
                           struct bgap_request_id request_id,
                           struct bgap_server_id holder, uint64_t token);

/**
 * bgap_router_holders_changed() - keys of a service have other holders
 * @wake_at_ms: when these can be looked up; requests that wait since their key
 *   had none look it up at that time, if not before
 */
void bgap_router_holders_changed (struct bgap_router *router,
                                  struct bgap_service_id service,
                                  int64_t wake_at_ms);

/**
 * bgap_router_unresolved() - response to the action RESOLVE: the key has no
 * usable holder
 * @outage_ms: time for which it has had none
 *
 * The request is refused if it has no more time than that. Otherwise the
 * look-up is repeated, as by bgap_router_resolved().
 */
void bgap_router_unresolved (struct bgap_router *router, int64_t now_ms,
                             struct bgap_request_id request_id,
                             int64_t outage_ms);

/**
 * bgap_router_may_send() - whether the request of an attempt may be sent now
 *
 * To be asked when its connection has opened, before the first byte is
 * written. The server may have turned cold since the attempt was dispatched,
 * and its permit or the health check that covered it may have become too old.
 * A permit or check that is at hand instead is used for it. If the request may
 * not be sent, BGAP_RESULT_NOT_SENT is to be reported.
 *
 * Return: false also if @attempt_id is stale.
 */
bool bgap_router_may_send (struct bgap_router *router, int64_t now_ms,
                           struct bgap_attempt_id attempt_id);

/**
 * bgap_router_clearance_ms() - time for which the permit or the health check
 * counts with which an attempt was dispatched
 *
 * Return: negative if it has passed; 0 if neither was needed.
 */
int64_t bgap_router_clearance_ms (const struct bgap_router *router,
                                  int64_t now_ms,
                                  struct bgap_attempt_id attempt_id);

/**
 * bgap_router_on_attempt() - report an event of an attempt
 *
 * A stale @attempt_id is ignored.
 */
void bgap_router_on_attempt (struct bgap_router *router, int64_t now_ms,
                             struct bgap_attempt_id attempt_id,
                             const struct bgap_attempt_result *result);

/**
 * bgap_router_can_retry() - whether the router would retry after a failure of
 * this attempt
 *
 * If so, reporting BGAP_RESULT_FAILED starts the retry.
 */
bool bgap_router_can_retry (const struct bgap_router *router, int64_t now_ms,
                            struct bgap_attempt_id attempt_id);

/**
 * bgap_router_cancel() - cancel a request whose caller has disconnected
 *
 * Neither FINISH nor DISPATCH follows. An attempt in flight is cancelled,
 * except that of a request with an idempotency record: it continues, so that
 * its outcome can be recorded.
 */
void bgap_router_cancel (struct bgap_router *router, int64_t now_ms,
                         struct bgap_request_id request_id);

/**
 * bgap_router_tick() - handle expired deadlines, due retries and timers
 *
 * Call it about every 10 ms.
 */
void bgap_router_tick (struct bgap_router *router, int64_t now_ms,
                       int64_t wall_ms);

/**
 * bgap_router_next_tick_ms() - time until the next tick is needed
 *
 * Return: milliseconds from @now_ms, 0 to 1000.
 */
int64_t bgap_router_next_tick_ms (const struct bgap_router *router,
                                  int64_t now_ms);

/**
 * bgap_router_set_instances() - set the instances among which the rate limits
 * of servers are shared, this one included
 *
 * For each server with a limit one of them hands out permits. Without a list
 * this instance does so itself, for itself.
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY, then the previous list stays.
 */
enum bgap_status
bgap_router_set_instances (struct bgap_router *router, int64_t now_ms,
                           const struct bgap_router_instance *instances,
                           uint32_t count);

/**
 * bgap_router_set_listing_ttl() - set the time after which the store removes
 * this instance from its list if it makes no call
 */
void bgap_router_set_listing_ttl (struct bgap_router *router, int64_t ttl_ms);

/**
 * bgap_router_confirm_listed() - the store has confirmed just now that this
 * instance is one of them
 *
 * Permits for cold servers are handed out only while it does so within this
 * time, since another instance takes over otherwise.
 */
void bgap_router_confirm_listed (struct bgap_router *router, int64_t now_ms);

/**
 * bgap_router_on_peer() - handle a message from another instance of the zone
 * @from: name of the sender
 * @kind: enum bgap_routing_message
 *
 * Return: BGAP_OK or BGAP_ERR_PROTOCOL; then the message had no effect.
 */
enum bgap_status bgap_router_on_peer (struct bgap_router *router,
                                      int64_t now_ms, const char *from,
                                      int kind, const void *bytes, size_t size,
                                      struct bgap_error *err);

/**
 * bgap_router_on_stored() - handle a message that another instance has stored
 * at an unknown time
 *
 * A quarantine that it states is checked with the next request.
 *
 * Return: BGAP_OK or BGAP_ERR_PROTOCOL; then the message had no effect.
 */
enum bgap_status bgap_router_on_stored (struct bgap_router *router,
                                        int64_t now_ms, int kind,
                                        const void *bytes, size_t size,
                                        struct bgap_error *err);

/**
 * bgap_router_peer_lost() - report that another instance has stopped or is
 * unreachable
 *
 * Its in-flight counts are cleared, and requests that wait for the outcome of
 * one of its attempts no longer do so.
 */
void bgap_router_peer_lost (struct bgap_router *router, const char *name);

/**
 * bgap_router_on_idempotency_record() - apply a record of the stream
 * once.<service>
 * @offset: offset of the record; offsets must increase
 * @wall_ms: UTC time now
 *
 * Return: BGAP_OK; BGAP_ERR_STALE for an offset that was seen before;
 * BGAP_ERR_PROTOCOL for a malformed record, which is skipped and counts as
 * applied; BGAP_ERR_NOT_FOUND if the service keeps no idempotency records;
 * BGAP_ERR_UNAVAILABLE if the stream has a newer schema and is no longer
 * applied.
 */
enum bgap_status bgap_router_on_idempotency_record (
    struct bgap_router *router, int64_t now_ms, int64_t wall_ms,
    struct bgap_service_id service_id, uint64_t offset, const void *bytes,
    size_t size, struct bgap_error *err);

/**
 * bgap_router_on_idempotency_end() - report the end of the stream, read after
 * the process started
 * @end: offset that the next record will get
 */
void bgap_router_on_idempotency_end (struct bgap_router *router,
                                     int64_t now_ms,
                                     struct bgap_service_id service_id,
                                     uint64_t end);

/**
 * bgap_router_idempotency_applied() - highest offset applied, 0 for none
 *
 * Read the stream from the offset after it.
 */
uint64_t bgap_router_idempotency_applied (const struct bgap_router *router,
                                          struct bgap_service_id service_id);

/**
 * bgap_router_on_append_done() - report the result of an APPEND
 * @ok: the log acknowledged the record; false if the append failed or its
 *   response was lost, in which case the record may still appear
 *
 * A stale @append_id is ignored.
 */
void bgap_router_on_append_done (struct bgap_router *router, int64_t now_ms,
                                 struct bgap_service_id service_id,
                                 uint32_t append_id, bool ok);

/**
 * bgap_router_next_action() - take the oldest pending action
 *
 * Return: false if there is none.
 */
bool bgap_router_next_action (struct bgap_router *router,
                              struct bgap_router_action *action);

/**
 * struct bgap_service_costs - what has been learned of a service's costs
 * @mean_ms: mean cost of a request, 0 if not known
 * @error: mean absolute error of the predictions, relative to the prediction
 * @samples: in @error, up to a limit
 * @classes, @details: number of those that are known
 */
struct bgap_service_costs
{
  double mean_ms;
  double error;
  uint32_t samples;
  uint32_t classes;
  uint32_t details;
};

/**
 * bgap_router_service_costs() - snapshot of the cost model of a service
 *
 * Return: BGAP_OK, or BGAP_ERR_NOT_FOUND if there is no such service or its
 * policy does not use costs.
 */
enum bgap_status bgap_router_service_costs (const struct bgap_router *router,
                                            struct bgap_service_id service_id,
                                            struct bgap_service_costs *costs);

/**
 * bgap_router_quarantine() - why requests with a fingerprint are refused
 *
 * Return: false if the fingerprint is not in quarantine.
 */
bool bgap_router_quarantine (const struct bgap_router *router, int64_t now_ms,
                             uint64_t fingerprint,
                             struct bgap_quarantine_event *event);

/**
 * bgap_router_counts() - current totals and gauges
 */
struct bgap_router_counts
bgap_router_counts (const struct bgap_router *router);

/**
 * bgap_router_dump() - append the state of the router to @out as text
 */
enum bgap_status bgap_router_dump (const struct bgap_router *router,
                                   struct bgap_buffer *out);

#endif
