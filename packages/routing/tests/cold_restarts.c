#include "cold_restarts.h"
#include "banyangap/routing/cold_limit.h"
#include "fixture.h"
#include "limit_fleet.h"

#define SECOND_MS 1000

/* Time until all instances have been listed for long enough to grant
   permits.  */
#define SETTLED_MS 14000

#define REQUESTS_PER_SERVER_S 16u
#define SERVERS 90u
#define DOWN_MS 500
#define COLD_MS 3000
#define CRASHES 5u
#define CRASH_INTERVAL_MS 6000
/* Instances that reach the store have read a registration by then.  */
#define READ_MS 1100

static struct limit_fleet_desc
fleet_desc (uint32_t instances)
{
  return (struct limit_fleet_desc){
    .instances = instances,
    .entries = instances,
    .servers = SERVERS,
    .cold_per_s = bgap_cold_limit_rate (bgap_cold_limit_bound (4, 1.5, 8)),
    .demand_per_s = SERVERS * REQUESTS_PER_SERVER_S,
    .members = true,
    .skew_ms = 5000,
    .delay_ms = 20,
    .seed = instances,
  };
}

uint32_t
cold_restarts_most (uint32_t instances)
{
  const struct limit_fleet_desc desc = fleet_desc (instances);
  struct limit_fleet *fleet = limit_fleet_new (&desc);
  uint32_t most = 0;
  uint32_t sum = 0;
  uint32_t count = 0;
  limit_fleet_set_demand (fleet, 0);
  limit_fleet_run (fleet, SETTLED_MS);
  limit_fleet_set_demand (fleet, desc.demand_per_s);
  limit_fleet_run (fleet, SECOND_MS);
  for (uint32_t crash = 0; crash < CRASHES; crash++)
    {
      for (uint32_t i = 0; i < SERVERS; i += 3)
        limit_fleet_crash (fleet, i, desc.cold_per_s, DOWN_MS, COLD_MS);
      int64_t from_ms = limit_fleet_now_ms (fleet) + DOWN_MS;
      limit_fleet_run (fleet, CRASH_INTERVAL_MS);
      for (uint32_t i = 0; i < SERVERS; i += 3)
        {
          uint32_t here = limit_fleet_most_within (
              fleet, i, from_ms, from_ms + COLD_MS, SECOND_MS);
          most = here > most ? here : most;
          sum += limit_fleet_arrivals (fleet, i, from_ms, from_ms + READ_MS);
          count++;
        }
    }
  struct limit_fleet_counts counts = limit_fleet_counts (fleet);
  limit_fleet_free (fleet);
  print_message ("%u instances: %u requests in a second, %.1f until the "
                 "registration is read; %u checks, %u refused of %u\n",
                 instances, most, (double)sum / count, counts.checks,
                 counts.refused, counts.requests);
  return most;
}
