#include <string.h>

#include "granter_parts.h"

/* Servers that live have registered again so long after the return of the
   store.  */
#define REGISTERED_AGAIN_MS 2500

/* Pause after a release that was not confirmed.  */
#define RETRY_MS 150

/* Whether leases of a former granter whose records are lost may be in force at
   the process of the server.  */
static bool
_bgap_fence_may_hold (const struct bgap_granter *g, int64_t now_ms,
                      const struct bgap_grant_target *target)
{
  if (target->dead)
    return false;
  return !target->gone
         || now_ms < bgap_restore_unknown_end_ms (g, target->gone_ms);
}

/* Whether a server must not have the range. Its recorded holder gets a grant
   instead, with the same token.  */
static bool
_bgap_fence_excludes (const struct bgap_granter *g, int64_t now_ms,
                      const struct bgap_grant_target *target,
                      const struct bgap_key_range *range)
{
  return bgap_restore_is_unconfirmed (g, now_ms, range)
         && strcmp (range->server, target->desc.id) != 0;
}

/* Finds the next keys for which the server is to be fenced. Returns false if
   there are none.  */
static bool
_bgap_fence_next_keys (const struct bgap_granter *g, int64_t now_ms,
                       const struct bgap_grant_target *target,
                       struct bgap_key_interval *keys)
{
  bool found = false;
  for (uint32_t i = 0; i < g->current.count; i++)
    {
      const struct bgap_key_range *range = &g->current.ranges[i];
      if (range->last < target->fenced_below)
        continue;
      if (!_bgap_fence_excludes (g, now_ms, target, range))
        {
          if (found)
            break;
          continue;
        }
      if (!found)
        keys->first = range->first;
      keys->last = range->last;
      found = true;
    }
  return found;
}

static void
_bgap_fence_send (struct bgap_granter *g, int64_t now_ms,
                  struct bgap_grant_target *target)
{
  struct bgap_key_interval keys;
  if (target->gone || target->fence_call != 0 || now_ms < target->fence_at_ms)
    return;
  if (!_bgap_fence_next_keys (g, now_ms, target, &keys))
    {
      target->fenced_below = BGAP_KEY_COUNT;
      return;
    }
  if (!bgap_grants_take_allowance (g))
    return;
  target->fence_first = keys.first;
  target->fence_last = keys.last;
  target->fence_call = bgap_calls_send_release (g, target->desc.id, keys.first,
                                                keys.last, g->current.token);
}

/* The holders that the record names are the only ones left.  */
static void
_bgap_fence_confirm (struct bgap_granter *g, int64_t now_ms)
{
  for (uint32_t i = 0; i < g->current.count; i++)
    if (bgap_restore_is_unconfirmed (g, now_ms, &g->current.ranges[i]))
      bgap_leases_identify (g, &g->current.ranges[i]);
  g->unconfirmed_until_ms = now_ms;
  (void)bgap_granter_emit (g,
                           &(struct bgap_granter_action){
                               .kind = BGAP_GRANTER_CONFIRMED,
                               .token = g->current.token,
                               .restored_ms = now_ms - g->timeline_since_ms });
}

void
bgap_fence_restart (struct bgap_granter *g)
{
  for (uint32_t i = 0; i < g->target_count; i++)
    {
      g->targets[i].fenced_below = 0;
      g->targets[i].fence_call = 0;
      g->targets[i].fence_at_ms = 0;
    }
}

void
bgap_fence_run (struct bgap_granter *g, int64_t now_ms)
{
  bool all_fenced = true;
  /* An instance that has started since may not know a server that is cut off
     from the store.  */
  if (!g->was_restored || now_ms >= g->unconfirmed_until_ms
      || bgap_restore_records_lost (g))
    return;
  for (uint32_t i = 0; i < g->target_count; i++)
    {
      struct bgap_grant_target *target = &g->targets[i];
      if (!_bgap_fence_may_hold (g, now_ms, target)
          || target->fenced_below == BGAP_KEY_COUNT)
        continue;
      _bgap_fence_send (g, now_ms, target);
      all_fenced = false;
    }
  if (all_fenced && now_ms - g->timeline_since_ms >= REGISTERED_AGAIN_MS)
    _bgap_fence_confirm (g, now_ms);
}

bool
bgap_fence_on_reply (struct bgap_granter *g, int64_t now_ms, uint32_t call,
                     enum bgap_granter_result result)
{
  for (uint32_t i = 0; i < g->target_count; i++)
    {
      struct bgap_grant_target *target = &g->targets[i];
      if (target->fence_call != call)
        continue;
      target->fence_call = 0;
      if (result == BGAP_GRANTER_DONE)
        target->fenced_below = target->fence_last + 1;
      else if (result == BGAP_GRANTER_REPLACED)
        bgap_calls_target_died (g, now_ms, target);
      else
        target->fence_at_ms = now_ms + RETRY_MS;
      return true;
    }
  return false;
}
