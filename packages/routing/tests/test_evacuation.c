#include "fixture.h"

#include "banyangap/routing/balancer.h"
#include "banyangap/routing/server.h"

static const struct bgap_service_desc keyed_service = {
  .name = "s",
  .keyed = true,
  .shared_slots = true,
  .queue_per_server = 2,
  .charge_refusals = true,
  .retry_burst = 3,
  .drain_grace_ms = 400,
  .policy = &bgap_balancer_shared,
};

#define DEADLINE_MS 3000
#define GRACE_MS 2500

static struct bgap_request_id
request (struct fixture *f, struct bgap_server_id holder)
{
  return fixture_request (
      f, &(struct bgap_request_desc){ .idempotent = true,
                                      .deadline_ms = DEADLINE_MS,
                                      .holder = holder,
                                      .token = 1 });
}

static void
evacuate (struct fixture *f, struct bgap_server_id server, bool on)
{
  bgap_router_server_evacuate (&f->router, f->now_ms, server, on, GRACE_MS);
}

static void
expect_dispatch (struct fixture *f, struct bgap_request_id id,
                 struct bgap_server_id server)
{
  struct bgap_router_action d
      = fixture_expect (f, BGAP_ROUTER_ACTION_DISPATCH);
  assert_int_equal (d.server.id, server.id);
  fixture_result (f, d.attempt, BGAP_RESULT_COMPLETE);
  fixture_expect_finish (f, id, BGAP_OUTCOME_ANSWERED, 200);
}

/* Expects that a request was refused as not run, with a time to return.  */
static void
expect_refused (struct fixture *f, struct bgap_request_id id)
{
  struct bgap_router_action finish
      = fixture_expect (f, BGAP_ROUTER_ACTION_FINISH);
  assert_int_equal (finish.request.id, id.id);
  assert_int_equal (finish.outcome, BGAP_OUTCOME_NOT_RUN);
  assert_int_equal (finish.reason, BGAP_REASON_EVACUATED);
  assert_int_equal (finish.http_status, 503);
  assert_in_range (finish.retry_after_ms, 500, 1000);
}

/* Guards against new requests and retries at an evacuated server, and against
   a running one that is broken off.  */
static void
test_requests_go_elsewhere (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f, &fixture_shared_service);
  struct bgap_server_id a = fixture_server (&f, "a", "z1", 4);
  struct bgap_request_id running = request (&f, a);
  struct bgap_router_action d
      = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  struct bgap_server_id b = fixture_server (&f, "b", "z2", 4);
  evacuate (&f, a, true);
  fixture_expect_none (&f);
  for (int i = 0; i < 30; i++)
    expect_dispatch (&f, request (&f, b), b);
  fixture_result (&f, d.attempt, BGAP_RESULT_SHED);
  expect_dispatch (&f, running, b);
  evacuate (&f, a, false);
  /* It is not tried for a while after the refusal.  */
  fixture_wait (&f, 1000);
  bool is_used = false;
  for (int i = 0; i < 30; i++)
    {
      struct bgap_request_id id = request (&f, b);
      d = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
      is_used = is_used || d.server.id == a.id;
      fixture_result (&f, d.attempt, BGAP_RESULT_COMPLETE);
      fixture_expect_finish (&f, id, BGAP_OUTCOME_ANSWERED, 200);
    }
  assert_true (is_used);
  fixture_shutdown (&f);
}

/* Guards against waiting requests that are sent to a server of an evacuated
   zone while it is added, or added again while requests run there.  */
static void
test_server_added_while_evacuated (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f, &fixture_shared_service);
  struct bgap_server_id a = fixture_server (&f, "a", "z2", 1);
  struct bgap_server_id b = fixture_server (&f, "b", "z1", 1);
  struct bgap_router_action running = { 0 };
  /* Each may have two more requests than slots; the last request waits.  */
  for (int i = 0; i < 7; i++)
    (void)request (&f, a);
  for (int i = 0; i < 6; i++)
    {
      struct bgap_router_action d
          = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
      running = d.server.id == a.id ? d : running;
    }
  fixture_expect_none (&f);
  bgap_router_remove_server (&f.router, f.now_ms, b);
  for (int i = 0; i < 2; i++)
    {
      const struct bgap_server_desc desc = { .name = i == 0 ? "b" : "c",
                                             .zone = "z1",
                                             .slots = 4,
                                             .connections = 120,
                                             .already_running = true,
                                             .evacuated = true };
      fixture_add_unused (&f, &desc, 2);
    }
  fixture_result (&f, running.attempt, BGAP_RESULT_COMPLETE);
  fixture_expect_finish (&f, running.request, BGAP_OUTCOME_ANSWERED, 200);
  running = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  assert_int_equal (running.server.id, a.id);
  fixture_shutdown (&f);
}

/* Guards against a server that drains for another reason and is used again
   when the evacuation of its zone ends, and the reverse.  */
static void
test_signals_are_independent (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f, &fixture_shared_service);
  struct bgap_server_id a = fixture_server (&f, "a", "z1", 4);
  struct bgap_server_id b = fixture_server (&f, "b", "z2", 4);
  bgap_router_server_drain (&f.router, f.now_ms, a, BGAP_DRAIN_HOST_LIST,
                            true);
  evacuate (&f, a, true);
  evacuate (&f, a, false);
  for (int i = 0; i < 30; i++)
    expect_dispatch (&f, request (&f, b), b);
  evacuate (&f, a, true);
  bgap_router_server_drain (&f.router, f.now_ms, a, BGAP_DRAIN_HOST_LIST,
                            false);
  bgap_router_server_alive (&f.router, f.now_ms, a, 1);
  bgap_router_server_alive (&f.router, f.now_ms, a, 2);
  for (int i = 0; i < 30; i++)
    expect_dispatch (&f, request (&f, b), b);
  fixture_shutdown (&f);
}

/* Guards against keys that nobody serves while they move, and against a holder
   that gets requests longer than it may: the grace periods of its own drain
   and of the evacuation both apply.  */
static void
test_holder_has_a_grace_period (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f, &keyed_service);
  struct bgap_server_id a = fixture_server (&f, "a", "z1", 4);
  struct bgap_server_id b = fixture_server (&f, "b", "z2", 4);
  evacuate (&f, a, true);
  fixture_wait (&f, GRACE_MS - 100);
  expect_dispatch (&f, request (&f, a), a);
  bgap_router_server_drain (&f.router, f.now_ms, a, BGAP_DRAIN_HOST_LIST,
                            true);
  expect_dispatch (&f, request (&f, a), a);
  fixture_wait (&f, 100);
  struct bgap_request_id id = request (&f, a);
  fixture_expect (&f, BGAP_ROUTER_ACTION_RESOLVE);
  bgap_router_resolved (&f.router, f.now_ms, id, b, 2);
  expect_dispatch (&f, id, b);
  evacuate (&f, a, false);
  evacuate (&f, a, true);
  fixture_wait (&f, 350);
  id = request (&f, a);
  fixture_expect (&f, BGAP_ROUTER_ACTION_RESOLVE);
  bgap_router_resolved (&f.router, f.now_ms, id, b, 2);
  expect_dispatch (&f, id, b);
  fixture_shutdown (&f);
}

/* Guards against a holder that gets requests although the signal was set
   without a grace period, and against refusals before its keys have moved.  */
static void
test_holder_without_a_grace_period (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f, &keyed_service);
  struct bgap_server_id a = fixture_server (&f, "a", "z1", 4);
  struct bgap_server_id b = fixture_server (&f, "b", "z2", 4);
  bgap_router_server_drain (&f.router, f.now_ms, a, BGAP_DRAIN_ZONE, true);
  struct bgap_request_id id = request (&f, a);
  fixture_expect (&f, BGAP_ROUTER_ACTION_RESOLVE);
  /* Its keys have not moved: the request waits.  */
  bgap_router_resolved (&f.router, f.now_ms, id, a, 1);
  fixture_expect_none (&f);
  fixture_wait (&f, 100);
  fixture_expect (&f, BGAP_ROUTER_ACTION_RESOLVE);
  bgap_router_resolved (&f.router, f.now_ms, id, b, 2);
  expect_dispatch (&f, id, b);
  fixture_shutdown (&f);
}

/* Guards against callers that wait for their deadline while no zone is left,
   or that get another status than a refusal; those that waited already are
   refused with the last zone.  */
static void
test_last_zone_refuses_at_once (void **state)
{
  (void)state;
  struct fixture f;
  struct bgap_request_id running[12];
  struct bgap_router_action d[12];
  fixture_setup (&f, &fixture_shared_service);
  struct bgap_server_id a = fixture_server (&f, "a", "z1", 1);
  struct bgap_server_id b = fixture_server (&f, "b", "z2", 1);
  struct bgap_server_id c = fixture_server (&f, "c", "z2", 1);
  bgap_router_server_lost (&f.router, f.now_ms, c);
  evacuate (&f, a, true);
  int count = 0;
  struct bgap_router_action action;
  do
    {
      running[count] = request (&f, a);
      if (!bgap_router_next_action (&f.router, &action))
        break;
      assert_int_equal (action.kind, BGAP_ROUTER_ACTION_DISPATCH);
      d[count++] = action;
    }
  while (count < 12);
  assert_in_range (count, 1, 11);
  fixture_expect_none (&f);
  evacuate (&f, b, true);
  expect_refused (&f, running[count]);
  expect_refused (&f, request (&f, a));
  for (int i = 0; i < count; i++)
    {
      fixture_result (&f, d[i].attempt, BGAP_RESULT_COMPLETE);
      fixture_expect_finish (&f, running[i], BGAP_OUTCOME_ANSWERED, 200);
    }
  evacuate (&f, a, false);
  expect_dispatch (&f, request (&f, a), a);
  fixture_shutdown (&f);
}

/* Guards against requests for keys that wait while no zone is left: within the
   grace period of their holder, too, since their keys cannot move, and
   requests that wait for their key already.  */
static void
test_last_zone_refuses_keys_at_once (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f, &keyed_service);
  struct bgap_server_id a = fixture_server (&f, "a", "z1", 4);
  struct bgap_server_id b = fixture_server (&f, "b", "z2", 4);
  struct bgap_request_id waiting
      = request (&f, (struct bgap_server_id){ BGAP_INVALID_ID });
  fixture_expect (&f, BGAP_ROUTER_ACTION_RESOLVE);
  bgap_router_resolved (&f.router, f.now_ms, waiting,
                        (struct bgap_server_id){ BGAP_INVALID_ID }, 0);
  evacuate (&f, a, true);
  evacuate (&f, b, true);
  expect_refused (&f, request (&f, a));
  fixture_wait (&f, 50);
  fixture_expect (&f, BGAP_ROUTER_ACTION_RESOLVE);
  bgap_router_resolved (&f.router, f.now_ms, waiting,
                        (struct bgap_server_id){ BGAP_INVALID_ID }, 0);
  expect_refused (&f, waiting);
  evacuate (&f, a, false);
  expect_dispatch (&f, request (&f, a), a);
  fixture_shutdown (&f);
}

/* Guards against a request without a usable holder that waits on: that is how
   instances report it.  */
static void
test_last_zone_refuses_keys_without_holder (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f, &keyed_service);
  struct bgap_server_id a = fixture_server (&f, "a", "z1", 4);
  struct bgap_request_id waiting
      = request (&f, (struct bgap_server_id){ BGAP_INVALID_ID });
  fixture_expect (&f, BGAP_ROUTER_ACTION_RESOLVE);
  bgap_router_unresolved (&f.router, f.now_ms, waiting, 0);
  fixture_wait (&f, 50);
  fixture_expect (&f, BGAP_ROUTER_ACTION_RESOLVE);
  evacuate (&f, a, true);
  bgap_router_unresolved (&f.router, f.now_ms, waiting, 50);
  expect_refused (&f, waiting);
  fixture_shutdown (&f);
}

/* Guards against a service whose servers all drain by themselves, and that is
   taken for evacuated.  */
static void
test_drain_of_all_is_no_evacuation (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f, &fixture_shared_service);
  struct bgap_server_id a = fixture_server (&f, "a", "z1", 4);
  bgap_router_server_drain (&f.router, f.now_ms, a, BGAP_DRAIN_HOST_LIST,
                            true);
  struct bgap_request_id id = request (&f, a);
  fixture_expect_none (&f);
  struct bgap_server_id b = fixture_server (&f, "b", "z1", 4);
  expect_dispatch (&f, id, b);
  fixture_shutdown (&f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_requests_go_elsewhere),
    cmocka_unit_test (test_server_added_while_evacuated),
    cmocka_unit_test (test_signals_are_independent),
    cmocka_unit_test (test_holder_has_a_grace_period),
    cmocka_unit_test (test_holder_without_a_grace_period),
    cmocka_unit_test (test_last_zone_refuses_at_once),
    cmocka_unit_test (test_last_zone_refuses_keys_at_once),
    cmocka_unit_test (test_last_zone_refuses_keys_without_holder),
    cmocka_unit_test (test_drain_of_all_is_no_evacuation),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
