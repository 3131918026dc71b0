#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "frontend_fixture.h"

#define REQUEST "GET /o/s/a HTTP/1.1\r\nHost: h\r\n\r\n"
#define ANSWER "GET /o/s/a owner=o service=s key=1:61 body=;"

/* Opens a connection and waits until it was accepted or refused.  */
static void
_connect (struct frontend_fixture *f, struct support_client *client)
{
  support_client_start (client, f->base, bgap_frontend_port (f->frontend));
  support_run_ready (f->base);
}

/* Sends a request on @client and expects it to be answered.  */
static void
_expect_served (struct frontend_fixture *f, struct support_client *client)
{
  assert_false (client->closed);
  support_client_send (client, REQUEST);
  support_client_expect (client, f->base, ANSWER);
  support_run_ready (f->base);
}

static void
_expect_closed_connections (const struct frontend_fixture *f,
                            uint64_t idle_closed, uint64_t refused)
{
  const struct bgap_frontend_connections now
      = bgap_frontend_connections (f->frontend);
  assert_int_equal (now.idle_closed, idle_closed);
  assert_int_equal (now.refused, refused);
}

/* Expects a new connection to be closed without a response.  */
static void
_expect_refused (struct frontend_fixture *f)
{
  struct support_client refused;
  _connect (f, &refused);
  support_run (f->base, &refused.closed);
  assert_int_equal (refused.total, 0);
  support_client_stop (&refused);
}

/* Guards against idle connections that lock out a caller with a request, and
   against closing one of them that was used more recently than another.  */
static void
test_longest_idle_connection_makes_room (void **state)
{
  (void)state;
  struct frontend_fixture f;
  struct support_client longest;
  struct support_client last;
  frontend_fixture_start (
      &f, &(struct bgap_frontend_desc){ .connections_max = 2 });
  support_run_ready (f.base);
  _connect (&f, &longest);
  _expect_served (&f, &longest);
  _expect_served (&f, &f.client);
  _connect (&f, &last);
  _expect_served (&f, &last);
  assert_true (longest.closed);
  assert_false (longest.reset);
  assert_false (f.client.closed);
  _expect_served (&f, &f.client);
  _expect_closed_connections (&f, 1, 0);
  support_client_stop (&longest);
  support_client_stop (&last);
  frontend_fixture_stop (&f);
}

/* Guards against closing idle connections below the limit, and against
   counting one that its caller has closed.  */
static void
test_idle_connections_stay_below_the_limit (void **state)
{
  (void)state;
  struct frontend_fixture f;
  struct support_client second;
  struct support_client third;
  frontend_fixture_start (
      &f, &(struct bgap_frontend_desc){ .connections_max = 2 });
  support_run_ready (f.base);
  _connect (&f, &second);
  support_client_stop (&second);
  support_run_ready (f.base);
  _connect (&f, &third);
  _expect_served (&f, &third);
  _expect_served (&f, &f.client);
  _expect_closed_connections (&f, 0, 0);
  support_client_stop (&third);
  frontend_fixture_stop (&f);
}

/* Guards against closing a connection whose request arrives or runs in favour
   of a new one, and against a frontend that claims to have room meanwhile, or
   to have none afterwards.  */
static void
test_requests_under_way_are_not_closed (void **state)
{
  (void)state;
  struct frontend_fixture f;
  struct support_client head;
  struct support_client body;
  struct support_client next;
  frontend_fixture_start (
      &f, &(struct bgap_frontend_desc){ .connections_max = 3 });
  f.defer_reply = true;
  support_client_send (&f.client, REQUEST);
  support_run (f.base, &f.arrived);
  _connect (&f, &head);
  support_client_send (&head, "GET /o/s/a HTTP/1.1\r\n");
  _connect (&f, &body);
  assert_true (bgap_frontend_has_room (f.frontend));
  support_client_send (&body, "POST /o/s/b HTTP/1.1\r\nHost: h\r\n"
                              "Content-Length: 2\r\n\r\na");
  support_run_ready (f.base);
  assert_false (bgap_frontend_has_room (f.frontend));
  _expect_refused (&f);
  _expect_closed_connections (&f, 0, 1);
  f.defer_reply = false;
  frontend_fixture_echo (&f, f.id, bgap_frontend_request (f.frontend, f.id));
  frontend_fixture_expect (&f, ANSWER);
  support_run_ready (f.base);
  assert_true (bgap_frontend_has_room (f.frontend));
  support_client_send (&head, "Host: h\r\n\r\n");
  support_client_expect (&head, f.base, ANSWER);
  support_client_send (&body, "b");
  support_client_expect (&body, f.base, "body=ab;");
  _connect (&f, &next);
  _expect_served (&f, &next);
  assert_true (f.client.closed);
  assert_false (head.closed || body.closed);
  support_client_stop (&head);
  support_client_stop (&body);
  support_client_stop (&next);
  frontend_fixture_stop (&f);
}

/* Guards against cutting a response that is complete but not sent, as its
   caller reads slowly.  */
static void
test_response_being_sent_is_not_closed (void **state)
{
  static const char bytes[STREAM_SIZE];
  (void)state;
  struct frontend_fixture f;
  frontend_fixture_start (
      &f, &(struct bgap_frontend_desc){ .connections_max = 1 });
  f.defer_reply = true;
  support_client_send (&f.client, REQUEST);
  support_run (f.base, &f.arrived);
  bufferevent_disable (f.client.bev, EV_READ);
  bgap_frontend_reply (f.frontend, f.id, 200, NULL, bytes, sizeof bytes);
  support_run_ready (f.base);
  assert_false (bgap_frontend_has_room (f.frontend));
  _expect_refused (&f);
  f.client.keep = false;
  bufferevent_enable (f.client.bev, EV_READ);
  while (f.client.total <= STREAM_SIZE && !f.client.closed)
    event_base_loop (f.base, EVLOOP_ONCE);
  assert_true (f.client.total > STREAM_SIZE);
  support_run_ready (f.base);
  assert_true (bgap_frontend_has_room (f.frontend));
  frontend_fixture_stop (&f);
}

/* Guards against closing a connection whose next request has reached the
   socket but has not been read yet: the caller could not tell whether it ran.
   A new connection that arrived earlier is accepted first.  */
static void
test_request_in_the_socket_is_not_closed (void **state)
{
  (void)state;
  struct frontend_fixture f;
  struct support_client idle;
  struct sockaddr_in in = { .sin_family = AF_INET };
  frontend_fixture_start (
      &f, &(struct bgap_frontend_desc){ .connections_max = 2 });
  support_run_ready (f.base);
  _connect (&f, &idle);
  in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  in.sin_port = htons (bgap_frontend_port (f.frontend));
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (connect (fd, (struct sockaddr *)&in, sizeof in), 0);
  assert_int_equal (
      send (bufferevent_getfd (f.client.bev), REQUEST, strlen (REQUEST), 0),
      strlen (REQUEST));
  support_client_expect (&f.client, f.base, ANSWER);
  support_run (f.base, &idle.closed);
  _expect_closed_connections (&f, 1, 0);
  close (fd);
  support_client_stop (&idle);
  frontend_fixture_stop (&f);
}

/* Guards against callers that keep all connections by sending a part of a head
   and no more: the time limit of a head ends that.  */
static void
test_incomplete_head_gives_way_in_time (void **state)
{
  (void)state;
  struct frontend_fixture f;
  struct support_client next;
  frontend_fixture_start (
      &f, &(struct bgap_frontend_desc){ .connections_max = 1,
                                        .head_timeout_ms = 300 });
  support_client_send (&f.client, "GET /o/s/a HTTP/1.1\r\n");
  support_run_ready (f.base);
  assert_false (bgap_frontend_has_room (f.frontend));
  _expect_refused (&f);
  frontend_fixture_expect (&f, "HTTP/1.1 408 ");
  support_run (f.base, &f.client.closed);
  support_client_stop (&f.client);
  support_run_ready (f.base);
  assert_true (bgap_frontend_has_room (f.frontend));
  _connect (&f, &next);
  _expect_served (&f, &next);
  support_client_stop (&next);
  bgap_frontend_shutdown (f.frontend);
  support_base_free (f.base);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_longest_idle_connection_makes_room),
    cmocka_unit_test (test_idle_connections_stay_below_the_limit),
    cmocka_unit_test (test_requests_under_way_are_not_closed),
    cmocka_unit_test (test_response_being_sent_is_not_closed),
    cmocka_unit_test (test_request_in_the_socket_is_not_closed),
    cmocka_unit_test (test_incomplete_head_gives_way_in_time),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
