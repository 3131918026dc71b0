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
 * struct bgap_balancer_cost - what is known of the request and of the service
 * @cost_ms: expected cost of the request
 * @usual: what is usual for the servers of the service
 */
struct bgap_balancer_cost
{
  double cost_ms;
  struct bgap_outstanding_usual usual;
};

/**
 * struct bgap_balancer_unchecked - servers that may be cold and could be
 * checked now
 * @weight_min: only those with a check_weight of this at least
 * @has_rested: only those that were not checked just before
 */
struct bgap_balancer_unchecked
{
  uint64_t weight_min;
  bool has_rested;
};

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
 * @unchecked: which servers to check, see router_warm_check.c; NULL for a
 *   server that gets a request
 * @queue_percent: part of the queues of the servers that the request may use;
 *   0 for all
 * @cost: for policies with pick_by_cost; NULL if not known
 */
struct bgap_balancer_query
{
  struct bgap_server *const *servers;
  size_t count;
  struct bgap_server *const *exclude;
  size_t exclude_count;
  bool suspect;
  bool without_permits;
  const struct bgap_balancer_unchecked *unchecked;
  uint32_t queue_percent;
  const struct bgap_balancer_cost *cost;
};

/**
 * struct bgap_balancer_ops - a balancing policy
 * @name: name of the policy in reports
 * @limited: slots, slow start, ejection and the retry budget apply; otherwise
 *   only the connection quota, drain and loss do
 * @pick: returns the index of one of @count usable servers; @count is at least
 *   1
 * @pick_by_cost: the same for a request whose cost is known, with the expected
 *   time until its answer; NULL for policies that do not use it
 */
struct bgap_balancer_ops
{
  const char *name;
  bool limited;
  size_t (*pick) (struct bgap_random *random, int64_t now_ms,
                  struct bgap_server *const *servers, size_t count);
  size_t (*pick_by_cost) (struct bgap_random *random, int64_t now_ms,
                          struct bgap_server *const *servers, size_t count,
                          const struct bgap_balancer_cost *cost,
                          double *end_ms);
};

/* Fewest requests of this instance per slot, then least reported load; prefers
   the local zone.  */
extern const struct bgap_balancer_ops bgap_balancer_default;

/* For servers whose slots are shared with other instances: earliest expected
   answer by the cost of the request and the outstanding work of the servers,
   with a random choice among those that are about as early. Prefers the local
   zone unless the request would wait there. Until enough is known it is
   bgap_balancer_shared_count.  */
extern const struct bgap_balancer_ops bgap_balancer_shared;

/* For servers whose slots are shared with other instances, by the number of
   requests: shortest expected response time; prefers the local zone.  */
extern const struct bgap_balancer_ops bgap_balancer_shared_count;

/* Baselines for benchmarks: fewest requests by the last load report, of all
   servers and of two random ones.  */
extern const struct bgap_balancer_ops bgap_balancer_least_requests;
extern const struct bgap_balancer_ops bgap_balancer_two_choices;

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
