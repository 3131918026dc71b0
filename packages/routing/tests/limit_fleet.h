#ifndef BANYANGAP_ROUTING_TESTS_LIMIT_FLEET_H
#define BANYANGAP_ROUTING_TESTS_LIMIT_FLEET_H

/*
 * Simulation of routers that send requests to servers with rate limits, in
 * virtual time. Arrivals at the limited servers are recorded.
 *
 *   struct limit_fleet *fleet = limit_fleet_new (
 *     &(struct limit_fleet_desc){ .instances = 12, .entries = 3,
 *                                 .servers = 4, .demand_per_s = 60 });
 *   limit_fleet_run (fleet, 1000);
 *   limit_fleet_set_limit (fleet, 0, 5);
 *   limit_fleet_run (fleet, 20000);
 *   uint32_t most = limit_fleet_most (fleet, 0, 2000, 21000);
 *   limit_fleet_free (fleet);
 */

#include <stdbool.h>
#include <stdint.h>

/* Window of time within which arrivals count against a limit.  */
#define LIMIT_FLEET_WINDOW_MS 4000

/* Time after which an attempt whose connection does not open fails.  */
#define LIMIT_FLEET_CONNECT_TIMEOUT_MS 300

/* Requests beyond a limit that a server has to tolerate in each window.  */
#define LIMIT_FLEET_SLACK 5

/**
 * struct limit_fleet_desc - options
 * @instances: number of routers
 * @entries: the requests come in at this many of them
 * @servers: number of servers of the service
 * @keyed: each request has one server that can run it
 * @demand_per_s: requests per second
 * @cold_per_s: rate of permits for cold servers, as the service states it; 0
 *   if it states none as long as none is cold
 * @deadline_ms: how long callers wait; 0 for 2000
 * @members: a store lists the instances, which join the group as on the
 *   platform; else all know all from the start
 * @lost_percent: messages between routers that are lost
 * @delay_ms: longest time that a message or a request takes beyond the usual
 *   millisecond
 * @connect_ms: longest time that a connection to a server takes to open, less
 *   than LIMIT_FLEET_CONNECT_TIMEOUT_MS
 * @skew_ms: largest difference of the wall clocks of two instances
 * @seed: seed of the random choices
 */
struct limit_fleet_desc
{
  uint32_t instances;
  uint32_t entries;
  uint32_t servers;
  bool keyed;
  double demand_per_s;
  double cold_per_s;
  int64_t deadline_ms;
  bool members;
  uint32_t lost_percent;
  int64_t delay_ms;
  int64_t connect_ms;
  int64_t skew_ms;
  uint64_t seed;
};

/**
 * struct limit_fleet_counts - totals of the requests
 * @held_ms: sum of the times after which requests were refused as not run
 * @checks: health checks of servers
 * @retry_after_ms: sum of the waits that refused callers were told
 */
struct limit_fleet_counts
{
  uint32_t requests;
  uint32_t answered;
  uint32_t refused;
  uint32_t unknown;
  uint32_t checks;
  int64_t held_ms;
  int64_t retry_after_ms;
};

struct limit_fleet;

struct limit_fleet *limit_fleet_new (const struct limit_fleet_desc *desc);
void limit_fleet_free (struct limit_fleet *fleet);

/* Runs for this time.  */
void limit_fleet_run (struct limit_fleet *fleet, int64_t duration_ms);

/* The server states this limit in its answers from now on; 0: none.  */
void limit_fleet_set_limit (struct limit_fleet *fleet, uint32_t server,
                            double per_s);

/* The server has started, or was found to be cold, and is so for this time. An
   instance that reads the store knows it after a second at the latest, and
   with @is_known at once.  */
void limit_fleet_set_cold (struct limit_fleet *fleet, uint32_t server,
                           double per_s, int64_t duration_ms, bool is_known);

/* The server's answers are lost, or not.  */
void limit_fleet_silence (struct limit_fleet *fleet, uint32_t server,
                          bool silent);

/* Connections to the server do not open, or do again, also those that wait;
   those that are open and idle are lost.  */
void limit_fleet_darken (struct limit_fleet *fleet, uint32_t server,
                         bool dark);

/* The process of the server goes on and is cold; its registration tells.  */
void limit_fleet_turn_cold (struct limit_fleet *fleet, uint32_t server,
                            double per_s, int64_t duration_ms);

/* The process of the server ends: attempts at it break, and connections are
   refused for @down_ms. A new process starts then and is cold; the instances
   read its registration within a second.  */
void limit_fleet_crash (struct limit_fleet *fleet, uint32_t server,
                        double per_s, int64_t down_ms, int64_t cold_ms);

/* Evacuates a zone, or takes it back. Routers that do not reach the store do
   not hear of it.  */
void limit_fleet_evacuate (struct limit_fleet *fleet, uint32_t zone, bool on);

void limit_fleet_set_demand (struct limit_fleet *fleet, double per_s);

/* The server's registration lapses. The instances keep the limit that it has
   stated to each.  */
void limit_fleet_expire (struct limit_fleet *fleet, uint32_t server);

/* The same process of the server registers again.  */
void limit_fleet_register (struct limit_fleet *fleet, uint32_t server);

/* Replaces a router by a new one, as after a restart of its process.  */
void limit_fleet_restart (struct limit_fleet *fleet, uint32_t index);

/* The router stands still; what is sent to it waits.  */
void limit_fleet_freeze (struct limit_fleet *fleet, uint32_t index,
                         int64_t duration_ms);

/* No message passes between the router and the others.  */
void limit_fleet_cut (struct limit_fleet *fleet, uint32_t index, bool cut);

/* The router cannot reach the store.  */
void limit_fleet_cut_store (struct limit_fleet *fleet, uint32_t index,
                            bool cut);

/* Index of the router that grants permits for the server if all are listed. */
uint32_t limit_fleet_issuer (const struct limit_fleet *fleet, uint32_t server);

/* The list of instances that a router sees has only @count of them, from
   @first on; the others have just left it, as far as it knows.  */
void limit_fleet_list (struct limit_fleet *fleet, uint32_t index,
                       uint32_t first, uint32_t count);

/* Largest number of arrivals at the server in a window that lies within
   [from_ms, to_ms].  */
uint32_t limit_fleet_most (const struct limit_fleet *fleet, uint32_t server,
                           int64_t from_ms, int64_t to_ms);

/* The same for a window of another length.  */
uint32_t limit_fleet_most_within (const struct limit_fleet *fleet,
                                  uint32_t server, int64_t from_ms,
                                  int64_t to_ms, int64_t window_ms);

/* The same for health checks.  */
uint32_t limit_fleet_most_checks_within (const struct limit_fleet *fleet,
                                         uint32_t server, int64_t from_ms,
                                         int64_t to_ms, int64_t window_ms);

/* Arrivals at the server within [from_ms, to_ms).  */
uint32_t limit_fleet_arrivals (const struct limit_fleet *fleet,
                               uint32_t server, int64_t from_ms,
                               int64_t to_ms);

int64_t limit_fleet_now_ms (const struct limit_fleet *fleet);
struct limit_fleet_counts limit_fleet_counts (const struct limit_fleet *fleet);

#endif
