#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <event2/buffer.h>
#include <string.h>

#include "backend_fixture.h"

/* Answers "/<n>" with the responses of case n.  */
static const char *const answers[] = {
  /* A response of an earlier request, then the right one.  */
  ("HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 5\r\n\r\nwrong"
   "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 5\r\n\r\nright"),
  /* An error that is to be asked for again.  */
  "HTTP/1.1 500 Oops\r\nId: own\r\nContent-Length: 3\r\n\r\nbad",
  /* Not acceptable.  */
  "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad",
  /* Refused.  */
  "HTTP/1.1 503 No\r\nId: own\r\nRefused: 1\r\nContent-Length: 3\r\n\r\nbad",
  /* Bytes after a complete response.  */
  "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 5\r\n\r\nrightHTTP/1.1 200",
};

static void
_answer (struct support_server *server, struct bufferevent *bev,
         const char *request)
{
  const char *path = strchr (request, '/');
  size_t index = (size_t)(path[1] - '0');
  (void)server;
  if (index < sizeof answers / sizeof *answers)
    bufferevent_write (bev, answers[index], strlen (answers[index]));
}

static enum bgap_head_class
_judge (void *user, int status, const struct bgap_headers *headers,
        enum bgap_refusal *refusal)
{
  const char *id = bgap_headers_find (headers, "Id");
  (void)user;
  if (id == NULL)
    return BGAP_HEAD_INVALID;
  if (strcmp (id, "own") != 0)
    return BGAP_HEAD_STALE;
  if (bgap_headers_find (headers, "Refused") != NULL)
    {
      *refusal = BGAP_REFUSAL_SHED;
      return BGAP_HEAD_REFUSAL;
    }
  return status >= 500 ? BGAP_HEAD_ERROR : BGAP_HEAD_RESPONSE;
}

static struct backend_outcome
run (struct backend_fixture *f, const char *path)
{
  struct bgap_backend_ops ops = backend_fixture_ops;
  struct backend_outcome o = { .fixture = f };
  ops.classify = _judge;
  assert_int_equal (
      bgap_backend_send (
          f->backend, f->id,
          &(struct bgap_backend_request){
              .method = "GET", .target = path, .ops = &ops, .user = &o },
          &o.id),
      BGAP_OK);
  while (!o.ended)
    event_base_loop (f->base, EVLOOP_ONCE);
  return o;
}

/* Guards against a late response of another request that is passed on, and
   against a request that is given up because of it.  */
static void
test_stray_response_is_skipped (void **state)
{
  (void)state;
  struct backend_fixture f;
  backend_fixture_start (&f, &(struct bgap_backend_desc){ 0 }, 1);
  f.server.answer = _answer;
  struct backend_outcome o = run (&f, "/0");
  assert_true (o.complete);
  assert_string_equal (o.text, "right");
  assert_int_equal (bgap_backend_free_connections (f.backend, f.id), 1);
  o = run (&f, "/0");
  assert_true (o.complete);
  backend_fixture_stop (&f);
}

/* Guards against verdicts that end an attempt in another way.  */
static void
test_verdicts (void **state)
{
  (void)state;
  struct backend_fixture f;
  backend_fixture_start (&f, &(struct bgap_backend_desc){ 0 }, 1);
  f.server.answer = _answer;
  struct backend_outcome o = run (&f, "/1");
  assert_true (o.failed);
  assert_int_equal (o.failure.kind, BGAP_FAILURE_ERROR);
  assert_int_equal (o.size, 0);
  o = run (&f, "/2");
  assert_true (o.failed);
  assert_int_equal (o.failure.kind, BGAP_FAILURE_PROTOCOL);
  assert_true (o.failure.sent);
  o = run (&f, "/3");
  assert_int_equal (o.refusal, BGAP_REFUSAL_SHED);
  o = run (&f, "/4");
  assert_true (o.complete);
  assert_string_equal (o.text, "right");
  assert_true (run (&f, "/0").complete);
  backend_fixture_stop (&f);
}

/* Guards against a response without a length that is refused although it is
   complete.  */
static void
test_unframed_response_ends_with_its_connection (void **state)
{
  (void)state;
  struct backend_fixture f;
  backend_fixture_start (
      &f, &(struct bgap_backend_desc){ .accept_close_delimited = true }, 1);
  struct backend_outcome o = backend_fixture_run (&f, "/until-close");
  assert_true (o.complete);
  assert_true (o.size > 0);
  assert_true (backend_fixture_run (&f, "/ok").complete);
  backend_fixture_stop (&f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_stray_response_is_skipped),
    cmocka_unit_test (test_verdicts),
    cmocka_unit_test (test_unframed_response_ends_with_its_connection),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
