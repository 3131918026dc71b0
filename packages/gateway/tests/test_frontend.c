#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/gateway/frontend.h"
#include "support.h"

#define STREAM_SIZE ((size_t)64 * 1024 * 1024)
#define STREAM_PIECE 16384u

struct fixture
{
  struct event_base *base;
  struct bgap_frontend *frontend;
  struct support_client client;
  struct bgap_exchange_id id;
  bool hold; /* keep the request, else echo it */
  uint32_t requests;
  uint32_t cancelled;
  bool arrived;
  bool gone;
  bool stopped;
  size_t sent;
  size_t largest;
};

static void
_echo (struct fixture *f, struct bgap_exchange_id id,
       const struct bgap_frontend_request *request)
{
  char text[4096];
  int size = snprintf (text, sizeof text,
                       "%s %s owner=%s service=%s key=%zu:", request->method,
                       request->target, request->parts.owner,
                       request->parts.service, request->parts.key_size);
  for (size_t i = 0; i < request->parts.key_size; i++)
    size += snprintf (text + size, sizeof text - (size_t)size, "%02x",
                      request->parts.key[i]);
  size += snprintf (text + size, sizeof text - (size_t)size, " body=%.*s;",
                    (int)request->body_size,
                    request->body ? (const char *)request->body : "");
  struct bgap_headers headers = { 0 };
  bgap_headers_add (&headers, "Bgap-Outcome", "answered");
  assert_int_equal (
      bgap_frontend_reply (f->frontend, id, 200, &headers, text, (size_t)size),
      BGAP_OK);
  bgap_headers_shutdown (&headers);
}

static void
_on_request (void *context, struct bgap_exchange_id id,
             const struct bgap_frontend_request *request)
{
  struct fixture *f = context;
  f->requests++;
  f->arrived = true;
  f->id = id;
  assert_ptr_equal (bgap_frontend_request (f->frontend, id), request);
  assert_null (bgap_headers_find (&request->headers, "Connection"));
  if (!f->hold)
    _echo (f, id, request);
}

static void
_on_cancel (void *context, struct bgap_exchange_id id)
{
  struct fixture *f = context;
  f->cancelled++;
  f->gone = true;
  assert_int_equal (id.id, f->id.id);
  assert_null (bgap_frontend_request (f->frontend, id));
  assert_int_equal (bgap_frontend_finish (f->frontend, id),
                    BGAP_ERR_NOT_FOUND);
}

static void
_stream (struct fixture *f)
{
  static char piece[STREAM_PIECE];
  while (f->sent < STREAM_SIZE && !bgap_frontend_is_full (f->frontend, f->id))
    {
      bgap_frontend_write (f->frontend, f->id, piece, sizeof piece);
      f->sent += sizeof piece;
    }
  if (f->sent - f->client.total > f->largest)
    f->largest = f->sent - f->client.total;
  if (f->sent == STREAM_SIZE)
    bgap_frontend_finish (f->frontend, f->id);
}

static void
_on_resume (void *context, struct bgap_exchange_id id)
{
  struct fixture *f = context;
  assert_int_equal (id.id, f->id.id);
  assert_false (bgap_frontend_is_full (f->frontend, id));
  _stream (f);
}

static void
_on_stopped (void *context)
{
  struct fixture *f = context;
  assert_false (f->stopped);
  f->stopped = true;
}

static void
_start (struct fixture *f, const struct bgap_frontend_desc *limits)
{
  struct bgap_frontend_desc desc = *limits;
  struct bgap_error err = { 0 };
  *f = (struct fixture){ .base = event_base_new () };
  desc.base = f->base;
  desc.address = "127.0.0.1:0";
  desc.ops = (struct bgap_frontend_ops){
    .request = _on_request,
    .cancel = _on_cancel,
    .resume = _on_resume,
    .stopped = _on_stopped,
    .context = f,
  };
  assert_int_equal (bgap_frontend_setup (&f->frontend, &desc, &err), BGAP_OK);
  support_client_start (&f->client, f->base, bgap_frontend_port (f->frontend));
}

static void
_stop (struct fixture *f)
{
  support_client_stop (&f->client);
  bgap_frontend_shutdown (f->frontend);
  support_base_free (f->base);
}

static void
_expect (struct fixture *f, const char *text)
{
  support_client_expect (&f->client, f->base, text);
}

static void
_expect_refusal (const char *request, const char *status)
{
  struct fixture f;
  _start (&f, &(struct bgap_frontend_desc){ 0 });
  support_client_send (&f.client, request);
  _expect (&f, status);
  _expect (&f, "Bgap-Outcome: not-run\r\n");
  support_run (f.base, &f.client.closed);
  assert_false (f.client.reset);
  assert_int_equal (f.requests, 0);
  _stop (&f);
}

/* Guards against pipelined requests that are lost, reordered or answered with
   each other's response.  */
static void
test_pipelined_requests_are_answered_in_order (void **state)
{
  (void)state;
  struct fixture f;
  _start (&f, &(struct bgap_frontend_desc){ 0 });
  support_client_send (
      &f.client,
      "GET /o/s/a HTTP/1.1\r\nHost: h\r\nConnection: keep-alive, x\r\n\r\n"
      "POST /o/s/b?q HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz"
      "POST /o/s/c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2;e=1\r\nab\r\n1\r\nc\r\n0\r\nTrailer: x\r\n\r\n"
      "GET /o/s/d HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  _expect (&f, "HTTP/1.1 200 OK\r\nBgap-Outcome: answered\r\n");
  _expect (&f, "GET /o/s/a owner=o service=s key=1:61 body=;");
  _expect (&f, "POST /o/s/b?q owner=o service=s key=1:62 body=xyz;");
  _expect (&f, "POST /o/s/c owner=o service=s key=1:63 body=abc;");
  _expect (&f, "Connection: close\r\n");
  _expect (&f, "GET /o/s/d owner=o service=s key=1:64 body=;");
  support_run (f.base, &f.client.closed);
  assert_false (f.client.reset);
  assert_int_equal (f.requests, 4);
  _stop (&f);
}

/* Guards against a caller that waits for leave to send its body.  */
static void
test_expected_continue_is_sent (void **state)
{
  (void)state;
  struct fixture f;
  _start (&f, &(struct bgap_frontend_desc){ 0 });
  support_client_send (&f.client,
                       "POST /o/s/a HTTP/1.1\r\nHost: h\r\n"
                       "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n");
  _expect (&f, "HTTP/1.1 100 Continue\r\n\r\n");
  assert_int_equal (f.requests, 0);
  support_client_send (&f.client, "ab");
  _expect (&f, "body=ab;");
  _stop (&f);
}

/* Guards against a second request that is begun while the first one runs, and
   against a pipelined one that waits forever after it.  */
static void
test_held_request_delays_the_next (void **state)
{
  (void)state;
  struct fixture f;
  _start (&f, &(struct bgap_frontend_desc){ 0 });
  f.hold = true;
  support_client_send (&f.client, "GET /o/s/a HTTP/1.1\r\nHost: h\r\n\r\n"
                                  "GET /o/s/b HTTP/1.1\r\nHost: h\r\n\r\n");
  support_run (f.base, &f.arrived);
  support_settle (f.base);
  assert_int_equal (f.requests, 1);
  f.hold = false;
  _echo (&f, f.id, bgap_frontend_request (f.frontend, f.id));
  _expect (&f, "GET /o/s/a owner");
  _expect (&f, "GET /o/s/b owner");
  _stop (&f);
}

/* Guards against bytes of the key that are changed or end it early.  */
static void
test_any_bytes_in_the_path (void **state)
{
  (void)state;
  struct fixture f;
  _start (&f, &(struct bgap_frontend_desc){ 0 });
  support_client_send (&f.client,
                       "GET /o/s/%00a%2Fb%ff\xc3\xa5;=%25/x?%00 HTTP/1.1\r\n"
                       "Host: h\r\n\r\n");
  _expect (&f, "GET /o/s/%00a%2Fb%ff\xc3\xa5;=%25/x?%00 owner=o service=s "
               "key=10:00612f62ffc3a53b3d25 body=;");
  _stop (&f);
}

/* Guards against messages whose end two parsers could see differently, and
   against malformed requests that end without an answer.  */
static void
test_malformed_requests_are_refused (void **state)
{
  (void)state;
#define START "POST /o/s/k HTTP/1.1\r\nHost: h\r\n"
  static const char *const requests[] = {
    "GARBAGE\r\n\r\n",
    "GET /o/s/k HTTP/1.1\r\n\r\n",
    "GET /o/s/k HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
    "GET /o/s/k\r\n\r\n",
    "GET /o/s/k HTTP/2.0\r\nHost: h\r\n\r\n",
    "GET /o/s/a b HTTP/1.1\r\nHost: h\r\n\r\n",
    "GET /o/s/k#f HTTP/1.1\r\nHost: h\r\n\r\n",
    START "no colon\r\n\r\n",
    START "A : b\r\n\r\n",
    START ": b\r\n\r\n",
    START "A: b\r\n folded\r\n\r\n",
    START "A: b\nB: c\r\n\r\n",
    START "A: \x01\r\n\r\n",
    START "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    START "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    START "Content-Length: +1\r\n\r\na",
    START "Content-Length: 1, 1\r\n\r\na",
    START "Content-Length: 99999999999999999999999\r\n\r\na",
    START "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    START "Transfer-Encoding: chunked\r\n\r\nx\r\n",
    START "Transfer-Encoding: chunked\r\n\r\n1\r\nabc",
    START "Transfer-Encoding: chunked\r\n\r\n10000000000000001\r\na\r\n",
  };
  for (size_t i = 0; i < sizeof requests / sizeof *requests; i++)
    _expect_refusal (requests[i], "HTTP/1.1 400 Bad Request\r\n");
  _expect_refusal (START "Expect: miracles\r\n\r\n", "HTTP/1.1 417 ");
  _expect_refusal ("GET /o HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 404 ");
  _expect_refusal ("GET /o/s/%zz HTTP/1.1\r\nHost: h\r\n\r\n",
                   "HTTP/1.1 404 ");
}

/* Guards against memory that grows with what callers send.  */
static void
test_oversized_requests_are_refused (void **state)
{
  (void)state;
  const struct bgap_frontend_desc limits = {
    .head_size_max = 1024,
    .body_size_max = 1000,
    .bodies_size_max = 1500,
  };
  static char long_head[4096];
  int size = snprintf (long_head, sizeof long_head, START "A: ");
  memset (long_head + size, 'x', 2000);
  static const char *const requests[] = {
    long_head,
    START "Content-Length: 1001\r\n\r\n",
    START "Transfer-Encoding: chunked\r\n\r\n3e9\r\n",
  };
  static const char *const answers[]
      = { "HTTP/1.1 431 ", "HTTP/1.1 413 ", "HTTP/1.1 413 " };
  for (size_t i = 0; i < 3; i++)
    {
      struct fixture f;
      _start (&f, &limits);
      support_client_send (&f.client, requests[i]);
      if (i == 2)
        support_client_send (&f.client, long_head);
      _expect (&f, answers[i]);
      support_run (f.base, &f.client.closed);
      assert_int_equal (f.requests, 0);
      _stop (&f);
    }
  struct fixture f;
  struct support_client second;
  _start (&f, &limits);
  support_client_send (&f.client, START "Content-Length: 900\r\n\r\n");
  support_settle (f.base);
  support_client_start (&second, f.base, bgap_frontend_port (f.frontend));
  support_client_send (&second, START "Content-Length: 900\r\n\r\n");
  support_client_expect (&second, f.base, "HTTP/1.1 503 ");
  support_client_stop (&second);
  _stop (&f);
}

/* Guards against callers that hold a connection by sending slowly.  */
static void
test_slow_senders_are_refused (void **state)
{
  (void)state;
  const struct bgap_frontend_desc limits = {
    .head_timeout_ms = 30,
    .body_timeout_ms = 30,
    .idle_timeout_ms = 30,
  };
  static const char *const requests[]
      = { "GET /o/s", START "Content-Length: 2\r\n\r\na" };
  struct fixture f;
  for (size_t i = 0; i < 2; i++)
    {
      _start (&f, &limits);
      support_client_send (&f.client, requests[i]);
      _expect (&f, "HTTP/1.1 408 ");
      support_run (f.base, &f.client.closed);
      _stop (&f);
    }
  _start (&f, &limits);
  support_run (f.base, &f.client.closed);
  assert_int_equal (f.client.total, 0);
  _stop (&f);
}

/* Guards against work for a caller that is no longer there.  */
static void
test_gone_caller_is_reported_once (void **state)
{
  (void)state;
  struct fixture f;
  _start (&f, &(struct bgap_frontend_desc){ 0 });
  f.hold = true;
  support_client_send (&f.client, "GET /o/s/a HTTP/1.1\r\nHost: h\r\n\r\n");
  support_run (f.base, &f.arrived);
  support_client_stop (&f.client);
  support_run (f.base, &f.gone);
  assert_int_equal (f.cancelled, 1);
  assert_int_equal (bgap_frontend_exchanges (f.frontend), 0);
  bgap_frontend_shutdown (f.frontend);
  support_base_free (f.base);
}

/* Guards against a caller that stops reading and so holds its response.  */
static void
test_caller_that_does_not_read_is_cancelled (void **state)
{
  (void)state;
  struct fixture f;
  _start (&f, &(struct bgap_frontend_desc){ .idle_timeout_ms = 50 });
  f.hold = true;
  support_client_send (&f.client, "GET /o/s/a HTTP/1.1\r\nHost: h\r\n\r\n");
  support_run (f.base, &f.arrived);
  bufferevent_disable (f.client.bev, EV_READ);
  assert_int_equal (bgap_frontend_start (f.frontend, f.id, 200, NULL),
                    BGAP_OK);
  _stream (&f);
  support_run (f.base, &f.gone);
  assert_int_equal (f.cancelled, 1);
  assert_true (f.sent < STREAM_SIZE);
  _stop (&f);
}

/* Guards against a large response that is held in memory.  */
static void
test_large_response_is_streamed (void **state)
{
  (void)state;
  struct fixture f;
  _start (&f, &(struct bgap_frontend_desc){ 0 });
  f.hold = true;
  support_client_send (&f.client, "GET /o/s/a HTTP/1.1\r\nHost: h\r\n"
                                  "Connection: close\r\n\r\n");
  support_run (f.base, &f.arrived);
  f.client.keep = false;
  struct bgap_headers headers = { 0 };
  bgap_headers_add (&headers, "Content-Length", "67108864");
  assert_int_equal (bgap_frontend_start (f.frontend, f.id, 200, &headers),
                    BGAP_OK);
  bgap_headers_shutdown (&headers);
  _stream (&f);
  support_run (f.base, &f.client.closed);
  assert_true (f.client.total > STREAM_SIZE);
  assert_true (f.client.total < STREAM_SIZE + 200);
  /* The frontend's buffer, plus both sockets' buffers and the client's.  */
  assert_true (f.largest < STREAM_SIZE / 4);
  _stop (&f);
}

/* Guards against a broken response that looks complete to the caller.  */
static void
test_broken_response_breaks_the_connection (void **state)
{
  (void)state;
  static const char *const lengths[] = { NULL, "10" };
  for (size_t i = 0; i < 2; i++)
    {
      struct fixture f;
      struct bgap_headers headers = { 0 };
      _start (&f, &(struct bgap_frontend_desc){ 0 });
      f.hold = true;
      support_client_send (&f.client,
                           "GET /o/s/a HTTP/1.1\r\nHost: h\r\n\r\n");
      support_run (f.base, &f.arrived);
      if (lengths[i] != NULL)
        bgap_headers_add (&headers, "Content-Length", lengths[i]);
      bgap_frontend_start (f.frontend, f.id, 200, &headers);
      bgap_frontend_write (f.frontend, f.id, "hello", 5);
      _expect (&f, "hello");
      if (i == 0)
        assert_int_equal (bgap_frontend_break (f.frontend, f.id), BGAP_OK);
      else
        assert_int_equal (bgap_frontend_finish (f.frontend, f.id),
                          BGAP_ERR_INVALID);
      support_run (f.base, &f.client.closed);
      assert_true (f.client.reset);
      assert_null (memmem (f.client.received.data, f.client.received.size,
                           "0\r\n\r\n", 5));
      bgap_headers_shutdown (&headers);
      _stop (&f);
    }
}

/* Guards against a body where none is allowed, which the caller would take
   for the next response, and against responses that break the framing.  */
static void
test_response_framing (void **state)
{
  (void)state;
  struct fixture f;
  _start (&f, &(struct bgap_frontend_desc){ 0 });
  support_client_send (&f.client, "HEAD /o/s/a HTTP/1.1\r\nHost: h\r\n\r\n"
                                  "GET /o/s/b HTTP/1.1\r\nHost: h\r\n\r\n");
  _expect (&f, "Content-Length: 45\r\n\r\nHTTP/1.1 200 OK\r\n");
  _expect (&f, "GET /o/s/b owner");
  f.hold = true;
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
  _expect (&f, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
               "5\r\nhello\r\n0\r\n\r\n");
  support_client_send (&f.client, "GET /o/s/d HTTP/1.0\r\n\r\n");
  f.arrived = false;
  support_run (f.base, &f.arrived);
  bgap_frontend_start (f.frontend, f.id, 200, NULL);
  bgap_frontend_write (f.frontend, f.id, "hello", 5);
  bgap_frontend_finish (f.frontend, f.id);
  _expect (&f, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello");
  support_run (f.base, &f.client.closed);
  _stop (&f);
}

/* Guards against a stop that breaks off requests or never ends.  */
static void
test_stop_lets_requests_finish (void **state)
{
  (void)state;
  struct fixture f;
  struct support_client idle;
  struct support_client partial;
  _start (&f, &(struct bgap_frontend_desc){ 0 });
  f.hold = true;
  support_client_start (&idle, f.base, bgap_frontend_port (f.frontend));
  support_client_start (&partial, f.base, bgap_frontend_port (f.frontend));
  support_client_send (&partial, "GET /o/s/p HT");
  support_client_send (&f.client, "GET /o/s/a HTTP/1.1\r\nHost: h\r\n\r\n");
  support_run (f.base, &f.arrived);
  support_settle (f.base);
  bgap_frontend_stop (f.frontend);
  support_run (f.base, &idle.closed);
  support_settle (f.base);
  assert_false (f.stopped);
  f.hold = false;
  _echo (&f, f.id, bgap_frontend_request (f.frontend, f.id));
  _expect (&f, "Connection: close\r\n");
  _expect (&f, "GET /o/s/a owner");
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
  _stop (&f);
}

/* Guards against a stop that waits for the idle limit of a connection whose
   response was complete, but not yet sent.  */
static void
test_stop_while_a_response_is_sent (void **state)
{
  (void)state;
  struct fixture f;
  static char body[8 * 1024 * 1024];
  _start (&f, &(struct bgap_frontend_desc){ 0 });
  f.hold = true;
  f.client.keep = false;
  support_client_send (&f.client, "GET /o/s/a HTTP/1.1\r\nHost: h\r\n\r\n");
  support_run (f.base, &f.arrived);
  bufferevent_disable (f.client.bev, EV_READ);
  assert_int_equal (
      bgap_frontend_reply (f.frontend, f.id, 200, NULL, body, sizeof body),
      BGAP_OK);
  support_settle (f.base);
  bgap_frontend_stop (f.frontend);
  support_settle (f.base);
  assert_false (f.stopped);
  bufferevent_enable (f.client.bev, EV_READ);
  support_run (f.base, &f.stopped);
  support_run (f.base, &f.client.closed);
  assert_true (f.client.total > sizeof body);
  _stop (&f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_pipelined_requests_are_answered_in_order),
    cmocka_unit_test (test_expected_continue_is_sent),
    cmocka_unit_test (test_held_request_delays_the_next),
    cmocka_unit_test (test_any_bytes_in_the_path),
    cmocka_unit_test (test_malformed_requests_are_refused),
    cmocka_unit_test (test_oversized_requests_are_refused),
    cmocka_unit_test (test_slow_senders_are_refused),
    cmocka_unit_test (test_gone_caller_is_reported_once),
    cmocka_unit_test (test_caller_that_does_not_read_is_cancelled),
    cmocka_unit_test (test_large_response_is_streamed),
    cmocka_unit_test (test_broken_response_breaks_the_connection),
    cmocka_unit_test (test_response_framing),
    cmocka_unit_test (test_stop_lets_requests_finish),
    cmocka_unit_test (test_stop_while_a_response_is_sent),
  };
  return cmocka_run_group_tests_name ("frontend", tests, NULL, NULL);
}
