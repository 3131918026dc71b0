#include "banyangap/base/array.h"
#include "granter_parts.h"

bool
bgap_granter_emit (struct bgap_granter *g,
                   const struct bgap_granter_action *action)
{
  if (g->action_first == g->action_count)
    g->action_first = g->action_count = 0;
  if (bgap_array_reserve (&g->actions, &g->action_capacity,
                          g->action_count + 1, sizeof *g->actions)
      != BGAP_OK)
    return false;
  g->actions[g->action_count++] = *action;
  return true;
}

bool
bgap_granter_next_action (struct bgap_granter *g,
                          struct bgap_granter_action *action)
{
  if (g->action_first == g->action_count)
    return false;
  *action = g->actions[g->action_first++];
  return true;
}
