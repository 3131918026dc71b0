#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/base/array.h"
#include "granter_parts.h"

/* Maximum rate of grants for a service, and time for which it may be exceeded
   after a pause. A burst for all ranges of a large service would keep a small
   machine busy beyond the timeout of a call.  */
#define GRANTS_PER_S_MAX 230L
#define GRANT_BURST_MS 200

/* The allowance of grants is kept in thousandths of a grant.  */
#define ALLOWANCE_PER_GRANT 1000

/* A server that did not answer is probed with grants whose leases end no later
   than the one that it has, or than that of the last possible probe, which has
   this duration. The wait for their expiry thus does not grow with the number
   of probes.  */
#define PROBE_LEASE_MS 300
#define PROBE_INTERVAL_MS 200

/* Such probes are sent for this time after the first unanswered grant, then
   checks. If none of the grants was sent, checks follow at once.  */
#define PROBE_FOR_MS 1200

/* Time between two requests to read the store.  */
#define READ_RETRY_MS 50

/* A server takes at least as long to end and start again.  */
#define RESTART_MIN_MS 150

/* Whether another range of a server that does not answer has a grant in
   flight. Only one range is probed at a time.  */
static bool
_bgap_grants_is_probed (const struct bgap_granter *g,
                        const struct bgap_grant_target *target,
                        const struct bgap_key_lease *lease)
{
  for (uint32_t i = 0; i < g->lease_count; i++)
    if (&g->leases[i] != lease && !g->leases[i].from_former_granter
        && g->leases[i].call != 0
        && strcmp (g->leases[i].server, target->desc.id) == 0)
      return true;
  return false;
}

static const char *
_bgap_grants_handover (const struct bgap_granter *g,
                       const struct bgap_key_range *range)
{
  for (uint32_t i = 0; i < g->release_count; i++)
    {
      const struct bgap_release_call *release = &g->releases[i];
      if (release->confirmed && release->first <= range->first
          && release->last >= range->last)
        return release->handover;
    }
  return "";
}

/* Reports a lease that has ended although its server may be alive. Whether the
   leases of a former granter have ended is not known; they may if the first
   grant comes later than the margin of a lease over its renewal interval.  */
static void
_bgap_grants_report_lapse (struct bgap_granter *g, int64_t now_ms,
                           const struct bgap_key_range *range,
                           const struct bgap_key_lease *lease)
{
  bool is_first = lease->held_until_ms == 0 && lease->unanswered == 0;
  int64_t end_ms = lease->held_until_ms;
  enum bgap_lapse_cause cause
      = lease->unanswered > 0 ? BGAP_LAPSE_UNANSWERED : BGAP_LAPSE_RATE;
  if (is_first && g->counts.takeovers > 0 && !g->holders_changed)
    {
      cause = BGAP_LAPSE_TAKEOVER;
      end_ms = g->activated_ms + g->desc.lease_ms - g->desc.renew_interval_ms;
    }
  if (end_ms == 0 || now_ms <= end_ms)
    return;
  g->counts.lapses[cause]++;
  struct bgap_granter_action action = {
    .kind = BGAP_GRANTER_LAPSED,
    .first = range->first,
    .last = range->last,
    .token = range->token,
    .lease_ms = bgap_leases_duration_ms (g),
    .cause = cause,
    .lapsed_ms = now_ms - end_ms,
    .overdue_ms = now_ms - lease->renew_at_ms,
  };
  memcpy (action.server, range->server, sizeof action.server);
  (void)bgap_granter_emit (g, &action);
}

static void
_bgap_grants_grant (struct bgap_granter *g, int64_t now_ms,
                    const struct bgap_key_range *range,
                    struct bgap_key_lease *lease, int64_t lease_ms)
{
  _bgap_grants_report_lapse (g, now_ms, range, lease);
  struct bgap_granter_action action = {
    .kind = BGAP_GRANTER_GRANT,
    .call = ++g->next_call,
    .first = range->first,
    .last = range->last,
    .token = range->token,
    .lease_ms = lease_ms,
    .timeout_ms = g->desc.call_timeout_ms,
  };
  memcpy (action.server, range->server, sizeof action.server);
  snprintf (action.handover, sizeof action.handover, "%s",
            _bgap_grants_handover (g, range));
  if (!bgap_granter_emit (g, &action))
    return;
  lease->call = action.call;
  lease->call_sent_ms = now_ms;
  lease->call_lease_ms = lease_ms;
  lease->call_end_ms
      = bgap_leases_end_ms (now_ms + g->desc.call_timeout_ms, lease_ms);
  lease->renew_at_ms = now_ms + bgap_leases_renew_interval_ms (g);
  g->counts.grants++;
  g->allowance -= ALLOWANCE_PER_GRANT;
}

/**
 * struct bgap_due_grant - a range whose grant is due
 * @lease: index of its lease
 * @until_ms: end of the lease, 0 if the server has none or is probed
 */
struct bgap_due_grant
{
  uint32_t range;
  uint32_t lease;
  int64_t until_ms;
};

/* Whether another granter may have taken over before the process at the end of
   the connection started. The former process has confirmed the other granter's
   token, this one knows none.  */
static bool
_bgap_grants_needs_view (const struct bgap_granter *g,
                         const struct bgap_grant_target *target)
{
  return target->connected_ms != 0
         && g->view_ms + RESTART_MIN_MS < target->connected_ms;
}

/* The time for which a server is probed does not include the wait for a view
   of the store.  */
static void
_bgap_grants_extend_probes (struct bgap_grant_target *target, int64_t now_ms)
{
  if (target->held_ms != 0 && target->unanswered > 0)
    target->unanswered_since_ms += now_ms - target->held_ms;
  target->held_ms = now_ms;
}

static void
_bgap_grants_request_read (struct bgap_granter *g, int64_t now_ms)
{
  if (now_ms - g->read_wanted_ms < READ_RETRY_MS)
    return;
  g->read_wanted_ms = now_ms;
  (void)bgap_granter_emit (
      g, &(struct bgap_granter_action){ .kind = BGAP_GRANTER_READ });
}

bool
bgap_grants_probes_ended (const struct bgap_grant_target *target,
                          int64_t now_ms)
{
  return target->unanswered > 0
         && (!target->grant_lost
             || now_ms - target->unanswered_since_ms > PROBE_FOR_MS);
}

/* Finds the lease of a range whose grant is due; a range that has none gets
   one. Returns false if no grant is to be sent.  */
static bool
_bgap_grants_is_due (struct bgap_granter *g, int64_t now_ms,
                     const struct bgap_key_range *range,
                     struct bgap_due_grant *due)
{
  struct bgap_grant_target *target
      = bgap_grant_targets_find (g, range->server);
  if (target == NULL || target->dead || target->gone
      || target->desc.started_ms != range->started_ms
      || bgap_plan_blocks (g, range->first, range->last))
    return false;
  bool needs_view = _bgap_grants_needs_view (g, target);
  if (needs_view)
    _bgap_grants_extend_probes (target, now_ms);
  else
    target->held_ms = 0;
  if (bgap_grants_probes_ended (target, now_ms))
    return false;
  struct bgap_key_lease *lease = bgap_leases_find (g, range);
  if (lease == NULL)
    {
      if (!bgap_leases_free_for (g, now_ms, range->first, range->last,
                                 range->server))
        return false;
      lease = bgap_leases_add (g, range);
      if (lease == NULL)
        return false;
      lease->renew_at_ms = now_ms;
      bgap_leases_inherit (g, lease);
    }
  due->lease = (uint32_t)(lease - g->leases);
  due->until_ms = lease->held_until_ms;
  if (target->unanswered > 0 || due->until_ms < now_ms)
    due->until_ms = 0;
  int64_t due_ms
      = target->unanswered > 0 ? target->probe_at_ms : lease->renew_at_ms;
  if (lease->call != 0 || now_ms < due_ms)
    return false;
  if (needs_view)
    _bgap_grants_request_read (g, now_ms);
  return !needs_view;
}

static int64_t
_bgap_grants_probe_lease_ms (const struct bgap_granter *g, int64_t now_ms,
                             const struct bgap_grant_target *target,
                             const struct bgap_key_lease *lease)
{
  int64_t end_ms = bgap_leases_end_ms (
      target->unanswered_since_ms + PROBE_FOR_MS + g->desc.call_timeout_ms,
      PROBE_LEASE_MS);
  if (end_ms < lease->end_ms)
    end_ms = lease->end_ms;
  int64_t lease_ms
      = bgap_leases_until (now_ms + g->desc.call_timeout_ms, end_ms);
  int64_t longest_ms = bgap_leases_duration_ms (g);
  if (lease_ms > longest_ms)
    lease_ms = longest_ms;
  return lease_ms > PROBE_LEASE_MS ? lease_ms : PROBE_LEASE_MS;
}

static void
_bgap_grants_renew_range (struct bgap_granter *g, int64_t now_ms,
                          const struct bgap_due_grant *due)
{
  const struct bgap_key_range *range = &g->current.ranges[due->range];
  struct bgap_grant_target *target
      = bgap_grant_targets_find (g, range->server);
  struct bgap_key_lease *lease = &g->leases[due->lease];
  /* No other server may have a lease on the keys, whatever was planned.  */
  if (!bgap_leases_free_for (g, now_ms, range->first, range->last,
                             range->server))
    return;
  if (target->unanswered == 0)
    {
      _bgap_grants_grant (g, now_ms, range, lease,
                          bgap_leases_duration_ms (g));
      return;
    }
  if (_bgap_grants_is_probed (g, target, lease))
    return;
  _bgap_grants_grant (g, now_ms, range, lease,
                      _bgap_grants_probe_lease_ms (g, now_ms, target, lease));
  target->probe_at_ms = now_ms + PROBE_INTERVAL_MS;
}

/* Ranges whose server has no lease first, then in the order in which leases
   end.  */
static int
_bgap_grants_by_end (const void *left, const void *right)
{
  const struct bgap_due_grant *a = left;
  const struct bgap_due_grant *b = right;
  return (a->until_ms > b->until_ms) - (a->until_ms < b->until_ms);
}

/* Ranges that were moving when the store was restored stay with their holder
   until the assignment is written again, and have to be confirmed, too.  */
bool
bgap_grants_is_granted (const struct bgap_granter *g,
                        const struct bgap_key_range *range)
{
  return range->server[0] != '\0'
         && (!range->moving || bgap_restore_records_lost (g));
}

/* Lists the grants that are due. Returns their number.  */
static uint32_t
_bgap_grants_list_due (struct bgap_granter *g, int64_t now_ms)
{
  uint32_t count = 0;
  if (bgap_array_reserve (&g->due, &g->due_capacity, g->current.count,
                          sizeof *g->due)
      != BGAP_OK)
    return 0;
  for (uint32_t i = 0; i < g->current.count; i++)
    {
      const struct bgap_key_range *range = &g->current.ranges[i];
      struct bgap_due_grant due = { .range = i };
      if (bgap_grants_is_granted (g, range)
          && _bgap_grants_is_due (g, now_ms, range, &due))
        g->due[count++] = due;
    }
  if (count > 1)
    qsort (g->due, count, sizeof *g->due, _bgap_grants_by_end);
  return count;
}

void
bgap_grants_send_due (struct bgap_granter *g, int64_t now_ms)
{
  g->allowance += (now_ms - g->allowance_at_ms) * GRANTS_PER_S_MAX;
  g->allowance_at_ms = now_ms;
  if (g->allowance > GRANT_BURST_MS * GRANTS_PER_S_MAX)
    g->allowance = GRANT_BURST_MS * GRANTS_PER_S_MAX;
  if (g->allowance < ALLOWANCE_PER_GRANT)
    return;
  uint32_t count = _bgap_grants_list_due (g, now_ms);
  uint32_t sent = 0;
  for (; sent < count && g->allowance >= ALLOWANCE_PER_GRANT; sent++)
    _bgap_grants_renew_range (g, now_ms, &g->due[sent]);
  g->overdue_ms = 0;
  for (; sent < count; sent++)
    {
      int64_t due_ms = g->leases[g->due[sent].lease].renew_at_ms;
      if (now_ms - due_ms > g->overdue_ms)
        g->overdue_ms = now_ms - due_ms;
    }
}

bool
bgap_grants_take_allowance (struct bgap_granter *g)
{
  if (g->allowance < ALLOWANCE_PER_GRANT)
    return false;
  g->allowance -= ALLOWANCE_PER_GRANT;
  return true;
}

void
bgap_grants_refund (struct bgap_granter *g)
{
  g->allowance += ALLOWANCE_PER_GRANT;
}
