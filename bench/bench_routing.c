/* Virtual-time measurement of routing policies: goodput, latency and errors of
   one service, under load and through faults. The model is in routing/.  */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/routing/balancer.h"
#include "routing/simulation.h"

#define MEAN_MS ((SERVICE_MIN_US + SERVICE_EXTRA_US) / 1000.0)
#define CAPACITY_PER_S (SERVERS * SLOTS * 1000.0 / MEAN_MS)
#define WARM_UP_US 2000000
#define LOAD_US 10000000
#define FAULT_AT_US 5000000
#define FAULT_WINDOW_US 25000000
#define FAULT_LOAD 0.6
#define POISON_GAP_US 1000000
#define POISON_FINGERPRINT 666
#define FINGERPRINTS 100000

static void
_bgap_bench_setup (struct simulation *s,
                   const struct bgap_balancer_ops *policy)
{
  for (uint32_t i = 0; i < ROUTERS; i++)
    {
      char instance[16];
      char zone[8];
      snprintf (instance, sizeof instance, "entry-%" PRIu32, i);
      snprintf (zone, sizeof zone, "z%" PRIu32, i % ZONES);
      const struct bgap_router_desc desc
          = { .instance = instance, .zone = zone, .seed = 100 + i };
      const struct bgap_service_desc service
          = { .name = "vandstand", .policy = policy };
      if (bgap_router_setup (&s->routers[i], &desc, NULL) != BGAP_OK
          || bgap_router_set_service (&s->routers[i], 0, &service,
                                      &s->services[i], NULL)
                 != BGAP_OK)
        exit (1);
      for (uint32_t j = 0; j < SERVERS; j++)
        {
          char name[8];
          snprintf (name, sizeof name, "v%" PRIu32, j);
          snprintf (zone, sizeof zone, "z%" PRIu32, j % ZONES);
          const struct bgap_server_desc server = { .name = name,
                                                   .zone = zone,
                                                   .slots = SLOTS,
                                                   .connections = CONNECTIONS,
                                                   .already_running = true };
          bgap_router_set_server (&s->routers[i], 0, s->services[i], &server,
                                  &s->ids[i][j], NULL);
          bgap_router_server_alive (&s->routers[i], 0, s->ids[i][j], 1);
        }
      s->by_id[i] = calloc (0x10000, sizeof (uint32_t));
    }
  for (uint32_t j = 0; j < SERVERS; j++)
    s->servers[j]
        = (struct server){ .incarnation = 1, .cold_since_us = -COLD_US };
}

static void
_bgap_bench_call (struct simulation *s, bool poison)
{
  if (s->call_count == MAX_CALLS || s->now_us > s->end_us)
    return;
  struct call *call = &s->calls[s->call_count++];
  *call = (struct call){ .at_us = s->now_us, .poison = poison };
  s->result.calls += !poison && s->now_us >= s->from_us;
  uint32_t router = (uint32_t)bgap_random_below (&s->random, ROUTERS);
  uint64_t fingerprint = 1000 + bgap_random_below (&s->random, FINGERPRINTS);
  const struct bgap_request_desc desc = {
    .service = s->services[router],
    .deadline_ms = DEADLINE_MS,
    .idempotent = true,
    .fingerprint = poison ? POISON_FINGERPRINT : fingerprint,
    .wall_ms = WALL_MS + s->now_us / US_PER_MS,
    .context = call,
  };
  bgap_router_request (&s->routers[router], s->now_us / US_PER_MS, &desc);
  sim_drain (s, router);
  sim_after (
      s, poison ? POISON_GAP_US : (int64_t)sim_exponential (s, s->mean_gap_us),
      EVENT_CALL, poison, 0);
}

static void
_bgap_bench_tick (struct simulation *s)
{
  for (uint32_t i = 0; i < ROUTERS; i++)
    {
      bgap_router_tick (&s->routers[i], s->now_us / US_PER_MS,
                        WALL_MS + s->now_us / US_PER_MS);
      sim_drain (s, i);
    }
  sim_after (s, TICK_US, EVENT_TICK, 0, 0);
}

static void
_bgap_bench_report (struct simulation *s)
{
  for (uint32_t j = 0; j < SERVERS; j++)
    {
      const struct server *server = &s->servers[j];
      const struct bgap_server_load load = { .in_flight = server->busy,
                                             .slots = SLOTS,
                                             .draining = server->draining };
      for (uint32_t i = 0; i < ROUTERS && !server->down && !server->frozen;
           i++)
        {
          bgap_router_server_load (&s->routers[i], s->now_us / US_PER_MS,
                                   s->ids[i][j], &load);
          sim_drain (s, i);
        }
    }
  sim_after (s, REPORT_US, EVENT_REPORT, 0, 0);
}

static void
_bgap_bench_event (struct simulation *s, const struct event *event)
{
  bool of_attempt = event->kind == EVENT_REACH || event->kind == EVENT_DONE
                    || event->kind == EVENT_RESULT;
  if (of_attempt
      && (!s->attempts[event->index].used
          || s->attempts[event->index].generation != event->generation))
    return;
  switch (event->kind)
    {
    case EVENT_CALL:
      _bgap_bench_call (s, event->index);
      break;
    case EVENT_REACH:
      sim_reach (s, event->index);
      break;
    case EVENT_DONE:
      sim_done (s, event->index);
      break;
    case EVENT_RESULT:
      sim_result (s, event);
      break;
    case EVENT_TICK:
      _bgap_bench_tick (s);
      break;
    case EVENT_REPORT:
      _bgap_bench_report (s);
      break;
    case EVENT_FAULT:
      sim_fault (s, event->index);
      break;
    }
}

static struct result
_bgap_bench_run (const struct bgap_balancer_ops *policy, double load,
                 enum fault fault)
{
  struct simulation *s = calloc (1, sizeof *s);
  s->attempts = calloc (MAX_ATTEMPTS, sizeof *s->attempts);
  s->calls = calloc (MAX_CALLS, sizeof *s->calls);
  s->random.state = 42;
  s->fault = fault;
  s->mean_gap_us = 1000000.0 / (CAPACITY_PER_S * load);
  s->from_us = fault == FAULT_NONE ? WARM_UP_US : FAULT_AT_US;
  s->end_us = s->from_us + (fault == FAULT_NONE ? LOAD_US : FAULT_WINDOW_US);
  _bgap_bench_setup (s, policy);
  sim_after (s, 0, EVENT_CALL, 0, 0);
  sim_after (s, 0, EVENT_TICK, 0, 0);
  sim_after (s, 0, EVENT_REPORT, 0, 0);
  if (fault == FAULT_POISON)
    sim_after (s, FAULT_AT_US, EVENT_CALL, 1, 0);
  else if (fault != FAULT_NONE)
    sim_after (s, FAULT_AT_US, EVENT_FAULT, 0, 0);
  while (s->event_count > 0
         && s->now_us < s->end_us + (int64_t)2 * DEADLINE_MS * US_PER_MS)
    {
      struct event event = sim_pop (s);
      s->now_us = event.at_us;
      _bgap_bench_event (s, &event);
    }
  struct result result = s->result;
  for (uint32_t i = 0; i < ROUTERS; i++)
    {
      bgap_router_shutdown (&s->routers[i]);
      free (s->by_id[i]);
    }
  free (s->events);
  free (s->attempts);
  free (s->calls);
  free (s);
  return result;
}

static double
_bgap_bench_latency_ms (const struct result *result, double share)
{
  uint64_t wanted
      = (uint64_t)((double)result->finished[BGAP_OUTCOME_ANSWERED] * share);
  uint64_t seen = 0;
  for (int i = 0; i < LATENCY_STEPS; i++)
    {
      seen += result->latency[i];
      if (seen > wanted)
        return i / 10.0;
    }
  return LATENCY_STEPS / 10.0;
}

static void
_bgap_bench_print (const char *policy, const char *what,
                   const struct result *r, double seconds)
{
  double calls = (double)r->calls;
  printf (
      "%-18s %-7s %7.0f %8.0f %7.3f %7.3f %6.1f %6.1f %6.1f %6.2f %3" PRIu64
      "\n",
      policy, what, calls / seconds,
      (double)r->finished[BGAP_OUTCOME_ANSWERED] / seconds,
      100 * (double)r->finished[BGAP_OUTCOME_NOT_RUN] / calls,
      100 * (double)r->finished[BGAP_OUTCOME_UNKNOWN] / calls,
      _bgap_bench_latency_ms (r, 0.5), _bgap_bench_latency_ms (r, 0.99),
      _bgap_bench_latency_ms (r, 0.999), (double)r->dispatches / calls,
      r->crashes);
}

int
main (void)
{
  static const struct bgap_balancer_ops *const policies[]
      = { &bgap_balancer_default, &bgap_balancer_random,
          &bgap_balancer_least_connections };
  static const double loads[] = { 0.5, 1.0, 1.5, 2.0 };
  static const char *const faults[FAULT_COUNT]
      = { "none", "crash", "freeze", "drain", "cold", "poison" };
  printf ("%d routers, %d servers with %d slots, mean service time %.0f ms, "
          "capacity %.0f/s, deadline %d ms\n",
          ROUTERS, SERVERS, SLOTS, MEAN_MS, CAPACITY_PER_S, DEADLINE_MS);
  printf ("%-18s %-7s %7s %8s %7s %7s %6s %6s %6s %6s %3s\n", "policy", "case",
          "calls/s", "answer/s", "notrun%", "unkn%", "p50", "p99", "p99.9",
          "tries", "die");
  for (size_t i = 0; i < sizeof loads / sizeof loads[0]; i++)
    for (size_t p = 0; p < 3; p++)
      {
        char what[16];
        snprintf (what, sizeof what, "x%.1f", loads[i]);
        struct result r = _bgap_bench_run (policies[p], loads[i], FAULT_NONE);
        _bgap_bench_print (policies[p]->name, what, &r, LOAD_US / 1e6);
      }
  printf ("faults at load x%.1f, window of %d s\n", FAULT_LOAD,
          FAULT_WINDOW_US / 1000000);
  for (int f = FAULT_CRASH; f < FAULT_COUNT; f++)
    for (size_t p = 0; p < 3; p++)
      {
        struct result r
            = _bgap_bench_run (policies[p], FAULT_LOAD, (enum fault)f);
        _bgap_bench_print (policies[p]->name, faults[f], &r,
                           FAULT_WINDOW_US / 1e6);
      }
  return 0;
}
