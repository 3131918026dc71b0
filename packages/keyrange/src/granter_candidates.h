#ifndef BANYANGAP_KEYRANGE_GRANTER_CANDIDATES_H
#define BANYANGAP_KEYRANGE_GRANTER_CANDIDATES_H

/*
 * Load of keys, and the servers that can take some (candidates):
 *
 *   struct bgap_candidate *candidates
 *     = bgap_candidates_list (g, now_ms, next, &count);
 *   struct bgap_candidate *least_loaded
 *     = bgap_candidates_least_loaded (candidates, count);
 *   free (candidates);
 */

#include "granter_parts.h"

/**
 * struct bgap_candidate - a server that can take keys
 * @capacity: requests it can run per second, relative to the other servers
 * @latency_ms, @slots: from the server's description
 * @load: load of its keys
 * @share: part of the total load that corresponds to its capacity
 * @exhausted: none of its keys can move in this round, from the start if it
 *   is cold
 */
struct bgap_candidate
{
  const char *server;
  int64_t started_ms;
  double capacity;
  double latency_ms;
  double slots;
  uint64_t load;
  uint64_t share;
  bool exhausted;
};

/**
 * bgap_candidates_key_load() - load of a key; the unit is the same for all
 * keys
 */
uint64_t bgap_candidates_key_load (const struct bgap_granter *g, uint32_t key);

/**
 * bgap_candidates_range_load() - load of the keys from @first to @last
 */
uint64_t bgap_candidates_range_load (const struct bgap_granter *g,
                                     uint32_t first, uint32_t last);

/**
 * bgap_candidates_mean_latency() - mean latency of the servers whose latency
 * is known, in milliseconds, or 0
 */
double bgap_candidates_mean_latency (const struct bgap_granter *g);

/**
 * bgap_candidates_capacity_per_s() - requests per second that the slots of a
 * server can run
 * @mean_ms: mean latency, for a server whose own is unknown; 0 gives 0
 */
double
bgap_candidates_capacity_per_s (const struct bgap_granter_server *server,
                                double mean_ms);

/**
 * bgap_candidates_list() - usable servers with their loads, sorted by server
 * id; without cold ones if at least half are warm
 * @out: number of candidates
 *
 * Return: an array to be freed by the caller, or NULL without memory.
 */
struct bgap_candidate *
bgap_candidates_list (struct bgap_granter *g, int64_t now_ms,
                      const struct bgap_assignment *next, uint32_t *out);

/**
 * bgap_candidates_keeps_keys() - whether a server is cold, so that none of its
 * keys move for their load
 */
bool bgap_candidates_keeps_keys (const struct bgap_granter *g,
                                 const char *server);

/**
 * bgap_candidates_find() - candidate with this server id, or NULL
 */
struct bgap_candidate *bgap_candidates_find (struct bgap_candidate *candidates,
                                             uint32_t count,
                                             const char *server);

/**
 * bgap_candidates_least_loaded() - candidate with the most spare capacity,
 * that is the furthest below its share
 */
struct bgap_candidate *
bgap_candidates_least_loaded (struct bgap_candidate *candidates,
                              uint32_t count);

/**
 * bgap_candidates_neighbour() - server of a range next to [first, last] if it
 * has spare capacity for the whole load, so that fewer ranges have to be
 * renewed; or NULL
 */
struct bgap_candidate *
bgap_candidates_neighbour (const struct bgap_assignment *next,
                           struct bgap_candidate *candidates, uint32_t count,
                           uint32_t first, uint32_t last, uint64_t load);

#endif
