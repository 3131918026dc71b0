#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "sim.h"

/* Maximum time without a holder after the loss of a server, as specified in
   docs/design.md.  */
#define FAILOVER_MAX_MS 2000

static struct sim sim;

static int
_teardown (void **state)
{
  (void)state;
  sim_shutdown (&sim);
  return 0;
}

/* Starts a cell and waits until all keys have a holder.  */
static void
_start (uint32_t engines, uint32_t servers, uint64_t seed)
{
  sim_setup (&sim, engines, servers, seed);
  sim_run (&sim, 3000);
  assert_int_equal (sim_served (&sim, -1), SIM_KEYS);
  sim_reset_unserved (&sim);
}

/* Guards against a cell that does not assign all keys, or assigns a server
   less than half of its share.  */
static void
test_first_assignment (void **state)
{
  (void)state;
  _start (3, 3, 1);
  for (int i = 0; i < 3; i++)
    assert_true (sim_served (&sim, i) >= SIM_KEYS / 6);
  sim_run (&sim, 10000);
  assert_int_equal (sim.longest_unserved_ms, 0);
  char key[32];
  sim_key (1, key);
  struct bgap_engine_route route;
  assert_int_equal (bgap_engine_lookup (sim.engines[0].engine, SIM_SERVICE,
                                        key, strlen (key), &route),
                    BGAP_OK);
  assert_string_equal (route.server, sim.servers[sim_holder (&sim, 1)].name);
  struct bgap_buffer dump = { 0 };
  assert_int_equal (bgap_engine_dump (sim.engines[0].engine, &dump), BGAP_OK);
  assert_non_null (strstr (dump.data, "\"proposer\""));
  bgap_buffer_shutdown (&dump);
}

/* Guards against a failover that takes longer than the limit when a server
   fails.  */
static void
test_lost_server (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      _start (3, 3, seed);
      sim_stop_server (&sim, 1);
      sim_run (&sim, 4000);
      assert_int_equal (sim_served (&sim, -1), SIM_KEYS);
      printf ("lost server: %lld ms without a holder\n",
              (long long)sim.longest_unserved_ms);
      assert_true (sim.longest_unserved_ms < FAILOVER_MAX_MS);
      if (seed < 5)
        sim_shutdown (&sim);
    }
}

/* Guards against a restarted server process that holds the entries of the old
   one without a new grant.  */
static void
test_restarted_server (void **state)
{
  (void)state;
  _start (3, 3, 2);
  sim_start_server (&sim, 1);
  sim_run (&sim, 4000);
  assert_int_equal (sim_served (&sim, -1), SIM_KEYS);
  assert_true (sim.longest_unserved_ms < FAILOVER_MAX_MS);
}

/* Guards against a paused server that resumes and serves under its expired
   lease.  */
static void
test_frozen_server_resumes (void **state)
{
  (void)state;
  _start (3, 3, 3);
  sim.servers[0].frozen = true;
  sim_run (&sim, 5000);
  assert_int_equal (sim_served (&sim, 0), 0);
  assert_int_equal (sim_served (&sim, -1), SIM_KEYS);
  sim.servers[0].frozen = false;
  sim_run (&sim, 5000);
  assert_int_equal (sim_served (&sim, -1), SIM_KEYS);
  assert_true (sim_served (&sim, 0) > 0);
}

/* Guards against renewals that stop while the log is unavailable.  */
static void
test_log_outage (void **state)
{
  (void)state;
  _start (3, 3, 4);
  sim.log_up = false;
  sim_run (&sim, 20000);
  assert_int_equal (sim.longest_unserved_ms, 0);
  sim_stop_server (&sim, 2);
  sim_run (&sim, 5000);
  assert_true (sim_served (&sim, -1) < SIM_KEYS);
  sim.log_up = true;
  sim_run (&sim, 3000);
  assert_int_equal (sim_served (&sim, -1), SIM_KEYS);
}

/* Guards against an instance that cannot read the log and renews a lease after
   it was revoked. Here it is the only one that can still reach the server.  */
static void
test_instance_without_log (void **state)
{
  (void)state;
  for (uint32_t cut = 0; cut < 3; cut++)
    {
      _start (3, 3, 5 + cut);
      sim.engines[cut].log_cut = true;
      for (uint32_t i = 0; i < 3; i++)
        if (i != cut)
          {
            sim.cut[i][cut] = true;
            sim.cut[cut][i] = true;
            sim.server_cut[i][0] = true;
          }
      sim_run (&sim, 6000);
      assert_int_equal (sim_served (&sim, -1), SIM_KEYS);
      assert_int_equal (sim_served (&sim, 0), 0);
      if (cut < 2)
        sim_shutdown (&sim);
    }
}

/* Guards against a failover that takes longer than the limit when the proposer
   fails together with a server.  */
static void
test_lost_proposer_and_server (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      _start (5, 3, seed);
      int proposer = sim_proposer (&sim);
      assert_true (proposer >= 0);
      sim_stop_engine (&sim, (uint32_t)proposer);
      sim_stop_server (&sim, 1);
      sim_run (&sim, 5000);
      assert_int_equal (sim_served (&sim, -1), SIM_KEYS);
      printf ("lost proposer and server: %lld ms without a holder\n",
              (long long)sim.longest_unserved_ms);
      assert_true (sim.longest_unserved_ms < FAILOVER_MAX_MS);
      if (seed < 5)
        sim_shutdown (&sim);
    }
}

/* Guards against a restarted witness that confirms renewals before it has
   caught up, or that does not catch up, with and without the log.  */
static void
test_restarted_witness (void **state)
{
  (void)state;
  for (uint32_t outage = 0; outage < 2; outage++)
    {
      _start (3, 3, 6);
      sim.log_up = outage == 0;
      for (uint32_t i = 0; i < 3; i++)
        {
          sim_stop_engine (&sim, i);
          sim_start_engine (&sim, i);
          sim_configure (&sim);
          sim_run (&sim, 3000);
        }
      assert_int_equal (sim_served (&sim, -1), SIM_KEYS);
      assert_int_equal (sim.longest_unserved_ms, 0);
      if (outage == 0)
        sim_shutdown (&sim);
    }
}

/* Guards against a failed witness that is never replaced, so that the next
   failure leaves no majority.  */
static void
test_failed_witness_is_replaced (void **state)
{
  (void)state;
  _start (6, 3, 7);
  sim_stop_engine (&sim, 0);
  sim_stop_engine (&sim, 1);
  sim_run (&sim, 15000);
  const struct bgap_witness_set *set
      = bgap_replica_witnesses (bgap_engine_replica (sim.engines[3].engine));
  for (uint32_t i = 0; i < set->count; i++)
    printf ("witness %s\n", set->members[i]);
  uint32_t failed = 0;
  for (uint32_t i = 0; i < set->count; i++)
    failed += strcmp (set->members[i], "entry-0") == 0
              || strcmp (set->members[i], "entry-1") == 0;
  assert_true (failed <= 1);
  assert_int_equal (sim.longest_unserved_ms, 0);
}

/* Guards against interrupted service when a server drains or returns, or an
   instance leaves.  */
static void
test_planned_changes (void **state)
{
  (void)state;
  _start (4, 4, 8);
  bgap_holder_set_draining (sim.servers[1].holder, true);
  sim_run (&sim, 6000);
  assert_int_equal (sim_served (&sim, 1), 0);
  assert_int_equal (sim_served (&sim, -1), SIM_KEYS);
  printf ("drained server: %lld ms without a holder\n",
          (long long)sim.longest_unserved_ms);
  assert_true (sim.longest_unserved_ms < 500);
  bgap_holder_set_draining (sim.servers[1].holder, false);
  sim_run (&sim, 6000);
  assert_true (sim_served (&sim, 1) > 0);
  sim_reset_unserved (&sim);
  uint32_t leaver = (uint32_t)sim_proposer (&sim);
  bgap_engine_leave (sim.engines[leaver].engine, sim.now_ms);
  sim_run (&sim, 4000);
  assert_true (bgap_engine_may_exit (sim.engines[leaver].engine));
  sim_stop_engine (&sim, leaver);
  sim_run (&sim, 4000);
  assert_int_equal (sim.longest_unserved_ms, 0);
}

int
main (void)
{
#define TEST(name) cmocka_unit_test_teardown (name, _teardown)
  const struct CMUnitTest tests[] = {
    TEST (test_first_assignment),
    TEST (test_lost_server),
    TEST (test_restarted_server),
    TEST (test_frozen_server_resumes),
    TEST (test_log_outage),
    TEST (test_instance_without_log),
    TEST (test_lost_proposer_and_server),
    TEST (test_restarted_witness),
    TEST (test_failed_witness_is_replaced),
    TEST (test_planned_changes),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
