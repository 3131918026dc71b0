#include "simulation.h"

static void
_bgap_sim_crash (struct simulation *s, uint32_t server)
{
  s->servers[server].down = true;
  s->servers[server].busy = 0;
  s->result.crashes++;
  for (uint32_t i = 0; i < MAX_ATTEMPTS; i++)
    if (s->attempts[i].used && s->attempts[i].server == server
        && s->attempts[i].running)
      {
        s->attempts[i].running = false;
        sim_after (s, sim_hop_us (s->attempts[i].router, server), EVENT_RESULT,
                   i, BGAP_RESULT_BROKEN);
      }
  sim_after (s, DETECT_US, EVENT_FAULT, 100 + server, 0);
  sim_after (s, 5000000, EVENT_FAULT, 200 + server, 0);
}

void
sim_restart (struct simulation *s, uint32_t server)
{
  s->servers[server] = (struct server){
    .incarnation = s->servers[server].incarnation + 1,
    .cold_since_us = s->now_us,
  };
  sim_alive (s, server);
}

static int64_t
_bgap_sim_service_us (struct simulation *s, const struct server *server)
{
  double time = SERVICE_MIN_US + sim_exponential (s, SERVICE_EXTRA_US);
  double age = (double)(s->now_us - server->cold_since_us) / COLD_US;
  if (age < 1.0)
    time *= 1.0 + (COLD_FACTOR - 1.0) * (1.0 - age);
  return (int64_t)time;
}

void
sim_reach (struct simulation *s, uint32_t index)
{
  struct attempt *attempt = &s->attempts[index];
  struct server *server = &s->servers[attempt->server];
  int64_t hop_us = sim_hop_us (attempt->router, attempt->server);
  if (server->down)
    sim_after (s, hop_us, EVENT_RESULT, index, BGAP_RESULT_NO_CONNECT);
  else if (server->frozen)
    sim_after (s, 10000, EVENT_REACH, index, 0);
  else if (server->draining)
    sim_after (s, hop_us, EVENT_RESULT, index, BGAP_RESULT_DRAINING);
  else if (server->busy >= SLOTS)
    sim_after (s, hop_us, EVENT_RESULT, index, BGAP_RESULT_SHED);
  else
    {
      server->busy++;
      attempt->running = true;
      int64_t time_us = attempt->call->poison
                            ? CRASH_AFTER_US
                            : _bgap_sim_service_us (s, server);
      sim_after (s, time_us, EVENT_DONE, index, 0);
    }
}

void
sim_done (struct simulation *s, uint32_t index)
{
  struct attempt *attempt = &s->attempts[index];
  struct server *server = &s->servers[attempt->server];
  if (!attempt->running)
    return;
  if (server->frozen)
    {
      sim_after (s, 10000, EVENT_DONE, index, 0);
      return;
    }
  if (attempt->call->poison)
    {
      _bgap_sim_crash (s, attempt->server);
      return;
    }
  attempt->running = false;
  server->busy--;
  sim_after (s, sim_hop_us (attempt->router, attempt->server), EVENT_RESULT,
             index, BGAP_RESULT_COMPLETE);
}

/* Faults: codes below 100 start them, 100 + server is a detection, 200 +
   server a restart, 300 + server a drain signal, 400 + server its exit.  */
void
sim_fault (struct simulation *s, uint32_t code)
{
  uint32_t server = code % 100;
  if (code >= 400)
    {
      s->servers[server].draining = true;
      s->servers[server].down = true;
      sim_after (s, 1000000, EVENT_FAULT, 200 + server, 0);
    }
  else if (code >= 300)
    {
      for (uint32_t i = 0; i < ROUTERS; i++)
        bgap_router_server_drain (&s->routers[i], s->now_us / US_PER_MS,
                                  s->ids[i][server], BGAP_DRAIN_HOST_LIST,
                                  true);
      sim_after (s, 1000000, EVENT_FAULT, 400 + server, 0);
    }
  else if (code >= 200)
    {
      if (s->servers[server].frozen)
        {
          s->servers[server].frozen = false;
          sim_alive (s, server);
          return;
        }
      for (uint32_t i = 0; i < ROUTERS; i++)
        bgap_router_server_drain (&s->routers[i], s->now_us / US_PER_MS,
                                  s->ids[i][server], BGAP_DRAIN_HOST_LIST,
                                  false);
      sim_restart (s, server);
    }
  else if (code >= 100)
    sim_lost (s, server);
  else if (s->fault == FAULT_CRASH)
    _bgap_sim_crash (s, 0);
  else if (s->fault == FAULT_COLD)
    sim_restart (s, 0);
  else if (s->fault == FAULT_FREEZE)
    {
      s->servers[0].frozen = true;
      sim_after (s, DETECT_US, EVENT_FAULT, 100, 0);
      sim_after (s, 5000000, EVENT_FAULT, 200, 0);
    }
  else if (s->fault == FAULT_DRAIN)
    for (uint32_t i = 0; i < SERVERS; i++)
      sim_after (s, (int64_t)i * 2500000, EVENT_FAULT, 300 + i, 0);
}
