#include "banyangap/routing/cold_limit.h"
#include "fixture.h"
#include "limit_fleet.h"

/* What a cold server tolerates: 4 requests a second, times 1.5, and 8.  */
#define BOUND 14u
#define SECOND_MS 1000

/* Health checks of a server in a second: each takes 6 ms of a slot, so that
   these take a tenth of its time.  */
#define CHECKS_MAX 16u

/* Time until all instances have been listed for long enough to grant
   permits.  */
#define SETTLED_MS 14000

/* In a burst.  */
#define REQUESTS_PER_SERVER_S 16u

#define ZONES 3u
#define EVACUATED_ZONE 0u

#define CUT_AHEAD_MS 500
/* How long before the end of the evacuation the servers turn cold, as those of
   the platform do, and for how long.  */
#define COLD_AHEAD_MS 1000
#define COLD_MS ((int64_t)4000)

static struct limit_fleet_desc
fleet_desc (uint32_t instances, uint32_t servers)
{
  return (struct limit_fleet_desc){
    .instances = instances,
    .entries = instances,
    .servers = servers,
    .cold_per_s = bgap_cold_limit_rate (bgap_cold_limit_bound (4, 1.5, 8)),
    .demand_per_s = servers * REQUESTS_PER_SERVER_S,
    .members = true,
    .skew_ms = 5000,
    .delay_ms = 20,
    .seed = instances,
  };
}

static void
cut_some (struct limit_fleet *fleet, uint32_t instances, uint32_t of_five)
{
  for (uint32_t i = 0; i < instances; i++)
    if (i % 5 < of_five)
      {
        limit_fleet_cut (fleet, i, true);
        limit_fleet_cut_store (fleet, i, true);
      }
}

/**
 * struct unheard_case - a fleet
 * @cut_of_five: of five instances, so many are cut off
 * @cold_after_ms: time from the evacuation until its servers turn cold
 */
struct unheard_case
{
  uint32_t instances;
  uint32_t servers;
  uint32_t cut_of_five;
  int64_t cold_after_ms;
};

/* Guards against cold servers that get more requests in a second than they
   tolerate from instances that have heard neither of the evacuation of their
   zone nor of their warm-up, being cut off; against such instances that stop
   serving; and against their health checks, of which a cold server must not
   get many either.  */
static void
test_instances_that_cannot_hear_keep_the_bound (void **state)
{
  const struct unheard_case *unheard = *state;
  const struct limit_fleet_desc desc
      = fleet_desc (unheard->instances, unheard->servers);
  struct limit_fleet *fleet = limit_fleet_new (&desc);
  limit_fleet_set_demand (fleet, 0);
  limit_fleet_run (fleet, SETTLED_MS);
  limit_fleet_set_demand (fleet, desc.demand_per_s);
  limit_fleet_run (fleet, SECOND_MS);
  struct limit_fleet_counts before = limit_fleet_counts (fleet);
  cut_some (fleet, unheard->instances, unheard->cut_of_five);
  limit_fleet_run (fleet, CUT_AHEAD_MS);
  limit_fleet_evacuate (fleet, EVACUATED_ZONE, true);
  limit_fleet_run (fleet, unheard->cold_after_ms);
  int64_t from_ms = limit_fleet_now_ms (fleet);
  for (uint32_t i = EVACUATED_ZONE; i < desc.servers; i += ZONES)
    limit_fleet_turn_cold (fleet, i, desc.cold_per_s, COLD_MS);
  limit_fleet_run (fleet, COLD_AHEAD_MS);
  limit_fleet_evacuate (fleet, EVACUATED_ZONE, false);
  limit_fleet_run (fleet, COLD_MS - COLD_AHEAD_MS);
  struct limit_fleet_counts after = limit_fleet_counts (fleet);
  uint32_t requests = 0;
  uint32_t checks = 0;
  for (uint32_t i = EVACUATED_ZONE; i < desc.servers; i += ZONES)
    {
      uint32_t here = limit_fleet_most_within (fleet, i, from_ms,
                                               from_ms + COLD_MS, SECOND_MS);
      requests = here > requests ? here : requests;
      here = limit_fleet_most_checks_within (fleet, i, from_ms,
                                             from_ms + COLD_MS, SECOND_MS);
      checks = here > checks ? here : checks;
    }
  limit_fleet_free (fleet);
  print_message (
      "%u instances, %u of 5 cut off, cold after %lld ms: %u requests and %u "
      "checks in "
      "a second, %u checks for %u requests, %u refused\n",
      desc.instances, unheard->cut_of_five, (long long)unheard->cold_after_ms,
      requests, checks, after.checks - before.checks,
      after.requests - before.requests, after.refused - before.refused);
  assert_in_range (requests, 0, BOUND);
  assert_in_range (checks, 0, CHECKS_MAX);
  assert_true ((after.refused - before.refused) * 100
               <= after.requests - before.requests);
}

/* Guards against requests that are refused, or wait, since checks of servers
   that do not answer are waited for while others are free.  */
static void
test_silent_servers_do_not_delay_requests (void **state)
{
  (void)state;
  struct limit_fleet_desc desc = fleet_desc (27, 90);
  desc.demand_per_s = 700;
  struct limit_fleet *fleet = limit_fleet_new (&desc);
  limit_fleet_set_demand (fleet, 0);
  limit_fleet_run (fleet, SETTLED_MS);
  cut_some (fleet, desc.instances, 5);
  for (uint32_t i = 0; i < desc.servers; i++)
    limit_fleet_silence (fleet, i, i % ZONES != 0);
  limit_fleet_run (fleet, (int64_t)2 * SECOND_MS);
  limit_fleet_set_demand (fleet, desc.demand_per_s);
  limit_fleet_run (fleet, (int64_t)6 * SECOND_MS);
  struct limit_fleet_counts counts = limit_fleet_counts (fleet);
  limit_fleet_free (fleet);
  print_message ("%u requests, %u refused, %u checks\n", counts.requests,
                 counts.refused, counts.checks);
  assert_true (counts.refused * 100 <= counts.requests);
}

static struct unheard_case cases[] = {
  { 8, 9, 3, 3000 },   { 81, 90, 3, 3000 }, { 300, 126, 3, 3000 },
  { 81, 90, 5, 3000 }, { 81, 90, 3, 500 },  { 300, 126, 2, 500 },
};

#define unheard_test(index)                                                   \
  cmocka_unit_test_prestate (test_instances_that_cannot_hear_keep_the_bound,  \
                             &cases[index])

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_silent_servers_do_not_delay_requests),
    unheard_test (0),
    unheard_test (1),
    unheard_test (2),
    unheard_test (3),
    unheard_test (4),
    unheard_test (5),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
