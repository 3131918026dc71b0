#ifndef BANYANGAP_REGISTRY_ROUTE_TABLE_H
#define BANYANGAP_REGISTRY_ROUTE_TABLE_H

/*
 * Routes of one version of the configuration: which service a request goes to.
 *
 *   struct bgap_route_table *table = bgap_route_table_new ();
 *   struct bgap_route *route = bgap_route_table_add (table, &desc);
 *   bgap_route_add_target (route, "vandstand", 90);
 *   bgap_route_table_add_service (table, &service);
 *   bgap_route_table_seal (table);
 *   const struct bgap_route *found
 *     = bgap_route_table_find (table, "bog.example:80", "/logs/7?x=1");
 *   bgap_route_table_free (table);
 *
 * A sealed table is immutable. Among the routes of a host, the one with the
 * longest prefix of the path is chosen.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Size of the name of a service, server or zone, terminating zero included. */
#define BGAP_REGISTRY_NAME_SIZE 64

/**
 * struct bgap_route_target - a service that gets a share of a route's requests
 */
struct bgap_route_target
{
  char service[BGAP_REGISTRY_NAME_SIZE];
  uint32_t weight;
};

/**
 * struct bgap_route_desc - options of a route; the strings are copied
 * @host: host name of the requests, without a port
 * @prefix: path prefix, begins and ends with a slash
 * @name: name in logs
 * @idempotent: its requests may run more than once
 * @large: its responses are large, and callers may read them slowly
 * @attempts_max: maximum number of servers that one request is sent to
 * @timeout_ms: maximum time for which a caller waits
 * @objective_ms: latency objective: time within which an answer has its full
 *   value
 * @priority: 0 is the most urgent
 */
struct bgap_route_desc
{
  const char *host;
  const char *prefix;
  const char *name;
  bool idempotent;
  bool large;
  uint32_t attempts_max;
  int64_t timeout_ms;
  int64_t objective_ms;
  uint32_t priority;
};

/**
 * struct bgap_route - a route; it owns the strings of @desc
 * @weight_total: sum of the weights of @targets
 * @cursor: position of the next request in the weighted round robin
 */
struct bgap_route
{
  struct bgap_route_desc desc;
  size_t prefix_size;
  struct bgap_route_target *targets;
  uint32_t target_count;
  uint32_t weight_total;
  uint32_t cursor;
};

/**
 * struct bgap_routed_service - a service of the configuration
 * @health_path: path of the health check of its servers
 * @connections_max: connections that a server accepts from all instances
 *   together
 * @keyed: its requests are routed by key
 * @key_warmup_ms: how long a key is slow at a new holder that does not have
 *   its state
 * @warmup_ms: how long a server is cold after its start, 0 if not stated
 * @warmup_per_s: requests per second that a cold server tolerates; 0 for no
 *   limit
 */
struct bgap_routed_service
{
  char name[BGAP_REGISTRY_NAME_SIZE];
  char health_path[128];
  uint32_t connections_max;
  bool keyed;
  int64_t key_warmup_ms;
  int64_t warmup_ms;
  double warmup_per_s;
};

/**
 * struct bgap_caller_limits - limits on what callers may send
 * @head_size_max: bytes of the request line and header fields
 * @body_size_max: bytes of a body
 * @head_timeout_ms: maximum time for receiving a head
 * @idle_timeout_ms: maximum time for which a connection stays open without a
 *   request
 */
struct bgap_caller_limits
{
  size_t head_size_max;
  size_t body_size_max;
  uint32_t head_timeout_ms;
  uint32_t idle_timeout_ms;
};

struct bgap_route_host;

/**
 * struct bgap_route_table - the table
 * @version: of the configuration; increases with each change
 */
struct bgap_route_table
{
  int64_t version;
  struct bgap_caller_limits limits;
  struct bgap_route *routes;
  uint32_t route_count;
  uint32_t route_capacity;
  struct bgap_routed_service *services;
  uint32_t service_count;
  struct bgap_route_host *hosts;
};

/**
 * bgap_route_table_new() - create an empty table, or return NULL without
 * memory
 */
struct bgap_route_table *bgap_route_table_new (void);

/**
 * bgap_route_table_free() - free the table; NULL is allowed
 */
void bgap_route_table_free (struct bgap_route_table *table);

/**
 * bgap_route_table_add() - add a route
 *
 * Return: the route, valid until the next call, or NULL without memory.
 */
struct bgap_route *bgap_route_table_add (struct bgap_route_table *table,
                                         const struct bgap_route_desc *desc);

/**
 * bgap_route_add_target() - add a service with a weight to a route
 *
 * Return: false without memory or if the name is too long.
 */
bool bgap_route_add_target (struct bgap_route *route, const char *service,
                            uint32_t weight);

/**
 * bgap_route_table_add_service() - add a service; false without memory
 */
bool bgap_route_table_add_service (struct bgap_route_table *table,
                                   const struct bgap_routed_service *service);

/**
 * bgap_route_table_seal() - build the index for bgap_route_table_find
 *
 * Return: false without memory.
 */
bool bgap_route_table_seal (struct bgap_route_table *table);

/**
 * bgap_route_table_find() - route of a request, or NULL
 * @host: value of the Host field, with or without a port
 * @target: path and query
 */
struct bgap_route *bgap_route_table_find (const struct bgap_route_table *table,
                                          const char *host,
                                          const char *target);

/**
 * bgap_route_table_service() - service with this name, or NULL
 */
const struct bgap_routed_service *
bgap_route_table_service (const struct bgap_route_table *table,
                          const char *name);

/**
 * bgap_route_next_service() - service for the next request of a route
 *
 * The services are chosen by weighted round robin, so that each gets its share
 * by weight of any longer run of requests. The route must have at least one
 * service.
 */
const char *bgap_route_next_service (struct bgap_route *route);

/**
 * bgap_route_look_service() - what bgap_route_next_service() will return,
 * without moving on
 */
const char *bgap_route_look_service (const struct bgap_route *route);

#endif
