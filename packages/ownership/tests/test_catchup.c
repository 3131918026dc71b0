#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "sim.h"

static struct sim sim;

static int
_teardown (void **state)
{
  (void)state;
  sim_shutdown (&sim);
  return 0;
}

static void
_start (uint32_t engines, uint32_t servers, uint32_t snapshot_records,
        enum bgap_witness_policy policy)
{
  sim_setup (&sim, engines, servers, 11);
  sim.snapshot_records = snapshot_records;
  sim.policy = policy;
  for (uint32_t i = 0; i < engines; i++)
    {
      sim_stop_engine (&sim, i);
      sim_start_engine (&sim, i);
    }
  sim_configure (&sim);
  sim_run (&sim, 3000);
  assert_int_equal (sim_served (&sim, -1), SIM_KEYS);
}

static uint64_t
_applied (uint32_t index)
{
  return bgap_replica_applied (
      bgap_engine_replica (sim.engines[index].engine));
}

/* Offset of the first part of the newest snapshot in the log, or 0.  */
static uint64_t
_newest_snapshot (void)
{
  for (uint64_t offset = sim.log_count; offset > 0; offset--)
    if (strstr (sim.log[offset - 1].data, "\"part\":0,"))
      return offset;
  return 0;
}

/* Drains and undrains servers, so that records are written.  */
static void
_drain_servers_in_turn (uint32_t rounds)
{
  for (uint32_t i = 0; i < rounds; i++)
    {
      bgap_holder_set_draining (sim.servers[i % sim.server_count].holder,
                                i % 2 == 0);
      bgap_holder_set_draining (sim.servers[(i + 1) % sim.server_count].holder,
                                false);
      sim_run (&sim, 3000);
    }
}

/* Guards against a new instance that cannot start when the oldest records of
   the log were deleted, and against snapshots that are never written.  */
static void
test_start_on_truncated_log (void **state)
{
  (void)state;
  _start (4, 3, 8, BGAP_WITNESSES_ZONE);
  _drain_servers_in_turn (8);
  uint64_t snapshot = _newest_snapshot ();
  assert_true (snapshot > 1);
  sim.log_first = snapshot;
  sim_stop_engine (&sim, 3);
  /* The instance cannot reach its peers, so it has only the log.  */
  for (uint32_t i = 0; i < 3; i++)
    sim.cut[i][3] = sim.cut[3][i] = true;
  sim_start_engine (&sim, 3);
  sim_configure (&sim);
  sim_run (&sim, 2000);
  assert_int_equal (_applied (3), _applied (0));
  struct bgap_buffer a = { 0 };
  struct bgap_buffer b = { 0 };
  bgap_replica_save (bgap_engine_replica (sim.engines[0].engine), &a);
  bgap_replica_save (bgap_engine_replica (sim.engines[3].engine), &b);
  assert_int_equal (a.size, b.size);
  assert_memory_equal (a.data, b.data, a.size);
  bgap_buffer_shutdown (&a);
  bgap_buffer_shutdown (&b);
}

/* Guards against an instance that does not catch up when the log has deleted
   records that it had not read.  */
static void
test_instance_behind_truncated_log (void **state)
{
  (void)state;
  _start (4, 3, 8, BGAP_WITNESSES_ZONE);
  sim.engines[3].log_cut = true;
  for (uint32_t i = 0; i < 3; i++)
    sim.cut[i][3] = sim.cut[3][i] = true;
  uint64_t before = _applied (3);
  _drain_servers_in_turn (8);
  assert_int_equal (_applied (3), before);
  sim.log_first = _newest_snapshot ();
  assert_true (sim.log_first > before + 1);
  sim.engines[3].log_cut = false;
  sim_run (&sim, 3000);
  assert_int_equal (_applied (3), _applied (0));
}

/* Guards against an instance that cannot reach the log and does not catch up
   from its peers: by fetching records or, if they no longer have these, by
   fetching their state.  */
static void
test_catch_up_from_peers (void **state)
{
  (void)state;
  _start (4, 3, 1000, BGAP_WITNESSES_ZONE);
  sim.engines[3].log_cut = true;
  _drain_servers_in_turn (2);
  assert_int_equal (_applied (3), _applied (0));
  for (uint32_t i = 0; i < 3; i++)
    sim.cut[i][3] = sim.cut[3][i] = true;
  for (uint32_t i = 0; i < 1100; i++)
    sim_append (&sim, "{\"schema\":1,\"type\":\"unknown\"}");
  sim_run (&sim, 1000);
  for (uint32_t i = 0; i < 3; i++)
    sim.cut[i][3] = sim.cut[3][i] = false;
  sim_run (&sim, 2000);
  assert_int_equal (_applied (3), _applied (0));
}

/* Guards against an instance that continues after a record of an unknown
   schema, or still counts as a witness.  */
static void
test_newer_schema_stops_cell (void **state)
{
  (void)state;
  _start (3, 3, 1000, BGAP_WITNESSES_ZONE);
  uint64_t before = _applied (0);
  sim_append (&sim, "{\"schema\":2,\"type\":\"grant\"}");
  sim_run (&sim, 3000);
  assert_int_equal (_applied (0), before);
  assert_int_equal (sim_served (&sim, -1), 0);
}

/* Guards against an instance that continues when the log has lost its newest
   records, and may assign their offsets again.  */
static void
test_log_loses_records (void **state)
{
  (void)state;
  _start (3, 3, 1000, BGAP_WITNESSES_ZONE);
  uint64_t before = _applied (0);
  bgap_buffer_shutdown (&sim.log[--sim.log_count]);
  sim_run (&sim, 3000);
  assert_int_equal (_applied (0), before);
  assert_int_equal (sim_proposer (&sim), -1);
}

/* Guards against witnesses that are not spread over the zones, so that the
   loss of one zone leaves no majority, and against a slow failover of its
   keys.  */
static void
test_lost_zone_with_region_policy (void **state)
{
  (void)state;
  _start (6, 3, 1000, BGAP_WITNESSES_REGION);
  const struct bgap_witness_set *set
      = bgap_replica_witnesses (bgap_engine_replica (sim.engines[0].engine));
  assert_int_equal (set->count, 5);
  sim_reset_unserved (&sim);
  for (uint32_t i = 0; i < 6; i += 3)
    sim_stop_engine (&sim, i);
  sim_stop_server (&sim, 0);
  sim_run (&sim, 4000);
  printf ("lost zone: %lld ms without a holder\n",
          (long long)sim.longest_unserved_ms);
  assert_int_equal (sim_served (&sim, -1), SIM_KEYS);
  assert_true (sim.longest_unserved_ms < 2000);
}

/* Guards against a partitioned zone that continues to serve, and against keys
   that do not move out of it.  */
static void
test_partitioned_zone_with_region_policy (void **state)
{
  (void)state;
  _start (6, 3, 1000, BGAP_WITNESSES_REGION);
  sim_reset_unserved (&sim);
  for (uint32_t i = 0; i < 6; i++)
    {
      bool inside = i % 3 == 0;
      sim.engines[i].log_cut = inside;
      for (uint32_t j = 0; j < 6; j++)
        sim.cut[i][j] = inside != (j % 3 == 0);
      for (uint32_t j = 0; j < 3; j++)
        sim.server_cut[i][j] = inside != (j == 0);
    }
  sim_run (&sim, 4000);
  printf ("partitioned zone: %lld ms without a holder\n",
          (long long)sim.longest_unserved_ms);
  assert_int_equal (sim_served (&sim, -1), SIM_KEYS);
  assert_int_equal (sim_served (&sim, 0), 0);
  assert_true (sim.longest_unserved_ms < 2000);
}

/* Guards against a proposer that keeps its role while it cannot reach the log,
   or is paused.  */
static void
test_proposer_that_cannot_act (void **state)
{
  (void)state;
  for (int pause = 0; pause < 2; pause++)
    {
      _start (4, 3, 1000, BGAP_WITNESSES_ZONE);
      sim_reset_unserved (&sim);
      uint32_t proposer = (uint32_t)sim_proposer (&sim);
      sim.engines[proposer].log_cut = !pause;
      sim.engines[proposer].frozen = pause;
      sim_stop_server (&sim, 1);
      sim_run (&sim, 4000);
      printf ("proposer %s: %lld ms without a holder\n",
              pause ? "paused" : "without the log",
              (long long)sim.longest_unserved_ms);
      assert_int_equal (sim_served (&sim, -1), SIM_KEYS);
      assert_true (sim.longest_unserved_ms < 2000);
      sim.engines[proposer].log_cut = false;
      sim.engines[proposer].frozen = false;
      sim_run (&sim, 3000);
      assert_int_equal (sim_served (&sim, -1), SIM_KEYS);
      if (!pause)
        sim_shutdown (&sim);
    }
}

/* Guards against a cell that does not resume after an operator has forced a
   new witness set because the majority of the old one is permanently lost.  */
static void
test_forced_witness_set (void **state)
{
  (void)state;
  _start (5, 3, 1000, BGAP_WITNESSES_ZONE);
  for (uint32_t i = 0; i < 3; i++)
    sim_stop_engine (&sim, i);
  sim_run (&sim, 3000);
  assert_int_equal (sim_served (&sim, -1), 0);
  const struct bgap_witness_set *set
      = bgap_replica_witnesses (bgap_engine_replica (sim.engines[3].engine));
  char text[200];
  snprintf (text, sizeof text,
            "{\"schema\":1,\"type\":\"witnesses\",\"based_on\":%u,"
            "\"members\":[\"entry-3\",\"entry-4\"],\"forced\":true}",
            (unsigned)set->offset);
  sim_append (&sim, text);
  sim_run (&sim, 3000);
  assert_int_equal (sim_served (&sim, -1), SIM_KEYS);
}

int
main (void)
{
#define TEST(name) cmocka_unit_test_teardown (name, _teardown)
  const struct CMUnitTest tests[] = {
    TEST (test_start_on_truncated_log),
    TEST (test_instance_behind_truncated_log),
    TEST (test_catch_up_from_peers),
    TEST (test_newer_schema_stops_cell),
    TEST (test_log_loses_records),
    TEST (test_lost_zone_with_region_policy),
    TEST (test_partitioned_zone_with_region_policy),
    TEST (test_proposer_that_cannot_act),
    TEST (test_forced_witness_set),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
