#include <stdlib.h>
#include <string.h>

#include "granter_candidates.h"

/* Each range is renewed by its own call, so above this number of ranges per
   server, or half of the largest number, small ones are merged: those with the
   least load first, and only a few at a time. The number remains above that of
   the servers, or ranges would be merged and divided again without end.  */
#define RANGES_PER_SERVER 2u
#define RANGES_PER_SERVER_MIN_PERCENT 125u
#define FRAGMENTS_MOVED_MIN 4u
#define FRAGMENTS_MOVED_MAX 24u

/* Each pass merges one in this many of the ranges above the limit, so that
   those of a hot span are merged over seconds.  */
#define EXCESS_PER_FRAGMENT 4u

bool
bgap_merge_neighbours (struct bgap_assignment *next, uint64_t token)
{
  bool merged = false;
  for (uint32_t i = 1; i < next->count;)
    {
      const struct bgap_key_range left = next->ranges[i - 1];
      const struct bgap_key_range right = next->ranges[i];
      uint32_t count = next->count;
      struct bgap_key_range value = left;
      value.token = token;
      if (left.server[0] == '\0' || left.moving || right.moving
          || left.started_ms != right.started_ms
          || strcmp (left.server, right.server) != 0
          || bgap_assignment_set (next, left.first, right.last, &value)
                 != BGAP_OK)
        {
          i++;
          continue;
        }
      merged = true;
      /* The merged range may now equal the one before it.  */
      if (next->count == count)
        i++;
    }
  return merged;
}

/**
 * struct fragment - a range that the server of a neighbouring range could take
 */
struct fragment
{
  uint32_t first;
  uint32_t last;
  uint64_t load;
};

static int
_bgap_merge_by_load (const void *left, const void *right)
{
  const struct fragment *a = left;
  const struct fragment *b = right;
  return (a->load > b->load) - (a->load < b->load);
}

uint32_t
bgap_merge_limit (const struct bgap_granter *g, uint32_t servers)
{
  uint32_t limit = bgap_leases_ranges_max (g) / 2;
  if (limit > servers * RANGES_PER_SERVER)
    limit = servers * RANGES_PER_SERVER;
  if (limit < servers * RANGES_PER_SERVER_MIN_PERCENT / 100)
    limit = servers * RANGES_PER_SERVER_MIN_PERCENT / 100;
  return limit;
}

bool
bgap_merge_fragments (struct bgap_granter *g, int64_t now_ms,
                      struct bgap_assignment *next, uint64_t token)
{
  uint32_t candidate_count = 0;
  bool moved = false;
  struct bgap_candidate *candidates
      = bgap_candidates_list (g, now_ms, next, &candidate_count);
  struct fragment *fragments = calloc (next->count, sizeof *fragments);
  uint32_t fragment_count = 0;
  uint32_t limit = bgap_merge_limit (g, candidate_count);
  uint32_t excess = next->count > limit ? next->count - limit : 0;
  if (excess == 0)
    candidate_count = 0;
  for (uint32_t i = 0;
       candidate_count > 0 && fragments != NULL && i < next->count; i++)
    {
      const struct bgap_key_range *range = &next->ranges[i];
      if (bgap_candidates_keeps_keys (g, range->server))
        continue;
      uint64_t load
          = bgap_candidates_range_load (g, range->first, range->last);
      if (bgap_candidates_neighbour (next, candidates, candidate_count,
                                     range->first, range->last, load)
          != NULL)
        fragments[fragment_count++]
            = (struct fragment){ range->first, range->last, load };
    }
  if (fragment_count > 0)
    qsort (fragments, fragment_count, sizeof *fragments, _bgap_merge_by_load);
  uint32_t most = excess / EXCESS_PER_FRAGMENT;
  if (most < FRAGMENTS_MOVED_MIN)
    most = excess < FRAGMENTS_MOVED_MIN ? excess : FRAGMENTS_MOVED_MIN;
  if (most > FRAGMENTS_MOVED_MAX)
    most = FRAGMENTS_MOVED_MAX;
  for (uint32_t i = 0; i < fragment_count && i < most; i++)
    {
      struct bgap_key_range range
          = *bgap_assignment_find (next, fragments[i].first);
      range.moving = true;
      range.token = token;
      moved = bgap_assignment_set (next, fragments[i].first, fragments[i].last,
                                   &range)
                  == BGAP_OK
              || moved;
    }
  free (fragments);
  free (candidates);
  return moved;
}
