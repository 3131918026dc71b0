#ifndef BGAPD_EDGE_PRIVATE_H
#define BGAPD_EDGE_PRIVATE_H

/*
 * Parts shared by the edge_*.c files:
 *
 *   edge.c           setup, signals, graceful stop, state of the store
 *   edge_config.c    configures the router's services from the route table
 *   edge_servers.c   adds registered servers to the router, with connections
 *   edge_keys.c      assignment of keys: records, holders, granter's successor
 *   edge_orders.c    sends grants and releases to servers
 *   edge_peers.c     reports the keys of requests to the granters
 *   edge_relay.c     forwards records that a relay has read from the store
 *   edge_request.c   passes callers' requests to the router
 *   edge_attempt.c   sends attempts to servers and handles their responses
 *   edge_limits.c    rate limits that servers state
 *   edge_report.c    readiness, metrics and dumps
 */

#include <uthash.h>

#include "banyangap/base/event_log.h"
#include "banyangap/gateway/admin.h"
#include "banyangap/gateway/backend.h"
#include "banyangap/gateway/frontend.h"
#include "banyangap/keyrange/granter.h"
#include "banyangap/peer/peer.h"
#include "banyangap/routing/balancer.h"
#include "banyangap/routing/message.h"
#include "banyangap/routing/router.h"
#include "banyangap/store/follower.h"
#include "banyangap/store/membership.h"
#include "banyangap/store/relay_subscriber.h"
#include "banyangap/store/timeline_guard.h"
#include "edge.h"
#include "edge_metrics.h"

/* Connections to a server for orders, which are grants and releases. Grants
   have one of their own, since a release takes as long as the running requests
   and must not delay them. They are kept open, since opening one takes a slot
   of the server.  */
#define BGAP_EDGE_GRANT_CONNECTIONS 1u
#define BGAP_EDGE_RELEASE_CONNECTIONS 4u

struct bgap_edge;
struct bgap_edge_order;

/* Maximum number of keys in a report to the granter.  */
#define BGAP_EDGE_SAMPLED_KEYS_MAX 1024

/**
 * struct bgap_edge_key_sample - keys of requests since the last report
 * @seen: number of requests; when @keys is full, a key replaces an earlier one
 * @count: number of keys in @keys
 */
struct bgap_edge_key_sample
{
  uint32_t seen;
  uint32_t count;
  uint16_t keys[BGAP_EDGE_SAMPLED_KEYS_MAX];
};

/* Time without a message from its relay after which an instance reads the
   store itself. A relay sends one about every second.  */
#define BGAP_EDGE_RELAY_TIMEOUT_MS 1300

/* Kinds of messages between instances.  */
#define BGAP_EDGE_MESSAGE_KEYS 1
#define BGAP_EDGE_MESSAGE_ROUTER 4 /* to one instance */
#define BGAP_EDGE_MESSAGE_LIMITS 5 /* to all instances */
#define BGAP_EDGE_MESSAGE_RELAY 6  /* 3 was without timelines */

/* Number of topics whose records are relayed.  */
#define BGAP_EDGE_RELAY_TOPICS 3

/**
 * enum bgap_edge_topic - topics whose records are relayed; the first byte of a
 * message
 */
enum bgap_edge_topic
{
  BGAP_EDGE_CONFIG,
  BGAP_EDGE_SERVERS,
  BGAP_EDGE_INTERNAL
};

/**
 * struct bgap_edge_member - parts of the name of a group member, which has the
 * form "<instance>@<address>#<zone>"
 */
struct bgap_edge_member
{
  char name[BGAP_REGISTRY_NAME_SIZE];
  char address[BGAP_INSTANCE_ADDRESS_SIZE];
  char zone[BGAP_REGISTRY_NAME_SIZE];
};

/* Maximum number of changed registrations that are recorded during one read,
   for the relay; if there are more, all of the read count as changed.  */
#define BGAP_EDGE_CHANGED_MAX 256

/**
 * struct bgap_edge_service - a service in the router
 * @granter: assigns its keys to servers, NULL for services without keys
 * @sample: keys of recent requests, for the active granter
 */
struct bgap_edge_service
{
  char name[BGAP_REGISTRY_NAME_SIZE];
  struct bgap_service_id id;
  struct bgap_granter *granter;
  struct bgap_edge_key_sample sample;
  struct bgap_edge_metrics metrics;
  UT_hash_handle hh;
};

/**
 * struct bgap_edge_server - a backend server with its connections
 * @known: its registration, NULL after it was removed
 * @id: its name, still valid after the registration was removed
 * @router_id: handle in the router
 * @requests, @grants, @releases: connection pools
 * @waiting_orders: orders that wait for a connection, oldest first
 * @releases_used_ms: when an order was last sent over @releases
 * @calls: attempts and orders in flight, each of which refers to the server
 * @refused_connections: consecutive refused connections
 * @attempt_broken_ms: when the connection of an attempt last broke, 0 if it
 *   has not since the server last answered or restarted
 * @lost_ms: when it was considered dead, 0 if it is not
 */
struct bgap_edge_server
{
  struct bgap_known_server *known;
  char id[BGAP_REGISTRY_NAME_SIZE];
  struct bgap_edge_service *service;
  struct bgap_server_id router_id;
  struct bgap_backend_server_id requests;
  struct bgap_backend_server_id grants;
  struct bgap_backend_server_id releases;
  struct bgap_edge_order *waiting_orders;
  int64_t releases_used_ms;
  uint32_t calls;
  uint32_t refused_connections;
  int64_t attempt_broken_ms;
  int64_t lost_ms;
  UT_hash_handle hh;
};

/**
 * struct bgap_edge_exchange - a caller's request
 * @id: handle in the frontend, key of the hash table
 * @attempts: number of attempts so far
 * @attempt: current attempt in the router
 * @backend_attempt: the same attempt in the backend client
 * @server: server of the attempt in flight, NULL if there is none
 * @status, @headers, @body: the part of the response received so far
 * @streaming: the response is forwarded to the caller as it arrives
 */
struct bgap_edge_exchange
{
  uint32_t id;
  struct bgap_edge *edge;
  struct bgap_request_id handle;
  struct bgap_wire_request wire;
  struct bgap_edge_service *service;
  char route[48];
  int64_t began_ms;
  int64_t objective_ms;
  int64_t deadline_ms;
  bool idempotent;
  uint32_t attempts;

  struct bgap_attempt_id attempt;
  struct bgap_backend_attempt_id backend_attempt;
  struct bgap_edge_server *server;
  char last_server[BGAP_REGISTRY_NAME_SIZE];
  int64_t sent_ms;
  int status;
  struct bgap_headers headers;
  struct bgap_buffer body;
  bool streaming;
  UT_hash_handle hh;
};

/**
 * struct bgap_edge - the instance
 * @member: its name in the group, see struct bgap_edge_member
 * @table: configuration in force, NULL if none was read yet
 * @ready, @operators: HTTP servers for readiness probes and for operators
 * @guard: the store's calls pass through it
 * @config, @registrations, @internal: followers of the store's topics
 * @servers: hash table by handle in the router
 * @incarnation: random number that tells this run of the process from another
 * @store_failing: a call to the store failed, and none was reported as
 *   successful since
 * @store_outage: the outcome of such a call is unknown, or a join failed
 * @is_relay: it reads the store and forwards the records to subscribers
 * @was_listed: this instance has been in the list of members
 * @histories: by topic, the records that relayed ones are encoded against
 * @subscribers: by topic, the receiving end of the relay
 * @relay_bytes_sent: size of the messages sent as relay or granter
 * @changed_servers: ids of servers whose registration changed in the read that
 *   is being reported
 * @config_bytes: size of the record of the configuration in force
 * @config_synced_ms, @internal_synced_ms, @servers_synced_ms: when the read
 *   was sent that the view of each topic is based on
 * @stopping_ms: when the graceful stop began, 0 if it has not
 * @timer_at_ms: when the timer fires, 0 if it is not set
 * @frontend_stopped: all connections of callers are closed
 */
struct bgap_edge
{
  struct bgap_edge_desc desc;
  struct bgap_instance_settings settings;
  char member[BGAP_KEYRANGE_NAME_SIZE];
  struct event_base *base;
  struct bgap_route_table *table;
  struct bgap_server_view *view;
  struct bgap_router router;
  struct bgap_frontend *frontend;
  struct bgap_backend *backend;
  struct bgap_admin *ready;
  struct bgap_admin *operators;
  struct bgap_counters counters;
  struct bgap_timeline_guard *guard;
  struct bgap_follower *config;
  struct bgap_follower *registrations;
  struct bgap_follower *internal;
  struct bgap_membership *membership;
  struct bgap_peer *peer;
  struct bgap_edge_service *services;
  struct bgap_edge_server *servers;
  struct bgap_edge_exchange *exchanges;
  uint64_t incarnation;
  struct event *timer;
  struct event *signals[3];
  bool running_actions;
  bool store_failing;
  bool store_outage;
  int64_t started_ms;
  int64_t store_failing_since_ms;
  int64_t granter_missing_since_ms;
  int64_t keys_reported_ms;
  int64_t heartbeat_sent_ms;
  bool is_relay;
  bool was_listed;
  struct bgap_relay_history *histories[BGAP_EDGE_RELAY_TOPICS];
  struct bgap_relay_subscriber subscribers[BGAP_EDGE_RELAY_TOPICS];
  uint64_t relay_bytes_sent;
  uint32_t changed_server_count;
  char changed_servers[BGAP_EDGE_CHANGED_MAX][BGAP_REGISTRY_NAME_SIZE];
  size_t config_bytes;
  int64_t config_synced_ms;
  int64_t internal_synced_ms;
  int64_t servers_synced_ms;
  int64_t housekeeping_ms;
  int64_t limits_logged_ms;
  int64_t stopping_ms;
  int64_t timer_at_ms;
  bool frontend_stopped;
};

/* edge.c */

/**
 * bgap_edge_run_actions() - carry out the pending actions of the router and
 * the granters, and set the timer; call it after each event for one of them
 */
void bgap_edge_run_actions (struct bgap_edge *edge);

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

/**
 * bgap_edge_is_ready() - whether the instance can serve callers
 */
bool bgap_edge_is_ready (const struct bgap_edge *edge);

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

/* edge_keys.c */
enum bgap_status bgap_edge_follow_internal (struct bgap_edge *edge,
                                            struct bgap_error *err);

/**
 * bgap_edge_run_granter() - let the service's granter act at the current time,
 * and carry out its actions
 */
void bgap_edge_run_granter (struct bgap_edge *edge,
                            struct bgap_edge_service *service);

/**
 * bgap_edge_update_successors() - tell each granter whether this instance is
 * the successor of the active granter, and whether that one is lost
 */
void bgap_edge_update_successors (struct bgap_edge *edge);

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
 * bgap_edge_publish_router_message() - append a message of the router for the
 * other instances to the store
 */
void
bgap_edge_publish_router_message (struct bgap_edge *edge,
                                  const struct bgap_router_action *action);

/* edge_orders.c */

/**
 * bgap_edge_order() - send a grant, a release or a check; its result is
 * reported to the service's granter
 */
void bgap_edge_order (struct bgap_edge *edge,
                      struct bgap_edge_service *service,
                      const struct bgap_granter_action *action);

/**
 * bgap_edge_drop_orders() - free the waiting orders without reporting a result
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
 * bgap_edge_report_keys() - send the keys of recent requests to the granters,
 * if a report is due
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
 * @kind: BGAP_EDGE_MESSAGE_LIMITS
 */
void bgap_edge_broadcast (struct bgap_edge *edge, uint8_t kind,
                          const struct bgap_buffer *bytes);

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

/**
 * bgap_edge_server_changed() - whether a registration of the read that is
 * being reported differs from the previous one in more than its sequence
 */
bool bgap_edge_server_changed (const struct bgap_edge *edge,
                               const struct bgap_store_record *record);

/* edge_request.c */
void bgap_edge_on_request (void *context, struct bgap_exchange_id id,
                           const struct bgap_frontend_request *request);
void bgap_edge_on_cancel (void *context, struct bgap_exchange_id id);

/**
 * bgap_edge_finish() - send the caller the end of the response or an error,
 * and free the exchange
 */
void bgap_edge_finish (struct bgap_edge_exchange *exchange,
                       const struct bgap_router_action *action);
void bgap_edge_free_exchanges (struct bgap_edge *edge);

/* edge_attempt.c */

/**
 * bgap_edge_dispatch() - send the attempt of a router's action to its server
 */
void bgap_edge_dispatch (struct bgap_edge_exchange *exchange,
                         const struct bgap_router_action *action);
void bgap_edge_cancel_attempt (struct bgap_edge_exchange *exchange);

/* edge_limits.c */

/**
 * bgap_edge_on_limit() - pass the rate limit that a server's response states,
 * or its end, to the router
 */
void bgap_edge_on_limit (struct bgap_edge *edge,
                         const struct bgap_edge_server *server,
                         const struct bgap_wire_response *response);

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

/* edge_report.c */
enum bgap_status bgap_edge_open_reports (struct bgap_edge *edge,
                                         struct bgap_error *err);

#endif
