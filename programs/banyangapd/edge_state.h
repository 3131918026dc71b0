#ifndef BGAPD_EDGE_STATE_H
#define BGAPD_EDGE_STATE_H

/*
 * State of an instance in platform mode, shared by the edge_*.c files; see
 * edge_parts.h.
 */

#include <sys/queue.h>
#include <uthash.h>

#include "banyangap/base/event_log.h"
#include "banyangap/gateway/admin.h"
#include "banyangap/gateway/backend.h"
#include "banyangap/gateway/frontend.h"
#include "banyangap/keyrange/granter.h"
#include "banyangap/keyrange/key_outages.h"
#include "banyangap/keyrange/service_times.h"
#include "banyangap/peer/peer.h"
#include "banyangap/registry/zone_view.h"
#include "banyangap/routing/balancer.h"
#include "banyangap/routing/message.h"
#include "banyangap/routing/router.h"
#include "banyangap/routing/stop_schedule.h"
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

/* Connections to a server for health checks.  */
#define BGAP_EDGE_CHECK_CONNECTIONS 1u

/* Number of releases of a server whose proofs are remembered; more than can be
   answered between a late copy and its original.  */
#define BGAP_EDGE_RELEASES_KEPT (2 * BGAP_EDGE_RELEASE_CONNECTIONS)

struct bgap_edge;
struct bgap_edge_order;
struct bgap_edge_server;

/* Maximum number of keys in a report to the granter.  */
#define BGAP_EDGE_SAMPLED_KEYS_MAX 1024

/* Longest warm-up that an answer can state: a day.  */
#define BGAP_EDGE_WARMUP_MAX_MS 86400000.0

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

/* Maximum number of servers in a report of service times.  */
#define BGAP_EDGE_SAMPLED_SERVERS_MAX 256

/**
 * struct bgap_edge_server_sample - requests that servers have completed since
 * the last report
 */
struct bgap_edge_server_sample
{
  uint32_t count;
  struct bgap_service_time_sample servers[BGAP_EDGE_SAMPLED_SERVERS_MAX];
};

/* Time without a message from its relay after which an instance reads the
   store itself. A relay sends one about every second.  */
#define BGAP_EDGE_RELAY_TIMEOUT_MS 1300

/* Kinds of messages between instances.  */
#define BGAP_EDGE_MESSAGE_KEYS 1
#define BGAP_EDGE_MESSAGE_ROUTER 4  /* to one instance */
#define BGAP_EDGE_MESSAGE_LIMITS 5  /* to all instances */
#define BGAP_EDGE_MESSAGE_RELAY 6   /* 3 was without timelines */
#define BGAP_EDGE_MESSAGE_LEAVING 7 /* to all instances */
#define BGAP_EDGE_MESSAGE_SERVICE_TIMES 8

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
 * @server_sample: completed requests, for the active granter
 * @service_times: service times of its servers, for services with keys
 * @key_outages: ranges of its keys that have no usable holder
 */
struct bgap_edge_service
{
  char name[BGAP_REGISTRY_NAME_SIZE];
  struct bgap_service_id id;
  struct bgap_granter *granter;
  struct bgap_edge_key_sample sample;
  struct bgap_edge_server_sample server_sample;
  struct bgap_service_times *service_times;
  struct bgap_key_outages key_outages;
  struct bgap_edge_metrics metrics;
  UT_hash_handle hh;
};

/**
 * struct bgap_edge_release - a release that a server has carried out
 * @first, @token: of the grant that was released
 * @proof: hash of the proof that the server has given
 */
struct bgap_edge_release
{
  uint32_t first;
  uint64_t token;
  uint64_t proof;
};

/**
 * struct bgap_edge_check - a health check of a server
 * @status, @result: from the response's head
 */
struct bgap_edge_check
{
  struct bgap_edge *edge;
  struct bgap_edge_server *server;
  int64_t sent_ms;
  int status;
  enum bgap_warm_check_result result;
};

/**
 * struct bgap_edge_server - a backend server with its connections
 * @known: its registration, NULL after it was removed
 * @former_started_ms: start of its process, if the registration was removed
 * @id: its name, still valid after the registration was removed
 * @router_id: handle in the router
 * @requests, @grants, @releases: connection pools
 * @checks: the same for the running health check, open with @has_checks
 * @check: the last health check; one runs at a time
 * @waiting_orders: orders that wait for a connection, oldest first
 * @sent_orders: orders in flight
 * @releases_used_ms: when an order was last sent over @releases
 * @releases_done: the last releases that it has carried out, with their proofs
 * @returns_order_ids: it has returned the id of an order since its start
 * @calls: attempts and orders in flight, each of which refers to the server
 * @refused_connections: consecutive refused connections
 * @attempt_broken_ms: when the connection of an attempt last broke, 0 if it
 *   has not since the server last answered or restarted
 * @lost_ms: when it was considered dead, 0 if it is not
 * @is_cold: its requests are limited because it is cold, since @cold_since_ms
 * @cold_source: how that was known last
 */
struct bgap_edge_server
{
  struct bgap_known_server *known;
  int64_t former_started_ms;
  char id[BGAP_REGISTRY_NAME_SIZE];
  struct bgap_edge_service *service;
  struct bgap_server_id router_id;
  struct bgap_backend_server_id requests;
  struct bgap_backend_server_id grants;
  struct bgap_backend_server_id releases;
  struct bgap_backend_server_id checks;
  bool has_checks;
  struct bgap_edge_check check;
  struct bgap_edge_order *waiting_orders;
  struct bgap_edge_order *sent_orders;
  int64_t releases_used_ms;
  struct bgap_edge_release releases_done[BGAP_EDGE_RELEASES_KEPT];
  uint32_t releases_done_count;
  bool returns_order_ids;
  uint32_t calls;
  uint32_t refused_connections;
  int64_t attempt_broken_ms;
  int64_t lost_ms;
  bool is_cold;
  int64_t cold_since_ms;
  enum bgap_warmup_source cold_source;
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
 * @large: its route has large responses
 * @was_paused: reading the response was paused before
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
  uint64_t fingerprint;
  uint32_t attempts;

  struct bgap_attempt_id attempt;
  struct bgap_backend_attempt_id backend_attempt;
  int64_t cost_ms;
  int64_t work_ms;
  struct bgap_edge_server *server;
  char last_server[BGAP_REGISTRY_NAME_SIZE];
  int64_t sent_ms;
  int status;
  struct bgap_headers headers;
  struct bgap_buffer body;
  bool streaming;
  bool large;
  bool was_paused;
  UT_hash_handle hh;
};

LIST_HEAD (bgap_edge_append_list, bgap_edge_append);

/**
 * struct bgap_edge - the instance
 * @member: its name in the group, see struct bgap_edge_member
 * @table: configuration in force, NULL if none was read yet
 * @zones: the evacuated zones
 * @ready, @operators: HTTP servers for readiness probes and for operators
 * @guard: the store's calls pass through it
 * @config, @registrations, @internal: followers of the store's topics
 * @servers: hash table by handle in the router
 * @incarnation: random number that tells this run of the process from another
 * @store_failing: a call to the store failed, and none was reported as
 *   successful since
 * @store_outage: the outcome of such a call is unknown, or a join failed
 * @is_core: others depend on it, or may soon: it joins the group often
 * @is_relay: it forwards records to subscribers
 * @is_reader: it reads the store and sends the records to relays, too
 * @was_listed: this instance has been in the list of members
 * @histories: by topic, the records that relayed ones are encoded against
 * @subscribers: by topic, the receiving end of the relay
 * @appends: appends of assignments in flight
 * @order_count: orders sent so far
 * @buffered_size: bytes of the responses that are buffered in exchanges
 * @connections_logged: callers' connections when they were last logged
 * @responses_paused, @large_refused: how often a response was paused because
 *   its caller did not read it, and a large one refused for lack of memory
 * @server_checks: health checks of servers that have ended, by result
 * @relay_bytes_sent: size of the messages sent as relay or granter
 * @changed_servers: ids of servers whose registration changed in the read that
 *   is being reported
 * @config_bytes: size of the record of the configuration in force
 * @config_synced_ms, @internal_synced_ms, @servers_synced_ms: when the read
 *   was sent that the view of each topic is based on
 * @stop: steps of the graceful stop
 * @has_ended: the event loop was told to end
 * @timer_at_ms: when the timer fires, 0 if it is not set
 * @timer_late_max_ms: longest time by which the timer fired later than set
 *   since the graceful stop began
 */
struct bgap_edge
{
  struct bgap_edge_desc desc;
  struct bgap_instance_settings settings;
  char member[BGAP_KEYRANGE_NAME_SIZE];
  struct event_base *base;
  struct bgap_route_table *table;
  struct bgap_server_view *view;
  struct bgap_zone_view *zones;
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
  struct bgap_edge_append_list appends;
  uint64_t order_count;
  size_t buffered_size;
  struct bgap_frontend_connections connections_logged;
  uint64_t responses_paused;
  uint64_t large_refused;
  uint64_t server_checks[BGAP_WARM_CHECK_RESULT_COUNT];
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
  int64_t leaving_searched_ms;
  int64_t service_times_reported_ms;
  int64_t service_times_applied_ms;
  int64_t heartbeat_sent_ms;
  bool is_core;
  bool is_relay;
  bool is_reader;
  bool was_listed;
  struct bgap_relay_history *histories[BGAP_EDGE_RELAY_TOPICS];
  struct bgap_relay_subscriber subscribers[BGAP_EDGE_RELAY_TOPICS];
  uint64_t relay_bytes_sent;
  uint32_t changed_server_count;
  char changed_servers[BGAP_EDGE_CHANGED_MAX][BGAP_REGISTRY_NAME_SIZE];
  size_t config_bytes;
  int64_t config_synced_ms;
  int64_t internal_synced_ms;
  bool internal_loading;
  int64_t servers_synced_ms;
  int64_t housekeeping_ms;
  int64_t limits_logged_ms;
  struct bgap_stop_schedule stop;
  bool has_ended;
  int64_t timer_at_ms;
  int64_t timer_late_max_ms;
};

#endif
