#ifndef BGAPD_EDGE_PARTS_H
#define BGAPD_EDGE_PARTS_H

/*
 * Functions of the parts of an instance in platform mode:
 *
 *   edge.c           setup, signals
 *   edge_stop.c      graceful stop
 *   edge_store.c     connection to the store, group of instances
 *   edge_config.c    configures the router's services from the route table
 *   edge_keys.c      records of the instances: assignments of keys, messages
 *                    of routers; successor of the granter
 *   edge_granter.c   carries out the actions of granters; holders of keys
 *   edge_orders.c    sends grants and releases to servers
 *   edge_peers.c     messages of other instances; reports to the granters
 *   edge_relay.c     forwards records that a relay has read from the store
 *   edge_request.c   passes callers' requests to the router
 *   edge_attempt.c   sends attempts to servers and handles their responses
 *   edge_quarantine.c  log of requests that are refused after crashes
 *   edge_zones.c     evacuated zones
 *   edge_responses.c  memory for responses
 *   edge_report.c    readiness, metrics and dumps
 *   edge_explain.c   where a request would go
 *
 * edge_server_parts.h, which this file includes, has the parts for servers.
 */

#include "edge_server_parts.h"
#include "edge_state.h"

/* edge.c */

/**
 * bgap_edge_run_actions() - carry out the pending actions of the router and
 * the granters, and set the timer; call it after each event for one of them
 */
void bgap_edge_run_actions (struct bgap_edge *edge);

/**
 * bgap_edge_is_ready() - whether the instance can serve callers
 */
bool bgap_edge_is_ready (const struct bgap_edge *edge);

/**
 * bgap_edge_memory_share() - part of the memory that the process may use
 * @divisor: the part is 1 / @divisor
 *
 * Return: bytes.
 */
size_t bgap_edge_memory_share (const struct bgap_edge *edge, uint32_t divisor);

/* edge_responses.c */

/**
 * bgap_edge_responses_limit() - bytes that buffered responses may use together
 * in a configuration with large ones
 */
size_t bgap_edge_responses_limit (const struct bgap_edge *edge);

/**
 * bgap_edge_responses_held() - bytes of responses in the memory of the process
 */
size_t bgap_edge_responses_held (const struct bgap_edge *edge);

/**
 * bgap_edge_large_fits() - whether there is memory for one more large response
 */
bool bgap_edge_large_fits (const struct bgap_edge *edge);

/**
 * bgap_edge_may_start_large() - whether there is memory for one more large
 * response; logs a refusal
 * @request: id of the request
 */
bool bgap_edge_may_start_large (struct bgap_edge *edge, const char *request);

/**
 * bgap_edge_receive_size() - receive_size of the attempts of an exchange
 */
uint32_t bgap_edge_receive_size (const struct bgap_edge_exchange *exchange);

/**
 * bgap_edge_pause_response() - stop reading a response until its caller has
 * read more of it
 */
void bgap_edge_pause_response (struct bgap_edge_exchange *exchange,
                               struct bgap_backend_attempt_id attempt);

/**
 * bgap_edge_server_bodies_max() - bytes of the bodies of this instance's
 * requests from which on a server gets no further one; 0 without a limit, in a
 * configuration without large responses
 */
uint64_t bgap_edge_server_bodies_max (const struct bgap_edge *edge);

/* edge_stop.c */

/**
 * bgap_edge_begin_stop() - begin a graceful stop; nothing if it has begun
 */
void bgap_edge_begin_stop (struct bgap_edge *edge);

/**
 * bgap_edge_check_stop() - carry out the steps of the stop that are due, and
 * end the event loop at its end
 */
void bgap_edge_check_stop (struct bgap_edge *edge);

/**
 * bgap_edge_on_frontend_stopped() - end the event loop: all connections of
 * callers are closed
 */
void bgap_edge_on_frontend_stopped (void *context);

/**
 * bgap_edge_stop_age_ms() - time since the graceful stop began
 *
 * Return: milliseconds, -1 before the stop.
 */
int64_t bgap_edge_stop_age_ms (const struct bgap_edge *edge, int64_t now_ms);

/**
 * bgap_edge_log_exit() - write the last line of the log
 */
void bgap_edge_log_exit (void);

/* edge_store.c */

/**
 * bgap_edge_open_store() - join the group of instances and follow the topics
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_edge_open_store (struct bgap_edge *edge,
                                       struct bgap_error *err);

/**
 * bgap_edge_close_store() - end what bgap_edge_open_store() began
 */
void bgap_edge_close_store (struct bgap_edge *edge);

/**
 * bgap_edge_update_pace() - set how often this instance joins the group, after
 * a change of its role or of the connection to the store
 */
void bgap_edge_update_pace (struct bgap_edge *edge);

/**
 * bgap_edge_store_answered() - handle that a call to the store succeeded
 */
void bgap_edge_store_answered (struct bgap_edge *edge);

/**
 * bgap_edge_store_failed() - handle that a call to the store failed
 */
void bgap_edge_store_failed (struct bgap_edge *edge, const char *topic,
                             enum bgap_store_outcome outcome,
                             const char *message);

/* edge_config.c */
enum bgap_status bgap_edge_follow_config (struct bgap_edge *edge,
                                          struct bgap_error *err);
struct bgap_edge_service *bgap_edge_service (const struct bgap_edge *edge,
                                             const char *name);

/**
 * bgap_edge_apply_limits() - recompute this instance's share of the limits,
 * after a change of the number of instances, the settings or the servers
 */
void bgap_edge_apply_limits (struct bgap_edge *edge);
void bgap_edge_free_services (struct bgap_edge *edge);

/* edge_keys.c */

/* Prefix of the keys of records with the assignment of a service.  */
#define BGAP_EDGE_ASSIGNMENT_PREFIX "keys/"

enum bgap_status bgap_edge_follow_internal (struct bgap_edge *edge,
                                            struct bgap_error *err);

/**
 * bgap_edge_update_successors() - tell each granter whether this instance is
 * the successor of the active granter, and whether that one is lost
 */
void bgap_edge_update_successors (struct bgap_edge *edge);

/**
 * bgap_edge_publish_router_message() - append a message of the router for the
 * other instances to the store
 */
void
bgap_edge_publish_router_message (struct bgap_edge *edge,
                                  const struct bgap_router_action *action);

/* edge_granter.c */

/**
 * bgap_edge_run_granter() - let the service's granter act at the current time,
 * and carry out its actions
 */
void bgap_edge_run_granter (struct bgap_edge *edge,
                            struct bgap_edge_service *service);

/**
 * bgap_edge_free_appends() - free the appends in flight after the client of
 * the store was shut down
 */
void bgap_edge_free_appends (struct bgap_edge *edge);

/**
 * bgap_edge_set_granter_server() - pass a server's registration to the granter
 */
void bgap_edge_set_granter_server (struct bgap_edge *edge,
                                   struct bgap_edge_service *service,
                                   const struct bgap_server_entry *entry);

/**
 * bgap_edge_holder() - server that holds the lease of a key
 * @token: set to the fencing token of its grant
 *
 * Return: its handle, BGAP_INVALID_ID if the key has no holder now.
 */
struct bgap_server_id
bgap_edge_holder (const struct bgap_edge *edge,
                  const struct bgap_edge_service *service, uint32_t key,
                  uint64_t *token);

/**
 * bgap_edge_key_range() - first key of the range that a key belongs to; the
 * key itself if none is known
 */
uint32_t bgap_edge_key_range (const struct bgap_edge_service *service,
                              uint32_t key);

/* edge_orders.c */

/**
 * bgap_edge_order() - send a grant, a release or a check; its result is
 * reported to the service's granter
 */
void bgap_edge_order (struct bgap_edge *edge,
                      struct bgap_edge_service *service,
                      const struct bgap_granter_action *action);

/**
 * bgap_edge_drop_orders() - free the orders, waiting or in flight, without
 * reporting a result, after the client that sends them was shut down
 */
void bgap_edge_drop_orders (struct bgap_edge_server *server);

/* edge_peers.c */
enum bgap_status bgap_edge_open_peers (struct bgap_edge *edge,
                                       struct bgap_error *err);

/**
 * bgap_edge_count_key() - count a request for a key
 */
void bgap_edge_count_key (struct bgap_edge *edge,
                          struct bgap_edge_service *service, uint32_t key);

/**
 * bgap_edge_report_keys() - send the keys and the completed requests since the
 * last report to the granters, if a report is due
 */
void bgap_edge_report_keys (struct bgap_edge *edge, int64_t now_ms);

/* edge_relay.c */

/**
 * bgap_edge_open_relay() - create the histories of relayed records and the
 * subscribers of the followers, which must exist
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_edge_open_relay (struct bgap_edge *edge);

/**
 * bgap_edge_close_relay() - free the histories and the subscribers
 */
void bgap_edge_close_relay (struct bgap_edge *edge);

/**
 * bgap_edge_member_parse() - split a member's name
 *
 * Return: false if the name is malformed.
 */
bool bgap_edge_member_parse (const char *member, struct bgap_edge_member *out);

/**
 * bgap_edge_update_followers() - set from where each topic is read, after a
 * change of the role of this instance or of its connection to the store
 */
void bgap_edge_update_followers (struct bgap_edge *edge);

/**
 * bgap_edge_update_relay() - determine again whether this instance is a relay,
 * after a change of the group or of a granter
 */
void bgap_edge_update_relay (struct bgap_edge *edge);

/* Forward the records that a read of each topic returned, from offset @from
   on.  */
void bgap_edge_relay_config (struct bgap_edge *edge, uint64_t from,
                             const struct bgap_store_record *records,
                             size_t count);
void bgap_edge_relay_servers (struct bgap_edge *edge, uint64_t from,
                              const struct bgap_store_record *records,
                              size_t count);
void bgap_edge_relay_internal (struct bgap_edge *edge, uint64_t from,
                               const struct bgap_store_record *records,
                               size_t count);

/**
 * bgap_edge_relay_load_read() - handle a page of a load, whose records are the
 * bases of the first deltas
 */
void bgap_edge_relay_load_read (struct bgap_edge *edge,
                                enum bgap_edge_topic topic,
                                const struct bgap_store_record *records,
                                size_t count);

/**
 * bgap_edge_relay_loaded() - handle that the follower of a topic has loaded it
 */
void bgap_edge_relay_loaded (struct bgap_edge *edge,
                             enum bgap_edge_topic topic);

/**
 * bgap_edge_relay_heartbeat() - as the granter, tell the other instances that
 * there are no new records, if a heartbeat is due
 */
void bgap_edge_relay_heartbeat (struct bgap_edge *edge, int64_t now_ms);

/**
 * bgap_edge_on_relay() - handle a message of a relay or the granter
 *
 * Return: false if it is malformed.
 */
bool bgap_edge_on_relay (struct bgap_edge *edge, const void *bytes,
                         size_t size);

/**
 * bgap_edge_broadcast() - send a message to all instances, through the relays
 * @kind: BGAP_EDGE_MESSAGE_LIMITS or BGAP_EDGE_MESSAGE_LEAVING
 */
void bgap_edge_broadcast (struct bgap_edge *edge, uint8_t kind,
                          const struct bgap_buffer *bytes);

/**
 * bgap_edge_connect_broadcast() - open the connections that
 * bgap_edge_broadcast() uses: the first message over a new one is lost
 */
void bgap_edge_connect_broadcast (struct bgap_edge *edge);

/**
 * bgap_edge_forward_broadcast() - as a relay, forward a message that
 * bgap_edge_broadcast() has sent to the subscribers
 */
void bgap_edge_forward_broadcast (struct bgap_edge *edge, uint8_t kind,
                                  const struct bgap_buffer *bytes);

/**
 * bgap_edge_send_to() - send a message to a member of the group; it may get
 * lost
 */
void bgap_edge_send_to (struct bgap_edge *edge, const char *member,
                        uint8_t kind, const struct bgap_buffer *bytes);

/**
 * bgap_edge_relay_restored() - forget what is known of records that were read
 * before the store was restored from a copy
 */
void bgap_edge_relay_restored (struct bgap_edge *edge);

/**
 * bgap_edge_report_gap() - log that a follower lacks records which its relay
 * has, or that it has caught up
 */
void bgap_edge_report_gap (const char *topic,
                           const struct bgap_follower *follower,
                           const struct bgap_follower_gap *gap);

/* edge_request.c */
void bgap_edge_on_request (void *context, struct bgap_exchange_id id,
                           const struct bgap_frontend_request *request);
void bgap_edge_on_cancel (void *context, struct bgap_exchange_id id);
void bgap_edge_on_left (void *context,
                        const struct bgap_frontend_request *request);
void bgap_edge_on_resume (void *context, struct bgap_exchange_id id);

/**
 * bgap_edge_finish() - send the caller the end of the response or an error,
 * and free the exchange
 */
void bgap_edge_finish (struct bgap_edge_exchange *exchange,
                       const struct bgap_router_action *action);
void bgap_edge_free_exchanges (struct bgap_edge *edge);

/**
 * bgap_edge_cost_class() - hash under which the costs of a route are learned
 */
uint64_t bgap_edge_cost_class (const struct bgap_route *route);

/* Retry-After in milliseconds while there is no configuration, the service is
   not known, too many requests are open, or there is no memory.  */
#define BGAP_EDGE_UNAVAILABLE_RETRY_MS 150

/**
 * bgap_edge_deadline_ms() - time for which a caller waits
 * @remaining_ms: as it stated, 0 if it did not
 */
int64_t bgap_edge_deadline_ms (const struct bgap_route *route,
                               int64_t remaining_ms);

/**
 * bgap_edge_describe_request() - options of a request for the router, without
 * the holder of its key
 * @key: only used if the service is divided by key
 */
struct bgap_request_desc
bgap_edge_describe_request (const struct bgap_edge_service *service,
                            const struct bgap_route *route, const char *host,
                            const struct bgap_frontend_request *request,
                            uint32_t key, int64_t deadline_ms);

/* edge_quarantine.c */

/**
 * bgap_edge_quarantine_ops() - calls that log the decisions of the router
 */
struct bgap_quarantine_ops bgap_edge_quarantine_ops (struct bgap_edge *edge);

/**
 * bgap_edge_log_quarantined() - log why a request was refused
 * @request: its id
 */
void bgap_edge_log_quarantined (const struct bgap_edge *edge,
                                const char *request, uint64_t fingerprint);

/* edge_explain.c */

/**
 * bgap_edge_on_explain() - answer GET /route: where a request would go now
 */
void bgap_edge_on_explain (void *context, struct bgap_admin_id id,
                           const struct bgap_admin_request *request);

/* edge_attempt.c */

/**
 * bgap_edge_dispatch() - send the attempt of a router's action to its server
 */
void bgap_edge_dispatch (struct bgap_edge_exchange *exchange,
                         const struct bgap_router_action *action);
void bgap_edge_cancel_attempt (struct bgap_edge_exchange *exchange);

/**
 * bgap_edge_drop_body() - free the buffered part of the response
 */
void bgap_edge_drop_body (struct bgap_edge_exchange *exchange);

/* edge_report.c */
enum bgap_status bgap_edge_open_reports (struct bgap_edge *edge,
                                         struct bgap_error *err);

/**
 * bgap_edge_log_connections() - log how many callers' connections were closed
 * because of their limit since the last call, if any
 */
void bgap_edge_log_connections (struct bgap_edge *edge);

#endif
