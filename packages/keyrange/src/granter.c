#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "granter_moves.h"

#define DEFAULT_LEASE_MS 2000
#define DEFAULT_LEASE_MAX_MS 10000
#define DEFAULT_RENEW_INTERVAL_MS 500
#define DEFAULT_CALL_TIMEOUT_MS 400
#define DEFAULT_VIEW_AGE_MAX_MS 9500
#define DEFAULT_SETTLE_MS 1500
#define DEFAULT_REBALANCE_INTERVAL_MS 600

/* Interval at which the request counts are halved.  */
#define COUNTS_AGE_MS 1000

/* After a pause of this process of at least this length another instance may
   be the granter, so it reads the store before it grants again. The others
   consider it lost after a second at the earliest.  */
#define PAUSE_MS 1000

/* After a server has refused a grant, this time is allowed for reading the
   record of the granter that replaced this one. If there is none, the server
   has seen tokens of another history of the store, and this granter takes over
   again with a higher one.  */
#define SUPERSEDED_RETRY_MS 1000

/* Every event asks for a pass over the ranges. A pass is made at most once in
   as many milliseconds as the number of ranges divided by this value, so that
   a large service does not keep the machine busy: a pass over 165 ranges takes
   0.5 ms.  */
#define PASS_RANGES_PER_MS 4

/* Ranges per millisecond between two passes while hot keys move. Their
   requests wait for four passes, which release, place and grant them.  */
#define HOT_PASS_RANGES_PER_MS 16

const char *
bgap_granter_result_name (enum bgap_granter_result result)
{
  static const char *const names[BGAP_GRANTER_RESULT_COUNT] = {
    [BGAP_GRANTER_DONE] = "done",
    [BGAP_GRANTER_FENCED] = "fenced",
    [BGAP_GRANTER_REJECTED] = "rejected",
    [BGAP_GRANTER_REPLACED] = "replaced",
    [BGAP_GRANTER_CLOSED] = "closed",
    [BGAP_GRANTER_NOT_SENT] = "not sent",
    [BGAP_GRANTER_RECONNECTED] = "reconnected",
    [BGAP_GRANTER_LOST] = "lost",
  };
  return result < BGAP_GRANTER_RESULT_COUNT ? names[result] : "invalid";
}

const char *
bgap_lapse_cause_name (enum bgap_lapse_cause cause)
{
  static const char *const names[BGAP_LAPSE_COUNT] = {
    [BGAP_LAPSE_RATE] = "rate",
    [BGAP_LAPSE_UNANSWERED] = "unanswered",
    [BGAP_LAPSE_TAKEOVER] = "takeover",
  };
  return cause < BGAP_LAPSE_COUNT ? names[cause] : "invalid";
}

static void
_bgap_granter_defaults (struct bgap_granter_desc *desc)
{
  if (desc->lease_ms == 0)
    desc->lease_ms = DEFAULT_LEASE_MS;
  if (desc->lease_max_ms == 0)
    desc->lease_max_ms = DEFAULT_LEASE_MAX_MS;
  if (desc->renew_interval_ms == 0)
    desc->renew_interval_ms = DEFAULT_RENEW_INTERVAL_MS;
  if (desc->call_timeout_ms == 0)
    desc->call_timeout_ms = DEFAULT_CALL_TIMEOUT_MS;
  if (desc->view_age_max_ms == 0)
    desc->view_age_max_ms = DEFAULT_VIEW_AGE_MAX_MS;
  if (desc->settle_ms == 0)
    desc->settle_ms = DEFAULT_SETTLE_MS;
  if (desc->rebalance_interval_ms == 0)
    desc->rebalance_interval_ms = DEFAULT_REBALANCE_INTERVAL_MS;
}

enum bgap_status
bgap_granter_setup (struct bgap_granter **granter,
                    const struct bgap_granter_desc *desc,
                    struct bgap_error *err)
{
  if (desc->instance == NULL || desc->incarnation == 0
      || strlen (desc->instance) >= BGAP_KEYRANGE_NAME_SIZE)
    return bgap_error_set (err, BGAP_ERR_INVALID,
                           "a granter needs a name of less than %d bytes and "
                           "a non-zero incarnation",
                           BGAP_KEYRANGE_NAME_SIZE);
  struct bgap_granter *g = calloc (1, sizeof *g);
  if (g != NULL)
    {
      g->key_requests = calloc (BGAP_KEY_COUNT, sizeof *g->key_requests);
      g->recent = calloc (BGAP_RECENT_REQUESTS, sizeof *g->recent);
    }
  if (g == NULL || g->key_requests == NULL || g->recent == NULL
      || bgap_assignment_setup (&g->current) != BGAP_OK)
    {
      bgap_granter_shutdown (g);
      return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
    }
  g->desc = *desc;
  _bgap_granter_defaults (&g->desc);
  snprintf (g->instance, sizeof g->instance, "%s", desc->instance);
  *granter = g;
  return BGAP_OK;
}

void
bgap_granter_shutdown (struct bgap_granter *g)
{
  if (g == NULL)
    return;
  bgap_assignment_shutdown (&g->current);
  bgap_assignment_shutdown (&g->proposal);
  bgap_buffer_shutdown (&g->proposal_text);
  free (g->unresolved_keys);
  free (g->leases);
  free (g->targets);
  free (g->releases);
  free (g->actions);
  free (g->due);
  free (g->key_requests);
  free (g->recent);
  free (g->moves);
  free (g);
}

void
bgap_granter_set_next_offset (struct bgap_granter *g, uint64_t offset)
{
  g->next_offset = offset;
}

void
bgap_granter_on_loaded (struct bgap_granter *g, int64_t now_ms)
{
  (void)now_ms;
  g->loaded = true;
}

bool
bgap_granter_is_own (const struct bgap_granter *g,
                     const struct bgap_assignment *assignment)
{
  return assignment->incarnation == g->desc.incarnation
         && strcmp (assignment->granter, g->instance) == 0;
}

/**
 * struct bgap_former_granter - what the record before a takeover says
 * @known: there is such a record
 * @released: the former granter has stepped down
 * @leases_ms: if @released, how long leases of earlier granters can be valid
 * @lease_ms: longest lease that it can have granted
 */
struct bgap_former_granter
{
  bool known;
  bool released;
  int64_t leases_ms;
  int64_t lease_ms;
};

static struct bgap_former_granter
_bgap_granter_former (const struct bgap_granter *g)
{
  struct bgap_former_granter former = {
    .known = g->known,
    .released = g->known && g->current.released,
    .lease_ms = g->current.lease_ms,
  };
  if (former.released)
    former.leases_ms = g->current.former_leases_ms;
  if (former.lease_ms == 0)
    former.lease_ms = g->desc.lease_max_ms;
  return former;
}

/* Until when leases of former granters can be valid. Which grants the last one
   sent is unknown. If it has recorded that it stepped down, only its last
   calls count, and those of earlier granters whose leases it was still waiting
   for.  */
static int64_t
_bgap_granter_former_end_ms (const struct bgap_granter *g, int64_t now_ms,
                             const struct bgap_former_granter *former)
{
  int64_t view_ms = former->released ? 0 : g->desc.view_age_max_ms;
  int64_t end_ms = bgap_leases_end_ms (
      now_ms + view_ms + g->desc.call_timeout_ms, former->lease_ms);
  int64_t earlier_ms = bgap_leases_end_ms (now_ms, former->leases_ms);
  if (former->leases_ms > 0 && earlier_ms > end_ms)
    end_ms = earlier_ms;
  return end_ms;
}

/* Prepares this instance for granting.  */
static void
_bgap_granter_activated (struct bgap_granter *g, int64_t now_ms,
                         const struct bgap_former_granter *former,
                         bool records_lost)
{
  g->counts.takeovers++;
  g->activated_ms = now_ms;
  g->rebalanced_ms = now_ms;
  g->former_leases_until_ms = now_ms;
  g->release_count = 0;
  /* Without the former granter's records, the leases that this instance may
     have granted itself in office are all that is known.  */
  if (records_lost)
    return;
  g->lease_count = 0;
  if (!former->known)
    return;
  g->former_leases_until_ms = _bgap_granter_former_end_ms (g, now_ms, former);
  bgap_leases_note_former (g, now_ms, former->lease_ms,
                           g->former_leases_until_ms);
  if (bgap_leases_take_over (g) != BGAP_OK)
    g->active = false;
}

bool
bgap_granter_on_assignment (struct bgap_granter *g, int64_t now_ms,
                            const struct bgap_assignment *assignment)
{
  if (bgap_restore_is_past (g, assignment))
    return bgap_restore_on_past_record (g, now_ms, assignment);
  bool was_active = g->active;
  bool records_lost = bgap_restore_records_lost (g);
  const struct bgap_former_granter former = _bgap_granter_former (g);
  int64_t lease_ms = bgap_leases_duration_ms (g);
  bool same_granter
      = g->known && g->current.incarnation == assignment->incarnation;
  if (bgap_assignment_copy (&g->current, assignment) != BGAP_OK)
    {
      /* Without the record nothing may be granted.  */
      g->active = false;
      return true;
    }
  g->holders_changed = same_granter;
  g->current_read_ms = now_ms;
  g->known = true;
  g->superseded = false;
  g->granter_lost = false;
  g->overwritten = false;
  g->active = bgap_granter_is_own (g, assignment) && !assignment->released;
  bgap_plan_resolved (g);
  if (g->active && !was_active)
    _bgap_granter_activated (g, now_ms, &former, records_lost);
  else if (g->active && bgap_leases_duration_ms (g) < lease_ms)
    bgap_leases_note_former (
        g, now_ms, lease_ms,
        bgap_leases_end_ms (now_ms + g->desc.call_timeout_ms, lease_ms));
  bgap_restore_on_record (g, now_ms, was_active, records_lost);
  g->counts.token = assignment->token;
  return true;
}

void
bgap_granter_on_view (struct bgap_granter *g, int64_t now_ms, int64_t sent_ms)
{
  (void)now_ms;
  /* Whether another instance had taken over before the restore cannot be seen
     in what was restored.  */
  if (g->active && bgap_restore_records_lost (g))
    return;
  if (sent_ms > g->view_ms)
    g->view_ms = sent_ms;
}

void
bgap_granter_set_successor (struct bgap_granter *g, int64_t now_ms,
                            bool successor, bool granter_lost)
{
  (void)now_ms;
  g->is_successor = successor;
  g->granter_lost = granter_lost;
}

void
bgap_granter_count_request (struct bgap_granter *g, uint32_t key)
{
  if (key >= BGAP_KEY_COUNT)
    return;
  bgap_spread_count (g, key);
  if (g->key_requests[key] == UINT16_MAX)
    return;
  g->key_requests[key]++;
  g->requests_total++;
}

void
bgap_granter_step_down (struct bgap_granter *g, int64_t now_ms)
{
  (void)now_ms;
  g->stepping_down = true;
  g->is_successor = false;
}

void
bgap_granter_tick (struct bgap_granter *g, int64_t now_ms)
{
  if (g->last_tick_ms != 0 && now_ms - g->last_tick_ms >= PAUSE_MS)
    g->resumed_ms = now_ms;
  g->last_tick_ms = now_ms;
  bool is_current = now_ms - g->view_ms <= g->desc.view_age_max_ms
                    && g->view_ms >= g->resumed_ms;
  if (g->aged_ms == 0 || now_ms - g->aged_ms >= COUNTS_AGE_MS)
    {
      g->aged_ms = now_ms;
      bgap_balance_age_counts (g);
    }
  if (g->active && !is_current && bgap_restore_records_lost (g))
    g->active = false;
  if (g->superseded && now_ms - g->superseded_ms >= SUPERSEDED_RETRY_MS)
    g->is_successor = true;
  uint32_t ranges_per_ms
      = g->move_count > 0 ? HOT_PASS_RANGES_PER_MS : PASS_RANGES_PER_MS;
  if (now_ms - g->last_pass_ms < g->current.count / ranges_per_ms)
    return;
  g->last_pass_ms = now_ms;
  bgap_plan_run (g, now_ms);
  bool is_leaving = g->stepping_down && !bgap_restore_records_lost (g);
  if (g->active && is_current && !is_leaving && !g->superseded)
    {
      bgap_grants_send_due (g, now_ms);
      bgap_checks_send_due (g, now_ms);
      bgap_fence_run (g, now_ms);
    }
  bgap_calls_drop_releases (g, now_ms);
  bgap_leases_prune (g, now_ms);
}

const struct bgap_assignment *
bgap_granter_assignment (const struct bgap_granter *g)
{
  return &g->current;
}

const struct bgap_key_range *
bgap_granter_holder (const struct bgap_granter *g, int64_t now_ms,
                     uint32_t key)
{
  const struct bgap_key_range *range = bgap_assignment_find (&g->current, key);
  if (range == NULL || range->server[0] == '\0' || range->moving)
    return NULL;
  /* The ranges that the newest record has changed carry its token. After a
     takeover that is all of them, and the servers already have their
     leases.  */
  if (g->holders_changed && range->token == g->current.token
      && now_ms - g->current_read_ms < BGAP_GRANT_DELAY_MS)
    return NULL;
  return range;
}

const struct bgap_granter_rebalance *
bgap_granter_last_rebalance (const struct bgap_granter *g)
{
  return &g->rebalance;
}

const struct bgap_granter_spread *
bgap_granter_last_spread (const struct bgap_granter *g)
{
  return &g->spread;
}

bool
bgap_granter_is_active (const struct bgap_granter *g)
{
  return g->active;
}

struct bgap_granter_counts
bgap_granter_counts (const struct bgap_granter *g)
{
  struct bgap_granter_counts counts = g->counts;
  counts.ranges = g->current.count;
  counts.leases = g->lease_count;
  counts.active = g->active;
  counts.renew_interval_ms = bgap_leases_renew_interval_ms (g);
  counts.lease_ms = bgap_leases_duration_ms (g);
  for (uint32_t i = 0; g->active && i < g->lease_count; i++)
    {
      const struct bgap_key_lease *lease = &g->leases[i];
      int64_t overdue_ms = g->last_tick_ms - lease->renew_at_ms;
      if (lease->from_former_granter || lease->call != 0 || overdue_ms <= 0)
        continue;
      counts.overdue++;
      if (overdue_ms > counts.oldest_overdue_ms)
        counts.oldest_overdue_ms = overdue_ms;
    }
  return counts;
}

enum bgap_status
bgap_granter_dump (const struct bgap_granter *g, int64_t now_ms,
                   struct bgap_buffer *out)
{
  enum bgap_status status = bgap_buffer_printf (
      out,
      "granter %s%s active=%d fence=%" PRIu64 " view_age_ms=%" PRId64 "\n",
      g->current.granter, g->current.released ? " (released)" : "", g->active,
      g->current.token, now_ms - g->view_ms);
  for (uint32_t i = 0; i < g->current.count && status == BGAP_OK; i++)
    {
      const struct bgap_key_range *range = &g->current.ranges[i];
      status = bgap_buffer_printf (
          out, "  keys %u-%u server=%s fence=%" PRIu64 "%s\n", range->first,
          range->last, range->server, range->token,
          range->moving ? " moving" : "");
    }
  for (uint32_t i = 0; i < g->lease_count && status == BGAP_OK; i++)
    {
      const struct bgap_key_lease *lease = &g->leases[i];
      int64_t end_ms = lease->end_ms > lease->unanswered_end_ms
                           ? lease->end_ms
                           : lease->unanswered_end_ms;
      status = bgap_buffer_printf (
          out, "  hold %u-%u server=%s ends_in_ms=%" PRId64 "%s\n",
          lease->first, lease->last, lease->server, end_ms - now_ms,
          lease->from_former_granter ? " former granter" : "");
    }
  return status;
}
