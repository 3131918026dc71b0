#include "sim.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

void
sim_key (uint32_t key, char *text)
{
  sprintf (text, "key-%u", key);
}

static bool
_server_holds (const struct sim *sim, uint32_t server, const char *key)
{
  const struct sim_server *state = &sim->servers[server];
  size_t size = strlen (key);
  if (!state->unfenced)
    return state->up
           && bgap_holder_may_serve (state->holder, SIM_SERVICE, key, size,
                                     sim_server_clock (sim, server));
  /* Every instance with a valid lease may send to the server, so it counts as
     a holder.  */
  uint32_t count = 0;
  for (uint32_t i = 0; i < sim->engine_count; i++)
    {
      const struct bgap_holder *holder
          = sim->engines[i].engine
                ? bgap_engine_holder (sim->engines[i].engine, state->name)
                : NULL;
      count += holder
               && bgap_holder_may_serve (holder, SIM_SERVICE, key, size,
                                         sim->now_ms);
    }
  assert_true (count <= 1);
  return count == 1;
}

int
sim_holder (const struct sim *sim, uint32_t key)
{
  char text[32];
  sim_key (key, text);
  for (uint32_t i = 0; i < sim->server_count; i++)
    if (_server_holds (sim, i, text))
      return (int)i;
  return -1;
}

void
sim_check (struct sim *sim)
{
  for (uint32_t i = 0; i < SIM_KEYS; i++)
    {
      char text[32];
      uint32_t holders = 0;
      sim_key (i, text);
      for (uint32_t j = 0; j < sim->server_count; j++)
        holders += _server_holds (sim, j, text);
      if (holders > 1 && sim->violations++ == 0)
        fprintf (stderr, "%s has %u holders at %lld ms\n", text, holders,
                 (long long)sim->now_ms);
      sim->unserved_ms[i] = holders ? 0 : sim->unserved_ms[i] + 1;
      if (sim->unserved_ms[i] > sim->longest_unserved_ms)
        sim->longest_unserved_ms = sim->unserved_ms[i];
    }
}

void
sim_configure (struct sim *sim)
{
  struct bgap_engine_member members[SIM_ENGINES];
  struct bgap_engine_server servers[SIM_SERVERS];
  const struct bgap_engine_service service
      = { .name = SIM_SERVICE, .slices = SIM_SLICES };
  uint32_t count = 0;
  for (uint32_t i = 0; i < sim->engine_count; i++)
    if (sim->engines[i].listed)
      members[count++]
          = (struct bgap_engine_member){ .name = sim->engines[i].name,
                                         .zone = sim->engines[i].zone };
  for (uint32_t i = 0; i < sim->server_count; i++)
    servers[i] = (struct bgap_engine_server){
      .name = sim->servers[i].name,
      .zone = sim->servers[i].zone,
      .service = SIM_SERVICE,
      .slots = 4,
      .unfenced = sim->servers[i].unfenced,
      .leaving = sim->servers[i].leaving,
    };
  for (uint32_t i = 0; i < sim->engine_count; i++)
    {
      struct bgap_engine *engine = sim->engines[i].engine;
      if (engine == NULL)
        continue;
      assert_int_equal (
          bgap_engine_set_members (engine, members, count, sim->now_ms),
          BGAP_OK);
      assert_int_equal (bgap_engine_set_servers (
                            engine, servers, sim->server_count, sim->now_ms),
                        BGAP_OK);
      assert_int_equal (
          bgap_engine_set_services (engine, &service, 1, sim->now_ms),
          BGAP_OK);
    }
}

void
sim_start_engine (struct sim *sim, uint32_t index)
{
  struct sim_engine *engine = &sim->engines[index];
  struct bgap_error err = { 0 };
  engine->listed = true;
  engine->read_from = 0;
  engine->tick_offset_ms
      = (int64_t)bgap_random_below (&sim->random, SIM_TICK_MS);
  assert_int_equal (bgap_engine_setup (
                        &engine->engine,
                        &(struct bgap_engine_desc){
                            .cell = "hoejmosen",
                            .self = engine->name,
                            .zone = engine->zone,
                            .incarnation = bgap_random_next (&sim->random) | 1,
                            .now_ms = sim->now_ms,
                            .policy = sim->policy,
                            .deadline_max_ms = 1000,
                            .snapshot_records = sim->snapshot_records },
                        &err),
                    BGAP_OK);
}

void
sim_stop_engine (struct sim *sim, uint32_t index)
{
  bgap_engine_shutdown (sim->engines[index].engine);
  sim->engines[index].engine = NULL;
}

void
sim_start_server (struct sim *sim, uint32_t index)
{
  struct sim_server *server = &sim->servers[index];
  sim_stop_server (sim, index);
  server->up = true;
  assert_int_equal (
      bgap_holder_setup (
          &server->holder,
          &(struct bgap_holder_desc){ .incarnation
                                      = bgap_random_next (&sim->random) | 1 }),
      BGAP_OK);
}

void
sim_stop_server (struct sim *sim, uint32_t index)
{
  bgap_holder_shutdown (sim->servers[index].holder);
  sim->servers[index].holder = NULL;
  sim->servers[index].up = false;
}

void
sim_setup (struct sim *sim, uint32_t engines, uint32_t servers, uint64_t seed)
{
  static const char *const zones[] = { "z1", "z2", "z3" };
  *sim = (struct sim){ .now_ms = 1000,
                       .random = { seed },
                       .engine_count = engines,
                       .server_count = servers,
                       .log_up = true,
                       .log_first = 1,
                       .log = calloc (SIM_LOG_MAX, sizeof *sim->log) };
  for (uint32_t i = 0; i < engines; i++)
    {
      sprintf (sim->engines[i].name, "entry-%u", i);
      sim->engines[i].zone = zones[i % 3];
      sim_start_engine (sim, i);
    }
  for (uint32_t i = 0; i < servers; i++)
    {
      sprintf (sim->servers[i].name, "server-%u", i);
      sim->servers[i].zone = zones[i % 3];
      sim->servers[i].offset_ms
          = (int64_t)bgap_random_below (&sim->random, 1000000);
      sim->servers[i].rate
          = SIM_RATE_UNIT - 5 + (int64_t)bgap_random_below (&sim->random, 11);
      sim_start_server (sim, i);
    }
  sim_configure (sim);
}

void
sim_shutdown (struct sim *sim)
{
  for (uint32_t i = 0; i < sim->engine_count; i++)
    sim_stop_engine (sim, i);
  for (uint32_t i = 0; i < sim->server_count; i++)
    sim_stop_server (sim, i);
  sim_drop_events (sim);
  for (uint64_t i = 0; i < sim->log_count; i++)
    bgap_buffer_shutdown (&sim->log[i]);
  free (sim->log);
}

int
sim_proposer (const struct sim *sim)
{
  int proposer = -1;
  for (uint32_t i = 0; i < sim->engine_count; i++)
    if (sim->engines[i].engine && !sim->engines[i].frozen
        && bgap_engine_is_proposer (sim->engines[i].engine))
      {
        if (proposer >= 0)
          return -1;
        proposer = (int)i;
      }
  return proposer;
}

uint32_t
sim_served (const struct sim *sim, int server)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < SIM_KEYS; i++)
    {
      int holder = sim_holder (sim, i);
      count += holder >= 0 && (server < 0 || holder == server);
    }
  return count;
}

void
sim_reset_unserved (struct sim *sim)
{
  sim->longest_unserved_ms = 0;
  memset (sim->unserved_ms, 0, sizeof sim->unserved_ms);
}
