#include "world_private.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "oracle.h"

#define US_PER_MS 1000
#define PPM 1000000

/* True time at the start. It is high enough that no clock is negative.  */
#define START_US INT64_C (1000000000)

#define MAX_CLOCK_OFFSET_MS 500000

static void
_bgap_world_set_defaults (struct bgap_world_desc *desc)
{
  if (desc->instances == 0)
    desc->instances = 5;
  if (desc->servers == 0)
    desc->servers = 3;
  if (desc->services == 0)
    desc->services = 1;
  if (desc->slices == 0)
    desc->slices = 8;
  if (desc->zones == 0)
    desc->zones = 1;
  if (desc->witnesses == 0)
    desc->witnesses = 3;
  if (desc->latency_us == 0)
    desc->latency_us = 1000;
  if (desc->log_latency_us == 0)
    desc->log_latency_us = 10000;
}

struct bgap_world *
bgap_world_setup (const struct bgap_world_desc *desc)
{
  struct bgap_world *w = calloc (1, sizeof *w);
  if (w == NULL)
    abort ();
  w->desc = *desc;
  _bgap_world_set_defaults (&w->desc);
  w->now_us = START_US;
  w->random.state = desc->seed;
  w->log.first = 1;
  w->net.jitter_us = w->desc.jitter_us;
  if (desc->check)
    w->oracle = bgap_oracle_setup (w);
  for (uint32_t i = 0; i < w->desc.servers; i++)
    bgap_world_server_start (w, i);
  for (uint32_t i = 0; i < w->desc.instances; i++)
    {
      struct bgap_world_instance *instance = &w->instances[i];
      snprintf (instance->name, sizeof instance->name, "e%u", i);
      snprintf (instance->zone, sizeof instance->zone, "z%u",
                i % w->desc.zones);
      instance->members = (1u << w->desc.instances) - 1;
      bgap_world_init_clock (w, &instance->clock);
    }
  for (uint32_t i = 0; i < w->desc.instances; i++)
    bgap_world_instance_start (w, i);
  return w;
}

void
bgap_world_shutdown (struct bgap_world *w)
{
  for (uint32_t i = 0; i < w->desc.instances; i++)
    {
      bgap_engine_shutdown (w->instances[i].engine);
      bgap_world_inbox_clear (&w->instances[i].inbox);
    }
  for (uint32_t i = 0; i < BGAP_WORLD_PROCESSES; i++)
    bgap_world_server_stop (&w->processes[i]);
  for (uint32_t i = 0; i < w->heap_count; i++)
    bgap_world_event_free (w->heap[i]);
  free (w->heap);
  bgap_world_history_shutdown (w);
  bgap_world_log_shutdown (w);
  bgap_oracle_shutdown (w->oracle);
  free (w);
}

void
bgap_world_trace (struct bgap_world *w, const char *format, ...)
{
  if (w->desc.trace == NULL)
    return;
  char line[512];
  int64_t ms = (w->now_us - START_US) / US_PER_MS;
  int size = snprintf (line, sizeof line, "%8lld ", (long long)ms);
  va_list args;
  va_start (args, format);
  vsnprintf (line + size, sizeof line - (size_t)size, format, args);
  va_end (args);
  w->desc.trace (w->desc.trace_context, line);
}

int64_t
bgap_world_local_ms (const struct bgap_world *w,
                     const struct bgap_world_clock *clock)
{
  int64_t drift_us = w->now_us / PPM * clock->ppm;
  return clock->offset_ms + (w->now_us + drift_us) / US_PER_MS;
}

void
bgap_world_init_clock (struct bgap_world *w, struct bgap_world_clock *clock)
{
  uint32_t ppm = w->desc.clock_ppm;
  clock->offset_ms
      = (int64_t)bgap_random_below (&w->random, MAX_CLOCK_OFFSET_MS);
  /* Only the two extreme rates and the exact one are drawn: the extremes are
     the critical cases.  */
  static const int signs[] = { -1, 0, 1 };
  clock->ppm = signs[bgap_random_below (&w->random, 3)] * (int32_t)ppm;
}

static void
_bgap_world_dispatch (struct bgap_world *w, struct bgap_world_event *event)
{
  switch (event->kind)
    {
    case BGAP_WORLD_HELLO:
    case BGAP_WORLD_RENEW:
    case BGAP_WORLD_RESUME_SERVER:
    case BGAP_WORLD_START_SERVER:
      bgap_world_server_event (w, event);
      return;
    case BGAP_WORLD_APPEND:
    case BGAP_WORLD_READ:
    case BGAP_WORLD_READ_TIMEOUT:
    case BGAP_WORLD_END:
    case BGAP_WORLD_LOG_UP:
      bgap_world_log_event (w, event);
      return;
    default:
      bgap_world_instance_event (w, event);
    }
}

void
bgap_world_run_ms (struct bgap_world *w, int64_t ms)
{
  int64_t until_us = w->now_us + ms * US_PER_MS;
  for (struct bgap_world_event *event = bgap_world_next_event (w, until_us);
       event; event = bgap_world_next_event (w, until_us))
    {
      w->now_us = event->at_us;
      w->events++;
      _bgap_world_dispatch (w, event);
      if (w->oracle)
        bgap_oracle_trace_holders (w->oracle);
    }
  w->now_us = until_us;
}
