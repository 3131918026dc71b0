#ifndef BGAPD_NOW_H
#define BGAPD_NOW_H

#include <sys/time.h>

#include "banyangap/base/clock.h"

/**
 * bgap_now_ms() - monotonic time that counts suspended time
 *
 * Read it for each event: the expiry of leases must not be checked against a
 * time that the event loop cached before the process was paused.
 */
static inline int64_t
bgap_now_ms (void)
{
  const struct bgap_clock *clock = bgap_clock_system ();
  return clock->now_ms (clock->context);
}

/**
 * bgap_wall_ms() - milliseconds since 1970-01-01 UTC
 */
static inline int64_t
bgap_wall_ms (void)
{
  const struct bgap_clock *clock = bgap_clock_system ();
  return clock->wall_ms (clock->context);
}

/**
 * bgap_timeval() - convert milliseconds to the time type of libevent
 */
static inline struct timeval
bgap_timeval (long ms)
{
  return (struct timeval){ .tv_sec = ms / 1000, .tv_usec = ms % 1000 * 1000L };
}

#endif
