#include <string.h>

#include "granter_parts.h"

/* Pause after a check without an answer. It doubles up to the maximum.  */
#define PAUSE_FIRST_MS 200
#define PAUSE_MAX_MS 800

/* A full server reads a new connection late. A check has no effect, so that it
   may wait for longer than a grant.  */
#define CHECK_TIMEOUT_MS 2000

/* Whether a lease may be in force on keys of the server.  */
static bool
_bgap_checks_may_hold (const struct bgap_granter *g, int64_t now_ms,
                       const struct bgap_grant_target *target)
{
  for (uint32_t i = 0; i < g->current.count; i++)
    {
      const struct bgap_key_range *range = &g->current.ranges[i];
      if (strcmp (range->server, target->desc.id) == 0
          && !bgap_leases_free_for (g, now_ms, range->first, range->last, ""))
        return true;
    }
  return false;
}

static bool
_bgap_checks_is_due (const struct bgap_granter *g, int64_t now_ms,
                     const struct bgap_grant_target *target)
{
  if (target->unanswered == 0 || target->dead || target->gone
      || target->check_call != 0 || now_ms < target->check_at_ms
      || !bgap_grants_probes_ended (target, now_ms))
    return false;
  /* After a check it would get grants again, and each one that it does not
     answer lengthens the wait for their expiry.  */
  return !target->grant_lost || !_bgap_checks_may_hold (g, now_ms, target);
}

static void
_bgap_checks_send (struct bgap_granter *g, struct bgap_grant_target *target)
{
  struct bgap_granter_action action = {
    .kind = BGAP_GRANTER_CHECK,
    .call = ++g->next_call,
    .timeout_ms = CHECK_TIMEOUT_MS,
  };
  memcpy (action.server, target->desc.id, sizeof action.server);
  if (bgap_granter_emit (g, &action))
    target->check_call = action.call;
}

void
bgap_checks_send_due (struct bgap_granter *g, int64_t now_ms)
{
  for (uint32_t i = 0; i < g->target_count; i++)
    if (_bgap_checks_is_due (g, now_ms, &g->targets[i]))
      _bgap_checks_send (g, &g->targets[i]);
}

static void
_bgap_checks_on_result (struct bgap_granter *g, int64_t now_ms,
                        struct bgap_grant_target *target,
                        enum bgap_granter_result result)
{
  bool was_grant_lost = target->grant_lost;
  target->check_call = 0;
  if (result != BGAP_GRANTER_RECONNECTED && result != BGAP_GRANTER_REJECTED)
    {
      target->check_pause_ms *= 2;
      if (target->check_pause_ms < PAUSE_FIRST_MS)
        target->check_pause_ms = PAUSE_FIRST_MS;
      if (target->check_pause_ms > PAUSE_MAX_MS)
        target->check_pause_ms = PAUSE_MAX_MS;
      target->check_at_ms = now_ms + target->check_pause_ms;
      return;
    }
  target->check_pause_ms = 0;
  if (result == BGAP_GRANTER_RECONNECTED)
    target->connected_ms = now_ms;
  bgap_grant_target_answered (g, now_ms, target);
  if (was_grant_lost)
    target->backoff_until_ms = now_ms + target->backoff_ms;
}

bool
bgap_checks_on_reply (struct bgap_granter *g, int64_t now_ms, uint32_t call,
                      enum bgap_granter_result result)
{
  for (uint32_t i = 0; i < g->target_count; i++)
    if (g->targets[i].check_call == call)
      {
        _bgap_checks_on_result (g, now_ms, &g->targets[i], result);
        return true;
      }
  return false;
}
