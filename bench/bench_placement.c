/*
 * Compares placement policies under a skewed load with a changing hot set.
 *
 *   build/bench/bench_placement [seconds [churn weight]]
 *
 * 70 % of the requests follow a Zipf distribution over all keys, 30 % a Zipf
 * distribution over 43 hot keys that are replaced every 180 s. The imbalance
 * is computed from the true request rates and averaged over the reports of the
 * run, whereas the policies see only sampled counts. All policies get the same
 * requests.
 */

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "banyangap/base/hash.h"
#include "banyangap/base/random.h"
#include "banyangap/ownership/placement.h"
#include "banyangap/ownership/topk.h"

#define DEFAULT_SECONDS 1800
#define REPORT_MS 1000
#define SLICES 1024
#define KEYS 20000
#define HOT_KEYS 43
#define HOT_SHARE 0.3
#define HOT_SET_PERIOD_S 180
#define ZIPF_EXPONENT 0.9
#define HOT_ZIPF_EXPONENT 0.6
#define REQUESTS_PER_REPORT 2000
#define SMOOTHING_FACTOR 0.2
#define MAX_SERVERS 16
#define MAX_ENTRIES (SLICES + BGAP_PLACEMENT_MAX_KEYS + 128)
#define MAX_CHANGES 256
#define WARM_UP_S 60

/* Time that a key is unavailable during a move that its server acknowledges:
   revoke, reply, grant and delivery.  */
#define MOVE_UNAVAILABLE_S 0.28

struct bgap_deployment
{
  const char *name;
  uint32_t servers;
  uint32_t slots;
};

struct bgap_split_key
{
  uint32_t key;
  uint32_t holder;
  double load;
};

struct bgap_result
{
  double max_over_mean;
  double worst_max_over_mean;
  double deviation;
  uint32_t reports;
  uint32_t slice_moves;
  uint32_t key_moves;
  uint32_t splits;
  uint32_t merges;
  double unavailable_s;
};

struct bgap_bench
{
  const struct bgap_deployment *deployment;
  struct bgap_random random;
  struct bgap_topk topk;
  struct bgap_placement placement;
  struct bgap_placement_input_server servers[MAX_SERVERS];
  double rates[KEYS];
  double cumulative[KEYS];
  uint32_t key_slices[KEYS];
  int32_t split_index[KEYS]; /* index in split_keys, or -1 */
  double slice_loads[SLICES];
  uint32_t slice_holders[SLICES];
  struct bgap_split_key split_keys[BGAP_PLACEMENT_MAX_KEYS];
  uint32_t split_key_count;
  struct bgap_placement_input_entry entries[MAX_ENTRIES];
  uint32_t entry_keys[MAX_ENTRIES]; /* KEYS for a slice */
  uint32_t entry_count;
  struct bgap_placement_change changes[MAX_CHANGES];
  double slice_counts[SLICES];
  double split_key_counts[BGAP_PLACEMENT_MAX_KEYS];
  int64_t now_ms;
  struct bgap_result result;
};

/* Draws a new hot set and computes the true request rate of every key.  */
static void
_bgap_bench_draw_rates (struct bgap_bench *b)
{
  double sum = 0;
  for (uint32_t i = 0; i < KEYS; i++)
    sum += pow (i + 1, -ZIPF_EXPONENT);
  for (uint32_t i = 0; i < KEYS; i++)
    b->rates[i] = (1 - HOT_SHARE) * pow (i + 1, -ZIPF_EXPONENT) / sum;
  double hot_sum = 0;
  for (uint32_t i = 0; i < HOT_KEYS; i++)
    hot_sum += pow (i + 1, -HOT_ZIPF_EXPONENT);
  for (uint32_t i = 0; i < HOT_KEYS; i++)
    {
      uint32_t key = (uint32_t)bgap_random_below (&b->random, KEYS);
      b->rates[key] += HOT_SHARE * pow (i + 1, -HOT_ZIPF_EXPONENT) / hot_sum;
    }
  double total = 0;
  for (uint32_t i = 0; i < KEYS; i++)
    b->cumulative[i] = total += b->rates[i];
}

static uint32_t
_bgap_bench_draw_key (struct bgap_bench *b)
{
  double u = (double)bgap_random_next (&b->random) / 18446744073709551616.0
             * b->cumulative[KEYS - 1];
  uint32_t low = 0;
  uint32_t high = KEYS - 1;
  while (low < high)
    {
      uint32_t middle = (low + high) / 2;
      if (b->cumulative[middle] < u)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static void
_bgap_bench_count_requests (struct bgap_bench *b)
{
  for (uint32_t i = 0; i < SLICES; i++)
    b->slice_counts[i] = 0;
  for (uint32_t i = 0; i < b->split_key_count; i++)
    b->split_key_counts[i] = 0;
  for (uint32_t i = 0; i < REQUESTS_PER_REPORT; i++)
    {
      uint32_t key = _bgap_bench_draw_key (b);
      uint64_t hash = bgap_hash64 (&key, sizeof key);
      bgap_topk_add (&b->topk, b->now_ms, hash, &key, sizeof key, 1);
      if (b->split_index[key] >= 0)
        b->split_key_counts[b->split_index[key]] += 1;
      else
        b->slice_counts[b->key_slices[key]] += 1;
    }
  for (uint32_t i = 0; i < SLICES; i++)
    b->slice_loads[i]
        += SMOOTHING_FACTOR * (b->slice_counts[i] - b->slice_loads[i]);
  for (uint32_t i = 0; i < b->split_key_count; i++)
    b->split_keys[i].load
        += SMOOTHING_FACTOR * (b->split_key_counts[i] - b->split_keys[i].load);
}

static void
_bgap_bench_add_entry (struct bgap_bench *b, uint32_t key,
                       const struct bgap_placement_input_entry *entry)
{
  if (b->entry_count == MAX_ENTRIES)
    return;
  b->entry_keys[b->entry_count] = key;
  b->entries[b->entry_count++] = *entry;
}

static void
_bgap_bench_fill_entries (struct bgap_bench *b)
{
  b->entry_count = 0;
  for (uint32_t i = 0; i < SLICES; i++)
    _bgap_bench_add_entry (b, KEYS,
                           &(struct bgap_placement_input_entry){
                               .load = b->slice_loads[i],
                               .holder = b->slice_holders[i],
                           });
  for (uint32_t i = 0; i < b->split_key_count; i++)
    {
      uint32_t key = b->split_keys[i].key;
      _bgap_bench_add_entry (b, key,
                             &(struct bgap_placement_input_entry){
                                 .kind = BGAP_PLACEMENT_KEY,
                                 .load = b->split_keys[i].load,
                                 .hash = bgap_hash64 (&key, sizeof key),
                                 .slice = b->key_slices[key],
                                 .holder = b->split_keys[i].holder,
                             });
    }
  const struct bgap_topk_item *items = NULL;
  uint32_t count = bgap_topk_items (&b->topk, b->now_ms, &items);
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t key = *(const uint32_t *)(const void *)items[i].key;
      if (b->split_index[key] >= 0)
        continue;
      double share
          = (double)(items[i].weight - items[i].error) / (double)b->topk.total;
      _bgap_bench_add_entry (b, key,
                             &(struct bgap_placement_input_entry){
                                 .kind = BGAP_PLACEMENT_UNSPLIT_KEY,
                                 .load = share * REQUESTS_PER_REPORT,
                                 .hash = items[i].hash,
                                 .slice = b->key_slices[key],
                             });
    }
}

static double
_bgap_bench_slice_rate (const struct bgap_bench *b, uint32_t slice)
{
  double rate = 0;
  for (uint32_t i = 0; i < KEYS; i++)
    if (b->key_slices[i] == slice && b->split_index[i] < 0)
      rate += b->rates[i];
  return rate;
}

static void
_bgap_bench_split (struct bgap_bench *b, uint32_t key)
{
  if (b->split_key_count == BGAP_PLACEMENT_MAX_KEYS)
    return;
  b->split_index[key] = (int32_t)b->split_key_count;
  b->split_keys[b->split_key_count++] = (struct bgap_split_key){
    .key = key,
    .holder = b->slice_holders[b->key_slices[key]],
    .load = b->rates[key] * REQUESTS_PER_REPORT,
  };
  b->slice_loads[b->key_slices[key]] -= fmin (
      b->slice_loads[b->key_slices[key]], b->rates[key] * REQUESTS_PER_REPORT);
  b->result.splits++;
}

static void
_bgap_bench_merge (struct bgap_bench *b, uint32_t key)
{
  uint32_t index = (uint32_t)b->split_index[key];
  b->split_keys[index] = b->split_keys[--b->split_key_count];
  b->split_index[b->split_keys[index].key] = (int32_t)index;
  b->split_index[key] = -1;
  b->result.merges++;
}

static void
_bgap_bench_apply (struct bgap_bench *b, uint32_t count, bool is_measured)
{
  for (uint32_t i = 0; i < count; i++)
    {
      const struct bgap_placement_change *c = &b->changes[i];
      uint32_t key = b->entry_keys[c->entry];
      double rate = 0;
      if (c->action == BGAP_PLACEMENT_SPLIT)
        _bgap_bench_split (b, key);
      else if (c->action == BGAP_PLACEMENT_MERGE)
        _bgap_bench_merge (b, key);
      else if (key < KEYS)
        {
          b->split_keys[b->split_index[key]].holder = c->server;
          rate = b->rates[key];
          b->result.key_moves += is_measured;
        }
      else
        {
          b->slice_holders[c->entry] = c->server;
          rate = _bgap_bench_slice_rate (b, c->entry);
          b->result.slice_moves += is_measured;
        }
      if (is_measured)
        b->result.unavailable_s += rate * MOVE_UNAVAILABLE_S;
    }
}

static void
_bgap_bench_measure (struct bgap_bench *b)
{
  double loads[MAX_SERVERS] = { 0 };
  uint32_t servers = b->deployment->servers;
  for (uint32_t i = 0; i < KEYS; i++)
    if (b->split_index[i] < 0)
      loads[b->slice_holders[b->key_slices[i]]] += b->rates[i];
    else
      loads[b->split_keys[b->split_index[i]].holder] += b->rates[i];
  double sum = 0;
  double max = 0;
  for (uint32_t i = 0; i < servers; i++)
    {
      sum += loads[i];
      max = fmax (max, loads[i]);
    }
  double mean = sum / servers;
  double variance = 0;
  for (uint32_t i = 0; i < servers; i++)
    variance += (loads[i] - mean) * (loads[i] - mean) / servers;
  struct bgap_result *r = &b->result;
  r->reports++;
  r->max_over_mean += max / mean;
  r->worst_max_over_mean = fmax (r->worst_max_over_mean, max / mean);
  r->deviation += sqrt (variance) / mean;
}

static void
_bgap_bench_setup (struct bgap_bench *b, const struct bgap_deployment *d,
                   const struct bgap_placement_desc *desc)
{
  *b = (struct bgap_bench){ .deployment = d, .random = { .state = 7 } };
  b->now_ms = 1000000;
  if (bgap_topk_setup (&b->topk, &(struct bgap_topk_desc){ 0 }) != BGAP_OK
      || bgap_placement_setup (&b->placement, desc) != BGAP_OK)
    {
      fputs ("bench_placement: out of memory\n", stderr);
      exit (1);
    }
  for (uint32_t i = 0; i < d->servers; i++)
    b->servers[i] = (struct bgap_placement_input_server){ .slots = d->slots,
                                                          .live = true };
  for (uint32_t i = 0; i < KEYS; i++)
    {
      b->key_slices[i] = (uint32_t)(bgap_hash64 (&i, sizeof i) >> 32) % SLICES;
      b->split_index[i] = -1;
    }
  for (uint32_t i = 0; i < SLICES; i++)
    b->slice_holders[i] = i % d->servers;
}

static void
_bgap_bench_run (struct bgap_bench *b, uint32_t seconds)
{
  for (uint32_t s = 0; s < seconds; s++)
    {
      if (s % HOT_SET_PERIOD_S == 0)
        _bgap_bench_draw_rates (b);
      _bgap_bench_count_requests (b);
      _bgap_bench_fill_entries (b);
      const struct bgap_placement_input input = {
        .entries = b->entries,
        .entry_count = b->entry_count,
        .servers = b->servers,
        .server_count = b->deployment->servers,
        .now_ms = b->now_ms,
      };
      uint32_t count = bgap_placement_plan (&b->placement, &input, b->changes,
                                            MAX_CHANGES);
      _bgap_bench_apply (b, count, s >= WARM_UP_S);
      if (s >= WARM_UP_S)
        _bgap_bench_measure (b);
      b->now_ms += REPORT_MS;
    }
}

static void
_bgap_bench_print (const struct bgap_bench *b,
                   const struct bgap_placement_policy *policy)
{
  const struct bgap_result *r = &b->result;
  double minutes = r->reports * REPORT_MS / 60000.0;
  printf ("%-11s %-9s %9.3f %9.3f %9.3f %11.2f %9.2f %8.2f %12.2f\n",
          b->deployment->name, bgap_placement_policy_name (policy),
          r->max_over_mean / r->reports, r->worst_max_over_mean,
          r->deviation / r->reports, r->slice_moves / minutes,
          r->key_moves / minutes, r->splits / minutes,
          r->unavailable_s * 1000 / minutes);
}

int
main (int argc, char **argv)
{
  static const struct bgap_deployment deployments[] = {
    { .name = "mosearkiv", .servers = 10, .slots = 4 },
    { .name = "listing", .servers = 15, .slots = 6 },
  };
  const struct bgap_placement_policy *const policies[]
      = { &bgap_placement_never, &bgap_placement_greedy,
          &bgap_placement_weighted };
  uint32_t seconds
      = argc > 1 ? (uint32_t)strtoul (argv[1], NULL, 10) : DEFAULT_SECONDS;
  double churn = argc > 2 ? strtod (argv[2], NULL) : 1;
  static struct bgap_bench bench;
  printf ("%-11s %-9s %9s %9s %9s %11s %9s %8s %12s\n", "service", "policy",
          "max/mean", "worst", "sd/mean", "slices/min", "keys/min", "splits",
          "unavail. ms");
  for (size_t d = 0; d < sizeof deployments / sizeof *deployments; d++)
    for (size_t p = 0; p < sizeof policies / sizeof policies[0]; p++)
      {
        const struct bgap_placement_desc desc
            = { .policy = policies[p], .weights = { .churn = churn } };
        _bgap_bench_setup (&bench, &deployments[d], &desc);
        _bgap_bench_run (&bench, seconds);
        _bgap_bench_print (&bench, policies[p]);
        bgap_placement_shutdown (&bench.placement);
        bgap_topk_shutdown (&bench.topk);
      }
  return 0;
}
