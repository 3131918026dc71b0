#include "banyangap/routing/cold_limit.h"
#include "banyangap/routing/warm_check.h"
#include "fixture.h"
#include "limit_fleet.h"

/* What a cold server tolerates: 4 requests a second, times 1.5, and 8.  */
#define BOUND 14u
#define SECOND_MS 1000

/* Time until all instances have been listed for long enough to grant
   permits.  */
#define SETTLED_MS 14000

/* Time after which all instances know that a server is cold.  */
#define KNOWN_MS 1050

#define SERVERS 4u
#define REQUESTS_PER_SERVER_S 60u
#define RETURNS 8u
#define COLD_MS 4000
#define WARM_MS 1000

/**
 * struct late_case - a fleet
 * @connect_ms: longest time that a connection takes to open
 */
struct late_case
{
  uint32_t instances;
  bool keyed;
  int64_t connect_ms;
};

/* Makes all servers dark, cold and, when all know that, reachable again.
   Returns the most requests at one of them in a second from then on. Adds the
   requests to @sum.  */
static uint32_t
return_cold (struct limit_fleet *fleet, double per_s, uint32_t *sum)
{
  uint32_t most = 0;
  for (uint32_t i = 0; i < SERVERS; i++)
    {
      limit_fleet_darken (fleet, i, true);
      limit_fleet_turn_cold (fleet, i, per_s, COLD_MS);
    }
  limit_fleet_run (fleet, KNOWN_MS);
  int64_t from_ms = limit_fleet_now_ms (fleet);
  for (uint32_t i = 0; i < SERVERS; i++)
    limit_fleet_darken (fleet, i, false);
  limit_fleet_run (fleet, COLD_MS - KNOWN_MS);
  int64_t to_ms = limit_fleet_now_ms (fleet);
  for (uint32_t i = 0; i < SERVERS; i++)
    {
      uint32_t here
          = limit_fleet_most_within (fleet, i, from_ms, to_ms, SECOND_MS);
      most = here > most ? here : most;
      *sum += limit_fleet_arrivals (fleet, i, from_ms, to_ms);
    }
  limit_fleet_run (fleet, WARM_MS);
  return most;
}

/* Guards against cold servers that get more requests in a second than they
   tolerate when they can be reached again: from attempts whose connections
   were not open yet, which were dispatched before the server was known to be
   cold, or with permits that are too old by now; and against permits that are
   lost with them, if connections open at once.  */
static void
test_attempts_that_waited_keep_the_bound (void **state)
{
  const struct late_case *late = *state;
  const struct limit_fleet_desc desc = {
    .instances = late->instances,
    .entries = late->instances,
    .servers = SERVERS,
    .keyed = late->keyed,
    .cold_per_s = bgap_cold_limit_rate (bgap_cold_limit_bound (4, 1.5, 8)),
    .demand_per_s = SERVERS * REQUESTS_PER_SERVER_S,
    .members = true,
    .skew_ms = 5000,
    .delay_ms = 20,
    .connect_ms = late->connect_ms,
    .seed = late->instances,
  };
  struct limit_fleet *fleet = limit_fleet_new (&desc);
  double seconds = SERVERS * RETURNS * (COLD_MS - KNOWN_MS) / 1000.0;
  uint32_t most = 0;
  uint32_t sum = 0;
  limit_fleet_set_demand (fleet, 0);
  limit_fleet_run (fleet, SETTLED_MS);
  limit_fleet_set_demand (fleet, desc.demand_per_s);
  limit_fleet_run (fleet, SECOND_MS);
  for (uint32_t i = 0; i < RETURNS; i++)
    {
      uint32_t here = return_cold (fleet, desc.cold_per_s, &sum);
      most = here > most ? here : most;
    }
  struct limit_fleet_counts counts = limit_fleet_counts (fleet);
  limit_fleet_free (fleet);
  print_message ("%u instances, keyed %d, connections open after %lld ms: "
                 "%u requests in a second, %.1f per second, %u of %u refused, "
                 "%u unknown\n",
                 desc.instances, desc.keyed, (long long)desc.connect_ms, most,
                 sum / seconds, counts.refused, counts.requests,
                 counts.unknown);
  assert_in_range (most, 0, BOUND);
  if (late->connect_ms == 0)
    assert_true (sum / seconds * 2 >= BOUND);
}

/* Guards against requests that are refused, and servers that are avoided,
   because attempts were not sent: neither has failed.  */
static void
test_attempts_that_were_not_sent_cost_nothing (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (
      &f, &(struct bgap_service_desc){ .name = "s", .attempts_max = 1 });
  struct bgap_server_id server = fixture_server (&f, "a", "z1", 1);
  struct bgap_request_id request
      = fixture_request (&f, &(struct bgap_request_desc){ 0 });
  struct bgap_server_status status;
  for (uint32_t i = 0; i < 20; i++)
    {
      struct bgap_router_action action
          = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
      assert_true (bgap_router_may_send (&f.router, f.now_ms, action.attempt));
      fixture_result (&f, action.attempt, BGAP_RESULT_NOT_SENT);
      assert_false (
          bgap_router_may_send (&f.router, f.now_ms, action.attempt));
    }
  struct bgap_router_action last
      = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  assert_int_equal (
      bgap_router_server_status (&f.router, f.now_ms, server, &status),
      BGAP_OK);
  assert_int_equal (status.in_flight, 1);
  assert_false (status.ejected);
  fixture_result (&f, last.attempt, BGAP_RESULT_COMPLETE);
  fixture_expect_finish (&f, request, BGAP_OUTCOME_ANSWERED, 200);
  fixture_shutdown (&f);
}

/* Guards against requests that a health check covered when they were
   dispatched and that are sent much later, or after the server was found to
   be cold; and against ones that are held back though the server is known to
   be warm.  */
static void
test_health_checks_become_too_old (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f, &(struct bgap_service_desc){ .name = "s" });
  struct bgap_server_id server = fixture_server (&f, "a", "z1", 4);
  bgap_router_set_view_time (&f.router, f.now_ms);
  bgap_router_server_cold (&f.router, f.now_ms, server, 7, 0);
  fixture_wait (&f, BGAP_WARM_VIEW_MS);
  fixture_request (&f, NULL);
  fixture_expect (&f, BGAP_ROUTER_ACTION_CHECK_SERVER);
  bgap_router_server_checked (&f.router, f.now_ms, server,
                              BGAP_WARM_CHECK_WARM);
  struct bgap_attempt_id attempt
      = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH).attempt;
  int64_t sent_ms = f.now_ms + BGAP_WARM_CHECK_VALID_MS;
  assert_true (bgap_router_may_send (&f.router, sent_ms - 1, attempt));
  assert_int_equal (bgap_router_clearance_ms (&f.router, sent_ms, attempt), 0);
  assert_false (bgap_router_may_send (&f.router, sent_ms, attempt));
  bgap_router_set_view_time (&f.router, sent_ms);
  assert_true (bgap_router_may_send (&f.router, sent_ms, attempt));
  bgap_router_server_cold (&f.router, sent_ms, server, 7, COLD_MS);
  assert_false (bgap_router_may_send (&f.router, sent_ms, attempt));
  fixture_shutdown (&f);
}

int
main (void)
{
  static struct late_case cases[]
      = { { 8, true, 0 },    { 81, true, 0 },    { 300, true, 0 },
          { 8, false, 0 },   { 81, false, 0 },   { 300, false, 0 },
          { 8, true, 250 },  { 81, true, 250 },  { 300, true, 250 },
          { 8, false, 250 }, { 81, false, 250 }, { 300, false, 250 } };
#define CASE(i)                                                               \
  cmocka_unit_test_prestate (test_attempts_that_waited_keep_the_bound,        \
                             &cases[i])
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_attempts_that_were_not_sent_cost_nothing),
    cmocka_unit_test (test_health_checks_become_too_old),
    CASE (0),
    CASE (1),
    CASE (2),
    CASE (3),
    CASE (4),
    CASE (5),
    CASE (6),
    CASE (7),
    CASE (8),
    CASE (9),
    CASE (10),
    CASE (11),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
