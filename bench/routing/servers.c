#include "simulation.h"

static void
_bgap_sim_crash (struct simulation *s, uint32_t server)
{
  s->servers[server].down = true;
  s->servers[server].busy_slots = 0;
  s->result.crashes++;
  for (uint32_t i = 0; i < MAX_ATTEMPTS; i++)
    if (s->attempts[i].in_use && s->attempts[i].server == server
        && s->attempts[i].running)
      {
        s->attempts[i].running = false;
        sim_schedule (s, sim_link_delay_us (s->attempts[i].router, server),
                      EVENT_RESULT, i, BGAP_RESULT_BROKEN);
      }
  sim_schedule (s, DETECTION_DELAY_US, EVENT_FAULT, 100 + server, 0);
  sim_schedule (s, 5000000, EVENT_FAULT, 200 + server, 0);
}

void
sim_restart_server (struct simulation *s, uint32_t server)
{
  s->servers[server] = (struct server){
    .incarnation = s->servers[server].incarnation + 1,
    .started_us = s->now_us,
  };
  sim_notify_alive (s, server);
}

static int64_t
_bgap_sim_service_us (struct simulation *s, const struct server *server)
{
  double time_us = SERVICE_MIN_US + sim_exponential (s, SERVICE_MEAN_EXTRA_US);
  double warm_share
      = (double)(s->now_us - server->started_us) / COLD_DURATION_US;
  if (warm_share < 1.0)
    time_us *= 1.0 + (COLD_SLOWDOWN - 1.0) * (1.0 - warm_share);
  return (int64_t)time_us;
}

void
sim_on_arrival (struct simulation *s, uint32_t index)
{
  struct attempt *attempt = &s->attempts[index];
  struct server *server = &s->servers[attempt->server];
  int64_t delay_us = sim_link_delay_us (attempt->router, attempt->server);
  if (server->down)
    sim_schedule (s, delay_us, EVENT_RESULT, index, BGAP_RESULT_NO_CONNECT);
  else if (server->frozen)
    sim_schedule (s, 10000, EVENT_ARRIVAL, index, 0);
  else if (server->draining)
    sim_schedule (s, delay_us, EVENT_RESULT, index, BGAP_RESULT_DRAINING);
  else if (server->busy_slots >= SLOTS)
    sim_schedule (s, delay_us, EVENT_RESULT, index, BGAP_RESULT_SHED);
  else
    {
      server->busy_slots++;
      attempt->running = true;
      int64_t time_us = attempt->call->poison
                            ? POISON_CRASH_DELAY_US
                            : _bgap_sim_service_us (s, server);
      sim_schedule (s, time_us, EVENT_COMPLETION, index, 0);
    }
}

void
sim_on_completion (struct simulation *s, uint32_t index)
{
  struct attempt *attempt = &s->attempts[index];
  struct server *server = &s->servers[attempt->server];
  if (!attempt->running)
    return;
  if (server->frozen)
    {
      sim_schedule (s, 10000, EVENT_COMPLETION, index, 0);
      return;
    }
  if (attempt->call->poison)
    {
      _bgap_sim_crash (s, attempt->server);
      return;
    }
  attempt->running = false;
  server->busy_slots--;
  sim_schedule (s, sim_link_delay_us (attempt->router, attempt->server),
                EVENT_RESULT, index, BGAP_RESULT_COMPLETE);
}

void
sim_on_fault (struct simulation *s, uint32_t code)
{
  uint32_t server = code % 100;
  if (code >= 400)
    {
      s->servers[server].draining = true;
      s->servers[server].down = true;
      sim_schedule (s, 1000000, EVENT_FAULT, 200 + server, 0);
    }
  else if (code >= 300)
    {
      for (uint32_t i = 0; i < ROUTERS; i++)
        bgap_router_server_drain (&s->routers[i], s->now_us / US_PER_MS,
                                  s->ids[i][server], BGAP_DRAIN_HOST_LIST,
                                  true);
      sim_schedule (s, 1000000, EVENT_FAULT, 400 + server, 0);
    }
  else if (code >= 200)
    {
      if (s->servers[server].frozen)
        {
          s->servers[server].frozen = false;
          sim_notify_alive (s, server);
          return;
        }
      for (uint32_t i = 0; i < ROUTERS; i++)
        bgap_router_server_drain (&s->routers[i], s->now_us / US_PER_MS,
                                  s->ids[i][server], BGAP_DRAIN_HOST_LIST,
                                  false);
      sim_restart_server (s, server);
    }
  else if (code >= 100)
    sim_notify_lost (s, server);
  else if (s->fault == FAULT_CRASH)
    _bgap_sim_crash (s, 0);
  else if (s->fault == FAULT_COLD)
    sim_restart_server (s, 0);
  else if (s->fault == FAULT_FREEZE)
    {
      s->servers[0].frozen = true;
      sim_schedule (s, DETECTION_DELAY_US, EVENT_FAULT, 100, 0);
      sim_schedule (s, 5000000, EVENT_FAULT, 200, 0);
    }
  else if (s->fault == FAULT_DRAIN)
    for (uint32_t i = 0; i < SERVERS; i++)
      sim_schedule (s, (int64_t)i * 2500000, EVENT_FAULT, 300 + i, 0);
}
