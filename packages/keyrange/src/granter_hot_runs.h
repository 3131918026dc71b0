#ifndef BANYANGAP_KEYRANGE_GRANTER_HOT_RUNS_H
#define BANYANGAP_KEYRANGE_GRANTER_HOT_RUNS_H

/*
 * Runs of neighbouring keys with many requests, for granter_hot_spans.c:
 *
 *   struct bgap_hot_run run = { 0 };
 *   uint32_t begin = bgap_hot_position (input, range->first);
 *   for (; bgap_hot_next_run (input, cold_per_s, range, begin, &run);
 *        begin = run.end)
 *     bgap_hot_rates (input, cold_per_s, &run, rates);
 */

#include "granter_hot_spans.h"

/**
 * struct bgap_hot_run - neighbouring keys that are hot
 * @begin, @end: their requests in the input, @end excluded
 */
struct bgap_hot_run
{
  uint32_t first;
  uint32_t last;
  uint32_t begin;
  uint32_t end;
};

/**
 * bgap_hot_position() - position of the first request whose key is not below
 * @key
 */
uint32_t bgap_hot_position (const struct bgap_hot_input *input, uint32_t key);

/**
 * bgap_hot_next_run() - find the next hot run of a range
 * @cold_per_s: requests per second for a cold key
 * @begin: request from which to search
 *
 * Return: whether there is one.
 */
bool bgap_hot_next_run (const struct bgap_hot_input *input, double cold_per_s,
                        const struct bgap_hot_range *range, uint32_t begin,
                        struct bgap_hot_run *run);

/**
 * bgap_hot_rates() - expected requests per second of each key of a run
 */
void bgap_hot_rates (const struct bgap_hot_input *input, double cold_per_s,
                     const struct bgap_hot_run *run, double *rates);

/**
 * bgap_hot_top_key() - key of the run with the most requests
 * @key: set to it
 *
 * Return: their number in the window.
 */
uint32_t bgap_hot_top_key (const struct bgap_hot_input *input,
                           const struct bgap_hot_run *run, uint32_t *key);

/**
 * bgap_hot_is_planned() - whether a key is in a piece of the plan
 * @last: the last key to be examined; lowered to the last one up to which the
 *   answer is the same
 */
bool bgap_hot_is_planned (const struct bgap_hot_plan *plan, uint32_t key,
                          uint32_t *last);

#endif
