#ifndef BANYANGAP_BENCH_ROUTING_SIMULATION_H
#define BANYANGAP_BENCH_ROUTING_SIMULATION_H

/*
 * Virtual-time model of one service behind several routers. Sizes of vandstand
 * and its entry hosts: 8 servers with 4 slots, 12 routers, 3 zones, 1.5 ms
 * between zones. Servers shed what exceeds their slots.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "banyangap/base/random.h"
#include "banyangap/routing/router.h"

#define ROUTERS 12
#define SERVERS 8
#define SLOTS 4
#define ZONES 3
#define CONNECTIONS 110
#define US_PER_MS 1000
#define WALL_MS INT64_C (1700000000000)

/* Times of the model in microseconds.  */
#define SERVICE_MIN_US 4000
#define SERVICE_EXTRA_US 4000 /* mean of an exponential part */
#define SAME_ZONE_US 250
#define OTHER_ZONE_US 1500
#define CLIENT_US 1000
#define TICK_US 10000
#define REPORT_US 200000
#define DETECT_US 500000
#define CRASH_AFTER_US 2000
#define COLD_US 10000000
#define COLD_FACTOR 4.0
#define DEADLINE_MS 200

#define MAX_CALLS 400000
#define MAX_ATTEMPTS 65536

enum event_kind
{
  EVENT_CALL,
  EVENT_REACH,  /* an attempt reaches its server */
  EVENT_DONE,   /* the server has finished it */
  EVENT_RESULT, /* a result reaches the router */
  EVENT_TICK,
  EVENT_REPORT,
  EVENT_FAULT
};

struct event
{
  int64_t at_us;
  enum event_kind kind;
  uint32_t index;
  uint32_t generation;
  enum bgap_result_kind result;
};

struct call
{
  int64_t at_us;
  bool poison;
};

struct attempt
{
  uint32_t generation;
  uint32_t router;
  uint32_t server;
  struct bgap_attempt_id id;
  struct call *call;
  bool used;
  bool running;
  bool cancelled;
};

struct server
{
  uint32_t busy;
  uint64_t incarnation;
  int64_t cold_since_us;
  bool down;
  bool frozen;
  bool draining;
};

enum fault
{
  FAULT_NONE,
  FAULT_CRASH,
  FAULT_FREEZE,
  FAULT_DRAIN,
  FAULT_COLD,
  FAULT_POISON,
  FAULT_COUNT
};

/* Latencies in steps of 0.1 ms.  */
#define LATENCY_STEPS 4096

struct result
{
  uint64_t calls;
  uint64_t finished[BGAP_OUTCOME_COUNT];
  uint64_t latency[LATENCY_STEPS];
  uint64_t dispatches;
  uint64_t crashes;
};

struct simulation
{
  struct event *events;
  size_t event_count;
  size_t event_capacity;
  struct bgap_router routers[ROUTERS];
  struct bgap_server_id ids[ROUTERS][SERVERS];
  struct bgap_service_id services[ROUTERS];
  struct server servers[SERVERS];
  struct attempt *attempts;
  uint32_t next_attempt;
  uint32_t *by_id[ROUTERS];
  struct call *calls;
  uint32_t call_count;
  struct bgap_random random;
  int64_t now_us;
  int64_t end_us;
  int64_t from_us; /* calls after this time are counted */
  double mean_gap_us;
  enum fault fault;
  struct result result;
};

/* events.c */
void sim_push (struct simulation *s, struct event event);
struct event sim_pop (struct simulation *s);
void sim_after (struct simulation *s, int64_t delay_us, enum event_kind kind,
                uint32_t index, enum bgap_result_kind result);
double sim_exponential (struct simulation *s, double mean);

/* routers.c */
int64_t sim_hop_us (uint32_t router, uint32_t server);
void sim_drain (struct simulation *s, uint32_t router);
void sim_alive (struct simulation *s, uint32_t server);
void sim_lost (struct simulation *s, uint32_t server);
void sim_result (struct simulation *s, const struct event *event);

/* servers.c */
void sim_restart (struct simulation *s, uint32_t server);
void sim_reach (struct simulation *s, uint32_t index);
void sim_done (struct simulation *s, uint32_t index);
void sim_fault (struct simulation *s, uint32_t code);

#endif
