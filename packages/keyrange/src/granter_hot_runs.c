#include "granter_hot_runs.h"

#include <math.h>

/* Neighbouring requests belong to one hot run if they are closer to each other
   than this part of the distance between requests for cold keys.  */
#define HOT_GAP_PART 0.1

/* A gap within a run is at most this many times as long as its mean gap. Of
   runs of a hundred requests for random keys, one in thirty has a longer
   gap.  */
#define HOT_GAP_MEANS 8.0

/* A run extends beyond its first and last request by at most this many times
   the mean gap.  */
#define HOT_EDGE_MEANS 2u

/* Keys of a run count as equally hot if their counts differ less than chance
   by this many standard deviations.  */
#define VARIANCE_STANDARD_DEVIATIONS 2.0

/* Minimum number of requests of the window in a hot run.  */
#define HOT_RUN_MIN 4u

/* Position of the first of the sorted keys that is not below @key.  */
static uint32_t
_bgap_hot_search (const uint16_t *keys, uint32_t count, uint32_t key)
{
  uint32_t first = 0;
  uint32_t last = count;
  while (first < last)
    {
      uint32_t middle = first + (last - first) / 2;
      if (keys[middle] < key)
        first = middle + 1;
      else
        last = middle;
    }
  return first;
}

uint32_t
bgap_hot_position (const struct bgap_hot_input *input, uint32_t key)
{
  return _bgap_hot_search (input->keys, input->key_count, key);
}

/* How much more requests for the run came in the second half of the window
   than in its mean, if more. The reports of the first half may be from before
   the keys became hot.  */
static double
_bgap_hot_growth (const struct bgap_hot_input *input,
                  const struct bgap_hot_run *run)
{
  uint32_t newest = _bgap_hot_search (input->newest_keys, input->newest_count,
                                      run->last + 1)
                    - _bgap_hot_search (input->newest_keys,
                                        input->newest_count, run->first);
  double growth = 2.0 * newest / (run->end - run->begin);
  return growth > 1 ? growth : 1;
}

/* Expected requests per second of each key of a run. The counts of its keys
   are small, so each is moved towards the mean of the run, and the more so the
   less they differ beyond chance (the mean of a gamma distribution that is
   fitted to the counts).  */
void
bgap_hot_rates (const struct bgap_hot_input *input, double cold_per_s,
                const struct bgap_hot_run *run, double *rates)
{
  uint32_t keys = run->last - run->first + 1;
  double mean = (double)(run->end - run->begin) / keys;
  double variance = 0;
  for (uint32_t i = 0; i < keys; i++)
    rates[i] = 0;
  for (uint32_t i = run->begin; i < run->end; i++)
    rates[input->keys[i] - run->first]++;
  for (uint32_t i = 0; i < keys && keys > 1; i++)
    variance += (rates[i] - mean) * (rates[i] - mean) / (keys - 1);
  /* Part of a key's own count; the rest is the mean's. The variance of equal
     keys is that of chance, within the noise of its estimate.  */
  double chance
      = mean * (1 + VARIANCE_STANDARD_DEVIATIONS * sqrt (2.0 / keys));
  double own = variance > chance ? 1 - chance / variance : 0;
  if (keys == 1)
    own = 1;
  /* A load that is underestimated has to be spread a second time, so its
     standard deviation is added.  */
  double growth
      = _bgap_hot_growth (input, run) * (1 + 1 / sqrt (run->end - run->begin));
  for (uint32_t i = 0; i < keys; i++)
    rates[i] = growth * (own * rates[i] + (1 - own) * mean) / input->window_s
               + cold_per_s;
}

/* Cuts a run where its requests are much further apart than in its mean, and
   keeps the part with the most: cold keys beside it would be counted as hot
   ones.  */
static void
_bgap_hot_trim (const struct bgap_hot_input *input, struct bgap_hot_run *run)
{
  double gap = HOT_GAP_MEANS * (run->last - run->first + 1)
               / (double)(run->end - run->begin);
  struct bgap_hot_run best = { .begin = run->begin, .end = run->begin };
  uint32_t begin = run->begin;
  for (uint32_t i = run->begin + 1; i <= run->end; i++)
    {
      if (i < run->end && input->keys[i] - input->keys[i - 1] <= gap)
        continue;
      if (i - begin > best.end - best.begin)
        best = (struct bgap_hot_run){ .begin = begin, .end = i };
      begin = i;
    }
  run->begin = best.begin;
  run->end = best.end;
  run->first = input->keys[best.begin];
  run->last = input->keys[best.end - 1];
}

/* Extends a run at both ends, within its range, since the keys there may be
   hot without a request in the window.  */
static void
_bgap_hot_extend (const struct bgap_hot_range *range, struct bgap_hot_run *run)
{
  uint32_t keys = run->last - run->first + 1;
  if (run->end <= run->begin)
    return;
  uint32_t edge = HOT_EDGE_MEANS * keys / (run->end - run->begin);
  run->first
      = run->first - range->first > edge ? run->first - edge : range->first;
  run->last = range->last - run->last > edge ? run->last + edge : range->last;
}

bool
bgap_hot_next_run (const struct bgap_hot_input *input, double cold_per_s,
                   const struct bgap_hot_range *range, uint32_t begin,
                   struct bgap_hot_run *run)
{
  uint32_t end = bgap_hot_position (input, range->last + 1);
  double gap = HOT_GAP_PART / (cold_per_s * input->window_s);
  while (begin < end)
    {
      uint32_t next = begin + 1;
      while (next < end && input->keys[next] - input->keys[next - 1] <= gap)
        next++;
      if (next - begin >= HOT_RUN_MIN)
        {
          *run = (struct bgap_hot_run){ .first = input->keys[begin],
                                        .last = input->keys[next - 1],
                                        .begin = begin,
                                        .end = next };
          _bgap_hot_trim (input, run);
          _bgap_hot_extend (range, run);
          return true;
        }
      begin = next;
    }
  return false;
}

uint32_t
bgap_hot_top_key (const struct bgap_hot_input *input,
                  const struct bgap_hot_run *run, uint32_t *key)
{
  uint32_t most = 0;
  for (uint32_t i = run->begin; i < run->end;)
    {
      uint32_t next = i + 1;
      while (next < run->end && input->keys[next] == input->keys[i])
        next++;
      if (next - i > most)
        {
          most = next - i;
          *key = input->keys[i];
        }
      i = next;
    }
  return most;
}

bool
bgap_hot_is_planned (const struct bgap_hot_plan *plan, uint32_t key,
                     uint32_t *last)
{
  for (uint32_t i = 0; i < plan->count; i++)
    {
      const struct bgap_hot_piece *piece = &plan->pieces[i];
      if (key >= piece->first && key <= piece->last)
        {
          *last = piece->last < *last ? piece->last : *last;
          return true;
        }
      if (piece->first > key && piece->first <= *last)
        *last = piece->first - 1;
    }
  return false;
}
