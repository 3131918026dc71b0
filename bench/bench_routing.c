/* Compares routing policies in virtual time: goodput, latency and errors of
   one service, at several loads and during faults. The model is in routing/.
 */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/routing/balancer.h"
#include "routing/simulation.h"

#define MEAN_SERVICE_MS ((SERVICE_MIN_US + SERVICE_MEAN_EXTRA_US) / 1000.0)
#define CAPACITY_PER_S (SERVERS * SLOTS * 1000.0 / MEAN_SERVICE_MS)
#define WARM_UP_US 2000000
#define LOAD_WINDOW_US 10000000
#define FAULT_AT_US 5000000
#define FAULT_WINDOW_US 25000000
#define FAULT_LOAD 0.6
#define POISON_INTERVAL_US 1000000
#define POISON_FINGERPRINT 666
#define FINGERPRINT_COUNT 100000

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
      s->attempt_by_id[i] = calloc (0x10000, sizeof (uint32_t));
    }
  for (uint32_t j = 0; j < SERVERS; j++)
    s->servers[j]
        = (struct server){ .incarnation = 1, .started_us = -COLD_DURATION_US };
}

static void
_bgap_bench_start_call (struct simulation *s, bool poison)
{
  if (s->call_count == MAX_CALLS || s->now_us > s->end_us)
    return;
  struct call *call = &s->calls[s->call_count++];
  *call = (struct call){ .at_us = s->now_us, .poison = poison };
  s->result.calls += !poison && s->now_us >= s->measure_from_us;
  uint32_t router = (uint32_t)bgap_random_below (&s->random, ROUTERS);
  uint64_t fingerprint
      = 1000 + bgap_random_below (&s->random, FINGERPRINT_COUNT);
  const struct bgap_request_desc desc = {
    .service = s->services[router],
    .deadline_ms = DEADLINE_MS,
    .idempotent = true,
    .fingerprint = poison ? POISON_FINGERPRINT : fingerprint,
    .wall_ms = WALL_CLOCK_BASE_MS + s->now_us / US_PER_MS,
    .context = call,
  };
  bgap_router_request (&s->routers[router], s->now_us / US_PER_MS, &desc);
  sim_run_actions (s, router);
  sim_schedule (s,
                poison ? POISON_INTERVAL_US
                       : (int64_t)sim_exponential (s, s->mean_interval_us),
                EVENT_CALL, poison, 0);
}

static void
_bgap_bench_tick (struct simulation *s)
{
  for (uint32_t i = 0; i < ROUTERS; i++)
    {
      bgap_router_tick (&s->routers[i], s->now_us / US_PER_MS,
                        WALL_CLOCK_BASE_MS + s->now_us / US_PER_MS);
      sim_run_actions (s, i);
    }
  sim_schedule (s, TICK_INTERVAL_US, EVENT_TICK, 0, 0);
}

static void
_bgap_bench_report_loads (struct simulation *s)
{
  for (uint32_t j = 0; j < SERVERS; j++)
    {
      const struct server *server = &s->servers[j];
      const struct bgap_server_load load = { .in_flight = server->busy_slots,
                                             .slots = SLOTS,
                                             .draining = server->draining };
      for (uint32_t i = 0; i < ROUTERS && !server->down && !server->frozen;
           i++)
        {
          bgap_router_server_load (&s->routers[i], s->now_us / US_PER_MS,
                                   s->ids[i][j], &load);
          sim_run_actions (s, i);
        }
    }
  sim_schedule (s, REPORT_INTERVAL_US, EVENT_REPORT, 0, 0);
}

static void
_bgap_bench_handle_event (struct simulation *s, const struct event *event)
{
  bool concerns_attempt = event->kind == EVENT_ARRIVAL
                          || event->kind == EVENT_COMPLETION
                          || event->kind == EVENT_RESULT;
  if (concerns_attempt
      && (!s->attempts[event->index].in_use
          || s->attempts[event->index].generation != event->generation))
    return;
  switch (event->kind)
    {
    case EVENT_CALL:
      _bgap_bench_start_call (s, event->index);
      break;
    case EVENT_ARRIVAL:
      sim_on_arrival (s, event->index);
      break;
    case EVENT_COMPLETION:
      sim_on_completion (s, event->index);
      break;
    case EVENT_RESULT:
      sim_deliver_result (s, event);
      break;
    case EVENT_TICK:
      _bgap_bench_tick (s);
      break;
    case EVENT_REPORT:
      _bgap_bench_report_loads (s);
      break;
    case EVENT_FAULT:
      sim_on_fault (s, event->index);
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
  s->mean_interval_us = 1000000.0 / (CAPACITY_PER_S * load);
  s->measure_from_us = fault == FAULT_NONE ? WARM_UP_US : FAULT_AT_US;
  s->end_us = s->measure_from_us
              + (fault == FAULT_NONE ? LOAD_WINDOW_US : FAULT_WINDOW_US);
  _bgap_bench_setup (s, policy);
  sim_schedule (s, 0, EVENT_CALL, 0, 0);
  sim_schedule (s, 0, EVENT_TICK, 0, 0);
  sim_schedule (s, 0, EVENT_REPORT, 0, 0);
  if (fault == FAULT_POISON)
    sim_schedule (s, FAULT_AT_US, EVENT_CALL, 1, 0);
  else if (fault != FAULT_NONE)
    sim_schedule (s, FAULT_AT_US, EVENT_FAULT, 0, 0);
  while (s->event_count > 0
         && s->now_us < s->end_us + (int64_t)2 * DEADLINE_MS * US_PER_MS)
    {
      struct event event = sim_pop_event (s);
      s->now_us = event.at_us;
      _bgap_bench_handle_event (s, &event);
    }
  struct result result = s->result;
  for (uint32_t i = 0; i < ROUTERS; i++)
    {
      bgap_router_shutdown (&s->routers[i]);
      free (s->attempt_by_id[i]);
    }
  free (s->events);
  free (s->attempts);
  free (s->calls);
  free (s);
  return result;
}

static double
_bgap_bench_latency_ms (const struct result *result, double quantile)
{
  uint64_t rank
      = (uint64_t)((double)result->finished[BGAP_OUTCOME_ANSWERED] * quantile);
  uint64_t cumulative = 0;
  for (int i = 0; i < LATENCY_BUCKETS; i++)
    {
      cumulative += result->latency_counts[i];
      if (cumulative > rank)
        return i / 10.0;
    }
  return LATENCY_BUCKETS / 10.0;
}

static void
_bgap_bench_print (const char *policy, const char *case_name,
                   const struct result *r, double seconds)
{
  double calls = (double)r->calls;
  printf (
      "%-18s %-7s %7.0f %8.0f %7.3f %7.3f %6.1f %6.1f %6.1f %6.2f %3" PRIu64
      "\n",
      policy, case_name, calls / seconds,
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
          ROUTERS, SERVERS, SLOTS, MEAN_SERVICE_MS, CAPACITY_PER_S,
          DEADLINE_MS);
  printf ("%-18s %-7s %7s %8s %7s %7s %6s %6s %6s %6s %3s\n", "policy", "case",
          "calls/s", "answer/s", "notrun%", "unkn%", "p50", "p99", "p99.9",
          "tries", "die");
  for (size_t i = 0; i < sizeof loads / sizeof loads[0]; i++)
    for (size_t p = 0; p < 3; p++)
      {
        char case_name[16];
        snprintf (case_name, sizeof case_name, "x%.1f", loads[i]);
        struct result r = _bgap_bench_run (policies[p], loads[i], FAULT_NONE);
        _bgap_bench_print (policies[p]->name, case_name, &r,
                           LOAD_WINDOW_US / 1e6);
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
