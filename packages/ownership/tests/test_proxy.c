#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "sim.h"

/* Maximum deadline in the simulation, see sim_start_engine().  */
#define DEADLINE_MAX_MS 1000

static struct sim sim;

static int
_setup (void **state)
{
  (void)state;
  sim_setup (&sim, 4, 3, 21);
  for (uint32_t i = 0; i < 3; i++)
    sim.servers[i].unfenced = true;
  sim_configure (&sim);
  sim_run (&sim, 3000);
  assert_int_equal (sim_served (&sim, -1), SIM_KEYS);
  sim_reset_unserved (&sim);
  return 0;
}

static int
_teardown (void **state)
{
  (void)state;
  sim_shutdown (&sim);
  return 0;
}

static struct bgap_engine_route
_route (uint32_t key, char *text)
{
  struct bgap_engine_route route;
  sim_key (key, text);
  assert_int_equal (bgap_engine_lookup (sim.engines[0].engine, SIM_SERVICE,
                                        text, strlen (text), &route),
                    BGAP_OK);
  return route;
}

static uint32_t
_index_of (const char *instance)
{
  for (uint32_t i = 0; i < sim.engine_count; i++)
    if (strcmp (sim.engines[i].name, instance) == 0)
      return i;
  fail ();
  return 0;
}

/* Guards against lookups that do not return the instance to go through, and
   against a slow or too early failover when this instance fails.  */
static void
test_lost_instance (void **state)
{
  (void)state;
  char key[32];
  struct bgap_engine_route route = _route (0, key);
  assert_non_null (route.via);
  assert_string_equal (route.server, sim.servers[sim_holder (&sim, 0)].name);
  uint32_t lost = _index_of (route.via);
  sim_stop_engine (&sim, lost);
  sim_run (&sim, 6000);
  printf ("lost instance: %lld ms without a holder\n",
          (long long)sim.longest_unserved_ms);
  assert_int_equal (sim_served (&sim, -1), SIM_KEYS);
  assert_true (sim.longest_unserved_ms < 2000 + DEADLINE_MAX_MS);
  assert_true (sim.longest_unserved_ms > BGAP_LEASE_WAIT_MS + DEADLINE_MAX_MS);
}

/* Guards against a handover while a request is in flight, and against one that
   waits although none is.  */
static void
test_leaving_instance_hands_over (void **state)
{
  (void)state;
  char key[32];
  uint32_t request;
  struct bgap_engine_route route = _route (0, key);
  uint32_t leaver = _index_of (route.via);
  struct bgap_engine *engine = sim.engines[leaver].engine;
  char server[BGAP_NAME_SIZE];
  memcpy (server, route.server, strlen (route.server) + 1);
  assert_int_equal (bgap_engine_begin_request (engine, server, SIM_SERVICE,
                                               key, strlen (key), route.token,
                                               sim.now_ms, &request),
                    BGAP_HOLDER_OK);
  bgap_engine_leave (engine, sim.now_ms);
  sim_run (&sim, 300);
  assert_int_equal (sim_holder (&sim, 0), -1);
  bgap_engine_end_request (engine, server, request);
  sim_run (&sim, 700);
  assert_int_equal (sim_served (&sim, -1), SIM_KEYS);
  printf ("leaving instance: %lld ms without a holder\n",
          (long long)sim.longest_unserved_ms);
  assert_true (sim.longest_unserved_ms < 800);
}

int
main (void)
{
#define TEST(name) cmocka_unit_test_setup_teardown (name, _setup, _teardown)
  const struct CMUnitTest tests[] = {
    TEST (test_lost_instance),
    TEST (test_leaving_instance_hands_over),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
