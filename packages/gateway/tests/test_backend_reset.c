#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "backend_fixture.h"

/* More than the socket buffers hold, so that bytes of the request wait to be
   sent when the response ends.  */
#define REQUEST_SIZE (16u << 20)

#define DEADLINE_MS 5000

#define NO_LENGTH "HTTP/1.1 200 OK\r\n\r\nbody"
#define LENGTH "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
#define CHUNKED                                                               \
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"

/**
 * struct ending - a response that comes before the request has been read, and
 * how its connection ends
 * @method: of the request
 * @is_reset: the connection is reset, otherwise the server closes its sending
 *   side and keeps the connection open
 * @complete: expected result
 */
struct ending
{
  const char *what;
  const char *method;
  const char *response;
  bool is_reset;
  bool complete;
};

static const struct ending endings[] = {
  { "no length", "POST", NO_LENGTH, true, false },
  { "no length, no body yet", "POST", "HTTP/1.1 200 OK\r\n\r\n", true, false },
  { "no length, half closed", "POST", NO_LENGTH, false, true },
  { "length", "POST", LENGTH, true, true },
  { "part of a length", "POST",
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbody", true, false },
  { "chunks", "POST", CHUNKED "0\r\n\r\n", true, true },
  { "part of the chunks", "POST", CHUNKED, true, false },
  { "no last line of the chunks", "POST", CHUNKED "0\r\n", true, false },
  { "no end of the head", "POST", "HTTP/1.1 200 OK\r\n", true, false },
  { "no end of the head, half closed", "POST", "HTTP/1.1 200 OK\r\n", false,
    false },
  { "interim response", "POST", "HTTP/1.1 100 Continue\r\n\r\n", true, false },
  { "status without a body", "POST", "HTTP/1.1 204 None\r\n\r\n", true, true },
  { "not modified", "POST", "HTTP/1.1 304 Same\r\n\r\n", true, true },
  { "HEAD", "HEAD", "HTTP/1.1 200 OK\r\n\r\n", true, true },
};

#define ENDINGS (sizeof endings / sizeof *endings)

static const struct ending *ending;

static void
_respond (struct support_server *server, struct bufferevent *bev,
          const char *request)
{
  (void)server;
  (void)request;
  bufferevent_disable (bev, EV_READ);
  bufferevent_write (bev, ending->response, strlen (ending->response));
}

/* Ends the server's connection, all of whose bytes have been sent.  */
static void
_end_connection (struct support_server *server)
{
  struct bufferevent *bev = server->connections[0];
  const struct linger linger = { .l_onoff = 1 };
  assert_non_null (bev);
  assert_int_equal (evbuffer_get_length (bufferevent_get_output (bev)), 0);
  if (!ending->is_reset)
    {
      shutdown (bufferevent_getfd (bev), SHUT_WR);
      return;
    }
  setsockopt (bufferevent_getfd (bev), SOL_SOCKET, SO_LINGER, &linger,
              sizeof linger);
  support_server_close (server, bev);
}

static void
_send (struct backend_fixture *f, const char *body, struct backend_outcome *o)
{
  o->fixture = f;
  f->server.on_request = _respond;
  assert_int_equal (bgap_backend_send (f->backend, f->id,
                                       &(struct bgap_backend_request){
                                           .method = ending->method,
                                           .target = "/x",
                                           .body = body,
                                           .body_size = REQUEST_SIZE,
                                           .deadline_ms = DEADLINE_MS,
                                           .ops = &backend_fixture_ops,
                                           .user = o },
                                       &o->id),
                    BGAP_OK);
  while (f->server.requests == 0)
    event_base_loop (f->base, EVLOOP_ONCE);
  support_run_ready (f->base);
}

/* @paused: the reader of the response is slow, so that the failed write is
   noticed before the end of the response is read.  */
static void
_check_ending (const char *body, bool paused)
{
  struct backend_fixture f;
  struct backend_outcome o = { .pause_at_head = paused };
  backend_fixture_start (
      &f, &(struct bgap_backend_desc){ .accept_close_delimited = true }, 1);
  _send (&f, body, &o);
  if (!o.ended)
    _end_connection (&f.server);
  support_run_ready (f.base);
  if (!o.ended)
    bgap_backend_resume (f.backend, o.id);
  support_run (f.base, &o.ended);
  if (o.complete != ending->complete)
    fail_msg ("%s%s: %s with %llu bytes", ending->what,
              paused ? ", paused" : "",
              o.complete ? "complete" : o.failure.message,
              (unsigned long long)o.size);
  backend_fixture_stop (&f);
}

/* Guards against a response without a length that is reset while bytes of the
   request wait to be sent, and counts as complete: the failed write takes the
   error from the socket, and the next read sees an end of stream.  */
static void
test_reset_before_the_request_is_sent (void **state)
{
  char *body = calloc (1, REQUEST_SIZE);
  (void)state;
  assert_non_null (body);
  for (size_t i = 0; i < ENDINGS; i++)
    {
      ending = &endings[i];
      _check_ending (body, false);
      _check_ending (body, true);
    }
  free (body);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_reset_before_the_request_is_sent),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
