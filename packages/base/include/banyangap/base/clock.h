#ifndef BANYANGAP_BASE_CLOCK_H
#define BANYANGAP_BASE_CLOCK_H

/*
 * Time source as a function table, so that tests can substitute their own.
 *
 *   const struct bgap_clock *clock = bgap_clock_system ();
 *   int64_t now_ms = clock->now_ms (clock->context);
 */

#include <stdint.h>

/**
 * struct bgap_clock - time source
 * @now_ms: milliseconds on a monotonic clock that counts suspended time
 * @wall_ms: milliseconds since 1970-01-01 UTC
 * @context: passed to both functions
 */
struct bgap_clock
{
  int64_t (*now_ms) (void *context);
  int64_t (*wall_ms) (void *context);
  void *context;
};

/**
 * bgap_clock_system() - clock based on CLOCK_BOOTTIME and CLOCK_REALTIME
 */
const struct bgap_clock *bgap_clock_system (void);

#endif
