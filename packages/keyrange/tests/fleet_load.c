#include <string.h>

#include "fleet_state.h"

/* Duration of the first grants of all ranges at most; later the measurement
   has begun.  */
#define SETTLE_MS 15000

/* Period by which the load of the servers is compared with their slots.  */
#define BALANCE_MS 1000

/* Requests.  */

static uint32_t
draw_key (struct fleet *f)
{
  bool hot = bgap_random_below (&f->random, 100) < f->desc.hot_percent;
  if (!hot || f->desc.hot_keys == 0)
    return (uint32_t)bgap_random_below (&f->random, BGAP_KEY_COUNT);
  return (f->hot_first
          + (uint32_t)bgap_random_below (&f->random, f->desc.hot_keys))
         % BGAP_KEY_COUNT;
}

void
fleet_run_requests (struct fleet *f)
{
  struct bgap_granter *granter = f->granters[f->active];
  if (f->now_ms - f->hot_since_ms >= f->desc.hot_period_ms)
    {
      f->hot_since_ms = f->now_ms;
      f->hot_first = (uint32_t)bgap_random_below (&f->random, BGAP_KEY_COUNT);
    }
  f->requests_due += f->desc.requests_per_s * (double)STEP_MS / 1000;
  for (; f->requests_due >= 1; f->requests_due--)
    {
      uint32_t k = draw_key (f);
      const struct bgap_key_range *range
          = bgap_granter_holder (granter, f->now_ms, k);
      const struct key *key = &f->keys[k];
      bgap_granter_count_request (granter, k);
      if (range == NULL)
        continue;
      int server = fleet_server_index (range->server);
      f->server_requests[server]++;
      if (!f->measuring)
        continue;
      f->totals.requests++;
      f->totals.misdirected
          += key->holder != server || key->until_ms <= f->now_ms;
    }
}

/* Measurement.  */

static void
sample_range (struct fleet *f, const struct bgap_key_range *range)
{
  int server = fleet_server_index (range->server);
  for (uint32_t k = range->first; k <= range->last; k++)
    {
      struct key *key = &f->keys[k];
      bool held = key->holder == server && key->until_ms > f->now_ms;
      bool lapsed = key->holder == server && !held && !range->moving;
      key->lapsed_ms = lapsed ? key->lapsed_ms + SAMPLE_MS : 0;
      if (key->lapsed_ms > f->totals.longest_lapse_ms)
        f->totals.longest_lapse_ms = key->lapsed_ms;
      f->totals.lapsed_key_ms += lapsed ? SAMPLE_MS : 0;
      f->totals.ungranted_key_ms += !held && !lapsed ? SAMPLE_MS : 0;
      f->totals.all_key_ms += SAMPLE_MS;
    }
}

/* Adds the requests beyond what the slots of the servers have run.  */
static void
sample_balance (struct fleet *f, int64_t elapsed_ms)
{
  for (uint32_t i = 0; i < f->desc.servers; i++)
    {
      double capacity
          = SLOTS * (double)elapsed_ms / fleet_latencies_ms[i % LATENCY_KINDS];
      double excess = (double)f->server_requests[i] - capacity;
      if (f->measuring)
        f->balanced_requests += f->server_requests[i];
      if (f->measuring && excess > 0)
        f->excess_requests += excess;
    }
  memset (f->server_requests, 0, f->desc.servers * sizeof *f->server_requests);
}

void
fleet_sample (struct fleet *f)
{
  const struct bgap_assignment *current
      = bgap_granter_assignment (f->granters[f->active]);
  f->next_sample_ms = f->now_ms + SAMPLE_MS;
  f->totals.ranges = current->count;
  if (!f->measuring && f->now_ms < SETTLE_MS)
    return;
  f->measuring = true;
  f->totals.duration_ms += SAMPLE_MS;
  if (current->count > f->totals.ranges_max)
    f->totals.ranges_max = current->count;
  for (uint32_t i = 0; i < current->count; i++)
    sample_range (f, &current->ranges[i]);
  if (f->now_ms - f->balance_since_ms < BALANCE_MS)
    return;
  sample_balance (f, f->now_ms - f->balance_since_ms);
  f->balance_since_ms = f->now_ms;
}
