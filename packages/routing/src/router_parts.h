#ifndef BANYANGAP_ROUTING_ROUTER_PARTS_H
#define BANYANGAP_ROUTING_ROUTER_PARTS_H

/*
 * Functions of the router's parts, by file.
 */

#include "router_checks.h"
#include "router_cost_parts.h"
#include "router_state.h"

/* router.c  */

/* The object of a handle; NULL if the handle is stale.  */
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

/* router_queue.c: admission and queues.  */

/**
 * bgap_router_set_timer() - start or restart the timer of a request
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_router_set_timer (struct bgap_router_state *state,
                                        struct bgap_router_request *request);

/**
 * bgap_router_leave_state() - leave a waiting state; the state is then NEW
 */
void bgap_router_leave_state (struct bgap_router_state *state,
                              struct bgap_router_request *request);

/**
 * bgap_router_queue_limit() - limit of the requests that wait for a server,
 * and of those in state IDEMPOTENCY
 */
uint32_t bgap_router_queue_limit (const struct bgap_router_service *service);

/**
 * bgap_router_rank() - rank in the queue, smallest first: by class, and within
 * a class the requests that can meet their objective before the others
 */
int64_t bgap_router_rank (struct bgap_router_service *service, int64_t now_ms,
                          const struct bgap_router_request *request);

/**
 * bgap_router_rerank() - move a queued request whose rank has increased, or
 * finish it if it is not expected to get a slot then
 * @rank: rank with which it is in the queue
 *
 * Return: whether it was moved or finished.
 */
bool bgap_router_rerank (struct bgap_router_state *state, int64_t now_ms,
                         struct bgap_heap *queue,
                         const struct bgap_router_spare *spare, int64_t rank,
                         struct bgap_router_request *request);

/**
 * bgap_router_note_sent() - a queued request is sent
 * @rank: rank with which it was in the queue
 */
void bgap_router_note_sent (struct bgap_router_spare *spare, int64_t now_ms,
                            int64_t rank);

/**
 * bgap_router_refuse_late() - finish the queued requests that can no longer
 * meet their objective and are not expected to get a slot before their
 * deadline, unless that was done just before
 */
void bgap_router_refuse_late (struct bgap_router_state *state, int64_t now_ms,
                              struct bgap_heap *queue,
                              struct bgap_router_spare *spare);

/**
 * bgap_router_retry_after_ms() - milliseconds after which a caller that is
 * refused now should try again
 */
int64_t bgap_router_retry_after_ms (struct bgap_router_state *state,
                                    const struct bgap_router_service *service,
                                    const struct bgap_router_request *request,
                                    int64_t now_ms);

/**
 * bgap_router_admit() - check the limit of waiting requests
 *
 * If it is reached, a less urgent queued request is refused, or else @request.
 *
 * Return: whether @request may wait; false if it was finished.
 */
bool bgap_router_admit (struct bgap_router_state *state, int64_t now_ms,
                        struct bgap_router_request *request);

/**
 * bgap_router_update_rate() - measure the rate at which a queue is served
 * @waiting: number of requests in the queue now
 */
void bgap_router_update_rate (struct bgap_router_rate *rate, uint32_t waiting,
                              int64_t now_ms);

/**
 * bgap_router_enqueue() - queue a request until a server has a free slot
 */
void bgap_router_enqueue (struct bgap_router_state *state, int64_t now_ms,
                          struct bgap_router_request *request);

/**
 * bgap_router_back_off() - delay a request by @delay_ms
 * @resolve_on_wake: then look up its holder before it is routed
 */
void bgap_router_back_off (struct bgap_router_state *state, int64_t now_ms,
                           struct bgap_router_request *request,
                           int64_t delay_ms, bool resolve_on_wake);

/**
 * bgap_router_resolve() - request a look-up of the holder of the key
 */
void bgap_router_resolve (struct bgap_router_state *state, int64_t now_ms,
                          struct bgap_router_request *request);

/* router_pause.c: servers that have asked this instance for a pause.  */

/**
 * bgap_router_pause_left_ms() - time until a server accepts requests again
 * @holder: holder of the key in a keyed service, else NULL for any server
 *
 * Return: milliseconds, 0 if one accepts them now.
 */
int64_t bgap_router_pause_left_ms (const struct bgap_router_service *service,
                                   const struct bgap_router_server *holder,
                                   int64_t now_ms);

/**
 * bgap_router_end_paused() - refuse a request that would be late after the
 * pause
 * @holder: as for bgap_router_pause_left_ms()
 *
 * Return: whether the request was finished.
 */
bool bgap_router_end_paused (struct bgap_router_state *state, int64_t now_ms,
                             struct bgap_router_request *request,
                             const struct bgap_router_server *holder);

/* router_evacuation.c: services whose servers are evacuated.  */

/* Time after which a caller is told to return while all servers are evacuated,
   if its deadline is far enough away. It takes about as long until an instance
   learns that an evacuation has ended.  */
#define BGAP_ROUTER_EVACUATED_RETRY_MS 1000

/**
 * bgap_router_is_evacuated() - whether servers of the service are evacuated
 * and no other one can be used
 */
bool bgap_router_is_evacuated (const struct bgap_router_service *service);

/**
 * bgap_router_end_evacuated() - refuse a request if the service is evacuated
 *
 * Return: whether the request was finished.
 */
bool bgap_router_end_evacuated (struct bgap_router_state *state,
                                int64_t now_ms,
                                struct bgap_router_request *request);

/* router_dispatch.c: server selection and dispatch.  */

/**
 * bgap_router_route() - dispatch, queue or finish a request in state NEW
 */
void bgap_router_route (struct bgap_router_state *state, int64_t now_ms,
                        struct bgap_router_request *request);

/**
 * bgap_router_dispatch_queue() - dispatch queued requests of a service while
 * servers have free slots
 */
void bgap_router_dispatch_queue (struct bgap_router_state *state,
                                 int64_t now_ms,
                                 struct bgap_router_service *service);

/**
 * bgap_router_dispatch_holder_queue() - dispatch queued requests for keys of a
 * holder while it has free slots
 *
 * If the server can no longer serve them, their holder is looked up again.
 */
void bgap_router_dispatch_holder_queue (struct bgap_router_state *state,
                                        int64_t now_ms,
                                        struct bgap_router_server *server);

/* router_clearance.c: whether attempts may still be sent.  */

/**
 * bgap_router_note_clearance() - note what allows an attempt to be sent, to be
 * called before that is taken from the server
 */
void bgap_router_note_clearance (struct bgap_router_attempt *attempt,
                                 int64_t now_ms,
                                 const struct bgap_server *server);

/* router_attempt.c: results and retries.  */

/**
 * bgap_router_end_attempt() - free an attempt and its slot
 */
void bgap_router_end_attempt (struct bgap_router_state *state, int64_t now_ms,
                              struct bgap_router_request *request);

/**
 * bgap_router_cancel_attempt() - emit CANCEL_ATTEMPT and free the attempt
 */
void bgap_router_cancel_attempt (struct bgap_router_state *state,
                                 int64_t now_ms,
                                 struct bgap_router_request *request);

/**
 * bgap_router_report_broken() - tell the quarantine that the attempt of a
 * request broke; before the attempt is freed
 */
void bgap_router_report_broken (struct bgap_router_state *state,
                                int64_t now_ms,
                                const struct bgap_router_request *request,
                                const struct bgap_server *server);

/**
 * bgap_router_attempt_timed_out() - cancel the attempt of a request whose
 * deadline has passed, and finish the request
 */
void bgap_router_attempt_timed_out (struct bgap_router_state *state,
                                    int64_t now_ms,
                                    struct bgap_router_request *request);

/**
 * bgap_router_attempt_broken() - retry or finish a request whose attempt has
 * ended without an answer and may have run
 */
void bgap_router_attempt_broken (struct bgap_router_state *state,
                                 int64_t now_ms,
                                 struct bgap_router_request *request,
                                 enum bgap_reason reason);

/* router_finish.c: outcomes of requests.  */

/**
 * bgap_router_finish() - end a request without an answer
 *
 * The outcome is NOT_RUN unless an attempt may have run.
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

/* router_idempotency.c: idempotency records.  */

/**
 * bgap_router_begin_idempotency() - start a request that needs an idempotency
 * key: look up the key and record an intent, or finish the request
 */
void bgap_router_begin_idempotency (struct bgap_router_state *state,
                                    int64_t now_ms,
                                    struct bgap_router_request *request,
                                    const struct bgap_request_desc *desc);

/**
 * bgap_router_process_idempotency() - handle the pending events and appends of
 * a table of idempotency records
 */
void bgap_router_process_idempotency (struct bgap_router_state *state,
                                      int64_t now_ms,
                                      struct bgap_router_service *service);

/* router_server.c: servers.  */

/**
 * bgap_router_configure_server() - apply the service's options to a server
 */
void bgap_router_configure_server (const struct bgap_router_service *service,
                                   struct bgap_server *server);

/**
 * bgap_router_free_server() - free a removed server that has no attempts
 */
void bgap_router_free_server (struct bgap_router_state *state,
                              struct bgap_router_server *server);

/**
 * bgap_router_server_changed() - dispatch the requests that wait for a server
 * or its service, after a change of the server
 */
void bgap_router_server_changed (struct bgap_router_state *state,
                                 int64_t now_ms,
                                 struct bgap_router_server *server);

/* router_cold.c: who may grant permits for cold servers.  */

/**
 * struct bgap_router_issuers - the instances that hand out permits for a
 * server
 * @first: the issuer
 * @second: its standby, NULL if there is none
 */
struct bgap_router_issuers
{
  const char *first;
  const char *second;
};

/**
 * bgap_router_note_listed() - the list of instances has changed
 */
void bgap_router_note_listed (struct bgap_router_state *state, int64_t now_ms);

/**
 * bgap_router_cold_share() - part of the rate of permits for the server, while
 * it is cold, that this instance hands out
 * @server: XXH3 hash of "<service>/<server>"
 */
double bgap_router_cold_share (const struct bgap_router_state *state,
                               int64_t now_ms, uint64_t server,
                               const struct bgap_router_issuers *issuers);

/**
 * bgap_router_take_own_permit() - give this instance, which reaches no issuer,
 * a permit for a cold server if it is its turn
 */
void bgap_router_take_own_permit (struct bgap_router_state *state,
                                  int64_t now_ms, struct bgap_server *server);

/* router_warm_check.c: health checks of servers that may be cold.  */

/**
 * bgap_router_want_check() - check a server for which requests wait, if it may
 * be cold
 */
void bgap_router_want_check (struct bgap_router_state *state, int64_t now_ms,
                             struct bgap_server *server);

/**
 * bgap_router_want_any_checks() - check servers of a service without keys, for
 * the requests that wait
 */
void bgap_router_want_any_checks (struct bgap_router_state *state,
                                  int64_t now_ms,
                                  struct bgap_router_service *service);

/* router_limit.c: rate limits of servers and permits.  */

/**
 * bgap_router_hear_limit() - apply news of a server's rate limit unless newer
 * ones are known
 * @per_s: 0 for no limit
 * @age_ms: age of the news
 */
void bgap_router_hear_limit (struct bgap_router_state *state,
                             struct bgap_router_server *server, int64_t now_ms,
                             double per_s, int64_t age_ms);

/**
 * bgap_router_want_permits() - ask for permits for requests to a server,
 * unless it has no limit or was asked just before
 * @wanted: requests that wait for a permit
 * @rank: rank of the most urgent of them
 */
void bgap_router_want_permits (struct bgap_router_state *state, int64_t now_ms,
                               struct bgap_server *server, uint32_t wanted,
                               int64_t rank);

/**
 * bgap_router_want_any_permits() - ask for permits at the servers that would
 * get the next requests of a service without keys
 */
void bgap_router_want_any_permits (struct bgap_router_state *state,
                                   int64_t now_ms,
                                   struct bgap_router_service *service,
                                   int64_t rank);

/**
 * bgap_router_issue_permits() - send the permits that are due
 */
void bgap_router_issue_permits (struct bgap_router_state *state,
                                int64_t now_ms);

/**
 * bgap_router_on_permits() - handle a message on permits
 *
 * Return: BGAP_OK or BGAP_ERR_PROTOCOL.
 */
enum bgap_status bgap_router_on_permits (struct bgap_router_state *state,
                                         int64_t now_ms, const char *from,
                                         int kind, const void *bytes,
                                         size_t size, struct bgap_error *err);

/**
 * bgap_router_tick_limits() - send the permits that have become due
 */
void bgap_router_tick_limits (struct bgap_router_state *state, int64_t now_ms);

/* router_peer.c: messages to and from peers.  */

/**
 * bgap_router_send_suspicions() - send changes of suspected fingerprints to
 * the peers, if there are any
 */
void bgap_router_send_suspicions (struct bgap_router_state *state);

/**
 * bgap_router_send_loads() - send the in-flight counts to the peers
 */
void bgap_router_send_loads (struct bgap_router_state *state);

#endif
