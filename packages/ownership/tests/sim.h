#ifndef BGAP_OWNERSHIP_TESTS_SIM_H
#define BGAP_OWNERSHIP_TESTS_SIM_H

/*
 * Simulation of a cell in virtual time, with engines, holders and an array as
 * the log. It checks after each millisecond that no key has two holders with a
 * valid lease.
 *
 *   struct sim sim;
 *   sim_setup (&sim, 3, 3, 1);
 *   sim_run (&sim, 3000);
 *   sim_shutdown (&sim);
 */

#include "banyangap/base/random.h"
#include "banyangap/ownership/engine.h"

#define SIM_ENGINES 8
#define SIM_SERVERS 6
#define SIM_KEYS 48
#define SIM_SLICES 32
#define SIM_SERVICE "mosearkiv"

/* Rate of a server clock that runs at the speed of virtual time.  */
#define SIM_RATE_UNIT 1000

/* Maximum number of records in the log.  */
#define SIM_LOG_MAX 20000

/* Period of bgap_engine_tick().  */
#define SIM_TICK_MS 10

struct sim_event;

/**
 * struct sim_engine - an instance
 * @listed: it is in the host list
 * @log_cut: it cannot reach the log
 * @frozen: the process is paused; events are delivered when it resumes
 * @tick_offset_ms: time of its ticks within SIM_TICK_MS
 * @read_from: offset of the read in progress, or 0
 * @read_until_ms: when this read ends without records
 */
struct sim_engine
{
  struct bgap_engine *engine;
  char name[BGAP_NAME_SIZE];
  const char *zone;
  bool listed;
  bool log_cut;
  bool frozen;
  int64_t tick_offset_ms;
  uint64_t read_from;
  int64_t read_until_ms;
};

/**
 * struct sim_server - a backend server
 * @frozen: the process is paused
 * @unfenced: it does not check grants; instances hold its lease
 * @offset_ms: its clock at time 0
 * @rate: speed of its clock, SIM_RATE_UNIT if exact
 */
struct sim_server
{
  struct bgap_holder *holder;
  char name[BGAP_NAME_SIZE];
  const char *zone;
  bool up;
  bool frozen;
  bool unfenced;
  bool leaving;
  int64_t offset_ms;
  int64_t rate;
};

/**
 * struct sim - a simulated cell
 * @cut: engines between which messages are not delivered
 * @server_cut: engines and servers between which messages are not delivered
 * @events: sorted by time
 * @drop_percent: share of messages that is lost
 * @unserved_ms: for each key, time since it last had a holder
 * @longest_unserved_ms: maximum of @unserved_ms
 */
struct sim
{
  int64_t now_ms;
  struct bgap_random random;
  struct sim_engine engines[SIM_ENGINES];
  uint32_t engine_count;
  struct sim_server servers[SIM_SERVERS];
  uint32_t server_count;
  bool cut[SIM_ENGINES][SIM_ENGINES];
  bool server_cut[SIM_ENGINES][SIM_SERVERS];
  bool log_up;
  struct bgap_buffer *log;
  uint64_t log_count;
  uint64_t log_first;
  struct sim_event *events;
  enum bgap_witness_policy policy;
  uint32_t snapshot_records;
  uint32_t drop_percent;
  uint32_t violations;
  int64_t unserved_ms[SIM_KEYS];
  int64_t longest_unserved_ms;
};

void sim_setup (struct sim *sim, uint32_t engines, uint32_t servers,
                uint64_t seed);
void sim_shutdown (struct sim *sim);
void sim_start_engine (struct sim *sim, uint32_t index);
void sim_stop_engine (struct sim *sim, uint32_t index);
void sim_start_server (struct sim *sim, uint32_t index);
void sim_stop_server (struct sim *sim, uint32_t index);

/* Sets the current members, servers and service in all engines.  */
void sim_configure (struct sim *sim);
void sim_run (struct sim *sim, int64_t ms);

/* Index of the only running engine that considers itself proposer, or -1.  */
int sim_proposer (const struct sim *sim);

/* Number of keys that have a holder now; only those held by @server unless it
   is negative.  */
uint32_t sim_served (const struct sim *sim, int server);

/* Index of the server that holds key @key now, or -1.  */
int sim_holder (const struct sim *sim, uint32_t key);
void sim_key (uint32_t key, char *text);

/* Appends a record that no engine proposed, as an operator does.  */
void sim_append (struct sim *sim, const char *text);

/* Shared by sim.c and sim_cell.c.  */
int64_t sim_server_clock (const struct sim *sim, uint32_t index);
void sim_check (struct sim *sim);
void sim_drop_events (struct sim *sim);

/* Resets @unserved_ms and @longest_unserved_ms.  */
void sim_reset_unserved (struct sim *sim);

#endif
