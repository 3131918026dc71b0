#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/base/array.h"
#include "granter_state.h"

/* A server's clock may run slow by this much.  */
#define DRIFT_PERCENT 2

/* Grants of a service that an instance sends a second at most. On a machine
   with a tenth of a core one took 0.43 ms at most, new connection included, so
   that this is 3.5% of a core.  */
#define GRANTS_PER_S_MAX 80

/* For the granularity of timers on both sides and a short freeze of this
   process between its last look at the clock and the call.  */
#define SLACK_MS 100

int64_t
bgap_holds_end_ms (int64_t arrival_ms, int64_t hold_ms)
{
  return arrival_ms + hold_ms * (100 + DRIFT_PERCENT) / 100 + SLACK_MS;
}

int64_t
bgap_holds_renew_ms (const struct bgap_granter *g)
{
  int64_t least_ms = (int64_t)g->current.count * 1000 / GRANTS_PER_S_MAX;
  return least_ms > g->desc.renew_ms ? least_ms : g->desc.renew_ms;
}

int64_t
bgap_holds_length_ms (const struct bgap_granter *g)
{
  int64_t margin_ms = g->desc.hold_ms - g->desc.renew_ms;
  int64_t hold_ms = bgap_holds_renew_ms (g) + margin_ms;
  return hold_ms < g->desc.hold_max_ms ? hold_ms : g->desc.hold_max_ms;
}

struct bgap_hold *
bgap_holds_find (struct bgap_granter *g, const struct bgap_key_range *range)
{
  for (uint32_t i = 0; i < g->hold_count; i++)
    {
      struct bgap_hold *hold = &g->holds[i];
      if (!hold->foreign && hold->first == range->first
          && hold->last == range->last && hold->fence == range->fence
          && hold->born_ms == range->born_ms
          && strcmp (hold->server, range->server) == 0)
        return hold;
    }
  return NULL;
}

struct bgap_hold *
bgap_holds_add (struct bgap_granter *g, const struct bgap_key_range *range)
{
  if (bgap_array_reserve (&g->holds, &g->hold_capacity, g->hold_count + 1,
                          sizeof *g->holds)
      != BGAP_OK)
    return NULL;
  struct bgap_hold *hold = &g->holds[g->hold_count++];
  *hold = (struct bgap_hold){
    .first = range->first,
    .last = range->last,
    .born_ms = range->born_ms,
    .fence = range->fence,
  };
  memcpy (hold->server, range->server, sizeof hold->server);
  return hold;
}

static bool
_bgap_hold_ended (const struct bgap_granter *g, int64_t now_ms,
                  const struct bgap_hold *hold)
{
  if (hold->call != 0 || now_ms < hold->end_ms)
    return false;
  if (now_ms >= hold->late_end_ms)
    return true;
  /* A late grant is refused by the process that knows a higher number, but
     not by the next one.  */
  const struct bgap_grant_target *target
      = bgap_grant_targets_find (g, hold->server);
  return hold->fenced && target != NULL && !target->dead
         && target->desc.born_ms == hold->born_ms;
}

bool
bgap_holds_free_for (const struct bgap_granter *g, int64_t now_ms,
                     uint32_t first, uint32_t last, const char *server)
{
  for (uint32_t i = 0; i < g->hold_count; i++)
    {
      const struct bgap_hold *hold = &g->holds[i];
      if (hold->first > last || hold->last < first
          || strcmp (hold->server, server) == 0)
        continue;
      if (!_bgap_hold_ended (g, now_ms, hold))
        return false;
    }
  return true;
}

/* Cuts a hold so that one part is exactly what lies in [first, last]; returns
   whether there was memory. @index is that part afterwards.  */
static bool
_bgap_hold_cut (struct bgap_granter *g, uint32_t index, uint32_t first,
                uint32_t last)
{
  struct bgap_hold whole = g->holds[index];
  struct bgap_hold rest = whole;
  /* The running grant is counted in full for each part.  */
  rest.call = 0;
  if (whole.call != 0 && whole.call_end_ms > rest.late_end_ms)
    rest.late_end_ms = whole.call_end_ms;
  if (whole.first < first)
    {
      struct bgap_hold *left
          = bgap_holds_add (g, &(struct bgap_key_range){ 0 });
      if (left == NULL)
        return false;
      *left = rest;
      left->last = first - 1;
      g->holds[index].first = first;
    }
  if (whole.last > last)
    {
      struct bgap_hold *right
          = bgap_holds_add (g, &(struct bgap_key_range){ 0 });
      if (right == NULL)
        return false;
      *right = rest;
      right->first = last + 1;
      g->holds[index].last = last;
    }
  return true;
}

void
bgap_holds_fence (struct bgap_granter *g, int64_t now_ms, uint32_t first,
                  uint32_t last, const char *server, int64_t born_ms,
                  uint64_t fence, bool released)
{
  uint32_t count = g->hold_count;
  /* @server may lie in the table, which can move when holds are cut.  */
  char name[BGAP_KEYRANGE_NAME_SIZE];
  snprintf (name, sizeof name, "%s", server);
  for (uint32_t i = 0; i < count; i++)
    {
      const struct bgap_hold *hold = &g->holds[i];
      if (hold->first > last || hold->last < first || hold->born_ms != born_ms
          || strcmp (hold->server, name) != 0 || hold->fence > fence
          || (hold->fence == fence && !released)
          || !_bgap_hold_cut (g, i, first, last))
        continue;
      struct bgap_hold *part = &g->holds[i];
      part->fenced = true;
      if (part->call != 0 && part->call_end_ms > part->late_end_ms)
        part->late_end_ms = part->call_end_ms;
      part->call = 0;
      if (part->foreign || released)
        part->end_ms = now_ms;
    }
}

void
bgap_holds_died (struct bgap_granter *g, int64_t now_ms, const char *server,
                 int64_t born_ms)
{
  for (uint32_t i = 0; i < g->hold_count; i++)
    {
      struct bgap_hold *hold = &g->holds[i];
      /* A former granter's calls can reach the next process as well.  */
      if (hold->foreign || hold->born_ms != born_ms
          || strcmp (hold->server, server) != 0)
        continue;
      if (hold->end_ms > now_ms)
        hold->end_ms = now_ms;
    }
}

enum bgap_status
bgap_holds_take_over (struct bgap_granter *g)
{
  for (uint32_t i = 0; i < g->current.count; i++)
    {
      const struct bgap_key_range *range = &g->current.ranges[i];
      if (range->server[0] == '\0')
        continue;
      struct bgap_hold *hold = bgap_holds_add (g, range);
      if (hold == NULL)
        return BGAP_ERR_NO_MEMORY;
      hold->foreign = true;
      hold->end_ms = g->foreign_until_ms;
      /* The former granter's numbers were below that of this record.  */
      hold->fence = range->fence > 0 ? range->fence - 1 : 0;
    }
  return BGAP_OK;
}

void
bgap_holds_prune (struct bgap_granter *g, int64_t now_ms)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < g->hold_count; i++)
    {
      const struct bgap_hold *hold = &g->holds[i];
      bool over = hold->call == 0 && now_ms >= hold->end_ms
                  && now_ms >= hold->late_end_ms
                  && now_ms >= hold->next_ms + g->desc.hold_max_ms;
      if (!over)
        g->holds[count++] = *hold;
    }
  g->hold_count = count;
}
