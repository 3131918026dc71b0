#ifndef BANYANGAP_KEYRANGE_GRANTER_HOT_SPANS_H
#define BANYANGAP_KEYRANGE_GRANTER_HOT_SPANS_H

/*
 * Decides how the keys of overloaded servers are spread. It has no state and
 * no clock; granter_spread.c collects its input and carries out its result.
 *
 *   struct bgap_hot_plan plan = { 0 };
 *   if (bgap_hot_spans_plan (&input, &plan) == BGAP_OK)
 *     for (uint32_t i = 0; i < plan.count; i++)
 *       ...   plan.pieces[i] moves
 *   bgap_hot_plan_shutdown (&plan);
 *
 * A server is overloaded if the newest requests for its keys exceed what its
 * slots can run by more than the noise of their number. Its requests lie in
 * runs of neighbouring keys with many requests, and between them in cold keys.
 * The hot runs are divided among the servers with the most spare capacity; the
 * server keeps as much of them as it can run beside its cold keys. A key that
 * no server can run beside other keys stays alone: the others move away from
 * it.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "banyangap/base/status.h"

/**
 * struct bgap_hot_server - a server
 * @capacity_per_s: requests that its slots can run
 * @load_per_s: requests for its keys, by counts of seconds; it may lag
 * @is_usable: it can take and give away keys
 */
struct bgap_hot_server
{
  double capacity_per_s;
  double load_per_s;
  bool is_usable;
};

/* Server of a range that has none.  */
#define BGAP_HOT_NO_SERVER UINT32_MAX

/**
 * struct bgap_hot_range - a range of keys
 * @server: index of its holder, or of the server that gets it next
 * @is_moving: it changes its holder
 */
struct bgap_hot_range
{
  uint32_t first;
  uint32_t last;
  uint32_t server;
  bool is_moving;
};

/**
 * struct bgap_hot_input - what the decision is based on
 * @keys: keys of the newest requests, sorted
 * @window_s: time in which they came
 * @newest_keys: those of the second half of the window, sorted
 * @ranges: all ranges, by key
 * @pieces_max: maximum number of pieces
 */
struct bgap_hot_input
{
  const uint16_t *keys;
  uint32_t key_count;
  double window_s;
  const uint16_t *newest_keys;
  uint32_t newest_count;
  const struct bgap_hot_range *ranges;
  uint32_t range_count;
  const struct bgap_hot_server *servers;
  uint32_t server_count;
  uint32_t pieces_max;
};

/**
 * struct bgap_hot_piece - keys that move to server @to
 * @per_s: expected requests
 */
struct bgap_hot_piece
{
  uint32_t first;
  uint32_t last;
  uint32_t from;
  uint32_t to;
  double per_s;
};

/**
 * struct bgap_hot_plan - the decision
 * @pieces: keys that move, by server that gives them away
 * @server: most overloaded server
 * @load_percent: its load in percent of its capacity
 * @first, @last: its run of keys with the most requests
 * @overloaded: number of overloaded servers
 * @recipients: number of servers that get keys
 */
struct bgap_hot_plan
{
  struct bgap_hot_piece *pieces;
  uint32_t count;
  uint32_t capacity;
  uint32_t server;
  uint32_t load_percent;
  uint32_t first;
  uint32_t last;
  uint32_t overloaded;
  uint32_t recipients;
};

/**
 * bgap_hot_spans_any() - whether a server is overloaded
 */
bool bgap_hot_spans_any (const struct bgap_hot_input *input);

/**
 * bgap_hot_spans_plan() - decide which keys move
 * @plan: zeroed; to be freed with bgap_hot_plan_shutdown() in any case
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_hot_spans_plan (const struct bgap_hot_input *input,
                                      struct bgap_hot_plan *plan);

/**
 * bgap_hot_plan_shutdown() - free the memory; a zeroed plan is allowed
 */
void bgap_hot_plan_shutdown (struct bgap_hot_plan *plan);

#endif
