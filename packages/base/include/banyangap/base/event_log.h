#ifndef BANYANGAP_BASE_EVENT_LOG_H
#define BANYANGAP_BASE_EVENT_LOG_H

/*
 * Structured log of decisions on standard output: one line per event, with
 * fields as name=value.
 *
 *   static struct bgap_event_kind refused = { .name = "refused" };
 *   bgap_event_log_setup ();
 *   bgap_event (&refused, "request=%s reason=%s", id, reason);
 *   bgap_event_log_flush ();
 *
 * Writing never blocks: lines that standard output does not accept are
 * buffered up to a limit and then dropped. Each kind of event has its own rate
 * limit; a line "suppressed" reports the number of lines dropped by either
 * limit.
 */

#include <stdint.h>

/**
 * struct bgap_event_kind - event type with its rate limit; owned by the caller
 * @name: value of the field event= in its lines
 * @per_second: sustained lines per second; 0 means 40
 * @burst: lines that may be written at once; 0 means 200
 */
struct bgap_event_kind
{
  const char *name;
  uint32_t per_second;
  uint32_t burst;

  /* Private.  */
  int64_t refilled_ms;
  uint64_t allowance_thousandths;
  uint64_t suppressed;
};

/**
 * bgap_event_log_setup() - make standard output non-blocking
 */
void bgap_event_log_setup (void);

/**
 * bgap_event() - log an event, subject to the rate limit of its kind
 */
void bgap_event (struct bgap_event_kind *kind, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/**
 * bgap_event_log_flush() - write buffered lines until standard output would
 * block
 */
void bgap_event_log_flush (void);

/**
 * bgap_event_log_suppressed() - number of lines dropped since process start
 */
uint64_t bgap_event_log_suppressed (void);

#endif
