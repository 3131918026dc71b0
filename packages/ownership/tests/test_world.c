/*
 * Checks the time until every slice is served again after the loss of a server
 * or an entry host, in virtual time.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "oracle.h"
#include "world.h"

#define SEEDS 20
#define START_LIMIT_MS 5000
#define TARGET_MS 2000
#define STEP_MS 10

/* Runs until all slices are served. Returns the time that this took, or -1 if
   it takes longer than LIMIT_MS.  */
static int64_t
_bgap_run_until_served (struct bgap_world *w, int64_t limit_ms)
{
  uint32_t all = w->desc.services * w->desc.slices;
  for (int64_t ms = 0; ms <= limit_ms; ms += STEP_MS)
    {
      if (bgap_oracle_count_served (w->oracle) == all)
        return ms;
      bgap_world_run_ms (w, STEP_MS);
    }
  return -1;
}

static struct bgap_world *
_bgap_setup_served (uint64_t seed, enum bgap_witness_policy policy)
{
  struct bgap_world *w = bgap_world_setup (&(struct bgap_world_desc){
      .seed = seed,
      .instances = 6,
      .services = 2,
      .servers = 6,
      .zones = policy == BGAP_WITNESSES_REGION ? 3 : 1,
      .policy = policy,
      .jitter_us = 500,
      .clock_ppm = 5000,
      .check = true,
  });
  assert_true (_bgap_run_until_served (w, START_LIMIT_MS) >= 0);
  bgap_world_run_ms (w, 1000 + (int64_t)seed * 37);
  assert_true (_bgap_run_until_served (w, START_LIMIT_MS) >= 0);
  return w;
}

static uint32_t
_bgap_find_proposer (struct bgap_world *w)
{
  for (uint32_t i = 0; i < w->desc.instances; i++)
    if (w->instances[i].engine
        && bgap_engine_is_proposer (w->instances[i].engine))
      return i;
  return 0;
}

static void
_bgap_check_loss (enum bgap_witness_policy policy, bool server, bool proposer)
{
  for (uint64_t seed = 0; seed < SEEDS; seed++)
    {
      struct bgap_world *w = _bgap_setup_served (seed, policy);
      if (proposer)
        bgap_world_crash_instance (w, _bgap_find_proposer (w), -1);
      if (server)
        bgap_world_crash_server (w, (uint32_t)seed % w->desc.servers, -1);
      int64_t ms = _bgap_run_until_served (w, TARGET_MS);
      if (ms < 0)
        fail_msg ("seed %d: not served after %d ms", (int)seed, TARGET_MS);
      bgap_world_shutdown (w);
    }
}

/* Guards against keys that stay unserved for more than 2 s after the loss of a
   server.  */
static void
test_server_loss_within_target (void **state)
{
  (void)state;
  _bgap_check_loss (BGAP_WITNESSES_ZONE, true, false);
  _bgap_check_loss (BGAP_WITNESSES_REGION, true, false);
}

/* Guards against keys that are unserved after the loss of an entry host, which
   may be the proposer's.  */
static void
test_entry_host_loss_keeps_slices_served (void **state)
{
  (void)state;
  for (uint64_t seed = 0; seed < SEEDS; seed++)
    {
      struct bgap_world *w = _bgap_setup_served (seed, BGAP_WITNESSES_ZONE);
      bgap_world_crash_instance (w, (uint32_t)seed % w->desc.instances, -1);
      uint32_t all = w->desc.services * w->desc.slices;
      for (int ms = 0; ms < TARGET_MS; ms += STEP_MS)
        {
          bgap_world_run_ms (w, STEP_MS);
          assert_int_equal (bgap_oracle_count_served (w->oracle), all);
        }
      bgap_world_shutdown (w);
    }
}

/* Guards against keys that stay unserved for more than 2 s after the proposer
   and a server are lost at the same time.  */
static void
test_server_and_proposer_loss_within_target (void **state)
{
  (void)state;
  _bgap_check_loss (BGAP_WITNESSES_ZONE, true, true);
  _bgap_check_loss (BGAP_WITNESSES_REGION, true, true);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_server_loss_within_target),
    cmocka_unit_test (test_entry_host_loss_keeps_slices_served),
    cmocka_unit_test (test_server_and_proposer_loss_within_target),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
