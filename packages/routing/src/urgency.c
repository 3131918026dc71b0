#include "banyangap/routing/urgency.h"

/* Part of a server's queue for requests that are less urgent than others of
   the service. With none, slots would stay idle between two load reports of
   the server.  */
#define LESS_URGENT_PERCENT 25u

/* Number of recent requests from which a class counts as present. A single one
   may be a probe.  */
#define PRESENT_MIN 2u

void
bgap_urgency_note (struct bgap_urgency *urgency, int64_t now_ms,
                   enum bgap_class class_)
{
  if (class_ > BGAP_CLASS_DEFAULT && class_ < BGAP_CLASS_COUNT)
    bgap_window_count_add (&urgency->arrivals[class_], now_ms);
}

uint32_t
bgap_urgency_queue_percent (const struct bgap_urgency *urgency, int64_t now_ms,
                            enum bgap_class class_)
{
  for (int other = BGAP_CLASS_DEFAULT + 1; other < (int)class_; other++)
    if (bgap_window_count_get (&urgency->arrivals[other], now_ms)
        >= PRESENT_MIN)
      return LESS_URGENT_PERCENT;
  return 100;
}
