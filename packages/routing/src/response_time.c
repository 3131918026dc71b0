#include "banyangap/routing/response_time.h"

#include <math.h>
#include <stddef.h>

/* The distribution is scaled at most once in this time.  */
#define SCALE_INTERVAL_MS 100

/* Upper bound of the first bucket, and ratio of the bounds of neighbouring
   buckets. They cover 1 ms to 45 s.  */
#define FIRST_BOUND_MS 1.0
#define BOUND_RATIO 1.25

/* Weight of the samples that a quantile needs at least.  */
#define SAMPLES_MIN 8.0

/* Weight of a prior value without samples, and weight of the samples with
   which it does not count any more.  */
#define PRIOR_SAMPLES 2.0
#define PRIOR_REPLACED 4.0

static double
_bgap_response_decay (int64_t since_ms, int64_t half_life_ms)
{
  if (half_life_ms == 0)
    half_life_ms = BGAP_SERVICE_TIME_HALF_LIFE_MS;
  return since_ms > 0 ? exp2 (-(double)since_ms / (double)half_life_ms) : 1;
}

static void
_bgap_response_times_scale (struct bgap_response_times *times, int64_t now_ms)
{
  if (now_ms - times->at_ms < SCALE_INTERVAL_MS)
    return;
  double factor = _bgap_response_decay (now_ms - times->at_ms, 0);
  times->at_ms = now_ms;
  times->total = 0;
  for (int i = 0; i < BGAP_RESPONSE_TIME_BUCKETS; i++)
    {
      times->weights[i] = (float)(times->weights[i] * factor);
      times->total += times->weights[i];
    }
}

void
bgap_response_times_add (struct bgap_response_times *times, int64_t now_ms,
                         double took_ms)
{
  int bucket = 0;
  _bgap_response_times_scale (times, now_ms);
  for (double bound = FIRST_BOUND_MS;
       bucket < BGAP_RESPONSE_TIME_BUCKETS - 1 && took_ms > bound;
       bound *= BOUND_RATIO)
    bucket++;
  times->weights[bucket] += 1;
  times->total += 1;
}

double
bgap_response_times_quantile (struct bgap_response_times *times,
                              int64_t now_ms, double share)
{
  _bgap_response_times_scale (times, now_ms);
  if (times->total < SAMPLES_MIN)
    return 0;
  double wanted = share * times->total;
  double sum = 0;
  double bound = FIRST_BOUND_MS;
  for (int i = 0; i < BGAP_RESPONSE_TIME_BUCKETS - 1; i++)
    {
      sum += times->weights[i];
      if (sum >= wanted)
        break;
      bound *= BOUND_RATIO;
    }
  return bound;
}

void
bgap_recent_times_add (struct bgap_recent_times *times, int64_t now_ms,
                       double took_ms)
{
  uint64_t at = times->count++ % BGAP_RECENT_TIMES_MAX;
  times->took_ms[at] = took_ms;
  times->at_ms[at] = now_ms;
}

/**
 * struct weighted_time - a sample and its weight
 */
struct weighted_time
{
  double ms;
  double weight;
};

static void
_bgap_recent_times_insert (struct weighted_time *sorted, size_t count,
                           struct weighted_time added)
{
  size_t at = count;
  for (; at > 0 && sorted[at - 1].ms > added.ms; at--)
    sorted[at] = sorted[at - 1];
  sorted[at] = added;
}

double
bgap_recent_times_quantile (const struct bgap_recent_times *times,
                            int64_t now_ms, double share, double prior_ms)
{
  struct weighted_time sorted[BGAP_RECENT_TIMES_MAX + 1];
  double total = 0;
  size_t count = 0;
  for (size_t i = 0; i < BGAP_RECENT_TIMES_MAX && i < times->count; i++)
    {
      const struct weighted_time sample
          = { times->took_ms[i],
              _bgap_response_decay (now_ms - times->at_ms[i],
                                    times->half_life_ms) };
      _bgap_recent_times_insert (sorted, count++, sample);
      total += sample.weight;
    }
  const struct weighted_time prior
      = { prior_ms, PRIOR_SAMPLES * fmax (0, 1 - total / PRIOR_REPLACED) };
  _bgap_recent_times_insert (sorted, count++, prior);
  total += prior.weight;
  double sum = 0;
  size_t i = 0;
  while (i < count - 1 && (sum += sorted[i].weight) < share * total)
    i++;
  return sorted[i].ms;
}

void
bgap_recent_mean_add (struct bgap_recent_mean *mean, int64_t now_ms,
                      double took_ms)
{
  double kept = _bgap_response_decay (now_ms - mean->at_ms,
                                      BGAP_RECENT_MEAN_HALF_LIFE_MS);
  mean->sum_ms = mean->sum_ms * kept + took_ms;
  mean->weight = mean->weight * kept + 1;
  mean->at_ms = now_ms;
}

double
bgap_recent_mean_ms (const struct bgap_recent_mean *mean, int64_t now_ms,
                     double prior_ms, double prior_weight)
{
  double kept = _bgap_response_decay (now_ms - mean->at_ms,
                                      BGAP_RECENT_MEAN_HALF_LIFE_MS);
  return (mean->sum_ms * kept + prior_ms * prior_weight)
         / (mean->weight * kept + prior_weight);
}
