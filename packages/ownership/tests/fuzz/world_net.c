/* The network: latency, partitions, loss, duplicates and replayed messages. */

#include <stdlib.h>

#include "world_private.h"

uint32_t
bgap_world_server_node (uint32_t server)
{
  return BGAP_WORLD_INSTANCES + server;
}

void
bgap_world_set_link_blocked (struct bgap_world *w, uint32_t from, uint32_t to,
                             bool blocked)
{
  w->net.blocked[from][to] = blocked;
}

void
bgap_world_partition (struct bgap_world *w, uint32_t instances,
                      uint32_t servers, bool log, bool out, bool in)
{
  bool first_side[BGAP_WORLD_NODES] = { false };
  for (uint32_t i = 0; i < w->desc.instances; i++)
    first_side[i] = instances >> i & 1;
  for (uint32_t i = 0; i < w->desc.servers; i++)
    first_side[bgap_world_server_node (i)] = servers >> i & 1;
  first_side[BGAP_WORLD_LOG] = log;
  for (uint32_t from = 0; from < BGAP_WORLD_NODES; from++)
    for (uint32_t to = 0; to < BGAP_WORLD_NODES; to++)
      if ((first_side[from] && !first_side[to] && out)
          || (!first_side[from] && first_side[to] && in))
        w->net.blocked[from][to] = true;
}

void
bgap_world_heal (struct bgap_world *w)
{
  w->net = (struct bgap_world_net){ .jitter_us = w->desc.jitter_us };
}

static int64_t
_bgap_world_delay_us (struct bgap_world *w, uint32_t from, uint32_t to)
{
  bool is_log = from == BGAP_WORLD_LOG || to == BGAP_WORLD_LOG;
  int64_t delay_us
      = is_log ? w->desc.log_latency_us + w->log.extra_us : w->desc.latency_us;
  delay_us += w->net.extra_us[to];
  delay_us += (int64_t)bgap_random_below (&w->random,
                                          (uint64_t)w->net.jitter_us + 1);
  return delay_us;
}

/* Saves the newest messages to engines and servers for replay. Of the messages
   between engines only about one in four is saved, because they are far more
   frequent.  */
static void
_bgap_world_save_message (struct bgap_world *w,
                          const struct bgap_world_event *event)
{
  if (!w->desc.check || event->bytes == NULL
      || (event->kind == BGAP_WORLD_PEER && w->next_sequence % 4 != 0))
    return;
  uint32_t at = w->history_next++ % BGAP_WORLD_HISTORY;
  bgap_world_event_free (w->history[at]);
  w->history[at] = bgap_world_event_copy (event);
}

void
bgap_world_history_shutdown (struct bgap_world *w)
{
  for (uint32_t i = 0; i < BGAP_WORLD_HISTORY; i++)
    bgap_world_event_free (w->history[i]);
}

void
bgap_world_replay (struct bgap_world *w, uint32_t age)
{
  uint32_t at
      = (w->history_next + BGAP_WORLD_HISTORY - 1 - age % BGAP_WORLD_HISTORY)
        % BGAP_WORLD_HISTORY;
  const struct bgap_world_event *event = w->history[at];
  if (event)
    bgap_world_schedule (w, event, 0);
}

/* Sends a message. Returns false if the network loses it.  */
bool
bgap_world_send (struct bgap_world *w, const struct bgap_world_event *event)
{
  if (w->net.blocked[event->from][event->to])
    return false;
  if (bgap_random_below (&w->random, 100) < w->net.loss_percent)
    return false;
  if (event->from != BGAP_WORLD_LOG && event->to != BGAP_WORLD_LOG)
    {
      _bgap_world_save_message (w, event);
      if (bgap_random_below (&w->random, 100) < w->net.duplicate_percent)
        bgap_world_schedule (
            w, event, 3 * _bgap_world_delay_us (w, event->from, event->to));
    }
  bgap_world_schedule (w, event,
                       _bgap_world_delay_us (w, event->from, event->to));
  return true;
}
