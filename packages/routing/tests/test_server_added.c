#include "fixture.h"

#include "banyangap/routing/balancer.h"
#include "banyangap/routing/server.h"

/* A server that is added again, with what it had stated before, while requests
   wait.  */

/* Requests that one server takes, with one slot and two in its queue.  */
#define TAKEN 3

#define PAUSE_MS 2000
#define GRACE_MS 400

/* Adds a server that drains, or that has asked for a pause, while a request
   waits for another one, and checks that the request is not sent to it.  */
static void
check_gets_no_waiting_request (bool draining, int64_t pause_ms)
{
  const struct bgap_server_desc desc = { .name = "b",
                                         .zone = "z1",
                                         .slots = 4,
                                         .connections = 120,
                                         .already_running = true,
                                         .draining = draining,
                                         .pause_ms = pause_ms };
  struct fixture f;
  struct bgap_router_action running = { 0 };
  fixture_setup (&f, &fixture_shared_service);
  struct bgap_server_id a = fixture_server (&f, "a", "z1", 1);
  for (int i = 0; i <= TAKEN; i++)
    (void)fixture_request (&f, NULL);
  for (int i = 0; i < TAKEN; i++)
    running = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  fixture_expect_none (&f);
  fixture_add_unused (&f, &desc, 1);
  fixture_result (&f, running.attempt, BGAP_RESULT_COMPLETE);
  fixture_expect_finish (&f, running.request, BGAP_OUTCOME_ANSWERED, 200);
  running = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  assert_int_equal (running.server.id, a.id);
  fixture_shutdown (&f);
}

/* Guards against a waiting request that is sent to a server long after it has
   said that it leaves.  */
static void
test_draining_server_gets_no_waiting_request (void **state)
{
  (void)state;
  check_gets_no_waiting_request (true, 0);
}

/* Guards against a waiting request that is sent to a server during the pause
   that it has asked for.  */
static void
test_paused_server_gets_no_waiting_request (void **state)
{
  (void)state;
  check_gets_no_waiting_request (false, PAUSE_MS);
}

/* Guards against requests for the keys of a holder that has been draining for
   longer than its grace period when it is added.  */
static void
test_grace_period_does_not_begin_anew (void **state)
{
  (void)state;
  static const struct bgap_service_desc keyed_service = {
    .name = "s",
    .keyed = true,
    .drain_grace_ms = GRACE_MS,
    .policy = &bgap_balancer_shared,
  };
  struct fixture f;
  struct bgap_server_id id;
  fixture_setup (&f, &keyed_service);
  assert_int_equal (
      bgap_router_set_server (
          &f.router, f.now_ms, f.service,
          &(struct bgap_server_desc){ .name = "a",
                                      .zone = "z1",
                                      .slots = 4,
                                      .already_running = true,
                                      .draining = true,
                                      .draining_for_ms = GRACE_MS - 100 },
          &id, NULL),
      BGAP_OK);
  bgap_router_server_drain (&f.router, f.now_ms, id, BGAP_DRAIN_HOST_LIST,
                            true);
  assert_true (bgap_router_holder_usable (&f.router, f.now_ms, f.service, id));
  f.now_ms += 100;
  assert_false (
      bgap_router_holder_usable (&f.router, f.now_ms, f.service, id));
  fixture_shutdown (&f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_draining_server_gets_no_waiting_request),
    cmocka_unit_test (test_paused_server_gets_no_waiting_request),
    cmocka_unit_test (test_grace_period_does_not_begin_anew),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
