#ifndef BGAPD_EDGE_PRIVATE_H
#define BGAPD_EDGE_PRIVATE_H

/*
 * Parts shared by the edge_*.c files:
 *
 *   edge.c           composition, signals, stop
 *   edge_config.c    configuration -> services of the router
 *   edge_servers.c   registrations -> servers of the router, their connections
 *   edge_keys.c      assignment of keys: records, grants, candidates
 *   edge_orders.c    grants and releases -> servers
 *   edge_peers.c     counts of requests for keys -> granter
 *   edge_relay.c     what a few instances read from the store -> others
 *   edge_request.c   callers' requests -> router
 *   edge_attempt.c   attempts: router -> servers, and their responses
 *   edge_report.c    metrics and dumps
 */

#include <uthash.h>

#include "banyangap/base/event_log.h"
#include "banyangap/gateway/admin.h"
#include "banyangap/gateway/backend.h"
#include "banyangap/gateway/frontend.h"
#include "banyangap/keyrange/granter.h"
#include "banyangap/peer/peer.h"
#include "banyangap/routing/balancer.h"
#include "banyangap/routing/router.h"
#include "banyangap/store/follower.h"
#include "banyangap/store/membership.h"
#include "banyangap/store/relay_codec.h"
#include "edge.h"
#include "edge_metrics.h"

/* Connections to a server for orders: one for grants, which must not wait
   behind a release, and some for releases, which take as long as the running
   requests. They are kept open, since opening one takes a slot of the server.
   */
#define BGAP_EDGE_GRANT_CONNECTIONS 1u
#define BGAP_EDGE_RELEASE_CONNECTIONS 4u

struct bgap_edge;
struct bgap_edge_order;

/* Keys of requests that are reported at a time at most.  */
#define BGAP_EDGE_KEYS_MAX 1024

/**
 * struct bgap_edge_key_sample - keys of requests since the last report
 * @seen: requests; beyond the table a key replaces an earlier one
 */
struct bgap_edge_key_sample
{
  uint32_t seen;
  uint32_t count;
  uint16_t keys[BGAP_EDGE_KEYS_MAX];
};

/* An instance that hears nothing from its reader for so long reads
   the store itself. The reader is heard about every second.  */
#define BGAP_EDGE_FED_TIMEOUT_MS 1300

/* Kinds of messages between instances.  */
#define BGAP_EDGE_MESSAGE_KEYS 1
#define BGAP_EDGE_MESSAGE_RELAY 3

/* Topics that are relayed.  */
#define BGAP_EDGE_RELAY_TOPICS 3

/**
 * struct bgap_edge_member - parts of a member's name,
 * "<instance>@<address>#<zone>"
 */
struct bgap_edge_member
{
  char address[BGAP_INSTANCE_ADDRESS_SIZE];
  char zone[BGAP_REGISTRY_NAME_SIZE];
};

/* Registrations of one read whose change is noted, for the relay.  */
#define BGAP_EDGE_CHANGED_MAX 256

/**
 * struct bgap_edge_service - a service in the router
 * @granter: engine that divides its keys, NULL for other services
 * @sample: keys of recent requests, for the granter
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
 * @known: its registration, NULL once it is gone
 * @id: its name, also when the registration is gone
 * @router_id: handle in the router
 * @requests, @grants, @releases: pools of connections
 * @waiting: orders that wait for a connection, oldest first
 * @released_ms: last order on the connections for releases
 * @calls: attempts and orders that are running
 * @closed: connections refused in a row
 * @broken_ms: when an attempt broke, 0 for never
 * @lost_ms: when it was taken for dead, 0 if it is not
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
  struct bgap_edge_order *waiting;
  int64_t released_ms;
  uint32_t calls;
  uint32_t closed;
  int64_t broken_ms;
  int64_t lost_ms;
  UT_hash_handle hh;
};

/**
 * struct bgap_edge_exchange - a caller's request
 * @id: handle in the frontend, key of the table
 * @attempt: attempt in the router, @call: the one of the backend client
 * @server: of the running attempt, NULL if there is none
 * @status, @headers, @body: answer as far as it was received
 * @streaming: the answer is passed on while it comes
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
  struct bgap_backend_attempt_id call;
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
 * @member: name for other instances, see struct bgap_edge_member
 * @is_reader: it reads the store for others
 * @was_listed: others have known this instance
 * @histories: by topic, what relayed records differ from
 * @changed: ids of servers whose registration changed in the read that is
 *   being reported
 * @table: configuration in force, NULL if there is none yet
 * @servers: by handle in the router
 * @frontend_stopped: no caller's connection is open any more
 * @timer_at_ms: when the timer fires, 0 if it is not set
 * @stopping_ms: when the order to stop came, 0 for never
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
  struct bgap_follower *config;
  struct bgap_follower *registrations;
  struct bgap_follower *own;
  struct bgap_membership *membership;
  struct bgap_peer *peer;
  struct bgap_edge_service *services;
  struct bgap_edge_server *servers;
  struct bgap_edge_exchange *exchanges;
  uint64_t life;
  struct event *timer;
  struct event *signals[3];
  bool running_actions;
  bool store_trouble;
  bool store_outage;
  int64_t store_trouble_ms;
  int64_t granter_missing_ms;
  int64_t reported_ms;
  int64_t beat_ms;
  bool is_reader;
  bool was_listed;
  struct bgap_relay_history *histories[BGAP_EDGE_RELAY_TOPICS];
  uint32_t changed_count;
  char changed[BGAP_EDGE_CHANGED_MAX][BGAP_REGISTRY_NAME_SIZE];
  int64_t config_ms;
  int64_t own_ms;
  int64_t servers_ms;
  int64_t housekeeping_ms;
  int64_t stopping_ms;
  int64_t timer_at_ms;
  bool frontend_stopped;
};

/* edge.c */

/**
 * bgap_edge_run_actions() - carry out what router and granters want, and set
 * the timer
 */
void bgap_edge_run_actions (struct bgap_edge *edge);

/**
 * bgap_edge_contact() - a call to the store succeeded
 */
void bgap_edge_contact (struct bgap_edge *edge);

/**
 * bgap_edge_trouble() - a call to the store failed
 */
void bgap_edge_trouble (struct bgap_edge *edge, const char *topic,
                        enum bgap_store_outcome outcome, const char *message);

/**
 * bgap_edge_is_ready() - whether callers may be sent here
 */
bool bgap_edge_is_ready (const struct bgap_edge *edge);

/* edge_config.c */
enum bgap_status bgap_edge_follow_config (struct bgap_edge *edge,
                                          struct bgap_error *err);
struct bgap_edge_service *bgap_edge_service (const struct bgap_edge *edge,
                                             const char *name);

/**
 * bgap_edge_apply_limits() - share limits again, as the number of instances or
 * the settings have changed
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
 * bgap_edge_adopt_servers() - add registered servers whose service is known
 * now, and change limits
 */
void bgap_edge_adopt_servers (struct bgap_edge *edge);

/**
 * bgap_edge_revive_servers() - servers that were wrongly taken for dead
 */
void bgap_edge_revive_servers (struct bgap_edge *edge, int64_t now_ms);

/**
 * bgap_edge_call_ended() - an attempt or order to the server has ended; the
 * server may be freed
 */
void bgap_edge_call_ended (struct bgap_edge *edge,
                           struct bgap_edge_server *server);

/**
 * bgap_edge_server_failed() - an attempt broke, or found no listener
 */
void bgap_edge_server_failed (struct bgap_edge *edge,
                              struct bgap_edge_server *server, bool closed);
void bgap_edge_free_servers (struct bgap_edge *edge);

/* edge_keys.c */
enum bgap_status bgap_edge_follow_own (struct bgap_edge *edge,
                                       struct bgap_error *err);
void bgap_edge_run_granter (struct bgap_edge *edge,
                            struct bgap_edge_service *service);
void bgap_edge_update_candidates (struct bgap_edge *edge);

/**
 * bgap_edge_set_granter_server() - tell the granter what a server says
 */
void bgap_edge_set_granter_server (struct bgap_edge *edge,
                                   struct bgap_edge_service *service,
                                   const struct bgap_server_entry *entry);

/**
 * bgap_edge_holder() - server that holds a key, { 0 } if there is none now
 */
struct bgap_server_id
bgap_edge_holder (const struct bgap_edge *edge,
                  const struct bgap_edge_service *service, uint32_t key,
                  uint64_t *fence);

/**
 * bgap_edge_share_news() - tell the other instances what the router found out
 */
void bgap_edge_share_news (struct bgap_edge *edge,
                           const struct bgap_router_action *action);

/* edge_orders.c */

/**
 * bgap_edge_order() - send a grant or a release; its end is reported to the
 * service's granter
 */
void bgap_edge_order (struct bgap_edge *edge,
                      struct bgap_edge_service *service,
                      const struct bgap_granter_action *action);

/**
 * bgap_edge_drop_orders() - forget the orders that wait, without a report
 */
void bgap_edge_drop_orders (struct bgap_edge_server *server);

/* edge_peers.c */
enum bgap_status bgap_edge_open_peers (struct bgap_edge *edge,
                                       struct bgap_error *err);

/**
 * bgap_edge_count_key() - a request for a key
 */
void bgap_edge_count_key (struct bgap_edge *edge,
                          struct bgap_edge_service *service, uint32_t key);

/**
 * bgap_edge_report_keys() - tell the granters about recent requests, if it is
 * time
 */
void bgap_edge_report_keys (struct bgap_edge *edge, int64_t now_ms);

/* edge_relay.c */

/**
 * bgap_edge_open_relay() - prepare for relayed records
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_edge_open_relay (struct bgap_edge *edge);

/**
 * bgap_edge_close_relay() - free what it keeps
 */
void bgap_edge_close_relay (struct bgap_edge *edge);

/**
 * bgap_edge_member_parse() - split a member's name; false if it is no such
 * name
 */
bool bgap_edge_member_parse (const char *member, struct bgap_edge_member *out);

/**
 * bgap_edge_update_relay() - choose the readers again
 */
void bgap_edge_update_relay (struct bgap_edge *edge);

/* Pass on what a read of each topic has brought.  */
void bgap_edge_relay_config (struct bgap_edge *edge, uint64_t from,
                             const struct bgap_store_record *records,
                             size_t count);
void bgap_edge_relay_servers (struct bgap_edge *edge, uint64_t from,
                              const struct bgap_store_record *records,
                              size_t count);
void bgap_edge_relay_own (struct bgap_edge *edge, uint64_t from,
                          const struct bgap_store_record *records,
                          size_t count);

/**
 * bgap_edge_relay_beat() - tell the others that no record has come, if it is
 * time
 */
void bgap_edge_relay_beat (struct bgap_edge *edge, int64_t now_ms);

/**
 * bgap_edge_on_relay() - a message of its reader; false if malformed
 */
bool bgap_edge_on_relay (struct bgap_edge *edge, const void *bytes,
                         size_t size);

/**
 * bgap_edge_server_changed() - a registration of the read that is being
 * reported has changed more than its sequence
 */
bool bgap_edge_server_changed (const struct bgap_edge *edge,
                               const struct bgap_store_record *record);

/* edge_request.c */
void bgap_edge_on_request (void *context, struct bgap_exchange_id id,
                           const struct bgap_frontend_request *request);
void bgap_edge_on_cancel (void *context, struct bgap_exchange_id id);
void bgap_edge_finish (struct bgap_edge_exchange *exchange,
                       const struct bgap_router_action *action);
void bgap_edge_free_exchanges (struct bgap_edge *edge);

/* edge_attempt.c */
void bgap_edge_dispatch (struct bgap_edge_exchange *exchange,
                         const struct bgap_router_action *action);
void bgap_edge_cancel_attempt (struct bgap_edge_exchange *exchange);

/* edge_report.c */
enum bgap_status bgap_edge_open_reports (struct bgap_edge *edge,
                                         struct bgap_error *err);

#endif
