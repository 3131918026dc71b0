#include <stdlib.h>
#include <string.h>

#include "granter_rooms.h"

/* Each range is renewed by a call of its own, so that more ranges than this
   per server are brought together again, the least busy ones first and a few
   at a time.  */
#define RANGES_PER_SERVER 4u
#define DEFRAGMENT_MAX 12u

bool
bgap_balance_join (struct bgap_assignment *next, uint64_t fence)
{
  bool joined = false;
  for (uint32_t i = 1; i < next->count; i++)
    {
      const struct bgap_key_range left = next->ranges[i - 1];
      const struct bgap_key_range right = next->ranges[i];
      if (left.server[0] == '\0' || left.moving || right.moving
          || left.born_ms != right.born_ms
          || strcmp (left.server, right.server) != 0)
        continue;
      struct bgap_key_range value = left;
      value.fence = fence;
      if (bgap_assignment_set (next, left.first, right.last, &value)
          != BGAP_OK)
        break;
      joined = true;
      i = 0;
    }
  return joined;
}

/**
 * struct fragment - a range that a neighbour's server could take
 */
struct fragment
{
  uint32_t first;
  uint32_t last;
  uint64_t load;
};

static int
_bgap_gather_by_load (const void *left, const void *right)
{
  const struct fragment *a = left;
  const struct fragment *b = right;
  return (a->load > b->load) - (a->load < b->load);
}

bool
bgap_balance_defragment (struct bgap_granter *g, int64_t now_ms,
                         struct bgap_assignment *next, uint64_t fence)
{
  uint32_t count = 0;
  bool moved = false;
  struct bgap_room *rooms = bgap_rooms_list (g, now_ms, next, &count);
  struct fragment *fragments = calloc (next->count, sizeof *fragments);
  uint32_t found = 0;
  if (next->count <= count * RANGES_PER_SERVER)
    count = 0;
  for (uint32_t i = 0; count > 0 && fragments != NULL && i < next->count; i++)
    {
      const struct bgap_key_range *range = &next->ranges[i];
      uint64_t load = bgap_rooms_load (g, range->first, range->last);
      if (bgap_rooms_neighbour (next, rooms, count, range->first, range->last,
                                load)
          != NULL)
        fragments[found++]
            = (struct fragment){ range->first, range->last, load };
    }
  if (found > 0)
    qsort (fragments, found, sizeof *fragments, _bgap_gather_by_load);
  for (uint32_t i = 0; i < found && i < DEFRAGMENT_MAX; i++)
    {
      struct bgap_key_range range
          = *bgap_assignment_find (next, fragments[i].first);
      range.moving = true;
      range.fence = fence;
      moved = bgap_assignment_set (next, fragments[i].first, fragments[i].last,
                                   &range)
                  == BGAP_OK
              || moved;
    }
  free (fragments);
  free (rooms);
  return moved;
}
