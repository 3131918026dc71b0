#include "banyangap/routing/router_stop.h"
#include "fixture.h"

#define ANSWER_MS INT64_C (200)
#define SLOW_MS INT64_C (800)
#define LEFT_MS INT64_C (500)
#define DEADLINE_MS 2000
#define UNKNOWN_MS 1000

static const struct bgap_request_desc request_desc
    = { .deadline_ms = DEADLINE_MS };

/* Two servers with two slots each, whose answers take ANSWER_MS.  */
static void
_setup (struct fixture *f)
{
  fixture_setup (f, &fixture_shared_service);
  fixture_server (f, "a", "z1", 2);
  fixture_server (f, "b", "z1", 2);
  for (int i = 0; i < 12; i++)
    {
      struct bgap_request_id request = fixture_request (f, &request_desc);
      struct bgap_router_action d
          = fixture_expect (f, BGAP_ROUTER_ACTION_DISPATCH);
      fixture_wait (f, ANSWER_MS);
      fixture_result (f, d.attempt, BGAP_RESULT_COMPLETE);
      fixture_expect_finish (f, request, BGAP_OUTCOME_ANSWERED, 200);
    }
}

/* Begins a stop whose end is the only limit.  */
static void
_end_after (struct fixture *f, int64_t ms)
{
  bgap_router_begin_stop (
      &f->router, &(struct bgap_router_stop){ .end_ms = f->now_ms + ms });
}

/* Two servers of which "a" is slow, after answers of "b".  */
struct uneven
{
  struct fixture f;
  struct bgap_server_id a;
  struct bgap_server_id b;
};

/* Lets @count requests be answered by the only server that takes requests.  */
static void
_answer (struct fixture *f, int count, int64_t after_ms)
{
  for (int i = 0; i < count; i++)
    {
      fixture_request (f, &request_desc);
      struct bgap_router_action d
          = fixture_expect (f, BGAP_ROUTER_ACTION_DISPATCH);
      fixture_wait (f, after_ms);
      fixture_result (f, d.attempt, BGAP_RESULT_COMPLETE);
      fixture_expect (f, BGAP_ROUTER_ACTION_FINISH);
    }
}

/* Makes "a" the only server that takes requests, or "b".  */
static void
_use_slow (struct uneven *u, bool slow)
{
  bgap_router_server_drain (&u->f.router, u->f.now_ms, u->a, BGAP_DRAIN_REPORT,
                            !slow);
  bgap_router_server_drain (&u->f.router, u->f.now_ms, u->b, BGAP_DRAIN_REPORT,
                            slow);
}

/* Lets "a" answer @slow requests and then "b" @fast ones.  */
static void
_setup_uneven (struct uneven *u, int slow, int fast)
{
  fixture_setup (&u->f, &fixture_shared_service);
  u->b = fixture_server (&u->f, "b", "z1", 2);
  _answer (&u->f, 12, ANSWER_MS);
  u->a = fixture_server (&u->f, "a", "z1", 2);
  _use_slow (u, true);
  _answer (&u->f, slow, SLOW_MS);
  _use_slow (u, false);
  _answer (&u->f, fast, ANSWER_MS);
}

/* Guards against refusing a request of a fast server because other servers are
   slow.  */
static void
test_request_of_a_fast_server_is_passed_on (void **state)
{
  (void)state;
  struct uneven u;
  _setup_uneven (&u, 6, 8);
  _end_after (&u.f, LEFT_MS);
  fixture_request (&u.f, &request_desc);
  fixture_expect (&u.f, BGAP_ROUTER_ACTION_DISPATCH);
  fixture_shutdown (&u.f);
}

/* Guards against passing a request on to a slow server because most answers
   come from fast ones.  */
static void
test_request_of_a_slow_server_is_refused (void **state)
{
  (void)state;
  struct uneven u;
  _setup_uneven (&u, 2, 30);
  _use_slow (&u, true);
  _end_after (&u.f, LEFT_MS);
  fixture_expect_refused (&u.f, fixture_request (&u.f, &request_desc));
  fixture_shutdown (&u.f);
}

/* Guards against taking a server for fast whose attempts were cut before they
   were answered.  */
static void
test_attempts_that_were_cut_count_as_slow (void **state)
{
  (void)state;
  struct fixture f;
  static const struct bgap_request_desc short_desc
      = { .deadline_ms = 3 * ANSWER_MS };
  fixture_setup (&f, &fixture_shared_service);
  fixture_server (&f, "a", "z1", 2);
  _answer (&f, 12, ANSWER_MS);
  for (int i = 0; i < 2; i++)
    {
      fixture_request (&f, &short_desc);
      fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
      fixture_wait (&f, short_desc.deadline_ms);
      fixture_expect (&f, BGAP_ROUTER_ACTION_CANCEL_ATTEMPT);
      fixture_expect (&f, BGAP_ROUTER_ACTION_FINISH);
    }
  _end_after (&f, ANSWER_MS + ANSWER_MS / 2);
  fixture_expect_refused (&f, fixture_request (&f, &request_desc));
  fixture_shutdown (&f);
}

/* Guards against requests that a stopping instance passes on although it ends
   before their answers, and against refusing those that are answered before.
 */
static void
test_only_what_is_answered_before_the_end_is_passed_on (void **state)
{
  (void)state;
  struct fixture f;
  _setup (&f);
  _end_after (&f, 2 * ANSWER_MS);
  struct bgap_request_id first = fixture_request (&f, &request_desc);
  struct bgap_router_action d
      = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  fixture_wait (&f, ANSWER_MS + ANSWER_MS / 2);
  fixture_expect_refused (&f, fixture_request (&f, &request_desc));
  fixture_result (&f, d.attempt, BGAP_RESULT_COMPLETE);
  fixture_expect_finish (&f, first, BGAP_OUTCOME_ANSWERED, 200);
  fixture_shutdown (&f);
}

/* Guards against refusing a request that gives up before the end in any
   case.  */
static void
test_request_with_a_short_deadline_is_passed_on (void **state)
{
  (void)state;
  struct fixture f;
  _setup (&f);
  _end_after (&f, ANSWER_MS);
  fixture_request (&f,
                   &(struct bgap_request_desc){ .deadline_ms = ANSWER_MS });
  fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  fixture_shutdown (&f);
}

/* Guards against a further attempt that starts too late; the request has not
   run, and the caller has to know.  */
static void
test_further_attempt_that_is_too_late_is_refused (void **state)
{
  (void)state;
  struct fixture f;
  _setup (&f);
  struct bgap_request_id request = fixture_request (&f, &request_desc);
  struct bgap_router_action d
      = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  _end_after (&f, ANSWER_MS);
  fixture_wait (&f, ANSWER_MS / 2);
  fixture_result (&f, d.attempt, BGAP_RESULT_SHED);
  fixture_expect_refused (&f, request);
  fixture_shutdown (&f);
}

/* Guards against an unknown outcome of a request that another attempt would
   likely answer, though not as likely as one that has not run must be.  */
static void
test_request_that_may_have_run_is_sent_again (void **state)
{
  (void)state;
  struct fixture f;
  static const struct bgap_request_desc idempotent_desc
      = { .deadline_ms = DEADLINE_MS, .idempotent = true };
  fixture_setup (&f, &fixture_shared_service);
  fixture_server (&f, "a", "z1", 2);
  for (int i = 0; i < 16; i++)
    _answer (&f, 1, i % 4 == 0 ? 2 * ANSWER_MS : ANSWER_MS);
  struct bgap_request_id request = fixture_request (&f, &idempotent_desc);
  struct bgap_router_action d
      = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  _end_after (&f, ANSWER_MS + ANSWER_MS / 2);
  fixture_expect_refused (&f, fixture_request (&f, &request_desc));
  fixture_result (&f, d.attempt, BGAP_RESULT_BROKEN);
  d = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  fixture_result (&f, d.attempt, BGAP_RESULT_COMPLETE);
  fixture_expect_finish (&f, request, BGAP_OUTCOME_ANSWERED, 200);
  fixture_shutdown (&f);
}

/* Guards against a queued request that waits for a slot although it is too
   late for one.  */
static void
test_queued_request_that_is_too_late_is_refused (void **state)
{
  (void)state;
  struct fixture f;
  struct bgap_service_desc desc = fixture_shared_service;
  struct bgap_router_action d[2];
  desc.queue_per_server = 0;
  fixture_setup (&f, &desc);
  fixture_server (&f, "a", "z1", 2);
  for (int i = 0; i < 12; i++)
    {
      fixture_request (&f, &request_desc);
      d[0] = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
      fixture_wait (&f, ANSWER_MS);
      fixture_result (&f, d[0].attempt, BGAP_RESULT_COMPLETE);
      fixture_expect (&f, BGAP_ROUTER_ACTION_FINISH);
    }
  for (int i = 0; i < 2; i++)
    {
      fixture_request (&f, &request_desc);
      d[i] = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
    }
  struct bgap_request_id queued = fixture_request (&f, &request_desc);
  fixture_expect_none (&f);
  _end_after (&f, ANSWER_MS + ANSWER_MS / 2);
  fixture_wait (&f, ANSWER_MS);
  fixture_expect_refused (&f, queued);
  fixture_shutdown (&f);
}

/* Guards against an attempt just before the end, which is aborted, at a
   service that has not answered yet, and against refusing all of its requests.
 */
static void
test_attempt_of_an_unknown_service_needs_some_time (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f, &fixture_shared_service);
  fixture_server (&f, "a", "z1", 2);
  _end_after (&f, UNKNOWN_MS);
  fixture_request (&f, &request_desc);
  struct bgap_router_action d
      = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  f.now_ms += 1;
  struct bgap_request_id late = fixture_request (&f, &request_desc);
  fixture_expect_refused (&f, late);
  fixture_result (&f, d.attempt, BGAP_RESULT_COMPLETE);
  fixture_shutdown (&f);
}

/* Guards against cutting a response that has begun earlier than necessary.  */
static void
test_response_that_has_begun_is_not_aborted (void **state)
{
  (void)state;
  struct fixture f;
  _setup (&f);
  struct bgap_request_id request = fixture_request (&f, &request_desc);
  struct bgap_router_action d
      = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  fixture_result (&f, d.attempt, BGAP_RESULT_STARTED);
  bgap_router_abort_attempts (&f.router, f.now_ms);
  fixture_expect_none (&f);
  fixture_result (&f, d.attempt, BGAP_RESULT_COMPLETE);
  fixture_expect_finish (&f, request, BGAP_OUTCOME_ANSWERED, 200);
  fixture_shutdown (&f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_request_of_a_fast_server_is_passed_on),
    cmocka_unit_test (test_request_of_a_slow_server_is_refused),
    cmocka_unit_test (test_attempts_that_were_cut_count_as_slow),
    cmocka_unit_test (test_only_what_is_answered_before_the_end_is_passed_on),
    cmocka_unit_test (test_request_with_a_short_deadline_is_passed_on),
    cmocka_unit_test (test_further_attempt_that_is_too_late_is_refused),
    cmocka_unit_test (test_request_that_may_have_run_is_sent_again),
    cmocka_unit_test (test_queued_request_that_is_too_late_is_refused),
    cmocka_unit_test (test_attempt_of_an_unknown_service_needs_some_time),
    cmocka_unit_test (test_response_that_has_begun_is_not_aborted),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
