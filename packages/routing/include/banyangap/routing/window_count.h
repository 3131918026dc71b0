#ifndef BANYANGAP_ROUTING_WINDOW_COUNT_H
#define BANYANGAP_ROUTING_WINDOW_COUNT_H

/*
 * Counts events within a sliding window of time.
 *
 *   struct bgap_window_count sent = { 0 };
 *   bgap_window_count_add (&sent, now_ms);
 *   uint32_t count = bgap_window_count_get (&sent, now_ms);
 */

#include <stdint.h>

/* Duration of the window, and the number of parts in which it slides.  */
#define BGAP_WINDOW_MS 4000
#define BGAP_WINDOW_PARTS 8

/**
 * struct bgap_window_count - the counter; zeroed means empty
 * @parts: events by part of the window, each one reused for a later part
 * @newest: number of the newest part since time 0
 */
struct bgap_window_count
{
  uint32_t parts[BGAP_WINDOW_PARTS];
  int64_t newest;
};

/**
 * bgap_window_count_add() - count one event
 */
void bgap_window_count_add (struct bgap_window_count *count, int64_t now_ms);

/**
 * bgap_window_count_get() - events within the last BGAP_WINDOW_MS, to the
 * precision of a part
 */
uint32_t bgap_window_count_get (const struct bgap_window_count *count,
                                int64_t now_ms);

#endif
