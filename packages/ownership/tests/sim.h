#ifndef BGAP_OWNERSHIP_TESTS_SIM_H
#define BGAP_OWNERSHIP_TESTS_SIM_H

/*
 * A cell in virtual time: engines, holders and a list as the log. Each
 * millisecond it checks that no key has two holders with a valid lease.
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

/* Rate of an exact server clock.  */
#define SIM_RATE_UNIT 1000

/* Most records of the log.  */
#define SIM_LOG_MAX 20000

/* Period of bgap_engine_tick().  */
#define SIM_TICK_MS 10

struct sim_event;

struct sim_engine
{
  struct bgap_engine *engine;
  char name[BGAP_NAME_SIZE];
  const char *zone;
  bool listed;
  bool log_cut;
  bool frozen;
  int64_t phase_ms;
  uint64_t read_from;
  int64_t read_until_ms;
};

struct sim_server
{
  struct bgap_holder *holder;
  char name[BGAP_NAME_SIZE];
  const char *zone;
  bool up;
  bool frozen;
  bool trusting;
  bool leaving;
  int64_t offset_ms;
  int64_t rate;
};

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
  int64_t worst_ms;
};

void sim_setup (struct sim *sim, uint32_t engines, uint32_t servers,
                uint64_t seed);
void sim_shutdown (struct sim *sim);
void sim_start_engine (struct sim *sim, uint32_t index);
void sim_stop_engine (struct sim *sim, uint32_t index);
void sim_start_server (struct sim *sim, uint32_t index);
void sim_stop_server (struct sim *sim, uint32_t index);

/* Tells all engines the current members and servers.  */
void sim_configure (struct sim *sim);
void sim_run (struct sim *sim, int64_t ms);

/* Index of the proposer according to all engines that run, or -1.  */
int sim_proposer (const struct sim *sim);

/* Keys served now; by @server only if it is not negative.  */
uint32_t sim_served (const struct sim *sim, int server);

/* Server that holds key @key now, or -1.  */
int sim_holder (const struct sim *sim, uint32_t key);
void sim_key (uint32_t key, char *text);

/* Appends a record from outside, as an operator does.  */
void sim_append (struct sim *sim, const char *text);

/* Used between the two files of the simulation.  */
int64_t sim_server_clock (const struct sim *sim, uint32_t index);
void sim_check (struct sim *sim);
void sim_drop_events (struct sim *sim);

/* Forgets the longest time without a holder seen so far.  */
void sim_reset_worst (struct sim *sim);

#endif
