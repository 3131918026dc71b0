#ifndef BANYANGAP_BASE_REPEAT_H
#define BANYANGAP_BASE_REPEAT_H

/*
 * When a message that may get lost is sent again, by one of many that could
 * send it.
 *
 *   struct bgap_repeat repeat = { 0 };
 *   bgap_repeat_begin (&repeat, now_ms,
 *                      &(struct bgap_repeat_desc){ .first_ms = 400,
 *                                                  .max_ms = 8000 });
 *   ...   send the message
 *   if (bgap_repeat_take (&repeat, later_ms))
 *     ...   send it again
 *   ...   another sender's message has arrived
 *   bgap_repeat_postpone (&repeat, later_ms);
 *
 * The interval doubles with each repeat, also with those of other senders.
 * Within an interval the repeat is due in its second half, at the place of the
 * sender, so that one with a later place postpones its own. Times are in
 * milliseconds. The module reads no clock.
 */

#include <stdbool.h>
#include <stdint.h>

/**
 * struct bgap_repeat_desc - how a message is repeated
 * @first_ms: first interval
 * @max_ms: longest interval
 * @place: when in the second half of an interval a repeat is due, from 0 to 1
 */
struct bgap_repeat_desc
{
  int64_t first_ms;
  int64_t max_ms;
  double place;
};

/**
 * struct bgap_repeat - repeats of one message; all zero while none are due
 * @desc: how it is repeated
 * @interval_ms: the present interval
 * @next_ms: when the next repeat is due
 * @count: number of repeats so far
 */
struct bgap_repeat
{
  struct bgap_repeat_desc desc;
  int64_t interval_ms;
  int64_t next_ms;
  uint32_t count;
};

/**
 * bgap_repeat_begin() - the message was sent for the first time
 */
void bgap_repeat_begin (struct bgap_repeat *repeat, int64_t now_ms,
                        const struct bgap_repeat_desc *desc);

/**
 * bgap_repeat_take() - whether a repeat is due; if so, it counts as sent
 *
 * The next interval starts at @now_ms, so that a late call is not followed by
 * several repeats at once.
 */
bool bgap_repeat_take (struct bgap_repeat *repeat, int64_t now_ms);

/**
 * bgap_repeat_postpone() - another sender has repeated the message; nothing if
 * no repeats have begun
 */
void bgap_repeat_postpone (struct bgap_repeat *repeat, int64_t now_ms);

#endif
