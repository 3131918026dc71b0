#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "backend_fixture.h"

/* More than the socket buffers hold, so that bytes of the request wait to be
   sent when the head is cut.  */
#define LONG_REQUEST_SIZE (16u << 20)

#define DEADLINE_MS 5000

/* A response without a length, whose body is empty: a cut head must not be
   taken for it.  */
#define HEAD "HTTP/1.1 200 OK\r\nId: own\r\nSigned: yes\r\n\r\n"
#define STALE "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 5\r\n\r\nwrong"

/**
 * struct cut - how a response ends in its head
 * @before: bytes that come before the head
 * @sent: number of bytes of the head that are sent
 * @request_size: size of the body of the request
 * @is_reset: the connection is reset, otherwise closed
 * @is_kept: the connection has been used before
 */
struct cut
{
  const char *before;
  size_t sent;
  size_t request_size;
  bool is_reset;
  bool is_kept;
};

static struct cut cut;

/* Ends the connection once all is sent, without reading the rest of the
   request.  */
static void
_on_written (struct bufferevent *bev, void *user)
{
  const struct linger linger = { .l_onoff = 1 };
  if (cut.is_reset)
    setsockopt (bufferevent_getfd (bev), SOL_SOCKET, SO_LINGER, &linger,
                sizeof linger);
  support_server_close (user, bev);
}

static void
_respond (struct support_server *server, struct bufferevent *bev,
          const char *request)
{
  if (strncmp (request, "GET /ok ", 8) == 0)
    {
      backend_fixture_respond (server, bev, request);
      return;
    }
  bufferevent_disable (bev, EV_READ);
  bufferevent_write (bev, cut.before, strlen (cut.before));
  bufferevent_write (bev, HEAD, cut.sent);
  if (evbuffer_get_length (bufferevent_get_output (bev)) == 0)
    _on_written (bev, server);
  else
    bufferevent_setcb (bev, NULL, _on_written, NULL, server);
}

static enum bgap_head_class
_classify (void *user, int status, const struct bgap_headers *headers,
           enum bgap_refusal *refusal)
{
  const char *id = bgap_headers_find (headers, "Id");
  (void)user;
  (void)status;
  *refusal = BGAP_REFUSAL_NONE;
  return id != NULL && strcmp (id, "old") == 0 ? BGAP_HEAD_STALE
                                               : BGAP_HEAD_RESPONSE;
}

static struct backend_outcome
_run (const char *body)
{
  struct backend_fixture f;
  struct bgap_backend_ops ops = backend_fixture_ops;
  struct backend_outcome o = { .fixture = &f };
  ops.classify = _classify;
  backend_fixture_start (
      &f, &(struct bgap_backend_desc){ .accept_close_delimited = true }, 1);
  f.server.on_request = _respond;
  if (cut.is_kept)
    assert_true (backend_fixture_run (&f, "/ok").complete);
  assert_int_equal (bgap_backend_send (f.backend, f.id,
                                       &(struct bgap_backend_request){
                                           .method = "POST",
                                           .target = "/cut",
                                           .body = body,
                                           .body_size = cut.request_size,
                                           .deadline_ms = DEADLINE_MS,
                                           .ops = &ops,
                                           .user = &o },
                                       &o.id),
                    BGAP_OK);
  support_run (f.base, &o.ended);
  assert_int_equal (f.server.accepted, 1);
  backend_fixture_stop (&f);
  return o;
}

static void
_check (const char *body)
{
  struct backend_outcome o = _run (body);
  if (o.complete || o.status != 0)
    fail_msg ("%zu bytes of the head%s%s%s%s: %s", cut.sent,
              cut.is_reset ? ", reset" : "", cut.is_kept ? ", kept" : "",
              cut.before[0] != '\0' ? ", after an old response" : "",
              cut.request_size > 0 ? ", request not sent" : "",
              o.complete ? "complete" : "head reported");
}

/* Guards against a head that is cut, at any byte and in any way, and is taken
   for a response with an empty body.  */
static void
test_cut_head_is_no_response (void **state)
{
  static const char *const before[] = { "", STALE };
  char *body = calloc (1, LONG_REQUEST_SIZE);
  (void)state;
  assert_non_null (body);
  for (unsigned int way = 0; way < 16; way++)
    for (size_t sent = 0; sent < strlen (HEAD); sent++)
      {
        cut = (struct cut){
          .before = before[way & 1],
          .sent = sent,
          .request_size = (way & 2) != 0 ? LONG_REQUEST_SIZE : 0,
          .is_reset = (way & 4) != 0,
          .is_kept = (way & 8) != 0,
        };
        _check (body);
      }
  free (body);
}

/* Guards against line ends that only some parsers accept, with which a cut
   head could count as whole.  */
static void
test_head_with_other_line_ends_is_no_response (void **state)
{
  static const char *const heads[] = {
    "HTTP/1.1 200 OK\nId: own\nContent-Length: 0\n\n",
    "HTTP/1.1 200 OK\r\nId: own\r\n\n",
    "HTTP/1.1 200 OK\r\nId: own\n\r\n",
    "HTTP/1.1 200 OK\nId: own\n\nbody\r\n\r\n",
    "HTTP/1.1 200 OK\rId: own\r\r\n\r\n",
  };
  (void)state;
  for (size_t i = 0; i < sizeof heads / sizeof *heads; i++)
    {
      cut = (struct cut){ .before = heads[i] };
      _check (NULL);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_cut_head_is_no_response),
    cmocka_unit_test (test_head_with_other_line_ends_is_no_response),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
