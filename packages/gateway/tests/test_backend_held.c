#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdlib.h>
#include <string.h>

#include "backend_fixture.h"

#define BODY_SIZE 100000u
#define LINGER_MS 50

/* Guards against a request that is written though its connection opened too
   late, against a connection that is opened in vain each time, and against a
   next request that follows the rest of the held one.  */
static void
test_held_request_is_not_written (void **state)
{
  (void)state;
  struct backend_fixture f;
  struct backend_outcome o = { .fixture = &f, .hold_back = true };
  char *body = calloc (1, BODY_SIZE);
  assert_non_null (body);
  backend_fixture_start (&f, &(struct bgap_backend_desc){ 0 }, 1);
  assert_int_equal (bgap_backend_send (f.backend, f.id,
                                       &(struct bgap_backend_request){
                                           .method = "POST",
                                           .target = "/ok",
                                           .body = body,
                                           .body_size = BODY_SIZE,
                                           .ops = &backend_fixture_ops,
                                           .user = &o },
                                       &o.id),
                    BGAP_OK);
  support_run (f.base, &o.ended);
  free (body);
  assert_int_equal (o.asked, 1);
  assert_true (o.failed);
  assert_int_equal (o.failure.kind, BGAP_FAILURE_NOT_SENT);
  assert_false (o.failure.sent);
  support_run_for (f.base, LINGER_MS);
  assert_int_equal (f.server.requests, 0);
  assert_int_equal (bgap_backend_idle_connections (f.backend, f.id), 1);
  assert_true (backend_fixture_run (&f, "/ok").complete);
  assert_int_equal (f.server.accepted, 1);
  assert_int_equal (f.server.requests, 1);
  backend_fixture_stop (&f);
}

/* Guards against a user who is asked again for a connection that was open, or
   not at all for one that opens.  */
static void
test_question_comes_with_the_connection (void **state)
{
  (void)state;
  struct backend_fixture f;
  backend_fixture_start (&f, &(struct bgap_backend_desc){ 0 }, 1);
  for (uint32_t i = 0; i < 3; i++)
    {
      struct backend_outcome o = backend_fixture_run (&f, "/ok");
      assert_true (o.complete);
      assert_int_equal (o.asked, i == 0);
    }
  assert_int_equal (f.server.accepted, 1);
  backend_fixture_stop (&f);
}

/* Guards against an attempt that never ends, or a connection that stays open,
   if its server is removed before the connection opens.  */
static void
test_held_request_of_a_removed_server (void **state)
{
  (void)state;
  struct backend_fixture f;
  struct backend_outcome o = { .hold_back = true };
  backend_fixture_start (&f, &(struct bgap_backend_desc){ 0 }, 1);
  assert_int_equal (backend_fixture_send (&f, "/ok", 0, &o), BGAP_OK);
  bgap_backend_remove_server (f.backend, f.id);
  support_run (f.base, &o.ended);
  assert_true (o.failed);
  assert_false (o.failure.sent);
  support_run_for (f.base, LINGER_MS);
  assert_int_equal (f.server.requests, 0);
  backend_fixture_stop (&f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_held_request_is_not_written),
    cmocka_unit_test (test_question_comes_with_the_connection),
    cmocka_unit_test (test_held_request_of_a_removed_server),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
