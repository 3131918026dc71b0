#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdio.h>
#include <string.h>

#include "backend_fixture.h"

static bool
_may_send (void *user, struct bgap_backend_attempt_id id)
{
  struct backend_outcome *o = user;
  assert_false (o->ended);
  assert_int_equal (o->id.id, id.id);
  o->asked++;
  return !o->hold_back;
}

static void
_on_head (void *user, struct bgap_backend_attempt_id id, int status,
          const struct bgap_headers *headers)
{
  struct backend_outcome *o = user;
  assert_false (o->ended);
  assert_int_equal (o->id.id, id.id);
  assert_null (bgap_headers_find (headers, "Connection"));
  assert_null (bgap_headers_find (headers, "Transfer-Encoding"));
  assert_null (bgap_headers_find (headers, "X-Private"));
  o->status = status;
  if (o->pause_at_head)
    bgap_backend_pause (o->fixture->backend, id);
}

static void
_on_body (void *user, struct bgap_backend_attempt_id id, const void *bytes,
          size_t size)
{
  struct backend_outcome *o = user;
  assert_false (o->ended);
  assert_true (size > 0);
  if (o->size + size < sizeof o->text)
    memcpy (o->text + o->size, bytes, size);
  o->size += size;
  o->got_body = true;
  if (!o->cancel_in_body)
    return;
  o->ended = true;
  assert_int_equal (bgap_backend_cancel (o->fixture->backend, id), BGAP_OK);
}

static void
_on_complete (void *user, struct bgap_backend_attempt_id id)
{
  struct backend_outcome *o = user;
  assert_false (o->ended);
  assert_int_equal (bgap_backend_cancel (o->fixture->backend, id),
                    BGAP_ERR_NOT_FOUND);
  o->ended = true;
  o->complete = true;
}

static void
_on_refused (void *user, struct bgap_backend_attempt_id id,
             enum bgap_refusal refusal)
{
  struct backend_outcome *o = user;
  (void)id;
  assert_false (o->ended);
  assert_int_equal (o->status, 0);
  o->ended = true;
  o->refusal = refusal;
}

static void
_on_failed (void *user, struct bgap_backend_attempt_id id,
            const struct bgap_backend_failure *failure)
{
  struct backend_outcome *o = user;
  assert_false (o->ended);
  assert_int_equal (bgap_backend_cancel (o->fixture->backend, id),
                    BGAP_ERR_NOT_FOUND);
  o->ended = true;
  o->failed = true;
  o->failure = *failure;
}

const struct bgap_backend_ops backend_fixture_ops = {
  .may_send = _may_send,
  .head = _on_head,
  .body = _on_body,
  .complete = _on_complete,
  .refused = _on_refused,
  .failed = _on_failed,
};

/* Selects the response by the last segment of the path.  */
void
backend_fixture_respond (struct support_server *server,
                         struct bufferevent *bev, const char *request)
{
  static const struct
  {
    const char *name;
    const char *bytes;
    bool close;
  } responses[] = {
    { "/ok", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false },
    { "/chunked",
      "HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n"
      "Connection: X-Private\r\nX-Private: 1\r\n\r\n"
      "1;x=y\r\no\r\n1\r\nk\r\n0\r\nT: t\r\n\r\n",
      false },
    { "/interim",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
      false },
    { "/none", "HTTP/1.1 204 No Content\r\n\r\n", false },
    { "/close",
      "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
      true },
    { "/kept",
      "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=99999999999999999999\r\n"
      "Content-Length: 2\r\n\r\nok",
      false },
    { "/extra", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok!", false },
    { "/fenced",
      "HTTP/1.1 409 Conflict\r\nBgap-Refused: fenced\r\n"
      "Content-Length: 4\r\n\r\nbody",
      false },
    { "/draining",
      "HTTP/1.1 409 Conflict\r\nBgap-Refused: draining\r\n"
      "Content-Length: 4\r\n\r\nb",
      true },
    { "/not-409",
      "HTTP/1.1 200 OK\r\nBgap-Refused: shed\r\nContent-Length: 0\r\n\r\n",
      false },
    { "/other",
      "HTTP/1.1 409 Conflict\r\nBgap-Refused: because\r\n"
      "Content-Length: 0\r\n\r\n",
      false },
    { "/before", "", true },
    { "/in-head", "HTTP/1.1 200 OK\r\nConte", true },
    { "/in-body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbroke", true },
    { "/in-chunks",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbroke\r\n",
      true },
    { "/until-close", "HTTP/1.1 200 OK\r\n\r\nbroke", true },
    { "/nonsense", "nonsense\r\n\r\n", false },
    { "/two-lengths",
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
      false },
    { "/upgrade", "HTTP/1.1 101 Switching Protocols\r\n\r\n", false },
    { "/bad-chunk",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "10000000000000001\r\na\r\n",
      false },
  };
  char line[256];
  snprintf (line, sizeof line, "%.*s", (int)strcspn (request, "\r"), request);
  *strstr (line, " HTTP/1.1") = '\0';
  const char *path = strrchr (line, '/');
  for (size_t i = 0; i < sizeof responses / sizeof *responses; i++)
    {
      if (strcmp (responses[i].name, path) != 0)
        continue;
      if (responses[i].bytes[0] != '\0')
        bufferevent_write (bev, responses[i].bytes,
                           strlen (responses[i].bytes));
      if (responses[i].close)
        support_server_close (server, bev);
    }
}

void
backend_fixture_start (struct backend_fixture *f,
                       const struct bgap_backend_desc *limits,
                       uint32_t connections)
{
  struct bgap_backend_desc desc = *limits;
  *f = (struct backend_fixture){ .base = event_base_new () };
  f->server.on_request = backend_fixture_respond;
  support_server_start (&f->server, f->base);
  desc.base = f->base;
  assert_int_equal (bgap_backend_setup (&f->backend, &desc, NULL), BGAP_OK);
  assert_int_equal (bgap_backend_add_server (f->backend, f->server.address,
                                             connections, &f->id, NULL),
                    BGAP_OK);
}

void
backend_fixture_stop (struct backend_fixture *f)
{
  bgap_backend_shutdown (f->backend);
  support_server_stop (&f->server);
  support_base_free (f->base);
}

enum bgap_status
backend_fixture_send (struct backend_fixture *f, const char *path,
                      uint32_t deadline_ms, struct backend_outcome *o)
{
  o->fixture = f;
  return bgap_backend_send (
      f->backend, f->id,
      &(struct bgap_backend_request){ .method = "GET",
                                      .target = path,
                                      .deadline_ms = deadline_ms,
                                      .ops = &backend_fixture_ops,
                                      .user = o },
      &o->id);
}

struct backend_outcome
backend_fixture_run (struct backend_fixture *f, const char *path)
{
  struct backend_outcome o = { 0 };
  assert_int_equal (backend_fixture_send (f, path, 0, &o), BGAP_OK);
  assert_false (o.ended);
  support_run (f->base, &o.ended);
  return o;
}
