#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/gateway/backend.h"
#include "support.h"

#define STREAM_SIZE ((uint64_t)64 * 1024 * 1024)

/* What one attempt has reported.  */
struct outcome
{
  struct fixture *fixture;
  struct bgap_backend_attempt_id id;
  bool ended;
  bool complete;
  bool failed;
  int status;
  uint64_t size;
  char text[256];
  enum bgap_refusal refusal;
  struct bgap_backend_failure failure;
  bool pause_at_head;
  bool cancel_in_body;
  bool got_body;
};

struct fixture
{
  struct event_base *base;
  struct support_server server;
  struct bgap_backend *backend;
  struct bgap_backend_server_id id;
};

static void
_on_head (void *user, struct bgap_backend_attempt_id id, int status,
          const struct bgap_headers *headers)
{
  struct outcome *o = user;
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
  struct outcome *o = user;
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
  struct outcome *o = user;
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
  struct outcome *o = user;
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
  struct outcome *o = user;
  assert_false (o->ended);
  assert_int_equal (bgap_backend_cancel (o->fixture->backend, id),
                    BGAP_ERR_NOT_FOUND);
  o->ended = true;
  o->failed = true;
  o->failure = *failure;
}

static const struct bgap_backend_ops ops = {
  .head = _on_head,
  .body = _on_body,
  .complete = _on_complete,
  .refused = _on_refused,
  .failed = _on_failed,
};

/* Answers by what follows the last '/' of the path.  */
static void
_answer (struct support_server *server, struct bufferevent *bev,
         const char *request)
{
  static const struct
  {
    const char *name;
    const char *bytes;
    bool close;
  } answers[] = {
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
  for (size_t i = 0; i < sizeof answers / sizeof *answers; i++)
    {
      if (strcmp (answers[i].name, path) != 0)
        continue;
      if (answers[i].bytes[0] != '\0')
        bufferevent_write (bev, answers[i].bytes, strlen (answers[i].bytes));
      if (answers[i].close)
        support_server_close (server, bev);
    }
}

static void
_start (struct fixture *f, const struct bgap_backend_desc *limits,
        uint32_t connections)
{
  struct bgap_backend_desc desc = *limits;
  *f = (struct fixture){ .base = event_base_new () };
  f->server.answer = _answer;
  support_server_start (&f->server, f->base);
  desc.base = f->base;
  assert_int_equal (bgap_backend_setup (&f->backend, &desc, NULL), BGAP_OK);
  assert_int_equal (bgap_backend_add_server (f->backend, f->server.address,
                                             connections, &f->id, NULL),
                    BGAP_OK);
}

static void
_stop (struct fixture *f)
{
  bgap_backend_shutdown (f->backend);
  support_server_stop (&f->server);
  support_base_free (f->base);
}

static enum bgap_status
_send (struct fixture *f, const char *path, uint32_t deadline_ms,
       struct outcome *o)
{
  o->fixture = f;
  return bgap_backend_send (
      f->backend, f->id,
      &(struct bgap_backend_request){ .method = "GET",
                                      .target = path,
                                      .deadline_ms = deadline_ms,
                                      .ops = &ops,
                                      .user = o },
      &o->id);
}

static struct outcome
_run (struct fixture *f, const char *path)
{
  struct outcome o = { 0 };
  assert_int_equal (_send (f, path, 0, &o), BGAP_OK);
  assert_false (o.ended);
  support_run (f->base, &o.ended);
  return o;
}

/* Guards against connections that are opened per request, or reused although
   something is left on them.  */
static void
test_connections_are_reused (void **state)
{
  (void)state;
  static const char *const clean[]
      = { "/ok", "/chunked", "/interim", "/none", "/fenced", "/ok" };
  static const char *const unclean[] = { "/close", "/extra" };
  struct fixture f;
  _start (&f, &(struct bgap_backend_desc){ 0 }, 2);
  for (size_t i = 0; i < sizeof clean / sizeof *clean; i++)
    {
      struct outcome o = _run (&f, clean[i]);
      if (!o.complete && o.refusal != BGAP_REFUSAL_FENCED)
        fail_msg ("%s: %s", clean[i], o.failure.message);
      if (o.status == 200 || o.status == 201)
        assert_string_equal (o.text, "ok");
      assert_int_equal (f.server.accepted, 1);
    }
  for (uint32_t i = 0; i < 2; i++)
    {
      assert_true (_run (&f, unclean[i]).complete);
      assert_true (_run (&f, "/ok").complete);
      assert_int_equal (f.server.accepted, i + 2);
    }
  _stop (&f);
}

/* Guards against a refusal that is taken for an answer, or an answer that is
   taken for a proof that nothing ran.  */
static void
test_refusals (void **state)
{
  (void)state;
  struct fixture f;
  _start (&f, &(struct bgap_backend_desc){ 0 }, 1);
  assert_int_equal (_run (&f, "/fenced").refusal, BGAP_REFUSAL_FENCED);
  assert_int_equal (_run (&f, "/draining").refusal, BGAP_REFUSAL_DRAINING);
  assert_true (_run (&f, "/not-409").complete);
  struct outcome other = _run (&f, "/other");
  assert_true (other.complete);
  assert_int_equal (other.status, 409);
  _stop (&f);
  for (int i = 1; i < BGAP_REFUSAL_COUNT; i++)
    assert_int_equal (
        bgap_refusal_parse (bgap_refusal_name ((enum bgap_refusal)i)), i);
  assert_int_equal (bgap_refusal_parse ("none"), BGAP_REFUSAL_NONE);
  assert_int_equal (bgap_refusal_parse ("Fenced"), BGAP_REFUSAL_NONE);
}

/* Guards against broken responses that count as complete, and against wrong
   statements on whether the request was sent.  */
static void
test_broken_responses_fail (void **state)
{
  (void)state;
  static const struct
  {
    const char *path;
    enum bgap_failure_kind kind;
    bool head;
  } cases[] = {
    { "/before", BGAP_FAILURE_BROKEN, false },
    { "/in-head", BGAP_FAILURE_BROKEN, false },
    { "/in-body", BGAP_FAILURE_BROKEN, true },
    { "/in-chunks", BGAP_FAILURE_BROKEN, true },
    { "/until-close", BGAP_FAILURE_PROTOCOL, false },
    { "/nonsense", BGAP_FAILURE_PROTOCOL, false },
    { "/two-lengths", BGAP_FAILURE_PROTOCOL, false },
    { "/upgrade", BGAP_FAILURE_PROTOCOL, false },
    { "/bad-chunk", BGAP_FAILURE_PROTOCOL, true },
  };
  struct fixture f;
  _start (&f, &(struct bgap_backend_desc){ 0 }, 1);
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct outcome o = _run (&f, cases[i].path);
      assert_true (o.failed);
      assert_int_equal (o.failure.kind, cases[i].kind);
      assert_int_equal (o.failure.head, cases[i].head);
      assert_true (o.failure.sent);
      assert_true (_run (&f, "/ok").complete);
    }
  _stop (&f);
}

/* Guards against a failure to connect that is reported as possibly run.  */
static void
test_closed_port_is_not_sent (void **state)
{
  (void)state;
  struct fixture f;
  _start (&f, &(struct bgap_backend_desc){ 0 }, 1);
  evconnlistener_free (f.server.listener);
  struct outcome o = _run (&f, "/ok");
  assert_true (o.failed);
  assert_int_equal (o.failure.kind, BGAP_FAILURE_CONNECT);
  assert_false (o.failure.sent);
  assert_false (o.failure.reused);
  bgap_backend_shutdown (f.backend);
  support_base_free (f.base);
}

/* Guards against a late answer that reaches the next attempt.  */
static void
test_late_answer_is_dropped (void **state)
{
  (void)state;
  struct fixture f;
  struct outcome late = { 0 };
  struct outcome cancelled = { 0 };
  _start (&f, &(struct bgap_backend_desc){ 0 }, 1);
  assert_int_equal (_send (&f, "/silent", 30, &late), BGAP_OK);
  support_run (f.base, &late.ended);
  assert_int_equal (late.failure.kind, BGAP_FAILURE_DEADLINE);
  assert_true (late.failure.sent);
  assert_int_equal (_send (&f, "/silent", 0, &cancelled), BGAP_OK);
  while (f.server.requests < 2)
    event_base_loop (f.base, EVLOOP_ONCE);
  struct bufferevent *bev = NULL;
  for (size_t i = 0; i < 16 && bev == NULL; i++)
    bev = f.server.connections[i];
  assert_int_equal (bgap_backend_cancel (f.backend, cancelled.id), BGAP_OK);
  assert_int_equal (bgap_backend_cancel (f.backend, cancelled.id),
                    BGAP_ERR_NOT_FOUND);
  struct outcome next = { 0 };
  assert_int_equal (_send (&f, "/chunked", 0, &next), BGAP_OK);
  bufferevent_write (bev, "HTTP/1.1 500 Late\r\nContent-Length: 0\r\n\r\n",
                     41);
  support_run (f.base, &next.ended);
  assert_true (next.complete);
  assert_int_equal (next.status, 201);
  assert_int_equal (f.server.accepted, 3);
  assert_false (cancelled.ended);
  _stop (&f);
}

/* Guards against an unasked answer on an unused connection that is taken for
   that of the next attempt, and against a closed one that is used again.  */
static void
test_unused_connection_is_checked (void **state)
{
  (void)state;
  struct fixture f;
  _start (&f, &(struct bgap_backend_desc){ 0 }, 1);
  assert_true (_run (&f, "/ok").complete);
  static const char answer[]
      = "HTTP/1.1 500 Late\r\nContent-Length: 0\r\n\r\n";
  int fd = bufferevent_getfd (f.server.connections[0]);
  assert_int_equal (send (fd, answer, sizeof answer - 1, 0),
                    sizeof answer - 1);
  assert_int_equal (_run (&f, "/ok").status, 200);
  assert_int_equal (f.server.accepted, 2);
  support_settle (f.base);
  for (size_t i = 0; i < 16; i++)
    if (f.server.connections[i] != NULL)
      shutdown (bufferevent_getfd (f.server.connections[i]), SHUT_RDWR);
  struct outcome o = _run (&f, "/ok");
  assert_true (o.complete);
  assert_int_equal (f.server.accepted, 3);
  _stop (&f);
}

/* Guards against more connections than a server allows.  */
static void
test_limit_of_connections (void **state)
{
  (void)state;
  struct fixture f;
  struct outcome o[3] = { { 0 } };
  _start (&f, &(struct bgap_backend_desc){ 0 }, 2);
  assert_int_equal (bgap_backend_free_connections (f.backend, f.id), 2);
  assert_int_equal (_send (&f, "/silent", 0, &o[0]), BGAP_OK);
  assert_int_equal (_send (&f, "/ok", 0, &o[1]), BGAP_OK);
  assert_int_equal (bgap_backend_free_connections (f.backend, f.id), 0);
  assert_int_equal (_send (&f, "/ok", 0, &o[2]), BGAP_ERR_FULL);
  support_run (f.base, &o[1].ended);
  assert_int_equal (bgap_backend_free_connections (f.backend, f.id), 1);
  assert_int_equal (bgap_backend_set_limit (f.backend, f.id, 1), BGAP_OK);
  assert_int_equal (bgap_backend_free_connections (f.backend, f.id), 0);
  assert_int_equal (_send (&f, "/ok", 0, &o[2]), BGAP_ERR_FULL);
  assert_int_equal (bgap_backend_cancel (f.backend, o[0].id), BGAP_OK);
  assert_int_equal (_send (&f, "/bad path", 0, &o[2]), BGAP_ERR_INVALID);
  assert_int_equal (_send (&f, "/ok", 0, &o[2]), BGAP_OK);
  support_run (f.base, &o[2].ended);
  assert_int_equal (f.server.accepted, 3);
  _stop (&f);
}

/* Guards against attempts that hang when their server goes away.  */
static void
test_removed_server_fails_its_attempts (void **state)
{
  (void)state;
  struct fixture f;
  struct outcome o = { 0 };
  _start (&f, &(struct bgap_backend_desc){ 0 }, 1);
  assert_int_equal (_send (&f, "/silent", 0, &o), BGAP_OK);
  bgap_backend_remove_server (f.backend, f.id);
  assert_false (o.ended);
  support_run (f.base, &o.ended);
  assert_int_equal (o.failure.kind, BGAP_FAILURE_REMOVED);
  assert_false (o.failure.sent);
  assert_int_equal (_send (&f, "/ok", 0, &o), BGAP_ERR_NOT_FOUND);
  _stop (&f);
}

/* Sends a body of STREAM_SIZE zero bytes as fast as it is taken.  */
static void
_on_stream_written (struct bufferevent *bev, void *user)
{
  static const char piece[65536] = { 0 };
  uint64_t *left = user;
  size_t size = *left < sizeof piece ? (size_t)*left : sizeof piece;
  bufferevent_write (bev, piece, size);
  *left -= size;
}

static uint64_t stream_left;

static void
_answer_stream (struct support_server *server, struct bufferevent *bev,
                const char *request)
{
  (void)server;
  (void)request;
  static const char head[] = "HTTP/1.1 200 OK\r\nContent-Length: 67108864"
                             "\r\n\r\n";
  bufferevent_write (bev, head, sizeof head - 1);
  bufferevent_setcb (bev, NULL, _on_stream_written, NULL, &stream_left);
}

/* Guards against a paused response that is read into memory, goes on without
   being resumed, or loses bytes.  */
static void
test_paused_response_is_not_read (void **state)
{
  (void)state;
  struct fixture f;
  struct outcome o = { .pause_at_head = true };
  _start (&f, &(struct bgap_backend_desc){ 0 }, 1);
  f.server.answer = _answer_stream;
  stream_left = STREAM_SIZE;
  assert_int_equal (_send (&f, "/stream", 0, &o), BGAP_OK);
  while (o.status == 0)
    event_base_loop (f.base, EVLOOP_ONCE);
  for (int i = 0; i < 20; i++)
    support_settle (f.base);
  assert_int_equal (o.size, 0);
  assert_true (STREAM_SIZE - stream_left < STREAM_SIZE / 4);
  assert_int_equal (bgap_backend_resume (f.backend, o.id), BGAP_OK);
  support_run (f.base, &o.ended);
  assert_true (o.complete);
  assert_int_equal (o.size, STREAM_SIZE);
  _stop (&f);
}

/* Guards against the end of a response that overtakes its paused start.  */
static void
test_paused_response_completes_after_resume (void **state)
{
  (void)state;
  static const char *const paths[] = { "/ok", "/none", "/close", "/in-body" };
  struct fixture f;
  _start (&f, &(struct bgap_backend_desc){ 0 }, 1);
  for (size_t i = 0; i < sizeof paths / sizeof *paths; i++)
    {
      struct outcome o = { .pause_at_head = true };
      assert_int_equal (_send (&f, paths[i], 0, &o), BGAP_OK);
      while (o.status == 0)
        event_base_loop (f.base, EVLOOP_ONCE);
      support_settle (f.base);
      assert_false (o.ended);
      assert_int_equal (o.size, 0);
      bgap_backend_resume (f.backend, o.id);
      support_run (f.base, &o.ended);
      assert_int_equal (o.complete, strcmp (paths[i], "/in-body") != 0);
    }
  _stop (&f);
}

/* Guards against use of a connection that a callback has closed.  */
static void
test_cancel_within_a_callback (void **state)
{
  (void)state;
  struct fixture f;
  struct outcome o = { .cancel_in_body = true };
  _start (&f, &(struct bgap_backend_desc){ 0 }, 1);
  assert_int_equal (_send (&f, "/chunked", 0, &o), BGAP_OK);
  support_run (f.base, &o.got_body);
  support_settle (f.base);
  assert_int_equal (o.size, 1);
  assert_true (_run (&f, "/ok").complete);
  assert_int_equal (f.server.accepted, 2);
  _stop (&f);
}

static void
_answer_post (struct support_server *server, struct bufferevent *bev,
              const char *request)
{
  (void)server;
  assert_memory_equal (request, "POST /a%2Fb?c HTTP/1.1\r\n", 24);
  assert_non_null (strstr (request, "\r\nBgap-Token: 7\r\n"));
  assert_non_null (strstr (request, "\r\nHost: 127.0.0.1:"));
  assert_non_null (strstr (request, "\r\nContent-Length: 4\r\n\r\nbody"));
  assert_null (strstr (request, "X-Private"));
  assert_null (strstr (request, "Transfer-Encoding"));
  assert_null (strstr (request, ": 99\r\n"));
  bufferevent_write (bev, "HTTP/1.1 204 Done\r\n\r\n", 21);
}

/* Guards against headers of the caller's connection that change how the
   server reads the request.  */
static void
test_request_is_framed_anew (void **state)
{
  (void)state;
  struct fixture f;
  struct outcome o = { .fixture = &f };
  struct bgap_headers headers = { 0 };
  _start (&f, &(struct bgap_backend_desc){ 0 }, 1);
  f.server.answer = _answer_post;
  bgap_headers_add (&headers, "Connection", "X-Private, Bgap-Token");
  bgap_headers_add (&headers, "Bgap-Token", "7");
  bgap_headers_add (&headers, "X-Private", "1");
  bgap_headers_add (&headers, "Transfer-Encoding", "chunked");
  bgap_headers_add (&headers, "content-length", "99");
  const struct bgap_backend_request request = {
    .method = "POST",
    .target = "/a%2Fb?c",
    .headers = &headers,
    .body = "body",
    .body_size = 4,
    .ops = &ops,
    .user = &o,
  };
  assert_int_equal (bgap_backend_send (f.backend, f.id, &request, &o.id),
                    BGAP_OK);
  support_run (f.base, &o.ended);
  assert_true (o.complete);
  bgap_headers_shutdown (&headers);
  _stop (&f);
}

static void
_answer_early (struct support_server *server, struct bufferevent *bev,
               const char *request)
{
  static const char answer[]
      = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  (void)server;
  (void)request;
  bufferevent_disable (bev, EV_READ);
  bufferevent_write (bev, answer, sizeof answer - 1);
}

/* Guards against a connection that is reused although a part of the last
   request's body is still to be sent: the server would take the next request
   for the rest of that body.  */
static void
test_early_answer_ends_the_connection (void **state)
{
  (void)state;
  struct fixture f;
  struct outcome o = { .fixture = &f };
  size_t size = STREAM_SIZE / 4;
  char *body = calloc (1, size);
  _start (&f, &(struct bgap_backend_desc){ 0 }, 1);
  f.server.answer = _answer_early;
  const struct bgap_backend_request request = {
    .method = "POST",
    .target = "/a",
    .body = body,
    .body_size = size,
    .ops = &ops,
    .user = &o,
  };
  assert_int_equal (bgap_backend_send (f.backend, f.id, &request, &o.id),
                    BGAP_OK);
  support_run (f.base, &o.ended);
  assert_true (o.complete);
  free (body);
  f.server.answer = _answer;
  assert_true (_run (&f, "/ok").complete);
  assert_int_equal (f.server.accepted, 2);
  _stop (&f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_connections_are_reused),
    cmocka_unit_test (test_refusals),
    cmocka_unit_test (test_broken_responses_fail),
    cmocka_unit_test (test_closed_port_is_not_sent),
    cmocka_unit_test (test_late_answer_is_dropped),
    cmocka_unit_test (test_unused_connection_is_checked),
    cmocka_unit_test (test_limit_of_connections),
    cmocka_unit_test (test_removed_server_fails_its_attempts),
    cmocka_unit_test (test_paused_response_is_not_read),
    cmocka_unit_test (test_paused_response_completes_after_resume),
    cmocka_unit_test (test_cancel_within_a_callback),
    cmocka_unit_test (test_request_is_framed_anew),
    cmocka_unit_test (test_early_answer_ends_the_connection),
  };
  return cmocka_run_group_tests_name ("backend", tests, NULL, NULL);
}
