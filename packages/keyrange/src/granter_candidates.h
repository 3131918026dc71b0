#ifndef BANYANGAP_KEYRANGE_GRANTER_CANDIDATES_H
#define BANYANGAP_KEYRANGE_GRANTER_CANDIDATES_H

/*
 * Load of keys, and the servers that can get some:
 *
 *   struct bgap_candidate *rooms = bgap_candidates_list (g, now_ms, next,
 * &count); struct bgap_candidate *idlest = bgap_candidates_least_loaded
 * (rooms, count); free (rooms);
 */

#include "granter_state.h"

/**
 * struct bgap_candidate - a server that can get keys
 * @latency_ms, @slots: as the server's description says
 * @capacity: requests it can run a second, in proportion to the others
 * @load: of its keys
 * @share: of the whole load, by its capacity
 * @exhausted: none of its keys can move in this round
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
 * bgap_candidates_key_load() - load of a key, in shares that are comparable
 */
uint64_t bgap_candidates_key_load (const struct bgap_granter *g, uint32_t key);

/**
 * bgap_candidates_range_load() - load of the keys from @first to @last
 */
uint64_t bgap_candidates_range_load (const struct bgap_granter *g,
                                     uint32_t first, uint32_t last);

/**
 * bgap_candidates_list() - the usable servers with their loads, by server
 * @out: how many there are
 *
 * Return: to be freed by the caller, or NULL without memory.
 */
struct bgap_candidate *
bgap_candidates_list (struct bgap_granter *g, int64_t now_ms,
                      const struct bgap_assignment *next, uint32_t *out);

/**
 * bgap_candidates_find() - the room of a server, or NULL
 */
struct bgap_candidate *bgap_candidates_find (struct bgap_candidate *candidates,
                                             uint32_t count,
                                             const char *server);

/**
 * bgap_candidates_least_loaded() - the server that is furthest below its share
 */
struct bgap_candidate *
bgap_candidates_least_loaded (struct bgap_candidate *candidates,
                              uint32_t count);

/**
 * bgap_candidates_neighbour() - the server of a range next to [first, last] if
 * the whole load fits there, so that fewer ranges have to be renewed; or NULL
 */
struct bgap_candidate *
bgap_candidates_neighbour (const struct bgap_assignment *next,
                           struct bgap_candidate *candidates, uint32_t count,
                           uint32_t first, uint32_t last, uint64_t load);

#endif
