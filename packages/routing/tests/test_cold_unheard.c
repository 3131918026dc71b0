#include "banyangap/routing/cold_limit.h"
#include "fixture.h"
#include "limit_fleet.h"

/* What a cold server tolerates: 4 requests a second, times 1.5, and 8.  */
#define BOUND 14u
#define SECOND_MS 1000

/* Time until all instances have been listed for long enough to grant
   permits.  */
#define SETTLED_MS 14000

/* In a burst.  */
#define REQUESTS_PER_SERVER_S 16u

#define ZONES 3u
#define EVACUATED_ZONE 0u

/* Of five instances, so many are cut off.  */
#define CUT_OF_FIVE 3u

#define CUT_AHEAD_MS 500
#define EVACUATED_MS 4000
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
    .demand_per_s = servers * REQUESTS_PER_SERVER_S,
    .members = true,
    .skew_ms = 5000,
    .delay_ms = 20,
    .seed = instances,
  };
}

static void
cut_some (struct limit_fleet *fleet, uint32_t instances, bool cut)
{
  for (uint32_t i = 0; i < instances; i++)
    if (i % 5 < CUT_OF_FIVE)
      {
        limit_fleet_cut (fleet, i, cut);
        limit_fleet_cut_store (fleet, i, cut);
      }
}

/* Guards against cold servers that get more requests in a second than they
   tolerate from instances that have heard neither of the evacuation of their
   zone nor of their warm-up, being cut off, and against such instances that
   stop serving.  */
static void
check_unheard (uint32_t instances, uint32_t servers)
{
  const struct limit_fleet_desc desc = fleet_desc (instances, servers);
  struct limit_fleet *fleet = limit_fleet_new (&desc);
  double per_s = bgap_cold_limit_rate (bgap_cold_limit_bound (4, 1.5, 8));
  limit_fleet_set_demand (fleet, 0);
  limit_fleet_run (fleet, SETTLED_MS);
  limit_fleet_set_demand (fleet, desc.demand_per_s);
  limit_fleet_run (fleet, SECOND_MS);
  struct limit_fleet_counts before = limit_fleet_counts (fleet);
  cut_some (fleet, instances, true);
  limit_fleet_run (fleet, CUT_AHEAD_MS);
  limit_fleet_evacuate (fleet, EVACUATED_ZONE, true);
  limit_fleet_run (fleet, EVACUATED_MS - COLD_AHEAD_MS);
  int64_t from_ms = limit_fleet_now_ms (fleet);
  for (uint32_t i = EVACUATED_ZONE; i < servers; i += ZONES)
    limit_fleet_turn_cold (fleet, i, per_s, COLD_MS);
  limit_fleet_run (fleet, COLD_AHEAD_MS);
  limit_fleet_evacuate (fleet, EVACUATED_ZONE, false);
  limit_fleet_run (fleet, COLD_MS - COLD_AHEAD_MS);
  struct limit_fleet_counts after = limit_fleet_counts (fleet);
  uint32_t most = 0;
  for (uint32_t i = EVACUATED_ZONE; i < servers; i += ZONES)
    {
      uint32_t here = limit_fleet_most_within (fleet, i, from_ms,
                                               from_ms + COLD_MS, SECOND_MS);
      most = here > most ? here : most;
    }
  limit_fleet_free (fleet);
  uint32_t requests = after.requests - before.requests;
  uint32_t refused = after.refused - before.refused;
  if (most > BOUND)
    fail_msg ("%u instances: %u requests in a second at a cold server, "
              "allowed %u",
              instances, most, BOUND);
  if (refused * 100 > requests)
    fail_msg ("%u instances: %u of %u requests refused", instances, refused,
              requests);
}

struct fleet_size
{
  uint32_t instances;
  uint32_t servers;
};

static void
test_instances_that_cannot_hear_keep_the_bound (void **state)
{
  const struct fleet_size *size = *state;
  check_unheard (size->instances, size->servers);
}

int
main (void)
{
  static struct fleet_size sizes[] = { { 8, 9 }, { 81, 90 }, { 300, 126 } };
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_prestate (test_instances_that_cannot_hear_keep_the_bound,
                               &sizes[0]),
    cmocka_unit_test_prestate (test_instances_that_cannot_hear_keep_the_bound,
                               &sizes[1]),
    cmocka_unit_test_prestate (test_instances_that_cannot_hear_keep_the_bound,
                               &sizes[2]),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
