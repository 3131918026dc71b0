#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "frontend_fixture.h"

/* Guards against pipelined requests that are lost, reordered or answered with
   the response to another one.  */
static void
test_pipelined_requests_are_answered_in_order (void **state)
{
  (void)state;
  struct frontend_fixture f;
  frontend_fixture_start (&f, &(struct bgap_frontend_desc){ 0 });
  support_client_send (
      &f.client,
      "GET /o/s/a HTTP/1.1\r\nHost: h\r\nConnection: keep-alive, x\r\n\r\n"
      "POST /o/s/b?q HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz"
      "POST /o/s/c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2;e=1\r\nab\r\n1\r\nc\r\n0\r\nTrailer: x\r\n\r\n"
      "GET /o/s/d HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  frontend_fixture_expect (&f,
                           "HTTP/1.1 200 OK\r\nBgap-Outcome: answered\r\n");
  frontend_fixture_expect (&f, "GET /o/s/a owner=o service=s key=1:61 body=;");
  frontend_fixture_expect (
      &f, "POST /o/s/b?q owner=o service=s key=1:62 body=xyz;");
  frontend_fixture_expect (&f,
                           "POST /o/s/c owner=o service=s key=1:63 body=abc;");
  frontend_fixture_expect (&f, "Connection: close\r\n");
  frontend_fixture_expect (&f, "GET /o/s/d owner=o service=s key=1:64 body=;");
  support_run (f.base, &f.client.closed);
  assert_false (f.client.reset);
  assert_int_equal (f.requests, 4);
  frontend_fixture_stop (&f);
}

/* Guards against a caller that waits in vain for 100 Continue.  */
static void
test_expected_continue_is_sent (void **state)
{
  (void)state;
  struct frontend_fixture f;
  frontend_fixture_start (&f, &(struct bgap_frontend_desc){ 0 });
  support_client_send (&f.client,
                       "POST /o/s/a HTTP/1.1\r\nHost: h\r\n"
                       "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n");
  frontend_fixture_expect (&f, "HTTP/1.1 100 Continue\r\n\r\n");
  assert_int_equal (f.requests, 0);
  support_client_send (&f.client, "ab");
  frontend_fixture_expect (&f, "body=ab;");
  frontend_fixture_stop (&f);
}

/* Guards against dispatching a pipelined request while the previous one runs,
   and against never dispatching it afterwards.  */
static void
test_running_request_delays_the_next (void **state)
{
  (void)state;
  struct frontend_fixture f;
  frontend_fixture_start (&f, &(struct bgap_frontend_desc){ 0 });
  f.defer_reply = true;
  support_client_send (&f.client, "GET /o/s/a HTTP/1.1\r\nHost: h\r\n\r\n"
                                  "GET /o/s/b HTTP/1.1\r\nHost: h\r\n\r\n");
  support_run (f.base, &f.arrived);
  support_run_ready (f.base);
  assert_int_equal (f.requests, 1);
  f.defer_reply = false;
  frontend_fixture_echo (&f, f.id, bgap_frontend_request (f.frontend, f.id));
  frontend_fixture_expect (&f, "GET /o/s/a owner");
  frontend_fixture_expect (&f, "GET /o/s/b owner");
  frontend_fixture_stop (&f);
}

/* Guards against altered or truncated keys.  */
static void
test_arbitrary_bytes_in_the_path (void **state)
{
  (void)state;
  struct frontend_fixture f;
  frontend_fixture_start (&f, &(struct bgap_frontend_desc){ 0 });
  support_client_send (&f.client,
                       "GET /o/s/%00a%2Fb%ff\xc3\xa5;=%25/x?%00 HTTP/1.1\r\n"
                       "Host: h\r\n\r\n");
  frontend_fixture_expect (
      &f, "GET /o/s/%00a%2Fb%ff\xc3\xa5;=%25/x?%00 owner=o service=s "
          "key=10:00612f62ffc3a53b3d25 body=;");
  frontend_fixture_stop (&f);
}

/* Guards against accepting messages on whose end two parsers could disagree
   (request smuggling), and against malformed requests that get no response. */
static void
test_malformed_requests_are_rejected (void **state)
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
    frontend_fixture_expect_rejection (requests[i],
                                       "HTTP/1.1 400 Bad Request\r\n");
  frontend_fixture_expect_rejection (START "Expect: miracles\r\n\r\n",
                                     "HTTP/1.1 417 ");
  frontend_fixture_expect_rejection ("GET /o HTTP/1.1\r\nHost: h\r\n\r\n",
                                     "HTTP/1.1 404 ");
  frontend_fixture_expect_rejection (
      "GET /o/s/%zz HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 404 ");
}

/* Guards against unbounded memory use by large requests.  */
static void
test_oversized_requests_are_rejected (void **state)
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
  static const char *const responses[]
      = { "HTTP/1.1 431 ", "HTTP/1.1 413 ", "HTTP/1.1 413 " };
  for (size_t i = 0; i < 3; i++)
    {
      struct frontend_fixture f;
      frontend_fixture_start (&f, &limits);
      support_client_send (&f.client, requests[i]);
      if (i == 2)
        support_client_send (&f.client, long_head);
      frontend_fixture_expect (&f, responses[i]);
      support_run (f.base, &f.client.closed);
      assert_int_equal (f.requests, 0);
      frontend_fixture_stop (&f);
    }
  struct frontend_fixture f;
  struct support_client second;
  frontend_fixture_start (&f, &limits);
  support_client_send (&f.client, START "Content-Length: 900\r\n\r\n");
  support_run_ready (f.base);
  support_client_start (&second, f.base, bgap_frontend_port (f.frontend));
  support_client_send (&second, START "Content-Length: 900\r\n\r\n");
  support_client_expect (&second, f.base, "HTTP/1.1 503 ");
  support_client_stop (&second);
  frontend_fixture_stop (&f);
}

/* Guards against callers that occupy connections by sending slowly or
   nothing.  */
static void
test_slow_senders_are_rejected (void **state)
{
  (void)state;
  const struct bgap_frontend_desc limits = {
    .head_timeout_ms = 30,
    .body_timeout_ms = 30,
    .idle_timeout_ms = 30,
  };
  static const char *const requests[]
      = { "GET /o/s", START "Content-Length: 2\r\n\r\na" };
  struct frontend_fixture f;
  for (size_t i = 0; i < 2; i++)
    {
      frontend_fixture_start (&f, &limits);
      support_client_send (&f.client, requests[i]);
      frontend_fixture_expect (&f, "HTTP/1.1 408 ");
      support_run (f.base, &f.client.closed);
      frontend_fixture_stop (&f);
    }
  frontend_fixture_start (&f, &limits);
  support_run (f.base, &f.client.closed);
  assert_int_equal (f.client.total, 0);
  frontend_fixture_stop (&f);
}

/* Guards against continuing to work for a caller that has disconnected.  */
static void
test_disconnect_is_reported_once (void **state)
{
  (void)state;
  struct frontend_fixture f;
  frontend_fixture_start (&f, &(struct bgap_frontend_desc){ 0 });
  f.defer_reply = true;
  support_client_send (&f.client, "GET /o/s/a HTTP/1.1\r\nHost: h\r\n\r\n");
  support_run (f.base, &f.arrived);
  support_client_stop (&f.client);
  support_run (f.base, &f.caller_gone);
  assert_int_equal (f.cancelled, 1);
  assert_int_equal (bgap_frontend_exchanges (f.frontend), 0);
  bgap_frontend_shutdown (f.frontend);
  support_base_free (f.base);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_pipelined_requests_are_answered_in_order),
    cmocka_unit_test (test_expected_continue_is_sent),
    cmocka_unit_test (test_running_request_delays_the_next),
    cmocka_unit_test (test_arbitrary_bytes_in_the_path),
    cmocka_unit_test (test_malformed_requests_are_rejected),
    cmocka_unit_test (test_oversized_requests_are_rejected),
    cmocka_unit_test (test_slow_senders_are_rejected),
    cmocka_unit_test (test_disconnect_is_reported_once),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
