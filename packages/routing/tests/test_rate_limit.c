#include "banyangap/routing/rate_limit.h"
#include "fixture.h"
#include "limit_fleet.h"

/* Time after a limit is first stated from which all instances keep to it.  */
#define HEARD_MS 1000

#define RUN_MS 20000

/* Part of a limit that is used while the demand exceeds it.  */
#define USED_MIN 0.9

static const uint32_t fleets[] = { 8, 12, 87, 300 };
static const double limits[] = { 2, 3.2, 5, 14.8, 40 };

static uint32_t
allowed (double limit_per_s)
{
  return (uint32_t)(limit_per_s * LIMIT_FLEET_WINDOW_MS / 1000
                    + LIMIT_FLEET_SLACK);
}

/* Runs a fleet whose first two servers state a limit from the first second on
   and checks that they get no more, and most of it.  */
static void
check_limit (const struct limit_fleet_desc *desc, double limit_per_s)
{
  struct limit_fleet *fleet = limit_fleet_new (desc);
  limit_fleet_run (fleet, 1000);
  limit_fleet_set_limit (fleet, 0, limit_per_s);
  limit_fleet_set_limit (fleet, 1, limit_per_s);
  limit_fleet_run (fleet, HEARD_MS);
  int64_t from_ms = limit_fleet_now_ms (fleet);
  limit_fleet_run (fleet, RUN_MS);
  int64_t to_ms = limit_fleet_now_ms (fleet);
  for (uint32_t server = 0; server < 2; server++)
    {
      uint32_t most = limit_fleet_most (fleet, server, from_ms, to_ms);
      uint32_t all = limit_fleet_arrivals (fleet, server, from_ms, to_ms);
      if (most > allowed (limit_per_s)
          || all < USED_MIN * limit_per_s * RUN_MS / 1000)
        fail_msg ("%u instances, limit %.1f, keyed %d, %u entries: %u "
                  "requests in 4 s, allowed %u; %u requests in 20 s",
                  desc->instances, limit_per_s, desc->keyed, desc->entries,
                  most, allowed (limit_per_s), all);
    }
  limit_fleet_free (fleet);
}

static void
check_fleets (bool keyed, bool few_entries)
{
  for (size_t i = 0; i < sizeof fleets / sizeof fleets[0]; i++)
    for (size_t j = 0; j < sizeof limits / sizeof limits[0]; j++)
      {
        const struct limit_fleet_desc desc = {
          .instances = fleets[i],
          .entries = few_entries ? 3 : fleets[i],
          .servers = 2,
          .keyed = keyed,
          /* Twice what the servers accept, and at most 160 a second.  */
          .demand_per_s = 4 * limits[j],
          .seed = 1 + i * 10 + j,
        };
        check_limit (&desc, limits[j]);
      }
}

/* Guards against a server that gets more requests than the limit that it
   states, because each instance keeps to the limit, or to none, by itself:
   requests for keys, which only this server can run.  */
static void
test_keyed_service_keeps_the_limit (void **state)
{
  (void)state;
  check_fleets (true, false);
  check_fleets (true, true);
}

/* The same for a service without keys.  */
static void
test_service_keeps_the_limit (void **state)
{
  (void)state;
  check_fleets (false, false);
  check_fleets (false, true);
}

/* Bound of the requests in a window beside restarts and lost messages: one and
   a half times the limit.  */
#define FAULT_FACTOR 1.5

/* Mean time after which requests are refused that cannot get a permit: a tenth
   of the deadline of their callers.  */
#define REFUSED_WITHIN_MS ((int64_t)200)

#define STEP_MS 500
#define LONG_STEP_MS 1500

static const struct limit_fleet_desc faulty_fleet = {
  .instances = 12,
  .entries = 12,
  .servers = 2,
  .keyed = true,
  .demand_per_s = 40,
  .seed = 7,
};

static const double fault_limit = 5;

/* Requests per second with which all instances have some that wait for a
   permit.  */
#define LAPSE_DEMAND_PER_S 160

/* Starts a fleet whose first server states a limit that all instances have
   heard of.  */
static struct limit_fleet *
start_limited (const struct limit_fleet_desc *desc)
{
  struct limit_fleet *fleet = limit_fleet_new (desc);
  limit_fleet_run (fleet, 1000);
  limit_fleet_set_limit (fleet, 0, fault_limit);
  limit_fleet_run (fleet, HEARD_MS);
  return fleet;
}

/* Checks the arrivals at the first server since @from_ms, and frees the
   fleet.  */
static void
end_limited (struct limit_fleet *fleet, int64_t from_ms, double limit_per_s)
{
  uint32_t most
      = limit_fleet_most (fleet, 0, from_ms, limit_fleet_now_ms (fleet));
  uint32_t bound = allowed (FAULT_FACTOR * limit_per_s);
  limit_fleet_free (fleet);
  if (most > bound)
    fail_msg ("%u requests in 4 s, allowed %u", most, bound);
}

/* Guards against permits that are handed out twice, by an issuer and by the
   one that replaces it, while instances restart one after the other.  */
static void
test_restarts_keep_the_limit (void **state)
{
  (void)state;
  struct limit_fleet *fleet = start_limited (&faulty_fleet);
  int64_t from_ms = limit_fleet_now_ms (fleet);
  for (uint32_t i = 0; i < 3 * faulty_fleet.instances; i++)
    {
      limit_fleet_restart (fleet, i % faulty_fleet.instances);
      limit_fleet_run (fleet, STEP_MS);
    }
  end_limited (fleet, from_ms, fault_limit);
}

/* Guards against requests that have waited at a frozen instance and are sent
   at once when it continues, and against permits from two issuers.  */
static void
test_freezes_keep_the_limit (void **state)
{
  (void)state;
  struct limit_fleet *fleet = start_limited (&faulty_fleet);
  int64_t from_ms = limit_fleet_now_ms (fleet);
  for (uint32_t i = 0; i < 3 * faulty_fleet.instances; i++)
    {
      limit_fleet_freeze (fleet, i % faulty_fleet.instances, LONG_STEP_MS);
      limit_fleet_run (fleet, STEP_MS);
    }
  end_limited (fleet, from_ms, fault_limit);
}

/* Guards against a list of instances that is believed although it is
   incomplete for a while, differently at each instance.  */
static void
test_incomplete_lists_keep_the_limit (void **state)
{
  (void)state;
  struct limit_fleet *fleet = start_limited (&faulty_fleet);
  int64_t from_ms = limit_fleet_now_ms (fleet);
  for (uint32_t step = 0; step < 12; step++)
    {
      for (uint32_t i = 0; i < faulty_fleet.instances; i++)
        limit_fleet_list (fleet, i, (i + step) % faulty_fleet.instances, 3);
      limit_fleet_run (fleet, LONG_STEP_MS);
      for (uint32_t i = 0; i < faulty_fleet.instances; i++)
        limit_fleet_list (fleet, i, 0, faulty_fleet.instances);
      limit_fleet_run (fleet, STEP_MS);
    }
  end_limited (fleet, from_ms, fault_limit);
}

/* Guards against instances that each take the whole limit when they cannot
   reach the others, and against those that never learn that it has ended.  */
static void
test_cut_instances_keep_the_limit (void **state)
{
  (void)state;
  struct limit_fleet *fleet = start_limited (&faulty_fleet);
  int64_t from_ms = limit_fleet_now_ms (fleet);
  for (uint32_t i = 0; i < faulty_fleet.instances; i++)
    limit_fleet_cut (fleet, i, true);
  limit_fleet_run (fleet, RUN_MS);
  uint32_t most
      = limit_fleet_most (fleet, 0, from_ms, limit_fleet_now_ms (fleet));
  assert_true (most <= allowed (FAULT_FACTOR * fault_limit));
  assert_true (most > 0);
  limit_fleet_set_limit (fleet, 0, 0);
  limit_fleet_run (fleet, RUN_MS);
  int64_t to_ms = limit_fleet_now_ms (fleet);
  uint32_t last = limit_fleet_arrivals (fleet, 0, to_ms - 4000, to_ms);
  limit_fleet_free (fleet);
  assert_true (last > fault_limit * 4);
}

/* Guards against a limit that is kept after the server has lowered, raised or
   ended it.  */
static void
test_changes_of_the_limit_are_followed (void **state)
{
  (void)state;
  static const double changes[] = { 12, 3, 8, 4 };
  struct limit_fleet *fleet = start_limited (&faulty_fleet);
  for (size_t i = 0; i < sizeof changes / sizeof changes[0]; i++)
    {
      limit_fleet_set_limit (fleet, 0, changes[i]);
      limit_fleet_run (fleet, HEARD_MS);
      int64_t from_ms = limit_fleet_now_ms (fleet);
      limit_fleet_run (fleet, RUN_MS / 2);
      int64_t to_ms = limit_fleet_now_ms (fleet);
      assert_true (limit_fleet_most (fleet, 0, from_ms, to_ms)
                   <= allowed (changes[i]));
      assert_true (limit_fleet_arrivals (fleet, 0, from_ms, to_ms)
                   > USED_MIN * changes[i] * RUN_MS / 2000);
    }
  limit_fleet_set_limit (fleet, 0, 0);
  limit_fleet_run (fleet, HEARD_MS);
  int64_t from_ms = limit_fleet_now_ms (fleet);
  uint32_t before = limit_fleet_counts (fleet).requests;
  limit_fleet_run (fleet, RUN_MS / 2);
  int64_t to_ms = limit_fleet_now_ms (fleet);
  uint32_t requests = limit_fleet_counts (fleet).requests - before;
  uint32_t arrived = limit_fleet_arrivals (fleet, 0, from_ms, to_ms)
                     + limit_fleet_arrivals (fleet, 1, from_ms, to_ms);
  limit_fleet_free (fleet);
  assert_true (arrived > USED_MIN * requests);
}

/* Guards against requests that wait for a permit which cannot come before
   their deadline, at instances that know no response times yet.  */
static void
test_hopeless_requests_are_refused_at_once (void **state)
{
  (void)state;
  struct limit_fleet_desc desc = faulty_fleet;
  desc.instances = 87;
  desc.entries = 87;
  struct limit_fleet *fleet = start_limited (&desc);
  struct limit_fleet_counts before = limit_fleet_counts (fleet);
  limit_fleet_run (fleet, RUN_MS);
  struct limit_fleet_counts after = limit_fleet_counts (fleet);
  uint32_t refused = after.refused - before.refused;
  int64_t held_ms = after.held_ms - before.held_ms;
  limit_fleet_free (fleet);
  assert_true (refused > 0);
  assert_true (held_ms < REFUSED_WITHIN_MS * (int64_t)refused);
}

/* Guards against permits that are saved up while there are few requests.  */
static void
test_burst_keeps_the_limit (void **state)
{
  (void)state;
  struct limit_fleet_desc desc = faulty_fleet;
  desc.demand_per_s = 1;
  struct limit_fleet *fleet = start_limited (&desc);
  int64_t from_ms = limit_fleet_now_ms (fleet);
  limit_fleet_run (fleet, RUN_MS);
  limit_fleet_set_demand (fleet, faulty_fleet.demand_per_s);
  limit_fleet_run (fleet, RUN_MS);
  int64_t to_ms = limit_fleet_now_ms (fleet);
  assert_true (limit_fleet_most (fleet, 0, from_ms, to_ms)
               <= allowed (fault_limit));
  limit_fleet_free (fleet);
}

/* Guards against an answer that arrives late and brings back a limit that has
   ended.  */
static void
test_older_news_has_no_effect (void **state)
{
  (void)state;
  struct bgap_rate_limit limit = { 0 };
  assert_true (bgap_rate_limit_heard (&limit, 1000, 5, 100));
  assert_false (bgap_rate_limit_heard (&limit, 1000, 7, 101));
  assert_true (bgap_rate_limit_heard (&limit, 1050, 0, 0));
  assert_false (bgap_rate_limit_heard (&limit, 1100, 5, 60));
  assert_false (bgap_rate_limit_blocks (&limit, 1100));
  bgap_rate_limit_reset (&limit, 2000);
  assert_false (bgap_rate_limit_heard (&limit, 2100, 5, 150));
  assert_true (bgap_rate_limit_heard (&limit, 2100, 5, 50));
  assert_true (bgap_rate_limit_blocks (&limit, 2100));
}

/* Guards against stated limits that stop a server for ever, or none.  */
static void
test_stated_limits_are_clamped (void **state)
{
  (void)state;
  assert_true (bgap_rate_limit_clamp (0) == BGAP_RATE_LIMIT_MIN_PER_S);
  assert_true (bgap_rate_limit_clamp (0.01) == BGAP_RATE_LIMIT_MIN_PER_S);
  assert_true (bgap_rate_limit_clamp (1e300) == 0);
  assert_true (bgap_rate_limit_clamp (2.5) == 2.5);
}

/* Guards against a limit that is forgotten while the server does not
   answer.  */
static void
test_silent_server_keeps_its_limit (void **state)
{
  (void)state;
  struct limit_fleet *fleet = start_limited (&faulty_fleet);
  int64_t from_ms = limit_fleet_now_ms (fleet);
  limit_fleet_silence (fleet, 0, true);
  limit_fleet_run (fleet, RUN_MS);
  end_limited (fleet, from_ms, fault_limit);
}

/* Time for which a server is not registered that is cut off from the store for
   8 s: its registration lapses after 4 s, and it comes back within 2 s.  */
#define LAPSE_MS 5500

/* Guards against a server that is without a limit when it registers again
   after a lapse, until its next answer: the requests that wait at all
   instances would be sent to it at once.  */
static void
test_lapse_keeps_the_limit (void **state)
{
  (void)state;
  struct limit_fleet_desc desc = faulty_fleet;
  desc.keyed = false;
  desc.demand_per_s = LAPSE_DEMAND_PER_S;
  struct limit_fleet *fleet = start_limited (&desc);
  limit_fleet_set_limit (fleet, 1, fault_limit);
  limit_fleet_run (fleet, HEARD_MS);
  int64_t from_ms = limit_fleet_now_ms (fleet);
  for (uint32_t i = 0; i < 3; i++)
    {
      limit_fleet_expire (fleet, 0);
      limit_fleet_run (fleet, LAPSE_MS);
      limit_fleet_register (fleet, 0);
      limit_fleet_run (fleet, LAPSE_MS);
    }
  int64_t to_ms = limit_fleet_now_ms (fleet);
  assert_true (limit_fleet_arrivals (fleet, 0, to_ms - LAPSE_MS, to_ms)
               > USED_MIN * fault_limit * LAPSE_MS / 1000);
  end_limited (fleet, from_ms, fault_limit);
}

/* Guards against a limit that is kept although it ended while the server was
   not registered.  */
static void
test_limit_that_ends_in_a_lapse (void **state)
{
  (void)state;
  struct limit_fleet *fleet = start_limited (&faulty_fleet);
  limit_fleet_expire (fleet, 0);
  limit_fleet_run (fleet, LAPSE_MS);
  limit_fleet_set_limit (fleet, 0, 0);
  limit_fleet_register (fleet, 0);
  limit_fleet_run (fleet, HEARD_MS);
  int64_t from_ms = limit_fleet_now_ms (fleet);
  limit_fleet_run (fleet, LAPSE_MS);
  uint32_t arrived
      = limit_fleet_arrivals (fleet, 0, from_ms, limit_fleet_now_ms (fleet));
  limit_fleet_free (fleet);
  assert_true (arrived > 2 * fault_limit * LAPSE_MS / 1000);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_keyed_service_keeps_the_limit),
    cmocka_unit_test (test_service_keeps_the_limit),
    cmocka_unit_test (test_restarts_keep_the_limit),
    cmocka_unit_test (test_freezes_keep_the_limit),
    cmocka_unit_test (test_incomplete_lists_keep_the_limit),
    cmocka_unit_test (test_cut_instances_keep_the_limit),
    cmocka_unit_test (test_changes_of_the_limit_are_followed),
    cmocka_unit_test (test_hopeless_requests_are_refused_at_once),
    cmocka_unit_test (test_burst_keeps_the_limit),
    cmocka_unit_test (test_older_news_has_no_effect),
    cmocka_unit_test (test_stated_limits_are_clamped),
    cmocka_unit_test (test_silent_server_keeps_its_limit),
    cmocka_unit_test (test_lapse_keeps_the_limit),
    cmocka_unit_test (test_limit_that_ends_in_a_lapse),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
