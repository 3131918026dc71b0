#include "fixture.h"

#include "banyangap/routing/balancer.h"
#include "banyangap/routing/retry_budget.h"
#include "banyangap/routing/router_stop.h"

static struct bgap_server_id
add_new_server (struct fixture *f, const char *name, const char *zone,
                bool joined)
{
  struct bgap_server_id id;
  struct bgap_error err = { 0 };
  assert_int_equal (bgap_router_set_server (
                        &f->router, f->now_ms, f->service,
                        &(struct bgap_server_desc){ .name = name,
                                                    .zone = zone,
                                                    .slots = 2,
                                                    .connections = 10,
                                                    .entry_hosts_max = 1,
                                                    .already_running = true,
                                                    .joined = joined },
                        &id, &err),
                    BGAP_OK);
  return id;
}

static void
add_server (struct fixture *f, const char *name, const char *zone)
{
  add_new_server (f, name, zone, false);
}

/* Sends requests one after the other, of which the server "a" answers each in
   20 ms and the others in 60 ms. Returns the number of those at @server.  */
static uint32_t
send_requests (struct fixture *f, int count, struct bgap_server_id server)
{
  struct bgap_server_id a
      = bgap_router_find_server (&f->router, f->service, "a");
  uint32_t there = 0;
  for (int i = 0; i < count; i++)
    {
      struct bgap_request_id request = fixture_request (f, NULL);
      struct bgap_router_action d
          = fixture_expect (f, BGAP_ROUTER_ACTION_DISPATCH);
      there += d.server.id == server.id;
      fixture_wait (f, d.server.id == a.id ? 20 : 60);
      fixture_result (f, d.attempt, BGAP_RESULT_COMPLETE);
      fixture_expect_finish (f, request, BGAP_OUTCOME_ANSWERED, 200);
    }
  return there;
}

/* Guards against a server that joins a service and gets no requests, because
   its response time is not known and those of others are shorter than the
   mean.  */
static void
test_server_that_joins_is_tried (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f, &fixture_shared_service);
  add_server (&f, "a", "z1");
  add_server (&f, "b", "z1");
  struct bgap_server_id b
      = bgap_router_find_server (&f.router, f.service, "b");
  assert_true (send_requests (&f, 20, b) > 0);
  struct bgap_server_id c = add_new_server (&f, "c", "z1", true);
  assert_true (send_requests (&f, 20, c) > 0);
  fixture_shutdown (&f);
}

static uint32_t
take_dispatches (struct fixture *f)
{
  struct bgap_router_action action;
  uint32_t count = 0;
  while (bgap_router_next_action (&f->router, &action))
    count += action.kind == BGAP_ROUTER_ACTION_DISPATCH;
  return count;
}

/* Guards against an instance that overloads a server whose slots other
   instances use, and against one that never sends to it again.  */
static void
test_load_of_others_counts (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f, &fixture_shared_service);
  add_server (&f, "a", "z1");
  struct bgap_server_id a
      = bgap_router_find_server (&f.router, f.service, "a");
  bgap_router_server_load (
      &f.router, f.now_ms, a,
      &(struct bgap_server_load){ .in_flight = 2, .queued = 2, .slots = 2 });
  fixture_request (&f, NULL);
  assert_int_equal (take_dispatches (&f), 0);
  fixture_wait (&f, 700);
  assert_int_equal (take_dispatches (&f), 1);
  fixture_shutdown (&f);
}

/* Guards against more requests of a single instance at a server than its slots
   and queue_per_server.  */
static void
test_queue_of_the_server_is_bounded (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f, &fixture_shared_service);
  add_server (&f, "a", "z1");
  for (int i = 0; i < 8; i++)
    fixture_request (&f, NULL);
  assert_int_equal (take_dispatches (&f), 4);
  fixture_shutdown (&f);
}

/* Guards against retries after refusals that take nothing from the retry
   budget, which all instances share.  */
static void
test_refusals_take_from_the_budget (void **state)
{
  (void)state;
  struct fixture f;
  struct bgap_service_desc desc = fixture_shared_service;
  desc.retry_percent = 1;
  desc.attempts_max = 10;
  fixture_setup (&f, &desc);
  for (int i = 0; i < 8; i++)
    {
      const char name[] = { (char)('a' + i), '\0' };
      add_server (&f, name, "z1");
    }
  struct bgap_request_id request = fixture_request (&f, NULL);
  for (int i = 0; i < 4; i++)
    {
      struct bgap_router_action d
          = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
      fixture_result (&f, d.attempt, BGAP_RESULT_SHED);
    }
  fixture_expect_finish (&f, request, BGAP_OUTCOME_NOT_RUN, 429);
  fixture_shutdown (&f);
}

/* Guards against a request that is refused because the budget is used up,
   although its attempt reached no server: the connection was refused.  */
static void
test_unsent_attempts_take_nothing_from_the_budget (void **state)
{
  (void)state;
  struct fixture f;
  struct bgap_service_desc desc = fixture_shared_service;
  desc.retry_percent = 1;
  desc.attempts_max = 3;
  fixture_setup (&f, &desc);
  for (int i = 0; i < 8; i++)
    {
      const char name[] = { (char)('a' + i), '\0' };
      add_server (&f, name, "z1");
    }
  for (int i = 0; i < 20; i++)
    {
      struct bgap_request_id request = fixture_request (&f, NULL);
      struct bgap_router_action d
          = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
      fixture_result (&f, d.attempt, BGAP_RESULT_NO_CONNECT);
      d = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
      fixture_result (&f, d.attempt, BGAP_RESULT_COMPLETE);
      fixture_expect_finish (&f, request, BGAP_OUTCOME_ANSWERED, 200);
      fixture_wait (&f, 500);
    }
  fixture_shutdown (&f);
}

/* Guards against a request that goes from one unreachable server to the next
   without end.  */
static void
test_unsent_attempts_count (void **state)
{
  (void)state;
  struct fixture f;
  struct bgap_service_desc desc = fixture_shared_service;
  desc.attempts_max = 2;
  fixture_setup (&f, &desc);
  add_server (&f, "a", "z1");
  add_server (&f, "b", "z1");
  add_server (&f, "c", "z1");
  struct bgap_request_id request = fixture_request (&f, NULL);
  for (int i = 0; i < 2; i++)
    {
      struct bgap_router_action d
          = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
      fixture_result (&f, d.attempt, BGAP_RESULT_NO_CONNECT);
    }
  fixture_expect_finish (&f, request, BGAP_OUTCOME_NOT_RUN, 503);
  fixture_shutdown (&f);
}

/* Guards against instances whose retry budgets together exceed the limit:
   after a restart of all instances, each knows few others, and each change of
   their number refilled the budget.  */
static void
test_retry_budget_is_not_refilled_by_a_change (void **state)
{
  struct bgap_retry_budget budget;
  const struct bgap_retry_budget_desc few
      = { .percent = 10, .burst = 18, .start_empty = true };
  const struct bgap_retry_budget_desc many
      = { .percent = 10, .burst = 2, .start_empty = true };
  (void)state;
  bgap_retry_budget_setup (&budget, &few);
  assert_false (bgap_retry_budget_take (&budget));
  for (int i = 0; i < 50; i++)
    bgap_retry_budget_on_request (&budget);
  bgap_retry_budget_change (&budget, &many);
  bgap_retry_budget_change (&budget, &few);
  assert_true (bgap_retry_budget_take (&budget));
  assert_true (bgap_retry_budget_take (&budget));
  assert_false (bgap_retry_budget_take (&budget));
}

/* Guards against a request that gets no answer at a shutdown, because it is
   queued or at a server until the process ends.  */
static void
test_open_requests_are_answered_at_shutdown (void **state)
{
  (void)state;
  struct fixture f;
  struct bgap_service_desc desc = fixture_shared_service;
  desc.queue_per_server = 0;
  fixture_setup (&f, &desc);
  add_server (&f, "a", "z1");
  struct bgap_request_id first = fixture_request (&f, NULL);
  struct bgap_request_id second = fixture_request (&f, NULL);
  fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  struct bgap_request_id waiting = fixture_request (&f, NULL);
  fixture_expect_none (&f);
  bgap_router_stop_accepting (&f.router);
  bgap_router_refuse_waiting (&f.router, f.now_ms);
  fixture_expect_finish (&f, waiting, BGAP_OUTCOME_NOT_RUN, 503);
  fixture_expect_none (&f);
  bgap_router_abort_attempts (&f.router, f.now_ms);
  fixture_expect (&f, BGAP_ROUTER_ACTION_CANCEL_ATTEMPT);
  fixture_expect_finish (&f, first, BGAP_OUTCOME_UNKNOWN, 502);
  fixture_expect (&f, BGAP_ROUTER_ACTION_CANCEL_ATTEMPT);
  fixture_expect_finish (&f, second, BGAP_OUTCOME_UNKNOWN, 502);
  fixture_expect_none (&f);
  fixture_shutdown (&f);
}

/* Guards against a request that is sent to more servers than its attempts_max
   allows.  */
static void
test_attempts_max_of_a_request (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f, &fixture_shared_service);
  add_server (&f, "a", "z1");
  add_server (&f, "b", "z1");
  add_server (&f, "c", "z1");
  fixture_request (&f, &(struct bgap_request_desc){ .idempotent = true,
                                                    .attempts_max = 2 });
  struct bgap_router_action d
      = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  assert_true (bgap_router_can_retry (&f.router, f.now_ms, d.attempt));
  fixture_result (&f, d.attempt, BGAP_RESULT_FAILED);
  d = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  assert_false (bgap_router_can_retry (&f.router, f.now_ms, d.attempt));
  fixture_shutdown (&f);
}

/* Guards against a holder that resets connections because it is full, yet gets
   the next request for its keys at once.  */
static void
test_reset_by_a_holder_is_a_refusal (void **state)
{
  (void)state;
  struct fixture f;
  struct bgap_service_desc desc = fixture_shared_service;
  desc.keyed = true;
  fixture_setup (&f, &desc);
  add_server (&f, "a", "z1");
  struct bgap_server_id a
      = bgap_router_find_server (&f.router, f.service, "a");
  for (int i = 0; i < 2; i++)
    {
      struct bgap_request_id request = fixture_request (
          &f, &(struct bgap_request_desc){ .deadline_ms = 5000 });
      fixture_expect (&f, BGAP_ROUTER_ACTION_RESOLVE);
      bgap_router_resolved (&f.router, f.now_ms, request, a, 1);
      if (i > 0)
        break;
      struct bgap_router_action d
          = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
      fixture_result (&f, d.attempt, BGAP_RESULT_BROKEN);
      fixture_expect_finish (&f, request, BGAP_OUTCOME_UNKNOWN, 502);
    }
  assert_int_equal (take_dispatches (&f), 0);
  fixture_wait (&f, 1000);
  assert_int_equal (take_dispatches (&f), 1);
  fixture_shutdown (&f);
}

/* Guards against a second execution of a request that is not idempotent.  */
static void
test_non_idempotent_request_is_not_retried (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f, &fixture_shared_service);
  add_server (&f, "a", "z1");
  add_server (&f, "b", "z1");
  fixture_request (&f, &(struct bgap_request_desc){ .idempotent = false });
  struct bgap_router_action d
      = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  assert_false (bgap_router_can_retry (&f.router, f.now_ms, d.attempt));
  fixture_shutdown (&f);
}

/* Guards against requests that can no longer meet their objective, after a
   burst above the capacity, yet are served before those that can.  */
static void
test_late_requests_wait_behind (void **state)
{
  (void)state;
  struct fixture f;
  struct bgap_service_desc desc = fixture_shared_service;
  desc.queue_per_server = 0;
  fixture_setup (&f, &desc);
  add_server (&f, "a", "z1");
  const struct bgap_request_desc late
      = { .idempotent = true, .objective_ms = 50, .deadline_ms = 2000 };
  const struct bgap_request_desc fresh
      = { .idempotent = true, .objective_ms = 5000, .deadline_ms = 9000 };
  fixture_request (&f, &fresh);
  struct bgap_router_action first
      = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  fixture_request (&f, &fresh);
  fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  fixture_request (&f, &late);
  struct bgap_request_id wanted = fixture_request (&f, &fresh);
  fixture_wait (&f, 100);
  fixture_result (&f, first.attempt, BGAP_RESULT_COMPLETE);
  fixture_expect (&f, BGAP_ROUTER_ACTION_FINISH);
  struct bgap_router_action d
      = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  assert_int_equal (d.request.id, wanted.id);
  fixture_shutdown (&f);
}

/* Guards against a Retry-After that is longer than callers wait, or the same
   for all of them.  */
static void
test_retry_after_is_short_and_spread (void **state)
{
  (void)state;
  struct fixture f;
  struct bgap_router_action action;
  struct bgap_service_desc desc = fixture_shared_service;
  desc.queue_limit = 1;
  int64_t least = INT64_MAX;
  int64_t most = 0;
  fixture_setup (&f, &desc);
  add_server (&f, "a", "z1");
  for (int i = 0; i < 60; i++)
    fixture_request (&f, &(struct bgap_request_desc){ .idempotent = true,
                                                      .deadline_ms = 900 });
  while (bgap_router_next_action (&f.router, &action))
    {
      if (action.kind != BGAP_ROUTER_ACTION_FINISH)
        continue;
      assert_true (action.retry_after_ms >= 1);
      assert_true (action.retry_after_ms <= 300);
      if (action.retry_after_ms < least)
        least = action.retry_after_ms;
      if (action.retry_after_ms > most)
        most = action.retry_after_ms;
    }
  assert_true (most > least);
  fixture_shutdown (&f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_server_that_joins_is_tried),
    cmocka_unit_test (test_load_of_others_counts),
    cmocka_unit_test (test_queue_of_the_server_is_bounded),
    cmocka_unit_test (test_refusals_take_from_the_budget),
    cmocka_unit_test (test_unsent_attempts_take_nothing_from_the_budget),
    cmocka_unit_test (test_unsent_attempts_count),
    cmocka_unit_test (test_retry_budget_is_not_refilled_by_a_change),
    cmocka_unit_test (test_open_requests_are_answered_at_shutdown),
    cmocka_unit_test (test_attempts_max_of_a_request),
    cmocka_unit_test (test_reset_by_a_holder_is_a_refusal),
    cmocka_unit_test (test_non_idempotent_request_is_not_retried),
    cmocka_unit_test (test_late_requests_wait_behind),
    cmocka_unit_test (test_retry_after_is_short_and_spread),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
