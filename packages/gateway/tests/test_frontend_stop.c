#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <sys/socket.h>

#include "frontend_fixture.h"

#define BODY_SIZE 200000
#define RECEIVE_BUFFER 4096

/* Guards against a caller whose request is still arriving when the process
   ends, and that gets a closed connection instead of a refusal.  */
static void
test_incomplete_requests_are_refused (void **state)
{
  static const char *const parts[] = {
    "POST /o/s/a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab",
    "POST /o/s/a HTTP/1.1\r\nHost: h\r\n",
  };
  (void)state;
  for (size_t i = 0; i < 2; i++)
    {
      struct frontend_fixture f;
      struct support_client idle;
      frontend_fixture_start (&f, &(struct bgap_frontend_desc){ 0 });
      support_client_start (&idle, f.base, bgap_frontend_port (f.frontend));
      support_client_send (&f.client, parts[i]);
      support_run_ready (f.base);
      bgap_frontend_stop (f.frontend);
      bgap_frontend_refuse_incomplete (f.frontend);
      frontend_fixture_expect (&f, "HTTP/1.1 503 ");
      frontend_fixture_expect (&f, "Bgap-Outcome: not-run\r\n");
      support_run (f.base, &f.client.closed);
      assert_false (f.client.reset);
      assert_int_equal (f.requests, 0);
      support_run (f.base, &idle.closed);
      assert_int_equal (idle.total, 0);
      support_client_stop (&idle);
      frontend_fixture_stop (&f);
    }
}

/* Answers 200 to the caller, which reads nothing meanwhile.  */
static void
_respond (struct frontend_fixture *f, bool is_complete)
{
  static const char body[BODY_SIZE];
  const int size = RECEIVE_BUFFER;
  f->defer_reply = true;
  support_run_ready (f->base);
  setsockopt (bufferevent_getfd (f->client.bev), SOL_SOCKET, SO_RCVBUF, &size,
              sizeof size);
  support_client_send (&f->client, "GET /o/s/a HTTP/1.0\r\n\r\n");
  support_run (f->base, &f->arrived);
  bufferevent_disable (f->client.bev, EV_READ);
  bgap_frontend_start (f->frontend, f->id, 200, NULL);
  bgap_frontend_write (f->frontend, f->id, body, sizeof body);
  if (is_complete)
    bgap_frontend_finish (f->frontend, f->id);
  support_run_ready (f->base);
}

/* Guards against a response that is lost on its way because the process ends
   right after it was sent, and against a part of one that looks complete.  */
static void
test_shutdown_after_a_response (void **state)
{
  (void)state;
  for (int is_complete = 0; is_complete < 2; is_complete++)
    {
      struct frontend_fixture f;
      frontend_fixture_start (&f, &(struct bgap_frontend_desc){ 0 });
      _respond (&f, is_complete);
      bgap_frontend_shutdown (f.frontend);
      f.frontend = NULL;
      bufferevent_enable (f.client.bev, EV_READ);
      support_run (f.base, &f.client.closed);
      assert_int_equal (f.client.reset, !is_complete);
      if (is_complete)
        assert_true (f.client.total > BODY_SIZE);
      frontend_fixture_stop (&f);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_incomplete_requests_are_refused),
    cmocka_unit_test (test_shutdown_after_a_response),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
