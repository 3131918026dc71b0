#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <event2/buffer.h>
#include <string.h>

#include "backend_fixture.h"
#include "banyangap/base/clock.h"

/* Bytes that the server sends; more than any limit allows.  */
#define FLOOD_SIZE (4u << 20)

/* Deadline of an attempt. Its end by the deadline means that no limit ended
   it.  */
#define DEADLINE_MS 3000

/* Limit of the attempts that have one, in bytes.  */
#define RESPONSE_SIZE_MAX 20000

/**
 * struct flood - bytes without end, the response to a request for "/" and a
 * letter
 * @what: for failure messages
 * @begin: sent once
 * @unit: repeated
 * @refused: the attempt ends as refused, not as failed
 * @response_size_max: of the attempt
 */
struct flood
{
  const char *what;
  const char *begin;
  const char *unit;
  bool refused;
  uint64_t response_size_max;
};

#define OWN_CHUNKED                                                           \
  "HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n"

static const struct flood floods[] = {
  { "head", "HTTP/1.1 200 OK\r\n", "X: y\r\n", false, 0 },
  { "line of a head", "HTTP/1.1 200 OK\r\nX: ", "y", false, 0 },
  { "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", false, 0 },
  { "responses of earlier requests", "",
    "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 0\r\n\r\n", false, 0 },
  { "body of an earlier response", "HTTP/1.1 200 OK\r\nId: old\r\n\r\n", "x",
    false, 0 },
  { "body of an error", "HTTP/1.1 500 No\r\nId: own\r\n\r\n", "x", false, 0 },
  { "body of a refusal", "HTTP/1.1 503 No\r\nId: own\r\nRefused: 1\r\n\r\n",
    "x", true, 0 },
  { "size of a chunk", OWN_CHUNKED, "0", false, 0 },
  { "extension of a chunk", OWN_CHUNKED "1;", "x", false, 0 },
  { "trailer", OWN_CHUNKED "0\r\n", "T: t\r\n", false, 0 },
  { "body without length", "HTTP/1.1 200 OK\r\nId: own\r\n\r\n", "x", false,
    RESPONSE_SIZE_MAX },
  { "chunks", OWN_CHUNKED, "1\r\nx\r\n", false, RESPONSE_SIZE_MAX },
  { "body with a length",
    "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 99999999\r\n\r\n", "x",
    false, RESPONSE_SIZE_MAX },
};

#define FLOODS (sizeof floods / sizeof *floods)

static void
_respond (struct support_server *server, struct bufferevent *bev,
          const char *request)
{
  const char *path = strchr (request, '/');
  const struct flood *flood = &floods[path[1] - 'a'];
  struct evbuffer *output = bufferevent_get_output (bev);
  (void)server;
  evbuffer_add (output, flood->begin, strlen (flood->begin));
  while (evbuffer_get_length (output) < FLOOD_SIZE)
    evbuffer_add (output, flood->unit, strlen (flood->unit));
}

static enum bgap_head_class
_classify (void *user, int status, const struct bgap_headers *headers,
           enum bgap_refusal *refusal)
{
  const char *id = bgap_headers_find (headers, "Id");
  (void)user;
  if (id == NULL || strcmp (id, "own") != 0)
    return BGAP_HEAD_STALE;
  if (bgap_headers_find (headers, "Refused") != NULL)
    {
      *refusal = BGAP_REFUSAL_SHED;
      return BGAP_HEAD_REFUSAL;
    }
  return status >= 500 ? BGAP_HEAD_ERROR : BGAP_HEAD_RESPONSE;
}

static int64_t
_now_ms (void)
{
  const struct bgap_clock *clock = bgap_clock_system ();
  return clock->now_ms (clock->context);
}

static struct backend_outcome
_run (struct backend_fixture *f, size_t index)
{
  const char path[] = { '/', (char)('a' + index), '\0' };
  struct bgap_backend_ops ops = backend_fixture_ops;
  struct backend_outcome o = { .fixture = f };
  ops.classify = _classify;
  assert_int_equal (bgap_backend_send (f->backend, f->id,
                                       &(struct bgap_backend_request){
                                           .method = "GET",
                                           .target = path,
                                           .deadline_ms = DEADLINE_MS,
                                           .response_size_max
                                           = floods[index].response_size_max,
                                           .ops = &ops,
                                           .user = &o },
                                       &o.id),
                    BGAP_OK);
  support_run (f->base, &o.ended);
  return o;
}

/* A server in trouble sends bytes that are no response, until the connection
   is closed. Guards against reading them until the deadline.  */
static void
test_bytes_without_end (void **state)
{
  (void)state;
  for (size_t i = 0; i < FLOODS; i++)
    {
      struct backend_fixture f;
      backend_fixture_start (
          &f, &(struct bgap_backend_desc){ .accept_close_delimited = true },
          1);
      f.server.on_request = _respond;
      int64_t begun_ms = _now_ms ();
      struct backend_outcome o = _run (&f, i);
      if (_now_ms () - begun_ms >= DEADLINE_MS)
        fail_msg ("%s: ended by the deadline", floods[i].what);
      if (floods[i].refused && o.refusal != BGAP_REFUSAL_SHED)
        fail_msg ("%s: not refused", floods[i].what);
      if (!floods[i].refused
          && (!o.failed || o.failure.kind != BGAP_FAILURE_PROTOCOL))
        fail_msg ("%s: not ended by a limit", floods[i].what);
      assert_true (o.size <= floods[i].response_size_max);
      backend_fixture_stop (&f);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_bytes_without_end),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
