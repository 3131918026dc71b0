#include <stdlib.h>
#include <string.h>

#include "granter_moves.h"

/* A proposal that was neither read back nor refused is followed by another one
   after this time.  */
#define PROPOSAL_TIMEOUT_MS 1500

/* How long released keys wait for other releases.  */
#define RELEASE_BATCH_MS 40

/* Pause after a refused proposal, so that the record that it conflicts with
   can be read first.  */
#define PROPOSAL_RETRY_MS 30

/* Grants of moved keys use the rate that renewals need, too. No keys move for
   their load while renewals are overdue by more than this: if the granter is
   lost, its successor has to renew all ranges in what remains of the leases.
   A lease lasts two rounds of renewals at 160 a second; the successor sends
   230 a second, which takes 30 % less time.  */
#define OVERDUE_MAX_MS 250

/* Proposals.  */

/* Remembers the keys whose holder the proposal changes.  */
static enum bgap_status
_bgap_plan_block_changes (struct bgap_granter *g)
{
  for (uint32_t i = 0; i < g->proposal.count; i++)
    {
      const struct bgap_key_range *range = &g->proposal.ranges[i];
      const struct bgap_key_range *now
          = bgap_assignment_find (&g->current, range->first);
      if (now != NULL && now->last >= range->last
          && now->token == range->token)
        continue;
      size_t size = (g->unresolved_count + 1) * sizeof *g->unresolved_keys;
      struct bgap_key_interval *keys = realloc (g->unresolved_keys, size);
      if (keys == NULL)
        return BGAP_ERR_NO_MEMORY;
      g->unresolved_keys = keys;
      keys[g->unresolved_count++]
          = (struct bgap_key_interval){ range->first, range->last };
    }
  return BGAP_OK;
}

void
bgap_plan_resolved (struct bgap_granter *g)
{
  g->proposing = false;
  g->unresolved = false;
  g->unresolved_count = 0;
}

bool
bgap_plan_blocks (const struct bgap_granter *g, uint32_t first, uint32_t last)
{
  for (uint32_t i = 0; i < g->unresolved_count; i++)
    if (g->unresolved_keys[i].first <= last
        && g->unresolved_keys[i].last >= first)
      return true;
  return false;
}

static void
_bgap_plan_propose (struct bgap_granter *g, int64_t now_ms)
{
  bgap_restore_state_unconfirmed (g, now_ms);
  memcpy (g->proposal.granter, g->instance, sizeof g->proposal.granter);
  g->proposal.incarnation = g->desc.incarnation;
  g->proposal.timeline = g->timeline;
  g->proposal.lease_ms = bgap_leases_longest_ms (g, now_ms, g->proposal.count);
  if (!g->active && g->current.lease_ms > g->proposal.lease_ms)
    g->proposal.lease_ms = g->current.lease_ms;
  bgap_buffer_shutdown (&g->proposal_text);
  if (_bgap_plan_block_changes (g) != BGAP_OK
      || bgap_assignment_encode (&g->proposal, &g->proposal_text) != BGAP_OK)
    return;
  g->proposal_call = ++g->next_call;
  g->proposing = bgap_granter_emit (
      g, &(struct bgap_granter_action){ .kind = BGAP_GRANTER_APPEND,
                                        .call = g->proposal_call,
                                        .bytes = g->proposal_text.data,
                                        .size = g->proposal_text.size });
  g->proposed_ms = now_ms;
}

void
bgap_granter_on_append (struct bgap_granter *g, int64_t now_ms, uint32_t call,
                        enum bgap_granter_append_result result)
{
  /* The result of an earlier proposal says nothing about this one.  */
  if (!g->proposing || call != g->proposal_call)
    return;
  switch (result)
    {
    case BGAP_GRANTER_APPENDED:
      return;
    case BGAP_GRANTER_NOT_APPENDED:
      g->proposing = false;
      /* An earlier proposal may still be appended.  */
      if (!g->unresolved)
        g->unresolved_count = 0;
      g->propose_after_ms = now_ms + PROPOSAL_RETRY_MS;
      return;
    case BGAP_GRANTER_APPEND_UNKNOWN:
      g->unresolved = true;
      return;
    }
}

/* Changes.  */

static void
_bgap_plan_take_over (struct bgap_granter *g, int64_t now_ms)
{
  enum bgap_status status
      = g->known ? bgap_assignment_copy (&g->proposal, &g->current) : BGAP_OK;
  if (!g->known)
    {
      bgap_assignment_shutdown (&g->proposal);
      status = bgap_assignment_setup (&g->proposal);
    }
  if (status != BGAP_OK)
    return;
  g->proposal.released = false;
  g->proposal.former_leases_ms = 0;
  g->proposal.token = bgap_restore_next_token (g);
  for (uint32_t i = 0; i < g->proposal.count; i++)
    g->proposal.ranges[i].token = g->proposal.token;
  if (!g->known
      && !bgap_balance_place (g, now_ms, &g->proposal, 0, BGAP_KEY_COUNT - 1,
                              g->proposal.token))
    return;
  bgap_restore_mark_unconfirmed (g);
  _bgap_plan_propose (g, now_ms);
}

static void
_bgap_plan_set (struct bgap_granter *g, const struct bgap_key_range *range,
                const struct bgap_key_range *value, bool *changed)
{
  if (bgap_assignment_set (&g->proposal, range->first, range->last, value)
      == BGAP_OK)
    *changed = true;
}

/* Whether released keys wait a moment for other keys that are being released,
   so that one record reassigns them all.  */
static bool
_bgap_plan_waits_for_releases (const struct bgap_granter *g, int64_t now_ms,
                               const struct bgap_key_range *range)
{
  bool is_releasing = false;
  bool is_recent = false;
  for (uint32_t i = 0; i < g->release_count; i++)
    {
      const struct bgap_release_call *release = &g->releases[i];
      is_releasing = is_releasing || release->call != 0;
      if (release->confirmed && release->first == range->first
          && release->token == range->token
          && now_ms - release->confirmed_ms < RELEASE_BATCH_MS)
        is_recent = true;
    }
  return is_releasing && is_recent;
}

/* Changes or releases a range of the current assignment if necessary.  */
static void
_bgap_plan_range (struct bgap_granter *g, int64_t now_ms,
                  const struct bgap_key_range *range, bool *changed)
{
  const struct bgap_grant_target *target
      = bgap_grant_targets_find (g, range->server);
  bool has_holder = range->server[0] != '\0';
  bool is_free
      = !has_holder
        || bgap_leases_free_for (g, now_ms, range->first, range->last, "");
  bool is_same_process
      = target != NULL && target->desc.started_ms == range->started_ms;
  bool is_leaving = target == NULL || target->gone || target->desc.draining
                    || (target->desc.evacuated && g->any_open);
  if (bgap_restore_is_unconfirmed (g, now_ms, range))
    return;
  struct bgap_key_range value = *range;
  value.token = g->proposal.token;
  if (has_holder && !is_leaving && !is_same_process)
    {
      /* A new process of the same server gets its keys back.  */
      value.started_ms = target->desc.started_ms;
      value.moving = false;
      _bgap_plan_set (g, range, &value, changed);
      return;
    }
  bool is_lost
      = target != NULL
        && (target->dead || (target->unanswered > 0 && g->most_usable));
  if (range->moving && is_free
      && _bgap_plan_waits_for_releases (g, now_ms, range))
    return;
  if (!has_holder || (is_free && (range->moving || is_lost || is_leaving)))
    {
      if (bgap_moves_place (g, now_ms, &g->proposal, range->first, range->last,
                            g->proposal.token)
          || bgap_balance_place (g, now_ms, &g->proposal, range->first,
                                 range->last, g->proposal.token))
        *changed = true;
      return;
    }
  if (range->moving)
    {
      bgap_calls_release (g, now_ms, range);
      return;
    }
  if (is_leaving)
    {
      value.moving = true;
      _bgap_plan_set (g, range, &value, changed);
    }
}

/* Changes or releases the parts of a range that go to different servers; each
   is released by its own call, so that a request that runs long on one part
   does not delay the others.  */
static void
_bgap_plan_parts (struct bgap_granter *g, int64_t now_ms,
                  const struct bgap_key_range *range, bool *changed)
{
  struct bgap_key_range part = *range;
  uint32_t next;
  for (part.first = range->first; part.first <= range->last; part.first = next)
    {
      part.last = range->moving ? bgap_moves_end (g, part.first, range->last)
                                : range->last;
      next = part.last + 1;
      _bgap_plan_range (g, now_ms, &part, changed);
    }
}

/* Whether the load of each server is known well enough to balance it. Moving
   keys with a planned move count for their recipient. Other moving keys are
   waited for, for at most one interval of the balancing.  */
static bool
_bgap_plan_is_stable (const struct bgap_granter *g, int64_t now_ms)
{
  bool is_slow = now_ms - g->current_read_ms >= g->desc.rebalance_interval_ms;
  if (bgap_spread_is_due (g, now_ms))
    return false;
  for (uint32_t i = 0; i < g->current.count; i++)
    {
      const struct bgap_key_range *range = &g->current.ranges[i];
      if (range->server[0] == '\0'
          || bgap_restore_is_unconfirmed (g, now_ms, range)
          || (range->moving && !is_slow
              && bgap_moves_find (g, range->first) == NULL))
        return false;
    }
  return true;
}

static void
_bgap_plan_count_moves (struct bgap_granter *g)
{
  for (uint32_t i = 0; i < g->proposal.count; i++)
    {
      const struct bgap_key_range *range = &g->proposal.ranges[i];
      const struct bgap_key_range *now
          = bgap_assignment_find (&g->current, range->first);
      if (now == NULL || strcmp (now->server, range->server) == 0)
        continue;
      g->counts.moves++;
      g->counts.keys_moved += range->last - range->first + 1;
    }
}

/* Whether keys may move for their load. A granter that has taken over renews
   all ranges first.  */
static bool
_bgap_plan_moves_load (const struct bgap_granter *g, int64_t now_ms)
{
  return g->most_usable && g->overdue_ms <= OVERDUE_MAX_MS
         && now_ms - g->activated_ms >= bgap_leases_renew_interval_ms (g);
}

static void
_bgap_plan_changes (struct bgap_granter *g, int64_t now_ms)
{
  bool changed = false;
  if (bgap_assignment_copy (&g->proposal, &g->current) != BGAP_OK)
    return;
  g->proposal.token = bgap_restore_next_token (g);
  for (uint32_t i = 0; i < g->current.count; i++)
    _bgap_plan_parts (g, now_ms, &g->current.ranges[i], &changed);
  bool moves_load = _bgap_plan_moves_load (g, now_ms);
  if (moves_load
      && bgap_spread_hot (g, now_ms, &g->proposal, g->proposal.token))
    changed = true;
  if (!changed && now_ms - g->rebalanced_ms >= g->desc.rebalance_interval_ms
      && moves_load && _bgap_plan_is_stable (g, now_ms))
    {
      g->rebalanced_ms = now_ms;
      changed = bgap_merge_neighbours (&g->proposal, g->proposal.token);
      changed
          = bgap_merge_fragments (g, now_ms, &g->proposal, g->proposal.token)
            || changed;
      changed
          = bgap_balance_move_load (g, now_ms, &g->proposal, g->proposal.token)
            || changed;
    }
  /* The next record settles a proposal without a response, whatever it
     contains, and replaces one of an earlier timeline.  */
  if (!changed && !g->unresolved && !g->overwritten
      && !bgap_restore_is_restated (g, now_ms))
    return;
  _bgap_plan_count_moves (g);
  _bgap_plan_propose (g, now_ms);
}

static void
_bgap_plan_step_down (struct bgap_granter *g, int64_t now_ms)
{
  if (bgap_assignment_copy (&g->proposal, &g->current) != BGAP_OK)
    return;
  g->proposal.released = true;
  g->proposal.former_leases_ms = g->former_leases_until_ms > now_ms
                                     ? g->former_leases_until_ms - now_ms
                                     : 0;
  _bgap_plan_propose (g, now_ms);
}

void
bgap_plan_run (struct bgap_granter *g, int64_t now_ms)
{
  bgap_moves_prune (g);
  if (g->proposing && now_ms - g->proposed_ms < PROPOSAL_TIMEOUT_MS)
    return;
  if (g->proposing)
    {
      g->proposing = false;
      g->unresolved = true;
    }
  if (now_ms < g->propose_after_ms)
    return;
  g->most_usable = bgap_grant_targets_most_usable (g, now_ms);
  g->any_open = bgap_grant_targets_any_open (g);
  bool records_lost = bgap_restore_records_lost (g);
  if (g->active && records_lost)
    {
      if (bgap_restore_is_confirmed (g, now_ms))
        _bgap_plan_take_over (g, now_ms);
      return;
    }
  if (g->active && g->stepping_down)
    {
      _bgap_plan_step_down (g, now_ms);
      return;
    }
  if (g->active && !g->superseded)
    {
      _bgap_plan_changes (g, now_ms);
      return;
    }
  bool settled = g->known
                 || (g->first_server_ms != 0
                     && now_ms - g->first_server_ms >= g->desc.settle_ms);
  /* The granter of the record may be an earlier process of this instance. No
     other instance can know that it is gone.  */
  bool was_own = g->known && !g->active
                 && g->current.incarnation != g->desc.incarnation
                 && strcmp (g->current.granter, g->instance) == 0;
  bool is_vacant = !g->known || g->current.released || g->granter_lost
                   || g->superseded || was_own;
  bool is_next = g->is_successor || was_own;
  if (records_lost)
    {
      bool steps_in = bgap_restore_steps_in (g, now_ms);
      is_next = is_next || steps_in;
      is_vacant = steps_in || bgap_restore_is_vacant (g, now_ms, is_vacant);
    }
  if (g->loaded && is_next && settled && is_vacant && !g->stepping_down)
    _bgap_plan_take_over (g, now_ms);
}
