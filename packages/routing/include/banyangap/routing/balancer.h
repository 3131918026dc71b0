#ifndef BANYANGAP_ROUTING_BALANCER_H
#define BANYANGAP_ROUTING_BALANCER_H

/*
 * Load balancer: selects a server for a request that any server of a service
 * can run.
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
 * struct bgap_balancer_query - input of a selection
 * @servers: all servers of the service
 * @count: number of @servers
 * @exclude: servers that refused the request or failed during it
 * @exclude_count: number of @exclude
 * @suspect: the request may crash servers; avoid servers that already run a
 *   suspect request
 * @without_permits: servers with a rate limit count as having capacity if this
 *   instance could ask for a permit now
 */
struct bgap_balancer_query
{
  struct bgap_server *const *servers;
  size_t count;
  struct bgap_server *const *exclude;
  size_t exclude_count;
  bool suspect;
  bool without_permits;
};

/**
 * struct bgap_balancer_ops - a balancing policy
 * @name: name of the policy in reports
 * @limited: slots, slow start, ejection and the retry budget apply; otherwise
 *   only the connection quota, drain and loss do
 * @pick: returns the index of one of @count usable servers; @count is at least
 *   1
 */
struct bgap_balancer_ops
{
  const char *name;
  bool limited;
  size_t (*pick) (struct bgap_random *random, int64_t now_ms,
                  struct bgap_server *const *servers, size_t count);
};

/* Fewest requests of this instance per slot, then least reported load; prefers
   the local zone.  */
extern const struct bgap_balancer_ops bgap_balancer_default;

/* Shortest expected response time, for servers whose slots are shared with
   other instances; prefers the local zone.  */
extern const struct bgap_balancer_ops bgap_balancer_shared;

/* Baselines for benchmarks, without limits.  */
extern const struct bgap_balancer_ops bgap_balancer_random;
extern const struct bgap_balancer_ops bgap_balancer_least_connections;

/**
 * struct bgap_balancer - a policy and its random number generator
 */
struct bgap_balancer
{
  const struct bgap_balancer_ops *ops;
  struct bgap_random *random;
};

/**
 * bgap_balancer_usable() - whether the policy may send to this server now
 */
bool bgap_balancer_usable (const struct bgap_balancer *balancer,
                           int64_t now_ms, const struct bgap_server *server);

/**
 * bgap_balancer_pick() - select a server
 *
 * If only excluded servers or servers with suspect requests have capacity, one
 * of them is selected.
 *
 * Return: a server with free capacity, or NULL if there is none.
 */
struct bgap_server *
bgap_balancer_pick (const struct bgap_balancer *balancer, int64_t now_ms,
                    const struct bgap_balancer_query *query);

#endif
