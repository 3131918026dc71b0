#ifndef BANYANGAP_ROUTING_BALANCER_H
#define BANYANGAP_ROUTING_BALANCER_H

/*
 * Choice of a server for a request that any server of a service can run.
 *
 *   struct bgap_balancer balancer = {
 *     .ops = &bgap_balancer_default, .random = &random };
 *   struct bgap_server *server = bgap_balancer_pick (&balancer, now_ms,
 *                                                    &query);
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "banyangap/base/random.h"
#include "banyangap/routing/server.h"

/**
 * struct bgap_balancer_query - a choice to make
 * @servers: of the service
 * @count: number of @servers
 * @exclude: servers that refused the request or broke
 * @exclude_count: number of @exclude
 * @suspect: the request may crash servers: avoid those that run another one
 */
struct bgap_balancer_query
{
  struct bgap_server *const *servers;
  size_t count;
  struct bgap_server *const *exclude;
  size_t exclude_count;
  bool suspect;
};

/**
 * struct bgap_balancer_ops - a policy
 * @name: for reports
 * @limited: slots, slow start, ejection and the retry budget apply; otherwise
 *   only the connection quota, drain and loss do
 * @pick: choose among @count usable servers, at least one; the index
 */
struct bgap_balancer_ops
{
  const char *name;
  bool limited;
  size_t (*pick) (struct bgap_random *random, int64_t now_ms,
                  struct bgap_server *const *servers, size_t count);
};

/* Least own requests per slot, then reported load; nearest zone first.  */
extern const struct bgap_balancer_ops bgap_balancer_default;

/* Shortest expected answer among servers whose slots other instances use too;
   nearest zone first.  */
extern const struct bgap_balancer_ops bgap_balancer_shared;

/* Baselines for measurement, without limits.  */
extern const struct bgap_balancer_ops bgap_balancer_random;
extern const struct bgap_balancer_ops bgap_balancer_least_connections;

/**
 * struct bgap_balancer - a policy with its source of random choices
 */
struct bgap_balancer
{
  const struct bgap_balancer_ops *ops;
  struct bgap_random *random;
};

/**
 * bgap_balancer_usable() - the policy may send to this server now
 */
bool bgap_balancer_usable (const struct bgap_balancer *balancer,
                           int64_t now_ms, const struct bgap_server *server);

/**
 * bgap_balancer_pick() - choose a server
 *
 * Return: a server with room, or NULL if there is none.
 */
struct bgap_server *
bgap_balancer_pick (const struct bgap_balancer *balancer, int64_t now_ms,
                    const struct bgap_balancer_query *query);

#endif
