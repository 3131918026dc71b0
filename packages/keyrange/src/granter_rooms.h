#ifndef BANYANGAP_KEYRANGE_GRANTER_ROOMS_H
#define BANYANGAP_KEYRANGE_GRANTER_ROOMS_H

/*
 * Load of keys, and the servers that can get some:
 *
 *   struct bgap_room *rooms = bgap_rooms_list (g, now_ms, next, &count);
 *   struct bgap_room *idlest = bgap_rooms_idlest (rooms, count);
 *   free (rooms);
 */

#include "granter_state.h"

/**
 * struct bgap_room - a server that can get keys
 * @latency_ms, @slots: as the server's description says
 * @capacity: requests it can run a second, in proportion to the others
 * @load: of its keys
 * @share: of the whole load, by its capacity
 * @stuck: none of its keys can move in this round
 */
struct bgap_room
{
  const char *server;
  int64_t born_ms;
  double capacity;
  double latency_ms;
  double slots;
  uint64_t load;
  uint64_t share;
  bool stuck;
};

/**
 * bgap_rooms_key_load() - load of a key, in shares that are comparable
 */
uint64_t bgap_rooms_key_load (const struct bgap_granter *g, uint32_t key);

/**
 * bgap_rooms_load() - load of the keys from @first to @last
 */
uint64_t bgap_rooms_load (const struct bgap_granter *g, uint32_t first,
                          uint32_t last);

/**
 * bgap_rooms_list() - the usable servers with their loads, by server
 * @out: how many there are
 *
 * Return: to be freed by the caller, or NULL without memory.
 */
struct bgap_room *bgap_rooms_list (struct bgap_granter *g, int64_t now_ms,
                                   const struct bgap_assignment *next,
                                   uint32_t *out);

/**
 * bgap_rooms_find() - the room of a server, or NULL
 */
struct bgap_room *bgap_rooms_find (struct bgap_room *rooms, uint32_t count,
                                   const char *server);

/**
 * bgap_rooms_idlest() - the server that is furthest below its share
 */
struct bgap_room *bgap_rooms_idlest (struct bgap_room *rooms, uint32_t count);

/**
 * bgap_rooms_neighbour() - the server of a range next to [first, last] if the
 * whole load fits there, so that fewer ranges have to be renewed; or NULL
 */
struct bgap_room *bgap_rooms_neighbour (const struct bgap_assignment *next,
                                        struct bgap_room *rooms,
                                        uint32_t count, uint32_t first,
                                        uint32_t last, uint64_t load);

#endif
