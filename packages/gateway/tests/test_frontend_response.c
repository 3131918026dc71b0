#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "frontend_fixture.h"

/* Starts a frontend with a request that has not been answered yet.  */
static void
start_deferred (struct frontend_fixture *f, uint32_t idle_timeout_ms)
{
  frontend_fixture_start (
      f, &(struct bgap_frontend_desc){ .idle_timeout_ms = idle_timeout_ms });
  f->defer_reply = true;
  support_client_send (&f->client, "GET /o/s/a HTTP/1.1\r\nHost: h\r\n\r\n");
  support_run (f->base, &f->arrived);
}

/* Guards against a caller that stops reading and so keeps its response in
   memory.  */
static void
test_caller_that_does_not_read_times_out (void **state)
{
  (void)state;
  struct frontend_fixture f;
  start_deferred (&f, 50);
  bufferevent_disable (f.client.bev, EV_READ);
  assert_int_equal (bgap_frontend_start (f.frontend, f.id, 200, NULL),
                    BGAP_OK);
  frontend_fixture_stream (&f);
  support_run (f.base, &f.caller_gone);
  assert_int_equal (f.cancelled, 1);
  assert_true (f.sent < STREAM_SIZE);
  frontend_fixture_stop (&f);
}

/* Guards against buffering a large response in memory as a whole.  */
static void
test_large_response_is_streamed (void **state)
{
  (void)state;
  struct frontend_fixture f;
  frontend_fixture_start (&f, &(struct bgap_frontend_desc){ 0 });
  f.defer_reply = true;
  support_client_send (&f.client, "GET /o/s/a HTTP/1.1\r\nHost: h\r\n"
                                  "Connection: close\r\n\r\n");
  support_run (f.base, &f.arrived);
  f.client.keep = false;
  struct bgap_headers headers = { 0 };
  bgap_headers_add (&headers, "Content-Length", "67108864");
  assert_int_equal (bgap_frontend_start (f.frontend, f.id, 200, &headers),
                    BGAP_OK);
  bgap_headers_shutdown (&headers);
  frontend_fixture_stream (&f);
  support_run (f.base, &f.client.closed);
  assert_true (f.client.total > STREAM_SIZE);
  assert_true (f.client.total < STREAM_SIZE + 200);
  /* Bounds the frontend's buffer, both sockets' buffers and the client's.  */
  assert_true (f.max_unread < STREAM_SIZE / 4);
  frontend_fixture_stop (&f);
}

/* Guards against an incomplete response that looks complete to the caller.  */
static void
test_incomplete_response_resets_the_connection (void **state)
{
  (void)state;
  static const char *const lengths[] = { NULL, "10" };
  for (size_t i = 0; i < 2; i++)
    {
      struct frontend_fixture f;
      struct bgap_headers headers = { 0 };
      frontend_fixture_start (&f, &(struct bgap_frontend_desc){ 0 });
      f.defer_reply = true;
      support_client_send (&f.client,
                           "GET /o/s/a HTTP/1.1\r\nHost: h\r\n\r\n");
      support_run (f.base, &f.arrived);
      if (lengths[i] != NULL)
        bgap_headers_add (&headers, "Content-Length", lengths[i]);
      bgap_frontend_start (f.frontend, f.id, 200, &headers);
      bgap_frontend_write (f.frontend, f.id, "hello", 5);
      frontend_fixture_expect (&f, "hello");
      if (i == 0)
        assert_int_equal (bgap_frontend_abort (f.frontend, f.id), BGAP_OK);
      else
        assert_int_equal (bgap_frontend_finish (f.frontend, f.id),
                          BGAP_ERR_INVALID);
      support_run (f.base, &f.client.closed);
      assert_true (f.client.reset);
      assert_null (memmem (f.client.received.data, f.client.received.size,
                           "0\r\n\r\n", 5));
      bgap_headers_shutdown (&headers);
      frontend_fixture_stop (&f);
    }
}

/* Guards against a body where none is allowed, which the caller would read as
   the next response, and against headers that conflict with the framing.  */
static void
test_response_framing (void **state)
{
  (void)state;
  struct frontend_fixture f;
  frontend_fixture_start (&f, &(struct bgap_frontend_desc){ 0 });
  support_client_send (&f.client, "HEAD /o/s/a HTTP/1.1\r\nHost: h\r\n\r\n"
                                  "GET /o/s/b HTTP/1.1\r\nHost: h\r\n\r\n");
  frontend_fixture_expect (&f,
                           "Content-Length: 45\r\n\r\nHTTP/1.1 200 OK\r\n");
  frontend_fixture_expect (&f, "GET /o/s/b owner");
  f.defer_reply = true;
  f.arrived = false;
  support_client_send (&f.client, "GET /o/s/c HTTP/1.1\r\nHost: h\r\n\r\n");
  support_run (f.base, &f.arrived);
  assert_int_equal (bgap_frontend_write (f.frontend, f.id, "a", 1),
                    BGAP_ERR_INVALID);
  assert_int_equal (bgap_frontend_start (f.frontend, f.id, 99, NULL),
                    BGAP_ERR_INVALID);
  struct bgap_headers headers = { 0 };
  bgap_headers_add (&headers, "Transfer-Encoding", "gzip");
  bgap_headers_add (&headers, "Connection", "X-Private");
  bgap_headers_add (&headers, "X-Private", "1");
  bgap_frontend_start (f.frontend, f.id, 200, &headers);
  bgap_headers_shutdown (&headers);
  bgap_frontend_write (f.frontend, f.id, "hello", 5);
  bgap_frontend_finish (f.frontend, f.id);
  frontend_fixture_expect (
      &f, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
          "5\r\nhello\r\n0\r\n\r\n");
  support_client_send (&f.client, "GET /o/s/d HTTP/1.0\r\n\r\n");
  f.arrived = false;
  support_run (f.base, &f.arrived);
  bgap_frontend_start (f.frontend, f.id, 200, NULL);
  bgap_frontend_write (f.frontend, f.id, "hello", 5);
  bgap_frontend_finish (f.frontend, f.id);
  frontend_fixture_expect (
      &f, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello");
  support_run (f.base, &f.client.closed);
  frontend_fixture_stop (&f);
}

/* Guards against a stop that aborts requests or never completes.  */
static void
test_stop_lets_requests_finish (void **state)
{
  (void)state;
  struct frontend_fixture f;
  struct support_client idle;
  struct support_client partial;
  frontend_fixture_start (&f, &(struct bgap_frontend_desc){ 0 });
  f.defer_reply = true;
  support_client_start (&idle, f.base, bgap_frontend_port (f.frontend));
  support_client_start (&partial, f.base, bgap_frontend_port (f.frontend));
  support_client_send (&partial, "GET /o/s/p HT");
  support_client_send (&f.client, "GET /o/s/a HTTP/1.1\r\nHost: h\r\n\r\n");
  support_run (f.base, &f.arrived);
  support_run_ready (f.base);
  bgap_frontend_stop (f.frontend);
  support_run (f.base, &idle.closed);
  support_run_ready (f.base);
  assert_false (f.stopped);
  f.defer_reply = false;
  frontend_fixture_echo (&f, f.id, bgap_frontend_request (f.frontend, f.id));
  frontend_fixture_expect (&f, "Connection: close\r\n");
  frontend_fixture_expect (&f, "GET /o/s/a owner");
  support_run (f.base, &f.client.closed);
  support_client_send (&partial, "TP/1.1\r\nHost: h\r\n\r\n");
  support_client_expect (&partial, f.base, "Connection: close\r\n");
  support_client_expect (&partial, f.base, "GET /o/s/p owner");
  support_run (f.base, &partial.closed);
  support_client_stop (&partial);
  support_client_stop (&idle);
  bufferevent_disable (f.client.bev, EV_READ | EV_WRITE);
  bufferevent_setfd (f.client.bev, -1);
  support_run (f.base, &f.stopped);
  frontend_fixture_stop (&f);
}

/* Guards against a stop that waits for the idle timeout of a connection whose
   response was finished but not yet sent.  */
static void
test_stop_while_sending_a_response (void **state)
{
  (void)state;
  struct frontend_fixture f;
  static char body[8 * 1024 * 1024];
  frontend_fixture_start (&f, &(struct bgap_frontend_desc){ 0 });
  f.defer_reply = true;
  f.client.keep = false;
  support_client_send (&f.client, "GET /o/s/a HTTP/1.1\r\nHost: h\r\n\r\n");
  support_run (f.base, &f.arrived);
  bufferevent_disable (f.client.bev, EV_READ);
  assert_int_equal (
      bgap_frontend_reply (f.frontend, f.id, 200, NULL, body, sizeof body),
      BGAP_OK);
  support_run_ready (f.base);
  bgap_frontend_stop (f.frontend);
  support_run_ready (f.base);
  assert_false (f.stopped);
  bufferevent_enable (f.client.bev, EV_READ);
  support_run (f.base, &f.stopped);
  support_run (f.base, &f.client.closed);
  assert_true (f.client.total > sizeof body);
  frontend_fixture_stop (&f);
}

/* Guards against a caller that stops reading after its response was complete,
   and so keeps the rest of it in memory.  */
static void
test_complete_response_that_is_not_read_times_out (void **state)
{
  static const char bytes[STREAM_SIZE];
  (void)state;
  struct frontend_fixture f;
  start_deferred (&f, 50);
  bufferevent_disable (f.client.bev, EV_READ);
  bgap_frontend_reply (f.frontend, f.id, 200, NULL, bytes, sizeof bytes);
  for (int i = 0; i < 1000 && bgap_frontend_unsent (f.frontend) > 0; i++)
    {
      support_run_for (f.base, 10);
    }
  assert_int_equal (bgap_frontend_unsent (f.frontend), 0);
  assert_int_equal (bgap_frontend_connections (f.frontend).open, 0);
  frontend_fixture_stop (&f);
}

/* Guards against cutting a response whose caller reads slowly: its connection
   is idle only when all of the response was sent.  */
static void
test_sending_for_longer_than_the_idle_time (void **state)
{
  static const char bytes[STREAM_SIZE];
  (void)state;
  struct frontend_fixture f;
  start_deferred (&f, 500);
  f.client.keep = false;
  bgap_frontend_reply (f.frontend, f.id, 200, NULL, bytes, sizeof bytes);
  while (f.client.total <= STREAM_SIZE && !f.client.closed)
    {
      uint64_t step = f.client.total + STREAM_SIZE / 64;
      bufferevent_enable (f.client.bev, EV_READ);
      while (f.client.total < step && f.client.total <= STREAM_SIZE
             && !f.client.closed)
        event_base_loop (f.base, EVLOOP_ONCE);
      bufferevent_disable (f.client.bev, EV_READ);
      support_run_for (f.base, 20);
    }
  assert_true (f.client.total > STREAM_SIZE);
  bufferevent_enable (f.client.bev, EV_READ);
  support_run (f.base, &f.client.closed);
  frontend_fixture_stop (&f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_caller_that_does_not_read_times_out),
    cmocka_unit_test (test_complete_response_that_is_not_read_times_out),
    cmocka_unit_test (test_sending_for_longer_than_the_idle_time),
    cmocka_unit_test (test_large_response_is_streamed),
    cmocka_unit_test (test_incomplete_response_resets_the_connection),
    cmocka_unit_test (test_response_framing),
    cmocka_unit_test (test_stop_lets_requests_finish),
    cmocka_unit_test (test_stop_while_sending_a_response),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
