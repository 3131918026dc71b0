#include <math.h>
#include <stdlib.h>

#include "simulation.h"

void
sim_push_event (struct simulation *s, struct event event)
{
  if (s->event_count == s->event_capacity)
    {
      s->event_capacity = s->event_capacity ? s->event_capacity * 2 : 1024;
      s->events = realloc (s->events, s->event_capacity * sizeof *s->events);
      if (s->events == NULL)
        exit (1);
    }
  size_t i = s->event_count++;
  while (i > 0 && s->events[(i - 1) / 2].at_us > event.at_us)
    {
      s->events[i] = s->events[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  s->events[i] = event;
}

struct event
sim_pop_event (struct simulation *s)
{
  struct event top = s->events[0];
  struct event last = s->events[--s->event_count];
  size_t i = 0;
  for (;;)
    {
      size_t child = 2 * i + 1;
      if (child >= s->event_count)
        break;
      if (child + 1 < s->event_count
          && s->events[child + 1].at_us < s->events[child].at_us)
        child++;
      if (s->events[child].at_us >= last.at_us)
        break;
      s->events[i] = s->events[child];
      i = child;
    }
  s->events[i] = last;
  return top;
}

void
sim_schedule (struct simulation *s, int64_t delay_us, enum event_kind kind,
              uint32_t index, enum bgap_result_kind result)
{
  uint32_t generation = 0;
  if (kind == EVENT_ARRIVAL || kind == EVENT_COMPLETION
      || kind == EVENT_RESULT)
    generation = s->attempts[index].generation;
  sim_push_event (s, (struct event){ .at_us = s->now_us + delay_us,
                                     .kind = kind,
                                     .index = index,
                                     .generation = generation,
                                     .result = result });
}

double
sim_exponential (struct simulation *s, double mean)
{
  double uniform
      = (double)(bgap_random_next (&s->random) >> 11) / 9007199254740992.0;
  return -mean * log (1.0 - uniform);
}
