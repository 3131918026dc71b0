#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/base/array.h"
#include "granter_moves.h"

enum bgap_status
bgap_moves_add (struct bgap_granter *g, uint32_t first, uint32_t last,
                const struct bgap_grant_target *recipient)
{
  if (bgap_array_reserve (&g->moves, &g->move_capacity, g->move_count + 1,
                          sizeof *g->moves)
      != BGAP_OK)
    return BGAP_ERR_NO_MEMORY;
  struct bgap_planned_move *move = &g->moves[g->move_count++];
  *move = (struct bgap_planned_move){
    .first = first,
    .last = last,
    .started_ms = recipient->desc.started_ms,
  };
  memcpy (move->server, recipient->desc.id, sizeof move->server);
  return BGAP_OK;
}

const struct bgap_planned_move *
bgap_moves_find (const struct bgap_granter *g, uint32_t key)
{
  for (uint32_t i = 0; i < g->move_count; i++)
    if (key >= g->moves[i].first && key <= g->moves[i].last)
      return &g->moves[i];
  return NULL;
}

uint32_t
bgap_moves_end (const struct bgap_granter *g, uint32_t first, uint32_t last)
{
  const struct bgap_planned_move *move = bgap_moves_find (g, first);
  if (move != NULL)
    return move->last < last ? move->last : last;
  for (uint32_t i = 0; i < g->move_count; i++)
    if (g->moves[i].first > first && g->moves[i].first <= last)
      last = g->moves[i].first - 1;
  return last;
}

bool
bgap_moves_place (struct bgap_granter *g, int64_t now_ms,
                  struct bgap_assignment *next, uint32_t first, uint32_t last,
                  uint64_t token)
{
  const struct bgap_planned_move *move = bgap_moves_find (g, first);
  if (move == NULL || move->last < last)
    return false;
  const struct bgap_grant_target *target
      = bgap_grant_targets_find (g, move->server);
  if (target == NULL || target->desc.started_ms != move->started_ms
      || target->desc.cold || !bgap_grant_target_usable (target, now_ms))
    return false;
  struct bgap_key_range range
      = { .token = token, .started_ms = move->started_ms };
  memcpy (range.server, move->server, sizeof range.server);
  return bgap_assignment_set (next, first, last, &range) == BGAP_OK;
}

void
bgap_moves_prune (struct bgap_granter *g)
{
  uint32_t count = 0;
  /* The record that marks the keys as moving may be on its way.  */
  if (g->proposing || g->unresolved)
    return;
  for (uint32_t i = 0; i < g->move_count; i++)
    {
      const struct bgap_key_range *range
          = bgap_assignment_find (&g->current, g->moves[i].first);
      if (g->active && range != NULL && range->moving)
        g->moves[count++] = g->moves[i];
    }
  g->move_count = count;
}
