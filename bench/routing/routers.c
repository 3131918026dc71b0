#include <inttypes.h>
#include <stdio.h>

#include "simulation.h"

int64_t
sim_hop_us (uint32_t router, uint32_t server)
{
  return router % ZONES == server % ZONES ? SAME_ZONE_US : OTHER_ZONE_US;
}

/* Actions of routers.  */

static void
_bgap_sim_dispatch (struct simulation *s, uint32_t router,
                    const struct bgap_router_action *action)
{
  uint32_t index = s->next_attempt;
  while (s->attempts[index].used)
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
                               .used = true };
  s->by_id[router][action->attempt.id & 0xffff] = index;
  s->result.dispatches++;
  sim_after (s, sim_hop_us (router, server), EVENT_REACH, index,
             BGAP_RESULT_COUNT);
}

static void
_bgap_sim_finish (struct simulation *s,
                  const struct bgap_router_action *action)
{
  const struct call *call = action->context;
  if (call->poison || call->at_us < s->from_us || call->at_us > s->end_us)
    return;
  s->result.finished[action->outcome]++;
  if (action->outcome != BGAP_OUTCOME_ANSWERED)
    return;
  int64_t step = (s->now_us - call->at_us + 2 * (int64_t)CLIENT_US) / 100;
  s->result.latency[step < LATENCY_STEPS ? step : LATENCY_STEPS - 1]++;
}

void
sim_drain (struct simulation *s, uint32_t router)
{
  struct bgap_router_action action;
  while (bgap_router_next_action (&s->routers[router], &action))
    if (action.kind == BGAP_ROUTER_ACTION_DISPATCH)
      _bgap_sim_dispatch (s, router, &action);
    else if (action.kind == BGAP_ROUTER_ACTION_FINISH)
      _bgap_sim_finish (s, &action);
    else if (action.kind == BGAP_ROUTER_ACTION_CANCEL_ATTEMPT)
      s->attempts[s->by_id[router][action.attempt.id & 0xffff]].cancelled
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
sim_alive (struct simulation *s, uint32_t server)
{
  for (uint32_t i = 0; i < ROUTERS; i++)
    {
      bgap_router_server_alive (&s->routers[i], s->now_us / US_PER_MS,
                                s->ids[i][server],
                                s->servers[server].incarnation);
      sim_drain (s, i);
    }
}

void
sim_lost (struct simulation *s, uint32_t server)
{
  for (uint32_t i = 0; i < ROUTERS; i++)
    {
      bgap_router_server_lost (&s->routers[i], s->now_us / US_PER_MS,
                               s->ids[i][server]);
      sim_drain (s, i);
    }
}

void
sim_result (struct simulation *s, const struct event *event)
{
  struct attempt *attempt = &s->attempts[event->index];
  attempt->used = false;
  if (attempt->cancelled)
    return;
  const struct bgap_attempt_result result
      = { .kind = event->result, .http_status = 200 };
  bgap_router_on_attempt (&s->routers[attempt->router], s->now_us / US_PER_MS,
                          attempt->id, &result);
  sim_drain (s, attempt->router);
}
