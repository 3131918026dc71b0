#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <time.h>

#include <cmocka.h>

#include "fixture.h"

#define RANGES 100
#define SERVERS 4

/* Interval of passes, and number of passes that are measured.  */
#define PASS_MS 30
#define PASSES 100

/* Time after which all leases of servers that do not answer have ended.  */
#define LEASES_END_MS 20000

/* How much longer a pass may take without a usable server.  */
#define FACTOR_MAX 2

static double
processor_ms (void)
{
  struct timespec time;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &time);
  return (double)time.tv_sec * 1e3 + (double)time.tv_nsec / 1e6;
}

/* Runs the granter from @now_ms until @until_ms; all calls have this result.
   Returns the processor time.  */
static double
run (struct bgap_granter *granter, int64_t now_ms, int64_t until_ms,
     enum bgap_granter_result result)
{
  struct bgap_granter_action action;
  double begun_ms = processor_ms ();
  for (; now_ms < until_ms; now_ms += PASS_MS)
    {
      bgap_granter_on_view (granter, now_ms, now_ms - 1);
      bgap_granter_tick (granter, now_ms);
      while (bgap_granter_next_action (granter, &action))
        if (action.kind != BGAP_GRANTER_APPEND)
          bgap_granter_on_reply (granter, now_ms, action.call, result, "");
    }
  return processor_ms () - begun_ms;
}

/* Guards against an instance that answers its clients late, because it keeps
   computing the load of all keys for placements that no server can take.  */
static void
test_keys_without_a_usable_server_cost_little (void **state)
{
  struct bgap_granter *granter = granter_new ();
  struct bgap_assignment own = assignment_of ("n0", INCARNATION, 3);
  char id[16];
  (void)state;
  for (int i = 0; i < SERVERS; i++)
    {
      snprintf (id, sizeof id, "s%d", i);
      add_server (granter, 0, id, 0);
    }
  for (uint32_t i = 0; i < RANGES; i++)
    {
      uint32_t first = i * (BGAP_KEY_COUNT / RANGES);
      snprintf (id, sizeof id, "s%u", i % SERVERS);
      set_holder (&own, first, BGAP_KEY_COUNT - 1, id);
    }
  bgap_granter_on_loaded (granter, 0);
  bgap_granter_on_assignment (granter, 0, &own);
  run (granter, 0, 400, BGAP_GRANTER_DONE);
  double calm_ms
      = run (granter, 400, 400 + PASSES * PASS_MS, BGAP_GRANTER_DONE);
  run (granter, 400 + PASSES * PASS_MS, LEASES_END_MS, BGAP_GRANTER_NOT_SENT);
  double lost_ms
      = run (granter, LEASES_END_MS, LEASES_END_MS + PASSES * PASS_MS,
             BGAP_GRANTER_NOT_SENT);
  printf ("%d passes: %.2f ms, without a usable server %.2f ms\n", PASSES,
          calm_ms, lost_ms);
  assert_true (lost_ms <= FACTOR_MAX * calm_ms);
  bgap_assignment_shutdown (&own);
  bgap_granter_shutdown (granter);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_keys_without_a_usable_server_cost_little),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
