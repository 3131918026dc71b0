#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/base/array.h"
#include "granter_parts.h"

/* A release is answered only after the running requests have ended, which
   takes longer than a grant. Once the lease has expired, the answer is not
   needed.  */
#define RELEASE_TIMEOUT_MS 3000
#define RELEASE_RETRY_MS 150
#define HANDOVER_RETENTION_MS 5000

/* A refused connection does not prove that the process has ended: a network
   partition can refuse connections to a server that runs and has leases. It
   only proves that the grant has no effect.  */
#define REFUSED_RETRY_MS 150

/* Maximum backoff of a server that did not answer.  */
#define BACKOFF_MAX_MS 16000

void
bgap_granter_suspect (struct bgap_granter *g, int64_t now_ms, const char *id)
{
  if (!g->active)
    return;
  for (uint32_t i = 0; i < g->lease_count; i++)
    if (!g->leases[i].from_former_granter && g->leases[i].renew_at_ms > now_ms
        && strcmp (g->leases[i].server, id) == 0)
      {
        g->leases[i].renew_at_ms = now_ms;
        return;
      }
}

/* Releases.  */

static struct bgap_release_call *
_bgap_calls_find_release (struct bgap_granter *g,
                          const struct bgap_key_range *range)
{
  for (uint32_t i = 0; i < g->release_count; i++)
    if (g->releases[i].first == range->first
        && g->releases[i].last == range->last
        && g->releases[i].token == range->token)
      return &g->releases[i];
  if (bgap_array_reserve (&g->releases, &g->release_capacity,
                          g->release_count + 1, sizeof *g->releases)
      != BGAP_OK)
    return NULL;
  struct bgap_release_call *release = &g->releases[g->release_count++];
  *release = (struct bgap_release_call){
    .first = range->first,
    .last = range->last,
    .token = range->token,
  };
  return release;
}

uint32_t
bgap_calls_send_release (struct bgap_granter *g, const char *server,
                         uint32_t first, uint32_t last, uint64_t token)
{
  struct bgap_granter_action action = {
    .kind = BGAP_GRANTER_RELEASE,
    .call = ++g->next_call,
    .first = first,
    .last = last,
    .token = token,
    .timeout_ms = RELEASE_TIMEOUT_MS,
  };
  snprintf (action.server, sizeof action.server, "%s", server);
  if (!bgap_granter_emit (g, &action))
    return 0;
  g->counts.releases++;
  return action.call;
}

void
bgap_calls_release (struct bgap_granter *g, int64_t now_ms,
                    const struct bgap_key_range *range)
{
  struct bgap_release_call *release = _bgap_calls_find_release (g, range);
  if (release == NULL || release->confirmed || release->call != 0
      || now_ms < release->retry_at_ms)
    return;
  release->call = bgap_calls_send_release (g, range->server, range->first,
                                           range->last, range->token);
  release->retry_at_ms = now_ms + RELEASE_RETRY_MS;
}

/* The proof of a release is kept until the next holder has had time to receive
   it.  */
void
bgap_calls_drop_releases (struct bgap_granter *g, int64_t now_ms)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < g->release_count; i++)
    {
      const struct bgap_release_call *release = &g->releases[i];
      const struct bgap_key_range *range
          = bgap_assignment_find (&g->current, release->first);
      bool is_moving
          = range != NULL && range->moving && range->token == release->token;
      bool is_recent
          = release->confirmed
            && now_ms - release->confirmed_ms < HANDOVER_RETENTION_MS;
      if (is_moving || is_recent || release->call != 0)
        g->releases[count++] = *release;
    }
  g->release_count = count;
}

/* Replies.  */

void
bgap_calls_target_died (struct bgap_granter *g, int64_t now_ms,
                        struct bgap_grant_target *target)
{
  target->dead = true;
  target->dead_sequence = target->desc.sequence;
  bgap_leases_end_process (g, now_ms, target->desc.id,
                           target->desc.started_ms);
}

/* The next call follows at once, since a live server answers it, and has to do
   so before it counts as lost.  */
static void
_bgap_calls_target_unanswered (struct bgap_grant_target *target,
                               int64_t now_ms, bool refused)
{
  target->probe_at_ms = refused ? now_ms + REFUSED_RETRY_MS : now_ms;
  if (target->unanswered == 0)
    {
      target->unanswered_since_ms = now_ms;
      target->backoff_until_ms = now_ms + target->backoff_ms;
      target->backoff_ms *= 2;
      if (target->backoff_ms > BACKOFF_MAX_MS)
        target->backoff_ms = BACKOFF_MAX_MS;
    }
  target->unanswered++;
}

/* The grant is repeated as soon as the store has been read.  */
static void
_bgap_calls_target_connected (struct bgap_granter *g, int64_t now_ms,
                              struct bgap_grant_target *target,
                              struct bgap_key_lease *lease)
{
  target->connected_ms = now_ms;
  target->probe_at_ms = now_ms;
  lease->renew_at_ms = now_ms;
  bgap_grants_refund (g);
}

/* End of the lease of a grant that has arrived by now at the latest. The
   connection is not reset at the timeout of the call if this process is held
   up, so that the grant can arrive until its result is known.  */
static int64_t
_bgap_calls_arrived_end_ms (const struct bgap_key_lease *lease, int64_t now_ms)
{
  return bgap_leases_end_ms (now_ms, lease->call_lease_ms);
}

static void
_bgap_calls_granted (struct bgap_granter *g, int64_t now_ms,
                     struct bgap_key_lease *lease)
{
  int64_t end_ms = _bgap_calls_arrived_end_ms (lease, now_ms);
  if (end_ms > lease->end_ms)
    lease->end_ms = end_ms;
  lease->held_until_ms = now_ms + lease->call_lease_ms;
  lease->confirmed_ms = lease->call_sent_ms;
  lease->unanswered = 0;
  bgap_leases_confirm_token (g, now_ms, lease->first, lease->last,
                             lease->server, lease->started_ms, lease->token,
                             false);
}

static bool
_bgap_calls_is_current (const struct bgap_granter *g,
                        const struct bgap_key_lease *lease)
{
  const struct bgap_key_range *range
      = bgap_assignment_find (&g->current, lease->first);
  return range != NULL && bgap_grants_is_granted (g, range)
         && range->first == lease->first && range->last == lease->last
         && range->token == lease->token
         && strcmp (range->server, lease->server) == 0;
}

static void
_bgap_calls_lost (int64_t now_ms, struct bgap_key_lease *lease)
{
  int64_t end_ms = _bgap_calls_arrived_end_ms (lease, now_ms);
  if (end_ms < lease->call_end_ms)
    end_ms = lease->call_end_ms;
  if (end_ms > lease->unanswered_end_ms)
    lease->unanswered_end_ms = end_ms;
  lease->unanswered++;
}

static void
_bgap_calls_on_grant (struct bgap_granter *g, int64_t now_ms,
                      struct bgap_key_lease *lease,
                      enum bgap_granter_result result)
{
  struct bgap_grant_target *target
      = bgap_grant_targets_find (g, lease->server);
  lease->call = 0;
  switch (result)
    {
    case BGAP_GRANTER_DONE:
      _bgap_calls_granted (g, now_ms, lease);
      break;
    case BGAP_GRANTER_FENCED:
      /* The refusal proves nothing if the range has been changed since the
         call.  */
      if (!_bgap_calls_is_current (g, lease))
        break;
      g->superseded = true;
      g->superseded_ms = now_ms;
      /* The record of the granter that has taken over may be lost.  */
      if (bgap_restore_records_lost (g))
        g->active = false;
      break;
    case BGAP_GRANTER_LOST:
      _bgap_calls_lost (now_ms, lease);
      if (target != NULL)
        target->grant_lost = true;
      break;
    default:
      break;
    }
  if (target == NULL)
    return;
  if (result == BGAP_GRANTER_DONE || result == BGAP_GRANTER_FENCED
      || result == BGAP_GRANTER_REJECTED)
    {
      target->backoff_ms = BGAP_BACKOFF_FIRST_MS;
      bgap_grant_target_answered (g, now_ms, target);
    }
  else if (result == BGAP_GRANTER_RECONNECTED)
    _bgap_calls_target_connected (g, now_ms, target, lease);
  else if (result == BGAP_GRANTER_REPLACED)
    {
      if (target->desc.started_ms == lease->started_ms)
        bgap_calls_target_died (g, now_ms, target);
    }
  else
    _bgap_calls_target_unanswered (target, now_ms,
                                   result == BGAP_GRANTER_CLOSED);
}

static void
_bgap_calls_on_release (struct bgap_granter *g, int64_t now_ms,
                        struct bgap_release_call *release,
                        enum bgap_granter_result result, const char *handover)
{
  release->call = 0;
  const struct bgap_key_range *range
      = bgap_assignment_find (&g->current, release->first);
  if (range == NULL || !range->moving || range->token != release->token)
    return;
  struct bgap_grant_target *target
      = bgap_grant_targets_find (g, range->server);
  if (result == BGAP_GRANTER_DONE)
    {
      release->confirmed = true;
      release->confirmed_ms = now_ms;
      snprintf (release->handover, sizeof release->handover, "%s", handover);
      bgap_leases_confirm_token (g, now_ms, release->first, release->last,
                                 range->server, range->started_ms,
                                 release->token, true);
    }
  else if (target != NULL && target->desc.started_ms == range->started_ms
           && result == BGAP_GRANTER_REPLACED)
    bgap_calls_target_died (g, now_ms, target);
}

void
bgap_granter_on_reply (struct bgap_granter *g, int64_t now_ms, uint32_t call,
                       enum bgap_granter_result result, const char *handover)
{
  if (call != 0 && bgap_checks_on_reply (g, now_ms, call, result))
    return;
  g->counts.results[result]++;
  if (call != 0 && bgap_fence_on_reply (g, now_ms, call, result))
    return;
  for (uint32_t i = 0; call != 0 && i < g->lease_count; i++)
    if (g->leases[i].call == call)
      {
        _bgap_calls_on_grant (g, now_ms, &g->leases[i], result);
        return;
      }
  for (uint32_t i = 0; i < g->release_count; i++)
    if (g->releases[i].call == call)
      {
        _bgap_calls_on_release (g, now_ms, &g->releases[i], result, handover);
        return;
      }
}
