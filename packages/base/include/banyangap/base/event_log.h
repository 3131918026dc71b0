#ifndef BANYANGAP_BASE_EVENT_LOG_H
#define BANYANGAP_BASE_EVENT_LOG_H

/*
 * Structured log of decisions on standard output: one line an event, fields as
 * name=value.
 *
 *   static struct bgap_event_kind refused = { .name = "refused" };
 *   bgap_event_log_setup ();
 *   bgap_event (&refused, "request=%s reason=%s", id, reason);
 *   bgap_event_log_flush ();
 *
 * Writing never blocks: what the reader does not take is kept up to a limit
 * and then dropped. Each kind has a rate of its own; a line "suppressed"
 * counts what was left out.
 */

#include <stdint.h>

/**
 * struct bgap_event_kind - a kind of event; the caller keeps it
 * @name: first field of its lines
 * @per_second: lines a second; 0 means 40
 * @burst: lines that can be saved up; 0 means 200
 */
struct bgap_event_kind
{
  const char *name;
  uint32_t per_second;
  uint32_t burst;

  /* Private.  */
  int64_t refilled_ms;
  uint64_t thousandths;
  uint64_t suppressed;
};

/**
 * bgap_event_log_setup() - make standard output non-blocking
 */
void bgap_event_log_setup (void);

/**
 * bgap_event() - write a line
 */
void bgap_event (struct bgap_event_kind *kind, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/**
 * bgap_event_log_flush() - write what is kept, as far as the reader takes it
 */
void bgap_event_log_flush (void);

/**
 * bgap_event_log_suppressed() - lines left out since the start
 */
uint64_t bgap_event_log_suppressed (void);

#endif
