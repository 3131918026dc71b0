#ifndef BGAPD_EDGE_SERVER_PARTS_H
#define BGAPD_EDGE_SERVER_PARTS_H

/*
 * Functions of the parts of an instance that are about servers; included by
 * edge_parts.h:
 *
 *   edge_servers.c     follows the registrations; servers of the router
 *   edge_server_shares.c  shares of this instance in what servers accept
 *   edge_service_times.c  service times of servers, for the granters
 *   edge_limits.c      rate limits that servers state
 *   edge_leaving.c     servers that state that they shut down
 *   edge_warmup.c      servers that are cold after their start
 *   edge_checks.c      health checks of servers that may be cold
 *   edge_statements.c  what servers state in answers; pauses they ask for
 *
 *   struct bgap_edge_server *server = bgap_edge_server (edge, id);
 *   bgap_edge_on_statements (edge, server, response);
 *   bgap_edge_call_ended (edge, server);
 */

#include "edge_state.h"

/* edge_servers.c */
enum bgap_status bgap_edge_follow_servers (struct bgap_edge *edge,
                                           struct bgap_error *err);
struct bgap_edge_server *bgap_edge_server (const struct bgap_edge *edge,
                                           struct bgap_server_id id);
struct bgap_edge_server *
bgap_edge_server_named (const struct bgap_edge *edge,
                        const struct bgap_edge_service *service,
                        const char *id);

/**
 * bgap_edge_sync_servers() - add registered servers whose service has become
 * known, and update the limits of all servers
 */
void bgap_edge_sync_servers (struct bgap_edge *edge);

/**
 * bgap_edge_crash_window_ms() - time from the crash of a server to the read
 * that shows its registration expired, at most
 */
int64_t bgap_edge_crash_window_ms (const struct bgap_edge *edge);

/**
 * bgap_edge_reinstate_servers() - use servers again that were wrongly
 * considered dead
 */
void bgap_edge_reinstate_servers (struct bgap_edge *edge, int64_t now_ms);

/**
 * bgap_edge_call_ended() - handle the end of an attempt or order to the
 * server; frees the server if it was removed and this was its last one
 */
void bgap_edge_call_ended (struct bgap_edge *edge,
                           struct bgap_edge_server *server);

/**
 * bgap_edge_server_failed() - handle an attempt whose connection broke or was
 * not established
 * @refused: the server's host refused the connection
 */
void bgap_edge_server_failed (struct bgap_edge *edge,
                              struct bgap_edge_server *server, bool refused);
void bgap_edge_free_servers (struct bgap_edge *edge);

/**
 * bgap_edge_server_changed() - whether a registration of the read that is
 * being reported differs from the previous one in more than its sequence
 */
bool bgap_edge_server_changed (const struct bgap_edge *edge,
                               const struct bgap_store_record *record);

/* edge_server_shares.c */

/**
 * bgap_edge_server_connections() - maximum number of connections for requests
 * that this instance opens to a server of the service
 */
uint32_t
bgap_edge_server_connections (const struct bgap_edge *edge,
                              const struct bgap_edge_service *service);

/**
 * bgap_edge_server_requests_max() - maximum number of this instance's requests
 * at a server
 *
 * All instances together must not overload it, and none knows how many
 * requests the others have there.
 */
uint32_t bgap_edge_server_requests_max (const struct bgap_edge *edge,
                                        const struct bgap_server_entry *entry);

/* edge_service_times.c */

/**
 * bgap_edge_count_completed() - count a request that a server has completed,
 * with the load that it reported
 */
void bgap_edge_count_completed (struct bgap_edge_service *service,
                                const struct bgap_edge_server *server,
                                const struct bgap_wire_response *response);

/**
 * bgap_edge_encode_service_times() - append the samples since the last report
 * to a message, and begin with new ones
 */
enum bgap_status
bgap_edge_encode_service_times (struct bgap_edge_service *service,
                                struct bgap_buffer *out);

/**
 * bgap_edge_on_service_times() - handle the samples of another instance
 *
 * Return: false if they are malformed.
 */
bool bgap_edge_on_service_times (struct bgap_edge_service *service,
                                 const unsigned char *bytes, size_t size);

/**
 * bgap_edge_service_time_ms() - mean service time of a server
 *
 * Return: milliseconds, 0 if unknown.
 */
double bgap_edge_service_time_ms (const struct bgap_edge_service *service,
                                  const char *server);

/**
 * bgap_edge_apply_service_times() - pass the service times to the granters
 * that are active, at intervals
 */
void bgap_edge_apply_service_times (struct bgap_edge *edge, int64_t now_ms);

/* edge_limits.c */

/**
 * bgap_edge_on_limit() - pass the rate limit that a server's response states,
 * or its end, to the router
 */
void bgap_edge_on_limit (struct bgap_edge *edge,
                         const struct bgap_edge_server *server,
                         const struct bgap_wire_response *response);

/**
 * bgap_edge_keep_limit() - store the rate limit of a server, as the router
 * knows it, with what its process has stated
 *
 * A process keeps its limit if its registration lapses and it registers again.
 */
void bgap_edge_keep_limit (struct bgap_edge *edge,
                           const struct bgap_edge_server *server);

/**
 * bgap_edge_describe_limit() - set the rate limit that the process of a server
 * has stated
 */
void bgap_edge_describe_limit (const struct bgap_edge *edge,
                               const struct bgap_server_entry *entry,
                               struct bgap_server_desc *desc);

/**
 * bgap_edge_log_kept_limit() - log the rate limit with which a server was
 * added, if there is one
 */
void bgap_edge_log_kept_limit (const struct bgap_edge *edge,
                               const struct bgap_edge_server *server);

/**
 * bgap_edge_update_instances() - tell the router the instances among which
 * rate limits are shared, after a change of the group
 */
void bgap_edge_update_instances (struct bgap_edge *edge);

/**
 * bgap_edge_send_permits() - send a router's message to another instance
 */
void bgap_edge_send_permits (struct bgap_edge *edge,
                             const struct bgap_router_action *action);

/**
 * bgap_edge_send_limits() - send a router's message on a rate limit to all
 * other instances
 */
void bgap_edge_send_limits (struct bgap_edge *edge,
                            const struct bgap_router_action *action);

/**
 * bgap_edge_on_permits() - handle a message of another instance's router
 * @kind: BGAP_EDGE_MESSAGE_ROUTER or BGAP_EDGE_MESSAGE_LIMITS
 *
 * Return: false if it is malformed.
 */
bool bgap_edge_on_permits (struct bgap_edge *edge, const char *from,
                           uint8_t kind, const void *bytes, size_t size);

/**
 * bgap_edge_log_limits() - log how much of each rate limit this instance uses,
 * if a line is due
 */
void bgap_edge_log_limits (struct bgap_edge *edge, int64_t now_ms);

/**
 * bgap_edge_limited_servers() - number of servers with a rate limit
 */
uint32_t bgap_edge_limited_servers (const struct bgap_edge *edge);

/* edge_leaving.c */

/**
 * bgap_edge_on_leaving() - handle an answer of a server that shuts down, and
 * tell the other instances
 */
void bgap_edge_on_leaving (struct bgap_edge *edge,
                           const struct bgap_edge_server *server);

/**
 * bgap_edge_repeat_leaving() - tell the other instances again, where it is due
 *
 * A message may get lost, and an instance that starts later knows of none.
 */
void bgap_edge_repeat_leaving (struct bgap_edge *edge, int64_t now_ms);

/**
 * bgap_edge_on_leaving_message() - handle that another instance has got such
 * an answer
 *
 * Return: false if the message is malformed.
 */
bool bgap_edge_on_leaving_message (struct bgap_edge *edge, const char *from,
                                   const void *bytes, size_t size);

/**
 * bgap_edge_leaving_servers() - number of servers that have stated that they
 * shut down
 */
uint32_t bgap_edge_leaving_servers (const struct bgap_edge *edge);

/* edge_warmup.c */

/**
 * bgap_edge_warmup_ms() - for how long the servers of a service are cold after
 * their start; for struct bgap_server_view_ops
 */
int64_t bgap_edge_warmup_ms (void *context, const char *service);

/**
 * bgap_edge_describe_warmup() - set the fields for the warm-up
 */
void bgap_edge_describe_warmup (const struct bgap_edge *edge,
                                const struct bgap_server_entry *entry,
                                struct bgap_server_desc *desc);

/**
 * bgap_edge_update_warmup() - pass on what is known of the warm-up of a server
 */
void bgap_edge_update_warmup (struct bgap_edge *edge,
                              struct bgap_edge_server *server);

/**
 * bgap_edge_update_warmups() - the same for all, to note when one has ended
 */
void bgap_edge_update_warmups (struct bgap_edge *edge);

/**
 * bgap_edge_on_warmup() - handle that a server states its warm-up in an answer
 *
 * Answers to health checks do. One to a request may have been asked for before
 * the last health check and counts as if it was asked for at that time.
 */
void bgap_edge_on_warmup (struct bgap_edge *edge,
                          struct bgap_edge_server *server,
                          const struct bgap_wire_response *response);

/**
 * bgap_edge_log_cold_attempt() - log an attempt at a server that is cold, or
 * may be since the view of the registrations is old
 * @state: "dispatched"; "opened" or "held" when its connection has opened
 */
void bgap_edge_log_cold_attempt (const struct bgap_edge_exchange *exchange,
                                 const struct bgap_edge_server *server,
                                 const char *state);

/**
 * bgap_edge_cold_servers() - number of servers whose requests are limited
 * because they are cold
 */
uint32_t bgap_edge_cold_servers (const struct bgap_edge *edge);

/* edge_checks.c */

/**
 * bgap_edge_update_view_time() - tell the router as of when it is known which
 * servers are cold, after registrations or the configuration were read
 */
void bgap_edge_update_view_time (struct bgap_edge *edge);

/**
 * bgap_edge_check_server() - carry out the router's action CHECK_SERVER
 */
void bgap_edge_check_server (struct bgap_edge *edge,
                             const struct bgap_router_action *action);

/* edge_statements.c */

/**
 * bgap_edge_on_statements() - handle that a server states in an answer that it
 * shuts down, that it wants no requests of this instance for a while, or how
 * long it is cold
 */
void bgap_edge_on_statements (struct bgap_edge *edge,
                              struct bgap_edge_server *server,
                              const struct bgap_wire_response *response);

/**
 * bgap_edge_pause_left_ms() - time until the end of the pause that a server
 * has asked for, 0 without one
 */
int64_t bgap_edge_pause_left_ms (const struct bgap_edge *edge,
                                 const struct bgap_server_entry *entry);

/**
 * bgap_edge_paused_servers() - number of servers that want no requests of this
 * instance now
 */
uint32_t bgap_edge_paused_servers (const struct bgap_edge *edge);

#endif
