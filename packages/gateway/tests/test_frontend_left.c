#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "frontend_fixture.h"

#define REQUEST "GET /o/s/a HTTP/1.1\r\nHost: h\r\n\r\n"

/* Requests that are together larger than what the frontend reads at once.  */
#define REQUESTS 6
#define FIELD_SIZE 8000

/* How a caller ends its connection.  */
enum end
{
  END_CLOSED,
  END_HALF_CLOSED,
  END_RESET,
  END_COUNT
};

static int
_connect (const struct frontend_fixture *f)
{
  struct sockaddr_in in
      = { .sin_family = AF_INET,
          .sin_port = htons (bgap_frontend_port (f->frontend)) };
  in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (connect (fd, (struct sockaddr *)&in, sizeof in), 0);
  return fd;
}

static void
_send (int fd, const char *text)
{
  assert_int_equal (write (fd, text, strlen (text)), strlen (text));
}

/* Ends the connection; a half-closed one stays open for reading.  */
static void
_end (int fd, enum end end)
{
  const struct linger linger = { .l_onoff = 1 };
  if (end == END_HALF_CLOSED)
    {
      shutdown (fd, SHUT_WR);
      return;
    }
  if (end == END_RESET)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (fd);
}

/* Guards against passing on a request that was read late and whose caller has
   left meanwhile: the end of the connection is an event of its own that
   follows the read.  */
static void
test_request_of_a_caller_that_left_is_not_passed_on (void **state)
{
  static const char *const requests[] = {
    REQUEST,
    "POST /o/s/a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab",
    "POST /o/s/a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "2\r\nab\r\n0\r\n\r\n",
    REQUEST REQUEST,
  };
  (void)state;
  for (size_t i = 0; i < sizeof requests / sizeof *requests; i++)
    for (enum end end = 0; end < END_COUNT; end++)
      {
        struct frontend_fixture f;
        frontend_fixture_start (&f, &(struct bgap_frontend_desc){ 0 });
        int fd = _connect (&f);
        _send (fd, requests[i]);
        _end (fd, end);
        support_run_ready (f.base);
        assert_int_equal (f.requests, 0);
        assert_int_equal (f.cancelled, 0);
        assert_int_equal (f.left, 1);
        assert_int_equal (bgap_frontend_exchanges (f.frontend), 0);
        if (end == END_HALF_CLOSED)
          close (fd);
        frontend_fixture_stop (&f);
      }
}

/* Guards against taking further requests of a caller, of which the frontend
   has not read all bytes yet, for its end.  */
static void
test_caller_that_sends_more_is_served (void **state)
{
  char text[FIELD_SIZE + 64];
  char field[FIELD_SIZE + 1];
  (void)state;
  struct frontend_fixture f;
  frontend_fixture_start (&f, &(struct bgap_frontend_desc){ 0 });
  int fd = _connect (&f);
  memset (field, 'x', FIELD_SIZE);
  field[FIELD_SIZE] = '\0';
  snprintf (text, sizeof text,
            "GET /o/s/a HTTP/1.1\r\nHost: h\r\nX: %s\r\n\r\n", field);
  for (int i = 0; i < REQUESTS; i++)
    _send (fd, text);
  support_run_ready (f.base);
  assert_int_equal (f.requests, REQUESTS);
  assert_int_equal (f.left, 0);
  close (fd);
  frontend_fixture_stop (&f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_request_of_a_caller_that_left_is_not_passed_on),
    cmocka_unit_test (test_caller_that_sends_more_is_served),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
