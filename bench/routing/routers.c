#include <inttypes.h>
#include <stdio.h>

#include "simulation.h"

int64_t
sim_link_delay_us (uint32_t router, uint32_t server)
{
  return router % ZONES == server % ZONES ? SAME_ZONE_DELAY_US
                                          : CROSS_ZONE_DELAY_US;
}

static void
_bgap_sim_dispatch (struct simulation *s, uint32_t router,
                    const struct bgap_router_action *action)
{
  uint32_t index = s->next_attempt;
  while (s->attempts[index].in_use)
    index = (index + 1) % MAX_ATTEMPTS;
  s->next_attempt = (index + 1) % MAX_ATTEMPTS;
  uint32_t server = 0;
  while (s->ids[router][server].id != action->server.id)
    server++;
  struct attempt *attempt = &s->attempts[index];
  *attempt = (struct attempt){ .generation = attempt->generation + 1,
                               .router = router,
                               .server = server,
                               .id = action->attempt,
                               .call = action->context,
                               .in_use = true };
  s->attempt_by_id[router][action->attempt.id & 0xffff] = index;
  s->result.dispatches++;
  sim_schedule (s, sim_link_delay_us (router, server), EVENT_ARRIVAL, index,
                BGAP_RESULT_COUNT);
}

static void
_bgap_sim_finish (struct simulation *s,
                  const struct bgap_router_action *action)
{
  const struct call *call = action->context;
  if (call->poison || call->at_us < s->measure_from_us
      || call->at_us > s->end_us)
    return;
  s->result.finished[action->outcome]++;
  if (action->outcome != BGAP_OUTCOME_ANSWERED)
    return;
  int64_t bucket
      = (s->now_us - call->at_us + 2 * (int64_t)CLIENT_DELAY_US) / 100;
  s->result.latency_counts[bucket < LATENCY_BUCKETS ? bucket
                                                    : LATENCY_BUCKETS - 1]++;
}

void
sim_run_actions (struct simulation *s, uint32_t router)
{
  struct bgap_router_action action;
  while (bgap_router_next_action (&s->routers[router], &action))
    if (action.kind == BGAP_ROUTER_ACTION_DISPATCH)
      _bgap_sim_dispatch (s, router, &action);
    else if (action.kind == BGAP_ROUTER_ACTION_FINISH)
      _bgap_sim_finish (s, &action);
    else if (action.kind == BGAP_ROUTER_ACTION_CANCEL_ATTEMPT)
      s->attempts[s->attempt_by_id[router][action.attempt.id & 0xffff]]
          .cancelled
          = true;
    else if (action.kind == BGAP_ROUTER_ACTION_SEND_PEER)
      for (uint32_t i = 0; i < ROUTERS; i++)
        {
          char name[16];
          snprintf (name, sizeof name, "entry-%" PRIu32, router);
          if (i != router)
            bgap_router_on_peer (&s->routers[i], s->now_us / US_PER_MS, name,
                                 action.peer_kind, action.bytes, action.size,
                                 NULL);
        }
}

void
sim_notify_alive (struct simulation *s, uint32_t server)
{
  for (uint32_t i = 0; i < ROUTERS; i++)
    {
      bgap_router_server_alive (&s->routers[i], s->now_us / US_PER_MS,
                                s->ids[i][server],
                                s->servers[server].incarnation);
      sim_run_actions (s, i);
    }
}

void
sim_notify_lost (struct simulation *s, uint32_t server)
{
  for (uint32_t i = 0; i < ROUTERS; i++)
    {
      bgap_router_server_lost (&s->routers[i], s->now_us / US_PER_MS,
                               s->ids[i][server]);
      sim_run_actions (s, i);
    }
}

void
sim_deliver_result (struct simulation *s, const struct event *event)
{
  struct attempt *attempt = &s->attempts[event->index];
  attempt->in_use = false;
  if (attempt->cancelled)
    return;
  const struct bgap_attempt_result result
      = { .kind = event->result, .http_status = 200 };
  bgap_router_on_attempt (&s->routers[attempt->router], s->now_us / US_PER_MS,
                          attempt->id, &result);
  sim_run_actions (s, attempt->router);
}
