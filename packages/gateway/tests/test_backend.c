#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "backend_fixture.h"

/* Guards against a new connection for each request, and against reuse of a
   connection with unread input.  */
static void
test_connections_are_reused (void **state)
{
  (void)state;
  static const char *const clean[]
      = { "/ok", "/chunked", "/interim", "/none", "/fenced", "/ok" };
  static const char *const unclean[] = { "/close", "/extra" };
  struct backend_fixture f;
  backend_fixture_start (&f, &(struct bgap_backend_desc){ 0 }, 2);
  for (size_t i = 0; i < sizeof clean / sizeof *clean; i++)
    {
      struct backend_outcome o = backend_fixture_run (&f, clean[i]);
      if (!o.complete && o.refusal != BGAP_REFUSAL_FENCED)
        fail_msg ("%s: %s", clean[i], o.failure.message);
      if (o.status == 200 || o.status == 201)
        assert_string_equal (o.text, "ok");
      assert_int_equal (f.server.accepted, 1);
    }
  for (uint32_t i = 0; i < 2; i++)
    {
      assert_true (backend_fixture_run (&f, unclean[i]).complete);
      assert_true (backend_fixture_run (&f, "/ok").complete);
      assert_int_equal (f.server.accepted, i + 2);
    }
  backend_fixture_stop (&f);
}

/* Guards against a refusal reported as a response, and against an ordinary
   response taken as proof that the request was not executed.  */
static void
test_refusals (void **state)
{
  (void)state;
  struct backend_fixture f;
  backend_fixture_start (&f, &(struct bgap_backend_desc){ 0 }, 1);
  assert_int_equal (backend_fixture_run (&f, "/fenced").refusal,
                    BGAP_REFUSAL_FENCED);
  assert_int_equal (backend_fixture_run (&f, "/draining").refusal,
                    BGAP_REFUSAL_DRAINING);
  assert_true (backend_fixture_run (&f, "/not-409").complete);
  struct backend_outcome other = backend_fixture_run (&f, "/other");
  assert_true (other.complete);
  assert_int_equal (other.status, 409);
  backend_fixture_stop (&f);
  for (int i = 1; i < BGAP_REFUSAL_COUNT; i++)
    assert_int_equal (
        bgap_refusal_parse (bgap_refusal_name ((enum bgap_refusal)i)), i);
  assert_int_equal (bgap_refusal_parse ("none"), BGAP_REFUSAL_NONE);
  assert_int_equal (bgap_refusal_parse ("Fenced"), BGAP_REFUSAL_NONE);
}

/* Guards against an overflow by the idle timeout that a server announces: a
   connection that may stay open for ever is reused.  */
static void
test_very_long_idle_timeout (void **state)
{
  (void)state;
  struct backend_fixture f;
  backend_fixture_start (&f, &(struct bgap_backend_desc){ 0 }, 1);
  assert_true (backend_fixture_run (&f, "/kept").complete);
  assert_true (backend_fixture_run (&f, "/ok").complete);
  assert_int_equal (f.server.accepted, 1);
  backend_fixture_stop (&f);
}

/* Guards against incomplete or malformed responses reported as complete, and
   against a wrong "sent" in the failure.  */
static void
test_invalid_responses_fail (void **state)
{
  (void)state;
  static const struct
  {
    const char *path;
    enum bgap_failure_kind kind;
    bool head;
  } cases[] = {
    { "/before", BGAP_FAILURE_BROKEN, false },
    { "/in-head", BGAP_FAILURE_BROKEN, false },
    { "/in-body", BGAP_FAILURE_BROKEN, true },
    { "/in-chunks", BGAP_FAILURE_BROKEN, true },
    { "/until-close", BGAP_FAILURE_PROTOCOL, false },
    { "/nonsense", BGAP_FAILURE_PROTOCOL, false },
    { "/two-lengths", BGAP_FAILURE_PROTOCOL, false },
    { "/upgrade", BGAP_FAILURE_PROTOCOL, false },
    { "/bad-chunk", BGAP_FAILURE_PROTOCOL, true },
  };
  struct backend_fixture f;
  backend_fixture_start (&f, &(struct bgap_backend_desc){ 0 }, 1);
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct backend_outcome o = backend_fixture_run (&f, cases[i].path);
      assert_true (o.failed);
      assert_int_equal (o.failure.kind, cases[i].kind);
      assert_int_equal (o.failure.head_reported, cases[i].head);
      assert_true (o.failure.sent);
      assert_true (backend_fixture_run (&f, "/ok").complete);
    }
  backend_fixture_stop (&f);
}

/* Guards against a connect failure reported as "sent", that is as possibly
   executed.  */
static void
test_connect_failure_is_not_sent (void **state)
{
  (void)state;
  struct backend_fixture f;
  backend_fixture_start (&f, &(struct bgap_backend_desc){ 0 }, 1);
  evconnlistener_free (f.server.listener);
  struct backend_outcome o = backend_fixture_run (&f, "/ok");
  assert_true (o.failed);
  assert_int_equal (o.failure.kind, BGAP_FAILURE_CONNECT);
  assert_false (o.failure.sent);
  assert_false (o.failure.reused);
  bgap_backend_shutdown (f.backend);
  support_base_free (f.base);
}

/* Guards against a late response passed to the next attempt.  */
static void
test_late_response_is_discarded (void **state)
{
  (void)state;
  struct backend_fixture f;
  struct backend_outcome late = { 0 };
  struct backend_outcome cancelled = { 0 };
  backend_fixture_start (&f, &(struct bgap_backend_desc){ 0 }, 1);
  assert_int_equal (backend_fixture_send (&f, "/silent", 30, &late), BGAP_OK);
  support_run (f.base, &late.ended);
  assert_int_equal (late.failure.kind, BGAP_FAILURE_DEADLINE);
  assert_true (late.failure.sent);
  assert_int_equal (backend_fixture_send (&f, "/silent", 0, &cancelled),
                    BGAP_OK);
  while (f.server.requests < 2)
    event_base_loop (f.base, EVLOOP_ONCE);
  struct bufferevent *bev = NULL;
  for (size_t i = 0; i < 16 && bev == NULL; i++)
    bev = f.server.connections[i];
  assert_int_equal (bgap_backend_cancel (f.backend, cancelled.id), BGAP_OK);
  assert_int_equal (bgap_backend_cancel (f.backend, cancelled.id),
                    BGAP_ERR_NOT_FOUND);
  struct backend_outcome next = { 0 };
  assert_int_equal (backend_fixture_send (&f, "/chunked", 0, &next), BGAP_OK);
  bufferevent_write (bev, "HTTP/1.1 500 Late\r\nContent-Length: 0\r\n\r\n",
                     41);
  support_run (f.base, &next.ended);
  assert_true (next.complete);
  assert_int_equal (next.status, 201);
  assert_int_equal (f.server.accepted, 3);
  assert_false (cancelled.ended);
  backend_fixture_stop (&f);
}

/* Guards against an unsolicited response on an idle connection passed to the
   next attempt, and against reuse of a connection that the server has closed.
 */
static void
test_idle_connection_is_checked (void **state)
{
  (void)state;
  struct backend_fixture f;
  backend_fixture_start (&f, &(struct bgap_backend_desc){ 0 }, 1);
  assert_true (backend_fixture_run (&f, "/ok").complete);
  static const char response[]
      = "HTTP/1.1 500 Late\r\nContent-Length: 0\r\n\r\n";
  int fd = bufferevent_getfd (f.server.connections[0]);
  assert_int_equal (send (fd, response, sizeof response - 1, 0),
                    sizeof response - 1);
  assert_int_equal (backend_fixture_run (&f, "/ok").status, 200);
  assert_int_equal (f.server.accepted, 2);
  support_run_ready (f.base);
  for (size_t i = 0; i < 16; i++)
    if (f.server.connections[i] != NULL)
      shutdown (bufferevent_getfd (f.server.connections[i]), SHUT_RDWR);
  struct backend_outcome o = backend_fixture_run (&f, "/ok");
  assert_true (o.complete);
  assert_int_equal (f.server.accepted, 3);
  backend_fixture_stop (&f);
}

/* Guards against exceeding a server's connection limit.  */
static void
test_connection_limit (void **state)
{
  (void)state;
  struct backend_fixture f;
  struct backend_outcome o[3] = { { 0 } };
  backend_fixture_start (&f, &(struct bgap_backend_desc){ 0 }, 2);
  assert_int_equal (bgap_backend_free_connections (f.backend, f.id), 2);
  assert_int_equal (backend_fixture_send (&f, "/silent", 0, &o[0]), BGAP_OK);
  assert_int_equal (backend_fixture_send (&f, "/ok", 0, &o[1]), BGAP_OK);
  assert_int_equal (bgap_backend_free_connections (f.backend, f.id), 0);
  assert_int_equal (bgap_backend_idle_connections (f.backend, f.id), 0);
  assert_int_equal (backend_fixture_send (&f, "/ok", 0, &o[2]), BGAP_ERR_FULL);
  support_run (f.base, &o[1].ended);
  assert_int_equal (bgap_backend_free_connections (f.backend, f.id), 1);
  assert_int_equal (bgap_backend_idle_connections (f.backend, f.id), 1);
  assert_int_equal (bgap_backend_set_limit (f.backend, f.id, 1), BGAP_OK);
  assert_int_equal (bgap_backend_free_connections (f.backend, f.id), 0);
  assert_int_equal (backend_fixture_send (&f, "/ok", 0, &o[2]), BGAP_ERR_FULL);
  assert_int_equal (bgap_backend_cancel (f.backend, o[0].id), BGAP_OK);
  assert_int_equal (backend_fixture_send (&f, "/bad path", 0, &o[2]),
                    BGAP_ERR_INVALID);
  assert_int_equal (backend_fixture_send (&f, "/ok", 0, &o[2]), BGAP_OK);
  support_run (f.base, &o[2].ended);
  assert_int_equal (f.server.accepted, 3);
  backend_fixture_stop (&f);
}

/* Guards against attempts that never end after their server was removed.  */
static void
test_removed_server_fails_its_attempts (void **state)
{
  (void)state;
  struct backend_fixture f;
  struct backend_outcome o = { 0 };
  backend_fixture_start (&f, &(struct bgap_backend_desc){ 0 }, 1);
  assert_int_equal (backend_fixture_send (&f, "/silent", 0, &o), BGAP_OK);
  bgap_backend_remove_server (f.backend, f.id);
  assert_false (o.ended);
  support_run (f.base, &o.ended);
  assert_int_equal (o.failure.kind, BGAP_FAILURE_REMOVED);
  assert_false (o.failure.sent);
  assert_int_equal (backend_fixture_send (&f, "/ok", 0, &o),
                    BGAP_ERR_NOT_FOUND);
  backend_fixture_stop (&f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_connections_are_reused),
    cmocka_unit_test (test_very_long_idle_timeout),
    cmocka_unit_test (test_refusals),
    cmocka_unit_test (test_invalid_responses_fail),
    cmocka_unit_test (test_connect_failure_is_not_sent),
    cmocka_unit_test (test_late_response_is_discarded),
    cmocka_unit_test (test_idle_connection_is_checked),
    cmocka_unit_test (test_connection_limit),
    cmocka_unit_test (test_removed_server_fails_its_attempts),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
