#include "banyangap/base/repeat.h"

/* A message is lost if there is no connection to its receiver, which opens
   within 50 ms to 500 ms. A receiver that starts later gets it within the
   longest interval.  */
#define INTERVAL_FIRST_MS 200
#define INTERVAL_MAX_MS 4000

void
bgap_repeat_begin (struct bgap_repeat *repeat, int64_t now_ms)
{
  *repeat = (struct bgap_repeat){ .interval_ms = INTERVAL_FIRST_MS,
                                  .next_ms = now_ms + INTERVAL_FIRST_MS };
}

bool
bgap_repeat_take (struct bgap_repeat *repeat, int64_t now_ms)
{
  if (repeat->interval_ms == 0 || now_ms < repeat->next_ms)
    return false;
  repeat->interval_ms *= 2;
  if (repeat->interval_ms > INTERVAL_MAX_MS)
    repeat->interval_ms = INTERVAL_MAX_MS;
  repeat->next_ms = now_ms + repeat->interval_ms;
  repeat->count++;
  return true;
}
