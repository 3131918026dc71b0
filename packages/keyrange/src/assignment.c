#include "banyangap/keyrange/assignment.h"

#include <stdlib.h>
#include <string.h>

#include "banyangap/base/array.h"

/* A change adds at most two ranges: the remainders of the old ranges on both
   sides.  */
#define RANGES_ADDED_MAX 2u

static enum bgap_status
_bgap_assignment_reserve (struct bgap_assignment *assignment, uint32_t count)
{
  return bgap_array_reserve (&assignment->ranges, &assignment->capacity, count,
                             sizeof *assignment->ranges);
}

enum bgap_status
bgap_assignment_setup (struct bgap_assignment *assignment)
{
  *assignment = (struct bgap_assignment){ 0 };
  if (_bgap_assignment_reserve (assignment, 1) != BGAP_OK)
    return BGAP_ERR_NO_MEMORY;
  assignment->count = 1;
  assignment->ranges[0]
      = (struct bgap_key_range){ .last = BGAP_KEY_COUNT - 1 };
  return BGAP_OK;
}

void
bgap_assignment_shutdown (struct bgap_assignment *assignment)
{
  free (assignment->ranges);
  *assignment = (struct bgap_assignment){ 0 };
}

enum bgap_status
bgap_assignment_copy (struct bgap_assignment *to,
                      const struct bgap_assignment *from)
{
  if (_bgap_assignment_reserve (to, from->count) != BGAP_OK)
    return BGAP_ERR_NO_MEMORY;
  struct bgap_key_range *ranges = to->ranges;
  uint32_t capacity = to->capacity;
  *to = *from;
  to->ranges = ranges;
  to->capacity = capacity;
  if (from->count > 0)
    memcpy (ranges, from->ranges, from->count * sizeof *ranges);
  return BGAP_OK;
}

static uint32_t
_bgap_assignment_index (const struct bgap_assignment *assignment, uint32_t key)
{
  uint32_t low = 0;
  uint32_t high = assignment->count - 1;
  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;
      if (assignment->ranges[middle].last < key)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

const struct bgap_key_range *
bgap_assignment_find (const struct bgap_assignment *assignment, uint32_t key)
{
  if (assignment->count == 0 || key >= BGAP_KEY_COUNT)
    return NULL;
  return &assignment->ranges[_bgap_assignment_index (assignment, key)];
}

static bool
_bgap_key_range_same_value (const struct bgap_key_range *a,
                            const struct bgap_key_range *b)
{
  return a->token == b->token && a->started_ms == b->started_ms
         && a->moving == b->moving && a->unconfirmed == b->unconfirmed
         && strcmp (a->server, b->server) == 0;
}

/* Merges neighbours that differ only in their keys.  */
static void
_bgap_assignment_merge (struct bgap_assignment *assignment)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < assignment->count; i++)
    {
      struct bgap_key_range *range = &assignment->ranges[i];
      if (count > 0
          && _bgap_key_range_same_value (&assignment->ranges[count - 1],
                                         range))
        assignment->ranges[count - 1].last = range->last;
      else
        assignment->ranges[count++] = *range;
    }
  assignment->count = count;
}

enum bgap_status
bgap_assignment_set (struct bgap_assignment *assignment, uint32_t first,
                     uint32_t last, const struct bgap_key_range *value)
{
  if (first > last || last >= BGAP_KEY_COUNT || assignment->count == 0)
    return BGAP_ERR_INVALID;
  if (assignment->count + RANGES_ADDED_MAX > BGAP_KEY_RANGES_MAX)
    return BGAP_ERR_FULL;
  enum bgap_status status = _bgap_assignment_reserve (
      assignment, assignment->count + RANGES_ADDED_MAX);
  if (status != BGAP_OK)
    return status;
  uint32_t low = _bgap_assignment_index (assignment, first);
  uint32_t high = _bgap_assignment_index (assignment, last);
  struct bgap_key_range pieces[3];
  uint32_t count = 0;
  struct bgap_key_range left = assignment->ranges[low];
  struct bgap_key_range right = assignment->ranges[high];
  if (left.first < first)
    {
      left.last = first - 1;
      pieces[count++] = left;
    }
  pieces[count] = *value;
  pieces[count].first = first;
  pieces[count++].last = last;
  if (right.last > last)
    {
      right.first = last + 1;
      pieces[count++] = right;
    }
  uint32_t rest = assignment->count - high - 1;
  memmove (&assignment->ranges[low + count], &assignment->ranges[high + 1],
           rest * sizeof *assignment->ranges);
  memcpy (&assignment->ranges[low], pieces, count * sizeof *pieces);
  assignment->count = low + count + rest;
  _bgap_assignment_merge (assignment);
  return BGAP_OK;
}
