#include "banyangap/routing/window_count.h"

#include <string.h>

#define PART_MS (BGAP_WINDOW_MS / BGAP_WINDOW_PARTS)

void
bgap_window_count_add (struct bgap_window_count *count, int64_t now_ms)
{
  int64_t part = now_ms / PART_MS;
  if (part - count->newest >= BGAP_WINDOW_PARTS)
    memset (count->parts, 0, sizeof count->parts);
  else
    for (int64_t i = count->newest + 1; i <= part; i++)
      count->parts[i % BGAP_WINDOW_PARTS] = 0;
  if (part > count->newest)
    count->newest = part;
  count->parts[count->newest % BGAP_WINDOW_PARTS]++;
}

uint32_t
bgap_window_count_get (const struct bgap_window_count *count, int64_t now_ms)
{
  int64_t oldest = now_ms / PART_MS - BGAP_WINDOW_PARTS + 1;
  uint32_t sum = 0;
  for (int64_t i = count->newest;
       i > count->newest - BGAP_WINDOW_PARTS && i >= oldest && i >= 0; i--)
    sum += count->parts[i % BGAP_WINDOW_PARTS];
  return sum;
}
