#ifndef BANYANGAP_REGISTRY_ROUTE_TABLE_H
#define BANYANGAP_REGISTRY_ROUTE_TABLE_H

/*
 * One version of the desired configuration: which service a request goes to.
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
 * A sealed table does not change. Among the routes of a host, the longest
 * prefix that begins the path wins.
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
 * @host: name without a port
 * @prefix: begins and ends with a slash
 * @name: for logs
 * @idempotent: its requests may run more than once
 * @attempts_max: servers that one request may be sent to
 * @timeout_ms: longest time that a caller is kept waiting
 * @objective_ms: time within which an answer has its full value
 * @priority: 0 is the most urgent
 */
struct bgap_route_desc
{
  const char *host;
  const char *prefix;
  const char *name;
  bool idempotent;
  uint32_t attempts_max;
  int64_t timeout_ms;
  int64_t objective_ms;
  uint32_t priority;
};

/**
 * struct bgap_route - a route; the strings of @desc belong to it
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
 * @health_path: path that answers whether a server is healthy
 * @connections_max: connections that a server accepts from all instances
 * @keyed: divided by key
 * @key_warmup_ms: a key that arrives without its state is slow for so long
 */
struct bgap_routed_service
{
  char name[BGAP_REGISTRY_NAME_SIZE];
  char health_path[128];
  uint32_t connections_max;
  bool keyed;
  int64_t key_warmup_ms;
};

/**
 * struct bgap_caller_limits - bounds of what callers may send
 * @head_size_max: bytes of request line and header fields
 * @body_size_max: bytes of a body
 * @head_timeout_ms: for receiving a head
 * @idle_timeout_ms: of an open connection without a request
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
 * @version: of the configuration; rises
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
 * bgap_route_table_new() - an empty table, or NULL without memory
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
 * bgap_route_add_target() - add a service with a weight
 *
 * Return: whether there was memory and the name is not too long.
 */
bool bgap_route_add_target (struct bgap_route *route, const char *service,
                            uint32_t weight);

/**
 * bgap_route_table_add_service() - add a service; false without memory
 */
bool bgap_route_table_add_service (struct bgap_route_table *table,
                                   const struct bgap_routed_service *service);

/**
 * bgap_route_table_seal() - build the index; false without memory
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
 * bgap_route_table_service() - service of a name, or NULL
 */
const struct bgap_routed_service *
bgap_route_table_service (const struct bgap_route_table *table,
                          const char *name);

/**
 * bgap_route_next_service() - service for the next request of a route
 *
 * The services take turns so that each gets its weight's share of any longer
 * run of requests. A route has at least one service.
 */
const char *bgap_route_next_service (struct bgap_route *route);

#endif
