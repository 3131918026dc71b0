#include "banyangap/routing/router_stop.h"
#include "fixture.h"

#define ANSWER_MS INT64_C (200)
#define DEADLINE_MS 2000

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

static void
_expect_refused (struct fixture *f, struct bgap_request_id request)
{
  fixture_expect_finish (f, request, BGAP_OUTCOME_NOT_RUN, 503);
  fixture_expect_none (f);
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
  bgap_router_end_by (&f.router, f.now_ms + 2 * ANSWER_MS);
  struct bgap_request_id first = fixture_request (&f, &request_desc);
  struct bgap_router_action d
      = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  fixture_wait (&f, ANSWER_MS + ANSWER_MS / 2);
  _expect_refused (&f, fixture_request (&f, &request_desc));
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
  bgap_router_end_by (&f.router, f.now_ms + ANSWER_MS);
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
  bgap_router_end_by (&f.router, f.now_ms + ANSWER_MS);
  fixture_wait (&f, ANSWER_MS / 2);
  fixture_result (&f, d.attempt, BGAP_RESULT_SHED);
  _expect_refused (&f, request);
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
  bgap_router_end_by (&f.router, f.now_ms + ANSWER_MS + ANSWER_MS / 2);
  fixture_wait (&f, ANSWER_MS);
  _expect_refused (&f, queued);
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
    cmocka_unit_test (test_only_what_is_answered_before_the_end_is_passed_on),
    cmocka_unit_test (test_request_with_a_short_deadline_is_passed_on),
    cmocka_unit_test (test_further_attempt_that_is_too_late_is_refused),
    cmocka_unit_test (test_queued_request_that_is_too_late_is_refused),
    cmocka_unit_test (test_response_that_has_begun_is_not_aborted),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
