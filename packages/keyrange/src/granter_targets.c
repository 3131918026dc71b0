#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/base/array.h"
#include "granter_parts.h"

/* Index of the first target whose id is not below @id.  */
static uint32_t
_bgap_targets_position (const struct bgap_granter *g, const char *id)
{
  uint32_t first = 0;
  uint32_t last = g->target_count;
  while (first < last)
    {
      uint32_t middle = first + (last - first) / 2;
      if (strcmp (g->targets[middle].desc.id, id) < 0)
        first = middle + 1;
      else
        last = middle;
    }
  return first;
}

struct bgap_grant_target *
bgap_grant_targets_find (const struct bgap_granter *g, const char *id)
{
  uint32_t position = _bgap_targets_position (g, id);
  if (position == g->target_count
      || strcmp (g->targets[position].desc.id, id) != 0)
    return NULL;
  return &g->targets[position];
}

bool
bgap_grant_target_is_open (const struct bgap_grant_target *target)
{
  return !target->gone && !target->dead && !target->desc.draining
         && !target->desc.evacuated;
}

bool
bgap_grant_targets_any_open (const struct bgap_granter *g)
{
  for (uint32_t i = 0; i < g->target_count; i++)
    if (bgap_grant_target_is_open (&g->targets[i]))
      return true;
  return false;
}

bool
bgap_grant_target_usable (const struct bgap_grant_target *target,
                          int64_t now_ms)
{
  return bgap_grant_target_is_open (target) && target->unanswered == 0
         && now_ms >= target->backoff_until_ms;
}

bool
bgap_grant_targets_most_usable (const struct bgap_granter *g, int64_t now_ms)
{
  uint32_t registered = 0;
  uint32_t usable = 0;
  for (uint32_t i = 0; i < g->target_count; i++)
    {
      const struct bgap_grant_target *target = &g->targets[i];
      if (!bgap_grant_target_is_open (target))
        continue;
      registered++;
      usable += bgap_grant_target_usable (target, now_ms);
    }
  return 2 * usable >= registered;
}

void
bgap_grant_target_answered (struct bgap_granter *g, int64_t now_ms,
                            struct bgap_grant_target *target)
{
  if (target->unanswered == 0)
    return;
  target->unanswered = 0;
  target->unanswered_since_ms = 0;
  target->grant_lost = false;
  target->backoff_until_ms = now_ms;
  for (uint32_t i = 0; i < g->lease_count; i++)
    if (!g->leases[i].from_former_granter
        && strcmp (g->leases[i].server, target->desc.id) == 0)
      g->leases[i].renew_at_ms = now_ms;
}

static struct bgap_grant_target *
_bgap_targets_add (struct bgap_granter *g, const char *id)
{
  if (bgap_array_reserve (&g->targets, &g->target_capacity,
                          g->target_count + 1, sizeof *g->targets)
      != BGAP_OK)
    return NULL;
  uint32_t position = _bgap_targets_position (g, id);
  struct bgap_grant_target *target = &g->targets[position];
  memmove (target + 1, target, (g->target_count - position) * sizeof *target);
  g->target_count++;
  *target = (struct bgap_grant_target){ .backoff_ms = BGAP_BACKOFF_FIRST_MS };
  snprintf (target->desc.id, sizeof target->desc.id, "%s", id);
  return target;
}

void
bgap_granter_set_server (struct bgap_granter *g, int64_t now_ms,
                         const struct bgap_granter_server *server)
{
  struct bgap_grant_target *target = bgap_grant_targets_find (g, server->id);
  if (target == NULL)
    target = _bgap_targets_add (g, server->id);
  if (target == NULL)
    return;
  if (g->first_server_ms == 0)
    g->first_server_ms = now_ms;
  bool is_new = target->desc.started_ms != server->started_ms;
  /* The leases of the earlier process stay recorded: the new one may have
     accepted the last grants meant for the earlier one.  */
  target->desc = *server;
  target->gone = false;
  /* A process that was considered dead and goes on registering is alive.  */
  if (is_new)
    target->fenced_below = target->fence_call = 0;
  if (is_new || (target->dead && server->sequence > target->dead_sequence + 1))
    {
      target->dead = false;
      target->unanswered = 0;
      target->unanswered_since_ms = 0;
      target->grant_lost = false;
      target->check_call = 0;
    }
}

void
bgap_granter_remove_server (struct bgap_granter *g, int64_t now_ms,
                            const char *id)
{
  struct bgap_grant_target *target = bgap_grant_targets_find (g, id);
  if (target == NULL || target->gone)
    return;
  target->gone = true;
  target->gone_ms = now_ms;
}
