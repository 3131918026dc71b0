#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim.h"

/*
 * Injects random combinations of faults. The simulation checks after each
 * millisecond that no key has two holders.
 *
 *   BGAP_CHAOS_SEED=7 BGAP_CHAOS_RUNS=100 ./ownership_test_chaos
 */

#define DEFAULT_RUNS 8
#define STEPS 25

static uint64_t
_read_env (const char *name, uint64_t fallback)
{
  const char *text = getenv (name);
  return text ? strtoull (text, NULL, 10) : fallback;
}

static bool
_chance (struct sim *sim, uint32_t percent)
{
  return bgap_random_below (&sim->random, 100) < percent;
}

static void
_restart_engine (struct sim *sim, uint32_t index)
{
  sim_stop_engine (sim, index);
  sim_start_engine (sim, index);
  sim_configure (sim);
}

/* Draws the faults of the next step. @healthy_percent is the chance that a
   component or link works.  */
static void
_inject_faults (struct sim *sim, uint32_t healthy_percent)
{
  for (uint32_t i = 0; i < sim->engine_count; i++)
    {
      sim->engines[i].log_cut = !_chance (sim, healthy_percent);
      sim->engines[i].frozen = !_chance (sim, healthy_percent);
      for (uint32_t j = 0; j < sim->engine_count; j++)
        sim->cut[i][j] = !_chance (sim, healthy_percent);
      for (uint32_t j = 0; j < sim->server_count; j++)
        sim->server_cut[i][j] = !_chance (sim, healthy_percent);
      if (_chance (sim, 6))
        _restart_engine (sim, i);
    }
  for (uint32_t i = 0; i < sim->server_count; i++)
    {
      sim->servers[i].frozen = !_chance (sim, healthy_percent);
      if (_chance (sim, 4))
        sim_start_server (sim, i);
      sim->servers[i].leaving = _chance (sim, 5);
    }
  sim->log_up = _chance (sim, healthy_percent);
  sim->drop_percent = (uint32_t)bgap_random_below (&sim->random, 20);
  if (_chance (sim, 20))
    sim_configure (sim);
}

static void
_remove_faults (struct sim *sim)
{
  _inject_faults (sim, 100);
  sim->drop_percent = 0;
  for (uint32_t i = 0; i < sim->server_count; i++)
    sim->servers[i].leaving = false;
  sim_configure (sim);
}

/* Requests splits and merges of random keys.  */
static void
_request_keys (struct sim *sim)
{
  for (uint32_t i = 0; i < sim->engine_count; i++)
    {
      char key[32];
      sim_key ((uint32_t)bgap_random_below (&sim->random, SIM_KEYS), key);
      struct bgap_engine *engine = sim->engines[i].engine;
      if (engine && _chance (sim, 50))
        bgap_engine_request_split (engine, SIM_SERVICE, key, strlen (key),
                                   sim->now_ms);
      else if (engine)
        bgap_engine_request_merge (engine, SIM_SERVICE, key, strlen (key),
                                   sim->now_ms);
    }
}

static void
_run (uint64_t seed, bool unfenced)
{
  struct sim sim;
  sim_setup (&sim, 3 + (uint32_t)(seed % 4), 3, seed);
  sim.snapshot_records = 20;
  sim.policy = seed % 2 ? BGAP_WITNESSES_REGION : BGAP_WITNESSES_ZONE;
  for (uint32_t i = 0; unfenced && i < sim.server_count; i++)
    sim.servers[i].unfenced = true;
  for (uint32_t i = 0; i < sim.engine_count; i++)
    _restart_engine (&sim, i);
  sim_run (&sim, 3000);
  for (uint32_t step = 0; step < STEPS; step++)
    {
      _inject_faults (&sim,
                      60 + (uint32_t)bgap_random_below (&sim.random, 40));
      _request_keys (&sim);
      sim_run (&sim, 100 + (int64_t)bgap_random_below (&sim.random, 1500));
    }
  _remove_faults (&sim);
  sim_run (&sim, 15000);
  if (sim_served (&sim, -1) != SIM_KEYS)
    fail_msg ("seed %" PRIu64 ": %u of %d keys are served", seed,
              sim_served (&sim, -1), SIM_KEYS);
  sim_shutdown (&sim);
}

/* Guards against two holders of a key, and against a cell that does not
   recover, under combinations of faults that no other test covers.  */
static void
test_random_faults (void **state)
{
  (void)state;
  uint64_t seed = _read_env ("BGAP_CHAOS_SEED", 1);
  uint64_t runs = _read_env ("BGAP_CHAOS_RUNS", DEFAULT_RUNS);
  for (uint64_t i = 0; i < runs; i++)
    {
      if (getenv ("BGAP_CHAOS_RUNS"))
        fprintf (stderr, "seed %" PRIu64 "\n", seed + i);
      _run (seed + i, false);
    }
}

/* As test_random_faults, for unfenced servers, whose leases instances hold. */
static void
test_random_faults_with_proxies (void **state)
{
  (void)state;
  uint64_t seed = _read_env ("BGAP_CHAOS_SEED", 1);
  uint64_t runs = _read_env ("BGAP_CHAOS_RUNS", DEFAULT_RUNS / 2);
  for (uint64_t i = 0; i < runs; i++)
    _run (seed + i, true);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_random_faults),
    cmocka_unit_test (test_random_faults_with_proxies),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
