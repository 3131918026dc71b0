#ifndef BANYANGAP_BENCH_ROUTING_SIMULATION_H
#define BANYANGAP_BENCH_ROUTING_SIMULATION_H

/*
 * Virtual-time model of one service behind several routers. It has the sizes
 * of the service vandstand and its entry hosts: 8 servers with 4 slots each,
 * 12 routers, 3 zones and 1.5 ms between zones. A server sheds requests that
 * exceed its slots.
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
#define WALL_CLOCK_BASE_MS INT64_C (1700000000000)

#define SERVICE_MIN_US 4000
#define SERVICE_MEAN_EXTRA_US 4000 /* mean of the exponential part */
#define SAME_ZONE_DELAY_US 250
#define CROSS_ZONE_DELAY_US 1500
#define CLIENT_DELAY_US 1000 /* one way, caller to router */
#define TICK_INTERVAL_US 10000
#define REPORT_INTERVAL_US 200000
#define DETECTION_DELAY_US 500000  /* after a crash or a freeze */
#define POISON_CRASH_DELAY_US 2000 /* after the start of a poison request */

/* The first request of a restarted server takes COLD_SLOWDOWN times as long.
   The factor falls linearly to 1 over COLD_DURATION_US.  */
#define COLD_DURATION_US 10000000
#define COLD_SLOWDOWN 4.0

#define DEADLINE_MS 200

#define MAX_CALLS 400000
#define MAX_ATTEMPTS 65536

enum event_kind
{
  EVENT_CALL,
  EVENT_ARRIVAL,    /* an attempt arrives at its server */
  EVENT_COMPLETION, /* the server has finished an attempt */
  EVENT_RESULT,     /* the result of an attempt arrives at its router */
  EVENT_TICK,
  EVENT_REPORT,
  EVENT_FAULT
};

struct event
{
  int64_t at_us;
  enum event_kind kind;
  uint32_t index;
  uint32_t generation; /* of the attempt, to detect a reused index */
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
  bool in_use;
  bool running;
  bool cancelled;
};

struct server
{
  uint32_t busy_slots;
  uint64_t incarnation;
  int64_t started_us;
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

/* Latency histogram with buckets of 0.1 ms.  */
#define LATENCY_BUCKETS 4096

struct result
{
  uint64_t calls;
  uint64_t finished[BGAP_OUTCOME_COUNT];
  uint64_t latency_counts[LATENCY_BUCKETS];
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
  uint32_t *attempt_by_id[ROUTERS]; /* index by the low 16 bits of the id */
  struct call *calls;
  uint32_t call_count;
  struct bgap_random random;
  int64_t now_us;
  int64_t end_us;
  int64_t measure_from_us; /* earlier calls are not counted */
  double mean_interval_us;
  enum fault fault;
  struct result result;
};

/**
 * sim_push_event() - add an event to the heap, which is ordered by time
 */
void sim_push_event (struct simulation *s, struct event event);

/**
 * sim_pop_event() - remove the earliest event; the heap must not be empty
 */
struct event sim_pop_event (struct simulation *s);

/**
 * sim_schedule() - schedule an event after a delay
 * @index: attempt, fault code (see sim_on_fault()), or for EVENT_CALL whether
 * the call is a poison request
 * @result: used by EVENT_RESULT only
 */
void sim_schedule (struct simulation *s, int64_t delay_us,
                   enum event_kind kind, uint32_t index,
                   enum bgap_result_kind result);

/**
 * sim_exponential() - draw from an exponential distribution
 */
double sim_exponential (struct simulation *s, double mean);

/**
 * sim_link_delay_us() - one-way network delay between a router and a server
 */
int64_t sim_link_delay_us (uint32_t router, uint32_t server);

/**
 * sim_run_actions() - carry out all pending actions of a router
 */
void sim_run_actions (struct simulation *s, uint32_t router);

/**
 * sim_notify_alive() - tell all routers that a server is alive
 */
void sim_notify_alive (struct simulation *s, uint32_t server);

/**
 * sim_notify_lost() - tell all routers that a server is lost
 */
void sim_notify_lost (struct simulation *s, uint32_t server);

/**
 * sim_deliver_result() - deliver the result of an attempt to its router,
 * unless the attempt was cancelled
 */
void sim_deliver_result (struct simulation *s, const struct event *event);

/**
 * sim_restart_server() - start a new, cold incarnation of a server
 */
void sim_restart_server (struct simulation *s, uint32_t server);

/**
 * sim_on_arrival() - handle the arrival of an attempt at its server
 */
void sim_on_arrival (struct simulation *s, uint32_t index);

/**
 * sim_on_completion() - handle the end of the execution of an attempt; a
 * poison request crashes its server
 */
void sim_on_completion (struct simulation *s, uint32_t index);

/**
 * sim_on_fault() - handle an event of a fault
 * @code: below 100 for the start of the simulation's fault, or the number of a
 * server plus 100 when the routers detect its loss, 200 when it restarts or
 * thaws, 300 when it is told to drain, 400 when it exits after the drain
 */
void sim_on_fault (struct simulation *s, uint32_t code);

#endif
