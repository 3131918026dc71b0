#ifndef BANYANGAP_KEYRANGE_TESTS_WORLD_H
#define BANYANGAP_KEYRANGE_TESTS_WORLD_H

/*
 * Instances with a granter each, backend servers and a store in virtual time,
 * with random faults, and an oracle that looks for a key with two holders.
 *
 *   struct world *world = world_new (&(struct world_desc){ .seed = 7 });
 *   if (!world_run (world, 40000))
 *     print (world_violation (world));
 *   world_free (world);
 *
 * Faults: instances pause, restart and lose the store or single servers, with
 * silence or refused connections;
 * servers crash, fall silent, leave and come back empty; orders and appends
 * lose their responses and take effect late.
 */

#include <stdbool.h>
#include <stdint.h>

#include "banyangap/keyrange/granter.h"

/* Sizes of a world.  */
#define WORLD_INSTANCES 5
#define WORLD_SERVERS 4
#define WORLD_KEYS 24

/**
 * struct world_desc - options
 * @seed: of all random choices
 * @calm: no faults
 */
struct world_desc
{
  uint64_t seed;
  bool calm;
};

/**
 * struct world_totals - what happened in a run
 * @moves, @takeovers: as the granters counted them
 * @held_ms: key-milliseconds with a holder, of @all_ms
 */
struct world_totals
{
  uint64_t moves;
  uint64_t takeovers;
  uint64_t deaths;
  uint64_t held_ms;
  uint64_t all_ms;
};

struct world;

struct world *world_new (const struct world_desc *desc);
void world_free (struct world *world);

/* Runs until @until_ms; false if a rule was broken.  */
bool world_run (struct world *world, int64_t until_ms);

/* What was broken, or "".  */
const char *world_violation (const struct world *world);
struct world_totals world_totals (const struct world *world);

/* Scripted faults, for tests with a known course of events.  */
void world_kill_server (struct world *world, int server, bool dark,
                        int64_t for_ms);
void world_drain_server (struct world *world, int server);
void world_cut_store (struct world *world, int instance, int64_t for_ms);
void world_cut_server (struct world *world, int instance, int server,
                       int64_t for_ms);
void world_restart_instance (struct world *world, int instance);

/* Index of the active granter, or -1.  */
int world_granter (const struct world *world);

/* Whether all sampled keys have a holder now.  */
bool world_all_held (const struct world *world);

/* The server that holds most sampled keys among those that hold any.  */
int world_busiest (const struct world *world);

#endif
