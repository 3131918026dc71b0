#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "world.h"

/* Duration of a run and number of runs; BGAP_WORLD_RUNS sets another number,
   BGAP_WORLD_SEED another first seed.  */
#define RUN_MS 60000
#define RUNS 120

/* Time after the return of the store within which every key is served.  */
#define SERVED_WITHIN_MS 2000

static uint64_t
setting (const char *name, uint64_t preset)
{
  const char *text = getenv (name);
  return text != NULL ? strtoull (text, NULL, 10) : preset;
}

/* Guards against two holders of a key, and against fencing tokens that are
   given out again, when the store comes back from a copy that is some seconds
   old, at any moment, also twice, beside lost, paused and cut instances, lost
   servers and calls that arrive late.  */
static void
test_random_faults_and_restores (void **state)
{
  uint64_t runs = setting ("BGAP_WORLD_RUNS", RUNS);
  uint64_t seed = setting ("BGAP_WORLD_SEED", 1);
  struct world_totals sum = { 0 };
  (void)state;
  for (uint64_t i = 0; i < runs; i++)
    {
      struct world *world = world_new (
          &(struct world_desc){ .seed = seed + i, .restores = true });
      if (!world_run (world, RUN_MS))
        fail_msg ("seed %llu: %s", (unsigned long long)(seed + i),
                  world_violation (world));
      struct world_totals totals = world_totals (world);
      sum.restores += totals.restores;
      sum.moves += totals.moves;
      sum.held_ms += totals.held_ms;
      sum.all_ms += totals.all_ms;
      world_free (world);
    }
  printf ("%llu runs: %llu restores, %llu moves, keys held %.1f %% of the "
          "time\n",
          (unsigned long long)runs, (unsigned long long)sum.restores,
          (unsigned long long)sum.moves,
          100.0 * (double)sum.held_ms / (double)sum.all_ms);
  assert_true (sum.moves > runs && sum.restores > runs);
}

/* Guards against moves that are undone because the record of the copy is taken
   for the assignment in force: the keys then have the former holder and the
   new one.  */
static void
test_moves_since_the_copy_stay (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      struct world *world = world_new (
          &(struct world_desc){ .seed = seed, .no_faults = true });
      assert_true (world_run (world, 8000));
      world_drain_server (world, world_busiest (world));
      assert_true (world_run (world, 11000));
      assert_true (world_all_held (world));
      world_restore_store (world, 4000, 1000);
      for (int64_t at_ms = 12000; at_ms <= 20000; at_ms += 100)
        {
          if (!world_run (world, at_ms))
            fail_msg ("seed %llu: %s", (unsigned long long)seed,
                      world_violation (world));
          if (at_ms >= 12000 + SERVED_WITHIN_MS)
            assert_true (world_all_held (world));
        }
      world_free (world);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_moves_since_the_copy_stay),
    cmocka_unit_test (test_random_faults_and_restores),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
