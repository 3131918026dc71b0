#ifndef BANYANGAP_BASE_REPEAT_H
#define BANYANGAP_BASE_REPEAT_H

/*
 * When a message that may get lost is sent again.
 *
 *   struct bgap_repeat repeat = { 0 };
 *   bgap_repeat_begin (&repeat, now_ms);
 *   ...   send the message
 *   if (bgap_repeat_take (&repeat, later_ms))
 *     ...   send it again
 *
 * The interval doubles from 200 ms to 4 s. Times are in milliseconds. The
 * module reads no clock.
 */

#include <stdbool.h>
#include <stdint.h>

/**
 * struct bgap_repeat - repeats of one message; all zero while none are due
 * @next_ms: when the next one is due
 * @interval_ms: time between it and the one before
 * @count: number of repeats so far
 */
struct bgap_repeat
{
  int64_t next_ms;
  int64_t interval_ms;
  uint32_t count;
};

/**
 * bgap_repeat_begin() - the message is sent for the first time
 */
void bgap_repeat_begin (struct bgap_repeat *repeat, int64_t now_ms);

/**
 * bgap_repeat_take() - whether a repeat is due; if so, it counts as sent
 *
 * The interval to the next one starts at @now_ms, so that a late call is not
 * followed by several repeats at once.
 */
bool bgap_repeat_take (struct bgap_repeat *repeat, int64_t now_ms);

#endif
