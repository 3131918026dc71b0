#ifndef BANYANGAP_ROUTING_ROUTER_H
#define BANYANGAP_ROUTING_ROUTER_H

/*
 * Decides about requests: admission, choice of a server, retries, deadlines,
 * at-most-once execution, quarantine and drain. It does no I/O: events come in
 * with the time, actions go out.
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
 * After every call that takes now_ms the caller drains the actions. Each
 * request ends with exactly one FINISH, unless it was cancelled, and then with
 * none. now_ms is monotonic and counts suspended time; wall_ms is UTC.
 *
 * Once stream of a service with repeat_never: read the stream once.<service>
 * from its oldest kept record and pass every record in offset order to
 * bgap_router_on_once_record; read the end of the stream after the start of
 * the process and pass it to bgap_router_on_once_end. Requests are accepted
 * when the replay has reached it. Replay never stops.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "banyangap/base/buffer.h"
#include "banyangap/base/status.h"
#include "banyangap/routing/action.h"
#include "banyangap/routing/attempt.h"
#include "banyangap/routing/service.h"
#include "banyangap/routing/types.h"

/**
 * struct bgap_router_desc - options; zero means the default
 * @instance: name of this instance, required
 * @zone: its zone, required
 * @seed: of the random choices, and of the incarnation in the once stream,
 *   which must differ between processes; 0 means a seed of the system
 * @requests_max: requests in flight and waiting; default 4096, at most 65 535
 * @services_max: default 64
 * @servers_max: of all services; default 1024
 * @peers_max: instances whose in-flight counts are kept; default 16
 * @quarantine_max: fingerprints remembered; default 1024
 * @load_interval_ms: between messages with in-flight counts; default 500,
 *   negative for none
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
  int64_t load_interval_ms;
};

/**
 * struct bgap_request_desc - a request
 * @service: required
 * @holder: keyed services: the server that holds the key, { 0 } if not known
 * @token: keyed services: fencing token of the holder
 * @class_: BGAP_CLASS_DEFAULT for the service's class
 * @deadline_ms: milliseconds the caller waits; 0 for the service's default
 * @objective_ms: milliseconds within which an answer has its full value; a
 *   request that can no longer meet it waits behind those that can; 0 for none
 * @attempts_max: at most the service's; 0 for the service's
 * @idempotent: may be run again without proof that it did not run
 * @key: header Idempotency-Key, or NULL; only used if @idempotent is false
 *   and the service has repeat_never
 * @key_size: bytes at @key
 * @digest: hash of method, path and body; identifies what a key stands for
 * @fingerprint: XXH3 of service, method, path and body digest; 0 for none
 * @wall_ms: UTC time
 * @context: handed back with actions
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
  int64_t wall_ms;
  void *context;
};

/**
 * struct bgap_router_counts - totals since the start, and gauges
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
 * bgap_router_shutdown() - free everything; open requests get no FINISH
 */
void bgap_router_shutdown (struct bgap_router *router);

/**
 * bgap_router_set_service() - add a service or change its options
 * @id: handle, the same for the same name
 *
 * keyed, repeat_never, once_window_ms and the once limits cannot change; a
 * service that changes them is removed and added again.
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID, BGAP_ERR_FULL or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_router_set_service (struct bgap_router *router,
                                          int64_t now_ms,
                                          const struct bgap_service_desc *desc,
                                          struct bgap_service_id *id,
                                          struct bgap_error *err);

/**
 * bgap_router_remove_service() - remove it with its servers
 *
 * Waiting requests end as not run. Requests in flight are cancelled and end
 * as unknown. A stale handle is ignored.
 */
void bgap_router_remove_service (struct bgap_router *router, int64_t now_ms,
                                 struct bgap_service_id service_id);

/**
 * bgap_router_set_server() - add a server or change its options
 * @id: handle, the same for the same service and name
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID, BGAP_ERR_NOT_FOUND (service) or
 * BGAP_ERR_FULL.
 */
enum bgap_status bgap_router_set_server (struct bgap_router *router,
                                         int64_t now_ms,
                                         struct bgap_service_id service_id,
                                         const struct bgap_server_desc *desc,
                                         struct bgap_server_id *id,
                                         struct bgap_error *err);

/**
 * bgap_router_remove_server() - send it nothing more
 *
 * Attempts in flight on it run to their end. The handle is stale when the
 * last one has ended; if the server is configured again before, it keeps its
 * handle and these attempts still count. A stale handle is ignored.
 */
void bgap_router_remove_server (struct bgap_router *router, int64_t now_ms,
                                struct bgap_server_id server_id);

/**
 * bgap_router_find_service() - handle of a name, { 0 } if there is none
 */
struct bgap_service_id
bgap_router_find_service (const struct bgap_router *router, const char *name);

/**
 * bgap_router_find_server() - handle of a name, { 0 } if there is none
 */
struct bgap_server_id
bgap_router_find_server (const struct bgap_router *router,
                         struct bgap_service_id service_id, const char *name);

/**
 * bgap_router_request() - accept, queue or refuse a request
 *
 * Return: its handle, also if it is refused (a FINISH action is pending). If
 * all request handles are in use, { 0 } and no action: answer 503, not-run.
 */
struct bgap_request_id
bgap_router_request (struct bgap_router *router, int64_t now_ms,
                     const struct bgap_request_desc *desc);

/**
 * bgap_router_resolved() - response to the action RESOLVE
 * @holder: { 0 } if the key has no holder now; the router asks again while
 *   the deadline allows
 *
 * A stale @request_id is ignored.
 */
void bgap_router_resolved (struct bgap_router *router, int64_t now_ms,
                           struct bgap_request_id request_id,
                           struct bgap_server_id holder, uint64_t token);

/**
 * bgap_router_on_attempt() - an event of an attempt; stale ones are ignored
 */
void bgap_router_on_attempt (struct bgap_router *router, int64_t now_ms,
                             struct bgap_attempt_id attempt_id,
                             const struct bgap_attempt_result *result);

/**
 * bgap_router_can_retry() - whether a failure of this attempt would be
 * followed by another one; the result BGAP_RESULT_FAILED then takes it
 */
bool bgap_router_can_retry (const struct bgap_router *router, int64_t now_ms,
                            struct bgap_attempt_id attempt_id);

/**
 * bgap_router_cancel() - the caller has gone away; no FINISH follows
 *
 * An attempt in flight is cancelled, except that of a request that runs at
 * most once: it continues, so that its outcome can be recorded. No DISPATCH
 * follows.
 */
void bgap_router_cancel (struct bgap_router *router, int64_t now_ms,
                         struct bgap_request_id request_id);

/**
 * bgap_router_tick() - deadlines, retries, timers; about every 10 ms
 */
void bgap_router_tick (struct bgap_router *router, int64_t now_ms,
                       int64_t wall_ms);

/**
 * bgap_router_next_tick_ms() - time until the next tick is useful, at most
 * 1000 ms
 */
int64_t bgap_router_next_tick_ms (const struct bgap_router *router,
                                  int64_t now_ms);

/**
 * bgap_router_server_load() - load report of a server (hello or renew)
 */
void bgap_router_server_load (struct bgap_router *router, int64_t now_ms,
                              struct bgap_server_id server_id,
                              const struct bgap_server_load *load);

/**
 * bgap_router_server_drain() - one of the three drain signals changed
 */
void bgap_router_server_drain (struct bgap_router *router, int64_t now_ms,
                               struct bgap_server_id server_id,
                               enum bgap_drain_signal signal, bool on);

/**
 * bgap_router_server_lost() - the server is dead: its attempts are broken
 *
 * The fingerprints in flight on it become suspects. Attempts that have not
 * ended are cancelled and treated as BROKEN.
 */
void bgap_router_server_lost (struct bgap_router *router, int64_t now_ms,
                              struct bgap_server_id server_id);

/**
 * bgap_router_server_alive() - the server answers
 * @incarnation: a value that differs from the last one means that the process
 *   is new: it starts slowly, and its earlier failures are forgotten
 */
void bgap_router_server_alive (struct bgap_router *router, int64_t now_ms,
                               struct bgap_server_id server_id,
                               uint64_t incarnation);

/**
 * bgap_router_on_peer() - a message of another instance of the zone
 * @from: its name
 * @kind: enum bgap_routing_message
 *
 * Return: BGAP_OK or BGAP_ERR_PROTOCOL, which changes nothing.
 */
enum bgap_status bgap_router_on_peer (struct bgap_router *router,
                                      int64_t now_ms, const char *from,
                                      int kind, const void *bytes, size_t size,
                                      struct bgap_error *err);

/**
 * bgap_router_peer_lost() - forget the in-flight counts of an instance
 */
void bgap_router_peer_lost (struct bgap_router *router, const char *name);

/**
 * bgap_router_on_once_record() - a record of the stream once.<service>
 * @offset: of the record; offsets must rise
 * @wall_ms: UTC time now
 *
 * Return: BGAP_OK; BGAP_ERR_STALE for an offset that was seen before;
 * BGAP_ERR_PROTOCOL for a malformed record, which counts as read;
 * BGAP_ERR_NOT_FOUND if the service has no once stream; BGAP_ERR_UNAVAILABLE
 * if the stream has a higher schema and is no longer applied.
 */
enum bgap_status bgap_router_on_once_record (struct bgap_router *router,
                                             int64_t now_ms, int64_t wall_ms,
                                             struct bgap_service_id service_id,
                                             uint64_t offset,
                                             const void *bytes, size_t size,
                                             struct bgap_error *err);

/**
 * bgap_router_on_once_end() - end of the stream, read after the start
 * @end: offset that the next record will get
 */
void bgap_router_on_once_end (struct bgap_router *router, int64_t now_ms,
                              struct bgap_service_id service_id, uint64_t end);

/**
 * bgap_router_once_applied() - newest offset applied, 0 for none
 *
 * Read the stream from the offset after it.
 */
uint64_t bgap_router_once_applied (const struct bgap_router *router,
                                   struct bgap_service_id service_id);

/**
 * bgap_router_on_append_done() - result of an APPEND
 * @ok: the log acknowledged it; false if it failed or the response was lost,
 *   in which case the record may still appear
 *
 * A stale @append_id is ignored.
 */
void bgap_router_on_append_done (struct bgap_router *router, int64_t now_ms,
                                 struct bgap_service_id service_id,
                                 uint32_t append_id, bool ok);

/**
 * bgap_router_leave() - refuse new requests as not run (shutdown)
 */
void bgap_router_leave (struct bgap_router *router);

/**
 * bgap_router_refuse_waiting() - answer the requests that are not at a server,
 * since this process ends before one could answer them; as not run unless an
 * attempt may have run
 */
void bgap_router_refuse_waiting (struct bgap_router *router, int64_t now_ms);

/**
 * bgap_router_give_up_attempts() - answer the requests that are at a server as
 * possibly run, since the process ends now and their callers would get nothing
 */
void bgap_router_give_up_attempts (struct bgap_router *router, int64_t now_ms);

/**
 * bgap_router_idle() - no request and no outcome to be appended is left
 */
bool bgap_router_idle (const struct bgap_router *router);

/**
 * bgap_router_next_action() - take the oldest pending action
 *
 * Return: false if there is none.
 */
bool bgap_router_next_action (struct bgap_router *router,
                              struct bgap_router_action *action);

/**
 * bgap_router_server_status() - snapshot of a server
 *
 * Return: BGAP_OK or BGAP_ERR_NOT_FOUND.
 */
enum bgap_status bgap_router_server_status (const struct bgap_router *router,
                                            struct bgap_server_id server_id,
                                            struct bgap_server_status *status);

/**
 * bgap_router_counts() - totals and gauges
 */
struct bgap_router_counts
bgap_router_counts (const struct bgap_router *router);

/**
 * bgap_router_dump() - append the whole state as text
 */
enum bgap_status bgap_router_dump (const struct bgap_router *router,
                                   struct bgap_buffer *out);

#endif
