#include "banyangap/routing/router_stop.h"
#include "fixture.h"

#define ACCEPT_MS INT64_C (2500)
#define WAIT_MS INT64_C (4500)
#define END_MS INT64_C (5500)
#define DEADLINE_MS 60000

static const struct bgap_request_desc request_desc
    = { .deadline_ms = DEADLINE_MS };

/* A server with one slot, and a stop that begins now.  */
static void
_setup (struct fixture *f)
{
  struct bgap_service_desc desc = fixture_shared_service;
  desc.queue_per_server = 0;
  fixture_setup (f, &desc);
  fixture_server (f, "a", "z1", 1);
  bgap_router_begin_stop (
      &f->router,
      &(struct bgap_router_stop){ .accept_until_ms = f->now_ms + ACCEPT_MS,
                                  .wait_until_ms = f->now_ms + WAIT_MS,
                                  .end_ms = f->now_ms + END_MS });
}

/* Guards against a request that is accepted after the end of accepting, and
   aborted later, because the owner's timer is late.  */
static void
test_request_after_the_end_of_accepting_is_refused_without_a_timer (
    void **state)
{
  (void)state;
  struct fixture f;
  _setup (&f);
  f.now_ms += ACCEPT_MS - 1;
  fixture_request (&f, &request_desc);
  struct bgap_router_action d
      = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  fixture_result (&f, d.attempt, BGAP_RESULT_COMPLETE);
  fixture_expect (&f, BGAP_ROUTER_ACTION_FINISH);
  for (int64_t late_ms = 0; late_ms < 400; late_ms++)
    {
      f.now_ms++;
      fixture_expect_refused (&f, fixture_request (&f, &request_desc));
    }
  fixture_shutdown (&f);
}

/* Guards against a request that begins to wait again, for a second attempt,
   after the requests that wait have been refused.  */
static void
test_second_attempt_does_not_wait_after_the_limit (void **state)
{
  (void)state;
  struct fixture f;
  _setup (&f);
  struct bgap_request_id request = fixture_request (&f, &request_desc);
  struct bgap_router_action d
      = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  f.now_ms += WAIT_MS;
  fixture_result (&f, d.attempt, BGAP_RESULT_SHED);
  fixture_expect_refused (&f, request);
  fixture_shutdown (&f);
}

/* Guards against the promise that a request has not run, if it may have: its
   first attempt was lost, the second was refused, and it may not wait for a
   third.  */
static void
test_outcome_of_a_lost_attempt_is_unknown_after_the_limit (void **state)
{
  (void)state;
  struct fixture f;
  _setup (&f);
  struct bgap_request_desc desc = request_desc;
  desc.idempotent = true;
  struct bgap_request_id request = fixture_request (&f, &desc);
  struct bgap_router_action d
      = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  f.now_ms += WAIT_MS;
  fixture_result (&f, d.attempt, BGAP_RESULT_BROKEN);
  d = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  fixture_result (&f, d.attempt, BGAP_RESULT_SHED);
  fixture_expect_finish (&f, request, BGAP_OUTCOME_UNKNOWN, 502);
  fixture_expect_none (&f);
  fixture_shutdown (&f);
}

/* Guards against refusing what waits before the limit: a slot may become free
   in time.  */
static void
test_request_waits_until_the_limit (void **state)
{
  (void)state;
  struct fixture f;
  _setup (&f);
  fixture_request (&f, &request_desc);
  struct bgap_router_action d
      = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  f.now_ms += ACCEPT_MS - 1;
  struct bgap_request_id second = fixture_request (&f, &request_desc);
  fixture_expect_none (&f);
  fixture_result (&f, d.attempt, BGAP_RESULT_COMPLETE);
  fixture_expect (&f, BGAP_ROUTER_ACTION_FINISH);
  d = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  fixture_result (&f, d.attempt, BGAP_RESULT_COMPLETE);
  fixture_expect_finish (&f, second, BGAP_OUTCOME_ANSWERED, 200);
  fixture_shutdown (&f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (
        test_request_after_the_end_of_accepting_is_refused_without_a_timer),
    cmocka_unit_test (test_second_attempt_does_not_wait_after_the_limit),
    cmocka_unit_test (
        test_outcome_of_a_lost_attempt_is_unknown_after_the_limit),
    cmocka_unit_test (test_request_waits_until_the_limit),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
