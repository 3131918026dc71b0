#include <string.h>

#include "granter_parts.h"

/* Time after a restore of the store within which the granter in office writes
   its assignment again, even if some servers have not confirmed their leases,
   and for which it waits at least for those that do not answer.  */
#define CONFIRM_MAX_MS 4000
#define CONFIRM_MIN_MS 1500

/* Time after a restore after which no granter in office remains if it is not
   in the list of instances, and if it is.  */
#define VACANT_MISSING_MS 1500
#define VACANT_LISTED_MS 7000

/* Time after a restore after which instances that are not the successor take
   over, one after the other, if the granter is not in the list, and if it is:
   it may be a new process of the same name. A granter in office has written
   its assignment by then.  */
#define STEP_IN_MISSING_MS 2000
#define STEP_IN_LISTED_MS 4500
#define STEP_IN_SPREAD_MS 1000

/* Time between two records that state how long ranges remain unconfirmed. A
   process that starts counts from the last one, so that a restart prolongs the
   wait by at most this time and its own duration.  */
#define RESTATE_MS 1000

/* Each timeline of the store has as many tokens.  */
#define TOKENS_PER_TIMELINE_BITS 32

/* Number of the timeline of a store that was never restored.  */
#define FIRST_TIMELINE 1u

bool
bgap_restore_is_past (const struct bgap_granter *g,
                      const struct bgap_assignment *assignment)
{
  return assignment->timeline != 0 && assignment->timeline < g->timeline;
}

bool
bgap_restore_records_lost (const struct bgap_granter *g)
{
  return g->known ? bgap_restore_is_past (g, &g->current)
                  : g->timeline > FIRST_TIMELINE;
}

uint64_t
bgap_restore_next_token (const struct bgap_granter *g)
{
  uint64_t restores
      = g->timeline > FIRST_TIMELINE ? g->timeline - FIRST_TIMELINE : 0;
  /* Records of the timeline that this instance does not know have lower
     offsets.  */
  uint64_t token = (restores << TOKENS_PER_TIMELINE_BITS) + g->next_offset + 1;
  return g->current.token >= token ? g->current.token + 1 : token;
}

void
bgap_granter_on_timeline (struct bgap_granter *g, int64_t now_ms,
                          uint64_t timeline)
{
  if (timeline <= g->timeline)
    return;
  g->was_restored = g->was_restored || g->timeline != 0;
  g->timeline = timeline;
  g->timeline_since_ms = now_ms;
  g->loaded = false;
  /* A proposal for the earlier timeline has no effect in this one.  */
  bgap_plan_resolved (g);
  /* Moving ranges are granted to their holders again; the response to an
     earlier release would say that they have given them up.  */
  g->release_count = 0;
  for (uint32_t i = 0; g->active && i < g->lease_count; i++)
    g->leases[i].renew_at_ms = now_ms;
}

/* Records.  */

/* Whether a record of an earlier timeline is newer than the known one.  */
static bool
_bgap_restore_is_newer (const struct bgap_granter *g,
                        const struct bgap_assignment *assignment)
{
  const struct bgap_assignment *known = &g->current;
  if (!g->known || assignment->timeline != known->timeline)
    return !g->known || assignment->timeline > known->timeline;
  if (assignment->token != known->token)
    return assignment->token > known->token;
  return assignment->released && !known->released;
}

bool
bgap_restore_on_past_record (struct bgap_granter *g, int64_t now_ms,
                             const struct bgap_assignment *assignment)
{
  bool is_own = bgap_granter_is_own (g, assignment);
  /* What this granter has not read in the earlier timeline, it has not acted
     on: the record may have been appended after the restore.  */
  if ((g->active && is_own) || !_bgap_restore_is_newer (g, assignment))
    {
      g->overwritten = !bgap_restore_records_lost (g);
      return false;
    }
  if (!is_own)
    g->active = false;
  if (bgap_assignment_copy (&g->current, assignment) != BGAP_OK)
    g->active = false;
  g->known = true;
  g->holders_changed = false;
  g->current_read_ms = now_ms;
  g->counts.token = g->current.token;
  return true;
}

/* It renews leases until its view of the earlier timeline is too old. How many
   ranges it had, and thus how long its leases were, is not known.  */
int64_t
bgap_restore_unknown_end_ms (const struct bgap_granter *g, int64_t from_ms)
{
  return bgap_leases_end_ms (from_ms + g->desc.view_age_max_ms
                                 + g->desc.call_timeout_ms,
                             g->desc.lease_max_ms);
}

/* Waits for the leases that unknown servers may have on unconfirmed ranges. */
static void
_bgap_restore_hold_unconfirmed (struct bgap_granter *g)
{
  bgap_fence_restart (g);
  for (uint32_t i = 0; i < g->current.count; i++)
    {
      const struct bgap_key_range *range = &g->current.ranges[i];
      if (range->unconfirmed
          && bgap_leases_add_unknown (g, range->first, range->last,
                                      g->unconfirmed_until_ms)
                 != BGAP_OK)
        g->active = false;
    }
}

/* Until when unknown servers can have leases. These were granted by a granter
   of an earlier timeline, so that their end lies before each bound that was
   found in the present one, by whichever instance and from whichever record:
   the earliest holds. Each is measured by the monotonic clock of one process
   from the moment at which it read the statement; nothing depends on the time
   of day. That servers have been fenced is no such bound: a recorded holder
   may still have an unknown lease. A granter that has fenced them states the
   shorter time, but in a record without unconfirmed ranges.  */
static int64_t
_bgap_restore_bound_ms (const struct bgap_granter *g, int64_t now_ms)
{
  int64_t end_ms = now_ms + g->current.unconfirmed_ms;
  uint64_t timeline = g->current.timeline;
  if (timeline == 0)
    return end_ms;
  if (g->unknown_end_timeline == timeline && g->unknown_end_ms < end_ms)
    end_ms = g->unknown_end_ms;
  if (g->timeline == timeline)
    {
      int64_t restored_end_ms
          = bgap_restore_unknown_end_ms (g, g->timeline_since_ms);
      if (restored_end_ms < end_ms)
        end_ms = restored_end_ms;
    }
  return end_ms;
}

void
bgap_restore_on_record (struct bgap_granter *g, int64_t now_ms,
                        bool was_active, bool records_lost)
{
  if (g->active && was_active && !records_lost)
    return;
  if (g->active && records_lost)
    g->unknown_end_ms = bgap_restore_unknown_end_ms (g, g->timeline_since_ms);
  else
    g->unknown_end_ms = _bgap_restore_bound_ms (g, now_ms);
  g->unknown_end_timeline = g->current.timeline;
  g->unconfirmed_until_ms = g->unknown_end_ms;
  if (!g->active)
    return;
  if (records_lost && !was_active)
    g->former_leases_until_ms = g->unconfirmed_until_ms;
  _bgap_restore_hold_unconfirmed (g);
}

/* The granter in office.  */

/* Whether the holder of a range has confirmed since the restore that it knows
   no higher token.  */
static bool
_bgap_restore_has_confirmed (struct bgap_granter *g,
                             const struct bgap_key_range *range)
{
  const struct bgap_key_lease *lease = bgap_leases_find (g, range);
  return lease != NULL && lease->confirmed_ms >= g->timeline_since_ms;
}

bool
bgap_restore_is_confirmed (struct bgap_granter *g, int64_t now_ms)
{
  int64_t since_ms = now_ms - g->timeline_since_ms;
  if (!g->loaded)
    return false;
  for (uint32_t i = 0; since_ms < CONFIRM_MAX_MS && i < g->current.count; i++)
    {
      const struct bgap_key_range *range = &g->current.ranges[i];
      const struct bgap_grant_target *target
          = bgap_grant_targets_find (g, range->server);
      bool may_answer = target != NULL && !target->gone && !target->dead
                        && target->desc.started_ms == range->started_ms;
      if (!may_answer || _bgap_restore_has_confirmed (g, range))
        continue;
      if (target->unanswered == 0 || since_ms < CONFIRM_MIN_MS)
        return false;
    }
  return true;
}

bool
bgap_restore_is_vacant (const struct bgap_granter *g, int64_t now_ms,
                        bool is_missing)
{
  bool is_early = is_missing && g->was_restored;
  return now_ms - g->timeline_since_ms
         >= (is_early ? VACANT_MISSING_MS : VACANT_LISTED_MS);
}

bool
bgap_restore_steps_in (const struct bgap_granter *g, int64_t now_ms)
{
  int64_t after_ms = g->granter_lost ? STEP_IN_MISSING_MS : STEP_IN_LISTED_MS;
  after_ms += (int64_t)(g->desc.incarnation % STEP_IN_SPREAD_MS);
  return g->was_restored && now_ms - g->timeline_since_ms >= after_ms;
}

/* Unconfirmed ranges.  */

void
bgap_restore_mark_unconfirmed (struct bgap_granter *g)
{
  if (!bgap_restore_records_lost (g))
    return;
  for (uint32_t i = 0; i < g->proposal.count; i++)
    {
      const struct bgap_key_range *known
          = bgap_assignment_find (&g->current, g->proposal.ranges[i].first);
      /* An instance that was not in office knows of no lease.  */
      g->proposal.ranges[i].unconfirmed
          = !g->active || known == NULL
            || !_bgap_restore_has_confirmed (g, known);
    }
}

void
bgap_restore_state_unconfirmed (struct bgap_granter *g, int64_t now_ms)
{
  int64_t until_ms
      = bgap_restore_records_lost (g)
            ? bgap_restore_unknown_end_ms (g, g->timeline_since_ms)
            : g->unconfirmed_until_ms;
  g->proposal.unconfirmed_ms = until_ms > now_ms ? until_ms - now_ms : 0;
  for (uint32_t i = 0; until_ms <= now_ms && i < g->proposal.count; i++)
    g->proposal.ranges[i].unconfirmed = false;
}

bool
bgap_restore_is_restated (const struct bgap_granter *g, int64_t now_ms)
{
  int64_t left_ms
      = g->unknown_end_ms > now_ms ? g->unknown_end_ms - now_ms : 0;
  bool is_fenced = g->unconfirmed_until_ms != g->unknown_end_ms;
  if (is_fenced || g->current.unconfirmed_ms <= left_ms
      || now_ms - g->proposed_ms < RESTATE_MS)
    return false;
  for (uint32_t i = 0; i < g->current.count; i++)
    if (g->current.ranges[i].unconfirmed)
      return true;
  return false;
}

bool
bgap_restore_is_unconfirmed (const struct bgap_granter *g, int64_t now_ms,
                             const struct bgap_key_range *range)
{
  return range->unconfirmed && now_ms < g->unconfirmed_until_ms;
}

int64_t
bgap_granter_unconfirmed_ms (const struct bgap_granter *g, int64_t now_ms)
{
  for (uint32_t i = 0; i < g->current.count; i++)
    if (bgap_restore_is_unconfirmed (g, now_ms, &g->current.ranges[i]))
      return g->unconfirmed_until_ms - now_ms;
  return 0;
}
