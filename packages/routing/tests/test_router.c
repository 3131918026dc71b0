#include "fixture.h"

static const struct bgap_service_desc plain = { .name = "s" };

/* Guards against more attempts than slots, and against a request that waits
   although a slot is free.  */
static void
test_slots_and_queue (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f, &plain);
  fixture_server (&f, "a", "z1", 1);
  struct bgap_request_id first = fixture_request (&f, NULL);
  struct bgap_request_id second = fixture_request (&f, NULL);
  struct bgap_router_action d
      = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  assert_int_equal (d.request.id, first.id);
  fixture_expect_none (&f);
  fixture_result (&f, d.attempt, BGAP_RESULT_COMPLETE);
  fixture_expect_finish (&f, first, BGAP_OUTCOME_ANSWERED, 200);
  d = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  assert_int_equal (d.request.id, second.id);
  fixture_shutdown (&f);
}

/* Guards against a queue without a bound, and against bulk work that keeps an
   urgent request out of a full queue or ahead of it.  */
static void
test_queue_is_bounded_and_ordered (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f,
                 &(struct bgap_service_desc){ .name = "s", .queue_limit = 2 });
  fixture_server (&f, "a", "z1", 1);
  fixture_request (&f, NULL);
  struct bgap_router_action d
      = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  struct bgap_request_id normal = fixture_request (&f, NULL);
  struct bgap_request_id bulk = fixture_request (
      &f, &(struct bgap_request_desc){ .idempotent = true,
                                       .class_ = BGAP_CLASS_BULK });
  struct bgap_request_id urgent = fixture_request (
      &f, &(struct bgap_request_desc){ .idempotent = true,
                                       .class_ = BGAP_CLASS_URGENT });
  fixture_expect_finish (&f, bulk, BGAP_OUTCOME_NOT_RUN, 503);
  struct bgap_request_id refused = fixture_request (&f, NULL);
  fixture_expect_finish (&f, refused, BGAP_OUTCOME_NOT_RUN, 503);
  fixture_result (&f, d.attempt, BGAP_RESULT_COMPLETE);
  fixture_expect (&f, BGAP_ROUTER_ACTION_FINISH);
  d = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  assert_int_equal (d.request.id, urgent.id);
  fixture_result (&f, d.attempt, BGAP_RESULT_COMPLETE);
  fixture_expect (&f, BGAP_ROUTER_ACTION_FINISH);
  d = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  assert_int_equal (d.request.id, normal.id);
  fixture_shutdown (&f);
}

/* Guards against "not run" for work that may have run, and "unknown" for work
   that never left the queue.  */
static void
test_deadline_outcomes (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f, &plain);
  fixture_server (&f, "a", "z1", 1);
  const struct bgap_request_desc desc
      = { .idempotent = true, .deadline_ms = 50 };
  struct bgap_request_id running = fixture_request (&f, &desc);
  struct bgap_request_id waiting = fixture_request (&f, &desc);
  struct bgap_router_action d
      = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  assert_int_equal (d.deadline_ms, 50);
  fixture_wait (&f, 50);
  fixture_expect (&f, BGAP_ROUTER_ACTION_CANCEL_ATTEMPT);
  fixture_expect_finish (&f, running, BGAP_OUTCOME_UNKNOWN, 504);
  fixture_expect_finish (&f, waiting, BGAP_OUTCOME_NOT_RUN, 503);
  fixture_result (&f, d.attempt, BGAP_RESULT_COMPLETE);
  fixture_expect_none (&f);
  fixture_shutdown (&f);
}

/* Guards against a retry of work that may have run and is not idempotent.  */
static void
test_retry_needs_proof (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f, &plain);
  struct bgap_server_id a = fixture_server (&f, "a", "z1", 4);
  struct bgap_server_id b = fixture_server (&f, "b", "z1", 4);
  struct bgap_request_id r
      = fixture_request (&f, &(struct bgap_request_desc){ 0 });
  struct bgap_router_action d
      = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  fixture_result (&f, d.attempt, BGAP_RESULT_NO_CONNECT);
  struct bgap_router_action again
      = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  assert_int_equal (again.server.id, d.server.id == a.id ? b.id : a.id);
  fixture_result (&f, again.attempt, BGAP_RESULT_BROKEN);
  fixture_expect_finish (&f, r, BGAP_OUTCOME_UNKNOWN, 502);

  /* An idempotent one is retried, but not once its answer has started.  */
  fixture_request (&f, NULL);
  d = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  fixture_result (&f, d.attempt, BGAP_RESULT_BROKEN);
  d = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  fixture_result (&f, d.attempt, BGAP_RESULT_STARTED);
  fixture_result (&f, d.attempt, BGAP_RESULT_BROKEN);
  d = fixture_expect (&f, BGAP_ROUTER_ACTION_FINISH);
  assert_int_equal (d.outcome, BGAP_OUTCOME_UNKNOWN);
  assert_true (d.streamed);
  fixture_expect_none (&f);
  fixture_shutdown (&f);
}

/* Guards against "not run" for a request whose last refusal hides an earlier
   attempt that may have run.  */
static void
test_earlier_attempt_is_remembered (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (
      &f, &(struct bgap_service_desc){ .name = "s", .attempts_max = 2 });
  fixture_server (&f, "a", "z1", 4);
  fixture_server (&f, "b", "z1", 4);
  struct bgap_request_id r = fixture_request (&f, NULL);
  struct bgap_router_action d
      = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  fixture_result (&f, d.attempt, BGAP_RESULT_BROKEN);
  d = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  fixture_result (&f, d.attempt, BGAP_RESULT_NO_CONNECT);
  fixture_expect_finish (&f, r, BGAP_OUTCOME_UNKNOWN, 502);
  fixture_shutdown (&f);
}

/* Guards against retries that multiply an overload.  */
static void
test_retry_budget (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f, &plain);
  fixture_server (&f, "a", "z1", 100);
  fixture_server (&f, "b", "z1", 100);
  unsigned dispatches = 0;
  unsigned budget = 0;
  struct bgap_router_action action;
  for (int i = 0; i < 1000; i++)
    {
      fixture_request (&f, NULL);
      while (bgap_router_next_action (&f.router, &action))
        if (action.kind == BGAP_ROUTER_ACTION_DISPATCH)
          {
            dispatches++;
            fixture_result (&f, action.attempt, BGAP_RESULT_NO_CONNECT);
          }
        else if (action.kind == BGAP_ROUTER_ACTION_FINISH)
          {
            assert_int_equal (action.outcome, BGAP_OUTCOME_NOT_RUN);
            budget += action.http_status == 429;
          }
      fixture_wait (&f, 20);
    }
  assert_in_range (dispatches, 1100, 1220);
  assert_true (budget > 500);
  fixture_shutdown (&f);
}

/* Guards against a request that fails because a shared slot was taken while
   others are free, and against a full server that is tried again at once.  */
static void
test_shed_request_is_placed_again (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f, &plain);
  fixture_server (&f, "a", "z1", 4);
  fixture_server (&f, "b", "z1", 4);
  struct bgap_request_id r
      = fixture_request (&f, &(struct bgap_request_desc){ 0 });
  struct bgap_router_action first
      = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  fixture_result (&f, first.attempt, BGAP_RESULT_SHED);
  struct bgap_router_action next
      = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  assert_int_not_equal (next.server.id, first.server.id);
  fixture_result (&f, next.attempt, BGAP_RESULT_SHED);
  fixture_expect_none (&f);
  fixture_wait (&f, 20);
  next = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  fixture_result (&f, next.attempt, BGAP_RESULT_COMPLETE);
  fixture_expect_finish (&f, r, BGAP_OUTCOME_ANSWERED, 200);
  fixture_shutdown (&f);
}

/* Guards against a fenced request that stays with the old holder, and against
   a key without a holder that fails while its slice moves.  */
static void
test_keyed_request_follows_its_holder (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f,
                 &(struct bgap_service_desc){ .name = "s", .keyed = true });
  struct bgap_server_id a = fixture_server (&f, "a", "z1", 1);
  struct bgap_server_id b = fixture_server (&f, "b", "z2", 1);
  struct bgap_request_id r = fixture_request (
      &f, &(struct bgap_request_desc){ .holder = a, .token = 5 });
  struct bgap_router_action d
      = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  assert_int_equal (d.token, 5);
  fixture_result (&f, d.attempt, BGAP_RESULT_FENCED);
  fixture_expect (&f, BGAP_ROUTER_ACTION_RESOLVE);
  bgap_router_resolved (&f.router, f.now_ms, r, (struct bgap_server_id){ 0 },
                        0);
  fixture_expect_none (&f);
  fixture_wait (&f, 200);
  fixture_expect (&f, BGAP_ROUTER_ACTION_RESOLVE);
  bgap_router_resolved (&f.router, f.now_ms, r, b, 9);
  d = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  assert_int_equal (d.server.id, b.id);
  assert_int_equal (d.token, 9);
  fixture_result (&f, d.attempt, BGAP_RESULT_COMPLETE);
  fixture_expect_finish (&f, r, BGAP_OUTCOME_ANSWERED, 200);
  fixture_shutdown (&f);
}

/* Guards against work sent to another zone while the own zone has room, and
   against a full zone that does not overflow.  */
static void
test_nearest_zone_first (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f, &plain);
  struct bgap_server_id near = fixture_server (&f, "a", "z1", 2);
  struct bgap_server_id far = fixture_server (&f, "b", "z2", 2);
  for (int i = 0; i < 4; i++)
    {
      fixture_request (&f, NULL);
      struct bgap_router_action d
          = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
      assert_int_equal (d.server.id, i < 2 ? near.id : far.id);
    }
  fixture_shutdown (&f);
}

/* Guards against a leak or a double end when configuration changes while
   requests run and wait.  */
static void
test_removal_while_requests_run (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f, &plain);
  struct bgap_server_id a = fixture_server (&f, "a", "z1", 1);
  struct bgap_request_id running = fixture_request (&f, NULL);
  struct bgap_request_id waiting = fixture_request (&f, NULL);
  struct bgap_router_action d
      = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  bgap_router_remove_server (&f.router, f.now_ms, a);
  struct bgap_server_id again = fixture_server (&f, "a", "z1", 1);
  /* The attempt from before the removal still uses the only slot.  */
  assert_int_equal (again.id, a.id);
  fixture_expect_none (&f);
  fixture_result (&f, d.attempt, BGAP_RESULT_COMPLETE);
  fixture_expect_finish (&f, running, BGAP_OUTCOME_ANSWERED, 200);
  d = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  assert_int_equal (d.request.id, waiting.id);
  bgap_router_remove_service (&f.router, f.now_ms, f.service);
  fixture_expect (&f, BGAP_ROUTER_ACTION_CANCEL_ATTEMPT);
  fixture_expect_finish (&f, waiting, BGAP_OUTCOME_UNKNOWN, 502);
  assert_true (bgap_router_idle (&f.router));
  fixture_shutdown (&f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_slots_and_queue),
    cmocka_unit_test (test_queue_is_bounded_and_ordered),
    cmocka_unit_test (test_deadline_outcomes),
    cmocka_unit_test (test_retry_needs_proof),
    cmocka_unit_test (test_earlier_attempt_is_remembered),
    cmocka_unit_test (test_retry_budget),
    cmocka_unit_test (test_shed_request_is_placed_again),
    cmocka_unit_test (test_keyed_request_follows_its_holder),
    cmocka_unit_test (test_nearest_zone_first),
    cmocka_unit_test (test_removal_while_requests_run),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
