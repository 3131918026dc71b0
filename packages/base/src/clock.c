#include "banyangap/base/clock.h"

#include <stddef.h>
#include <time.h>

static int64_t
_bgap_clock_read_ms (clockid_t id)
{
  struct timespec ts = { 0 };
  clock_gettime (id, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static int64_t
_bgap_clock_now_ms (void *context)
{
  (void)context;
  return _bgap_clock_read_ms (CLOCK_BOOTTIME);
}

static int64_t
_bgap_clock_wall_ms (void *context)
{
  (void)context;
  return _bgap_clock_read_ms (CLOCK_REALTIME);
}

const struct bgap_clock *
bgap_clock_system (void)
{
  static const struct bgap_clock clock = {
    .now_ms = _bgap_clock_now_ms,
    .wall_ms = _bgap_clock_wall_ms,
  };
  return &clock;
}
