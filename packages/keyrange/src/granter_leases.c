#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/base/array.h"
#include "granter_parts.h"

/* Maximum rate by which a server's clock may be slow.  */
#define CLOCK_DRIFT_PERCENT 2

/* Number of renewals per second by which the interval between the renewals of
   a range is calculated, with many ranges.  */
#define RENEWALS_PER_S 160

/* A lease covers two rounds of renewals: the ranges are renewed twice before
   it ends, and a granter that takes over has time to renew all of them.  */
#define RENEWALS_PER_LEASE 2

/* For the granularity of timers on both sides, and for a short pause of this
   process between reading the clock and sending the call.  */
#define LEASE_MARGIN_MS 100

int64_t
bgap_leases_end_ms (int64_t arrival_ms, int64_t lease_ms)
{
  return arrival_ms + lease_ms * (100 + CLOCK_DRIFT_PERCENT) / 100
         + LEASE_MARGIN_MS;
}

int64_t
bgap_leases_until (int64_t arrival_ms, int64_t end_ms)
{
  return (end_ms - LEASE_MARGIN_MS - arrival_ms) * 100
         / (100 + CLOCK_DRIFT_PERCENT);
}

/* Part of a lease that remains if its renewals are on time, for detecting the
   loss of a granter and for calls that get no response.  */
static int64_t
_bgap_leases_margin_ms (const struct bgap_granter *g)
{
  return g->desc.lease_ms - g->desc.renew_interval_ms;
}

/* Duration of a round of renewals of @count ranges.  */
static int64_t
_bgap_leases_round_ms (uint32_t count)
{
  return (int64_t)count * 1000 / RENEWALS_PER_S;
}

int64_t
bgap_leases_renew_interval_ms (const struct bgap_granter *g)
{
  int64_t round_ms = _bgap_leases_round_ms (g->current.count);
  return round_ms > g->desc.renew_interval_ms ? round_ms
                                              : g->desc.renew_interval_ms;
}

/* Duration of a lease with @count ranges.  */
static int64_t
_bgap_leases_duration_with_ms (const struct bgap_granter *g, uint32_t count)
{
  int64_t lease_ms = RENEWALS_PER_LEASE * _bgap_leases_round_ms (count)
                     + _bgap_leases_margin_ms (g);
  if (lease_ms < g->desc.lease_ms)
    lease_ms = g->desc.lease_ms;
  return lease_ms < g->desc.lease_max_ms ? lease_ms : g->desc.lease_max_ms;
}

int64_t
bgap_leases_duration_ms (const struct bgap_granter *g)
{
  return _bgap_leases_duration_with_ms (g, g->current.count);
}

int64_t
bgap_leases_longest_ms (const struct bgap_granter *g, int64_t now_ms,
                        uint32_t count)
{
  int64_t lease_ms = _bgap_leases_duration_with_ms (g, count);
  for (uint32_t i = 0; i < g->former_duration_count; i++)
    if (now_ms < g->former_durations[i].until_ms
        && g->former_durations[i].lease_ms > lease_ms)
      lease_ms = g->former_durations[i].lease_ms;
  return lease_ms;
}

void
bgap_leases_note_former (struct bgap_granter *g, int64_t now_ms,
                         int64_t lease_ms, int64_t until_ms)
{
  struct bgap_lease_duration added = { lease_ms, until_ms };
  uint32_t count = 0;
  for (uint32_t i = 0; i < g->former_duration_count; i++)
    {
      const struct bgap_lease_duration *duration = &g->former_durations[i];
      bool is_covered
          = duration->lease_ms <= lease_ms && duration->until_ms <= until_ms;
      if (now_ms < duration->until_ms && !is_covered)
        g->former_durations[count++] = *duration;
    }
  if (count == BGAP_FORMER_DURATIONS_MAX)
    {
      const struct bgap_lease_duration *last = &g->former_durations[--count];
      if (last->lease_ms > added.lease_ms)
        added.lease_ms = last->lease_ms;
      if (last->until_ms > added.until_ms)
        added.until_ms = last->until_ms;
    }
  g->former_durations[count++] = added;
  g->former_duration_count = count;
}

uint32_t
bgap_leases_ranges_max (const struct bgap_granter *g)
{
  int64_t rounds_ms = g->desc.lease_max_ms - _bgap_leases_margin_ms (g);
  return (uint32_t)(rounds_ms * RENEWALS_PER_S / 1000 / RENEWALS_PER_LEASE);
}

struct bgap_key_lease *
bgap_leases_find (struct bgap_granter *g, const struct bgap_key_range *range)
{
  for (uint32_t i = 0; i < g->lease_count; i++)
    {
      struct bgap_key_lease *lease = &g->leases[i];
      if (!lease->from_former_granter && lease->first == range->first
          && lease->last == range->last && lease->token == range->token
          && lease->started_ms == range->started_ms
          && strcmp (lease->server, range->server) == 0)
        return lease;
    }
  return NULL;
}

struct bgap_key_lease *
bgap_leases_add (struct bgap_granter *g, const struct bgap_key_range *range)
{
  if (bgap_array_reserve (&g->leases, &g->lease_capacity, g->lease_count + 1,
                          sizeof *g->leases)
      != BGAP_OK)
    return NULL;
  struct bgap_key_lease *lease = &g->leases[g->lease_count++];
  *lease = (struct bgap_key_lease){
    .first = range->first,
    .last = range->last,
    .started_ms = range->started_ms,
    .token = range->token,
  };
  memcpy (lease->server, range->server, sizeof lease->server);
  return lease;
}

void
bgap_leases_inherit (const struct bgap_granter *g,
                     struct bgap_key_lease *lease)
{
  uint32_t covered = 0;
  struct bgap_key_lease least
      = { .held_until_ms = INT64_MAX, .renew_at_ms = INT64_MAX };
  for (uint32_t i = 0; i < g->lease_count; i++)
    {
      const struct bgap_key_lease *part = &g->leases[i];
      if (part == lease || part->from_former_granter || part->fenced
          || part->first < lease->first || part->last > lease->last
          || part->started_ms != lease->started_ms
          || strcmp (part->server, lease->server) != 0)
        continue;
      covered += part->last - part->first + 1;
      if (part->held_until_ms < least.held_until_ms)
        least.held_until_ms = part->held_until_ms;
      if (part->renew_at_ms < least.renew_at_ms)
        least.renew_at_ms = part->renew_at_ms;
    }
  if (covered != lease->last - lease->first + 1)
    return;
  lease->held_until_ms = least.held_until_ms;
  lease->renew_at_ms = least.renew_at_ms;
}

static bool
_bgap_key_lease_ended (const struct bgap_granter *g, int64_t now_ms,
                       const struct bgap_key_lease *lease)
{
  if (lease->call != 0 || now_ms < lease->end_ms)
    return false;
  if (now_ms >= lease->unanswered_end_ms)
    return true;
  /* A delayed grant is refused by the process that has seen a higher token,
     but not by the next process of the server.  */
  const struct bgap_grant_target *target
      = bgap_grant_targets_find (g, lease->server);
  return lease->fenced && target != NULL && !target->dead
         && target->desc.started_ms == lease->started_ms;
}

bool
bgap_leases_free_for (const struct bgap_granter *g, int64_t now_ms,
                      uint32_t first, uint32_t last, const char *server)
{
  for (uint32_t i = 0; i < g->lease_count; i++)
    {
      const struct bgap_key_lease *lease = &g->leases[i];
      if (lease->first > last || lease->last < first
          || strcmp (lease->server, server) == 0)
        continue;
      if (!_bgap_key_lease_ended (g, now_ms, lease))
        return false;
    }
  return true;
}

/* Splits a lease so that one part lies exactly within [first, last]; that part
   keeps @index. Returns false without memory.  */
static bool
_bgap_key_lease_split (struct bgap_granter *g, uint32_t index, uint32_t first,
                       uint32_t last)
{
  struct bgap_key_lease whole = g->leases[index];
  struct bgap_key_lease rest = whole;
  /* The grant in flight counts in full for each part.  */
  rest.call = 0;
  if (whole.call != 0 && whole.call_end_ms > rest.unanswered_end_ms)
    rest.unanswered_end_ms = whole.call_end_ms;
  if (whole.first < first)
    {
      struct bgap_key_lease *left
          = bgap_leases_add (g, &(struct bgap_key_range){ 0 });
      if (left == NULL)
        return false;
      *left = rest;
      left->last = first - 1;
      g->leases[index].first = first;
    }
  if (whole.last > last)
    {
      struct bgap_key_lease *right
          = bgap_leases_add (g, &(struct bgap_key_range){ 0 });
      if (right == NULL)
        return false;
      *right = rest;
      right->first = last + 1;
      g->leases[index].last = last;
    }
  return true;
}

void
bgap_leases_confirm_token (struct bgap_granter *g, int64_t now_ms,
                           uint32_t first, uint32_t last, const char *server,
                           int64_t started_ms, uint64_t token, bool released)
{
  uint32_t count = g->lease_count;
  /* @server may be inside the array, which can move when leases are split.  */
  char name[BGAP_KEYRANGE_NAME_SIZE];
  snprintf (name, sizeof name, "%s", server);
  for (uint32_t i = 0; i < count; i++)
    {
      const struct bgap_key_lease *lease = &g->leases[i];
      if (lease->first > last || lease->last < first
          || lease->started_ms != started_ms
          || strcmp (lease->server, name) != 0 || lease->token > token
          || (lease->token == token && !released)
          || !_bgap_key_lease_split (g, i, first, last))
        continue;
      struct bgap_key_lease *part = &g->leases[i];
      part->fenced = true;
      if (part->call != 0 && part->call_end_ms > part->unanswered_end_ms)
        part->unanswered_end_ms = part->call_end_ms;
      part->call = 0;
      /* The former granter's last grant may have come just before.  */
      int64_t end_ms = bgap_leases_end_ms (
          now_ms, bgap_leases_longest_ms (g, now_ms, g->current.count));
      if (released)
        part->end_ms = now_ms;
      else if (part->from_former_granter && end_ms < part->end_ms)
        part->end_ms = end_ms;
    }
}

void
bgap_leases_end_process (struct bgap_granter *g, int64_t now_ms,
                         const char *server, int64_t started_ms)
{
  for (uint32_t i = 0; i < g->lease_count; i++)
    {
      struct bgap_key_lease *lease = &g->leases[i];
      /* Calls of a former granter can reach the next process as well.  */
      if (lease->from_former_granter || lease->started_ms != started_ms
          || strcmp (lease->server, server) != 0)
        continue;
      if (lease->end_ms > now_ms)
        lease->end_ms = now_ms;
    }
}

enum bgap_status
bgap_leases_take_over (struct bgap_granter *g)
{
  for (uint32_t i = 0; i < g->current.count; i++)
    {
      const struct bgap_key_range *range = &g->current.ranges[i];
      if (range->server[0] == '\0')
        continue;
      struct bgap_key_lease *lease = bgap_leases_add (g, range);
      if (lease == NULL)
        return BGAP_ERR_NO_MEMORY;
      lease->from_former_granter = true;
      lease->end_ms = g->former_leases_until_ms;
      /* The former granter's tokens were below that of this record.  */
      lease->token = range->token > 0 ? range->token - 1 : 0;
    }
  return BGAP_OK;
}

enum bgap_status
bgap_leases_add_unknown (struct bgap_granter *g, uint32_t first, uint32_t last,
                         int64_t end_ms)
{
  struct bgap_key_lease *lease = bgap_leases_add (
      g, &(struct bgap_key_range){ .first = first,
                                   .last = last,
                                   .server = BGAP_KEYRANGE_UNKNOWN_SERVER });
  if (lease == NULL)
    return BGAP_ERR_NO_MEMORY;
  lease->from_former_granter = true;
  lease->end_ms = end_ms;
  return BGAP_OK;
}

void
bgap_leases_identify (struct bgap_granter *g,
                      const struct bgap_key_range *range)
{
  for (uint32_t i = 0; i < g->lease_count; i++)
    {
      struct bgap_key_lease *lease = &g->leases[i];
      if (lease->first < range->first || lease->last > range->last
          || strcmp (lease->server, BGAP_KEYRANGE_UNKNOWN_SERVER) != 0)
        continue;
      memcpy (lease->server, range->server, sizeof lease->server);
      lease->started_ms = range->started_ms;
      lease->token = range->token > 0 ? range->token - 1 : 0;
    }
}

void
bgap_leases_prune (struct bgap_granter *g, int64_t now_ms)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < g->lease_count; i++)
    {
      const struct bgap_key_lease *lease = &g->leases[i];
      bool over = lease->call == 0 && now_ms >= lease->end_ms
                  && now_ms >= lease->unanswered_end_ms
                  && now_ms >= lease->renew_at_ms + g->desc.lease_max_ms;
      if (!over)
        g->leases[count++] = *lease;
    }
  g->lease_count = count;
}
