#ifndef BANYANGAP_KEYRANGE_GRANTER_MOVES_H
#define BANYANGAP_KEYRANGE_GRANTER_MOVES_H

/*
 * Hot keys, and planned moves: keys that are moving, and the server that gets
 * each part of them when that part has been released.
 *
 *   if (bgap_spread_hot (g, now_ms, &g->proposal, token))
 *     ...   propose
 *   last = bgap_moves_end (g, first, range->last);
 *   if (!bgap_moves_place (g, now_ms, &g->proposal, first, last, token))
 *     ...   place the keys by load
 */

#include "granter_parts.h"

/* granter_spread.c: spreads the keys of overloaded servers.  */

/**
 * bgap_spread_count() - note a request
 */
void bgap_spread_count (struct bgap_granter *g, uint32_t key);

/**
 * bgap_spread_hot() - mark keys of overloaded servers as moving, and plan
 * where they go
 *
 * Return: whether there were any.
 */
bool bgap_spread_hot (struct bgap_granter *g, int64_t now_ms,
                      struct bgap_assignment *next, uint64_t token);

/**
 * bgap_spread_is_due() - whether servers have become overloaded within the
 * last 400 ms, so that their keys are about to be spread
 */
bool bgap_spread_is_due (const struct bgap_granter *g, int64_t now_ms);

/* granter_moves.c: planned moves.  */

/**
 * bgap_moves_add() - plan that keys go to a server when they are free
 */
enum bgap_status bgap_moves_add (struct bgap_granter *g, uint32_t first,
                                 uint32_t last,
                                 const struct bgap_grant_target *recipient);

/**
 * bgap_moves_find() - planned move of a key, or NULL
 */
const struct bgap_planned_move *bgap_moves_find (const struct bgap_granter *g,
                                                 uint32_t key);

/**
 * bgap_moves_end() - last key, at most @last, of those from @first on that
 * have the same planned move as @first, or that have none if @first has none
 */
uint32_t bgap_moves_end (const struct bgap_granter *g, uint32_t first,
                         uint32_t last);

/**
 * bgap_moves_place() - assign keys to the server that was planned for them
 *
 * Return: false if there is none, or it can take no keys.
 */
bool bgap_moves_place (struct bgap_granter *g, int64_t now_ms,
                       struct bgap_assignment *next, uint32_t first,
                       uint32_t last, uint64_t token);

/**
 * bgap_moves_prune() - drop planned moves of keys that are not moving
 */
void bgap_moves_prune (struct bgap_granter *g);

#endif
