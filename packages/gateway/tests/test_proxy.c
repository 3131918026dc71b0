#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <event2/buffer.h>
#include <string.h>

#include "banyangap/gateway/backend.h"
#include "banyangap/gateway/frontend.h"
#include "support.h"

/* Frontend and backend in one event loop, connected as in the daemon.  */

#define STREAM_SIZE ((uint64_t)64 * 1024 * 1024)

/* Rounds of the event loop without progress after which a stream counts as
   stopped, and the limit of rounds for it to stop.  */
#define STABLE_ROUNDS 100
#define ROUNDS_MAX 100000

struct fixture
{
  struct event_base *base;
  struct support_server server;
  struct bgap_frontend *frontend;
  struct bgap_backend *backend;
  struct bgap_backend_server_id id;
  struct support_client client;
  struct bgap_exchange_id exchange;
  struct bgap_backend_attempt_id attempt;
  uint32_t pauses;
  bool is_started;
  bool is_cancelled;
};

static struct
{
  struct bufferevent *bev;
  uint64_t remaining;
  bool is_closed;
} source;

static void
_on_source_written (struct bufferevent *bev, void *user)
{
  static const char piece[65536] = { 0 };
  (void)user;
  size_t size = source.remaining < sizeof piece ? (size_t)source.remaining
                                                : sizeof piece;
  bufferevent_write (bev, piece, size);
  source.remaining -= size;
}

static void
_on_source_event (struct bufferevent *bev, short events, void *user)
{
  (void)bev;
  (void)events;
  (void)user;
  source.is_closed = true;
}

static void
_respond (struct support_server *server, struct bufferevent *bev,
          const char *request)
{
  static const char head[]
      = "HTTP/1.1 200 OK\r\nContent-Length: 67108864\r\n\r\n";
  (void)server;
  (void)request;
  source.bev = bev;
  source.remaining = STREAM_SIZE;
  source.is_closed = false;
  bufferevent_write (bev, head, sizeof head - 1);
  bufferevent_setcb (bev, NULL, _on_source_written, _on_source_event, NULL);
}

static void
_on_head (void *user, struct bgap_backend_attempt_id id, int status,
          const struct bgap_headers *headers)
{
  struct fixture *f = user;
  (void)id;
  assert_int_equal (
      bgap_frontend_start (f->frontend, f->exchange, status, headers),
      BGAP_OK);
  f->is_started = true;
}

static void
_on_body (void *user, struct bgap_backend_attempt_id id, const void *bytes,
          size_t size)
{
  struct fixture *f = user;
  assert_int_equal (
      bgap_frontend_write (f->frontend, f->exchange, bytes, size), BGAP_OK);
  if (!bgap_frontend_is_full (f->frontend, f->exchange))
    return;
  f->pauses++;
  assert_int_equal (bgap_backend_pause (f->backend, id), BGAP_OK);
}

static void
_on_complete (void *user, struct bgap_backend_attempt_id id)
{
  struct fixture *f = user;
  (void)id;
  assert_int_equal (bgap_frontend_finish (f->frontend, f->exchange), BGAP_OK);
}

static void
_on_refused (void *user, struct bgap_backend_attempt_id id,
             enum bgap_refusal refusal)
{
  (void)user;
  (void)id;
  fail_msg ("refused: %s", bgap_refusal_name (refusal));
}

static void
_on_failed (void *user, struct bgap_backend_attempt_id id,
            const struct bgap_backend_failure *failure)
{
  struct fixture *f = user;
  (void)id;
  assert_true (failure->head_reported);
  assert_int_equal (bgap_frontend_abort (f->frontend, f->exchange), BGAP_OK);
}

static void
_on_request (void *context, struct bgap_exchange_id id,
             const struct bgap_frontend_request *request)
{
  static const struct bgap_backend_ops ops = {
    .head = _on_head,
    .body = _on_body,
    .complete = _on_complete,
    .refused = _on_refused,
    .failed = _on_failed,
  };
  struct fixture *f = context;
  f->exchange = id;
  assert_int_equal (bgap_backend_send (f->backend, f->id,
                                       &(struct bgap_backend_request){
                                           .method = request->method,
                                           .target = request->target,
                                           .headers = &request->headers,
                                           .body = request->body,
                                           .body_size = request->body_size,
                                           .ops = &ops,
                                           .user = f },
                                       &f->attempt),
                    BGAP_OK);
}

static void
_on_cancel (void *context, struct bgap_exchange_id id)
{
  struct fixture *f = context;
  (void)id;
  f->is_cancelled = true;
  assert_int_equal (bgap_backend_cancel (f->backend, f->attempt), BGAP_OK);
}

static void
_on_resume (void *context, struct bgap_exchange_id id)
{
  struct fixture *f = context;
  (void)id;
  assert_int_equal (bgap_backend_resume (f->backend, f->attempt), BGAP_OK);
}

static void
_start (struct fixture *f)
{
  *f = (struct fixture){ .base = event_base_new () };
  f->server.on_request = _respond;
  support_server_start (&f->server, f->base);
  const struct bgap_backend_desc backend = { .base = f->base };
  const struct bgap_frontend_desc frontend = {
    .base = f->base,
    .address = "127.0.0.1:0",
    .ops = { .request = _on_request,
             .cancel = _on_cancel,
             .resume = _on_resume,
             .context = f },
  };
  assert_int_equal (bgap_backend_setup (&f->backend, &backend, NULL), BGAP_OK);
  assert_int_equal (
      bgap_backend_add_server (f->backend, f->server.address, 1, &f->id, NULL),
      BGAP_OK);
  assert_int_equal (bgap_frontend_setup (&f->frontend, &frontend, NULL),
                    BGAP_OK);
  support_client_start (&f->client, f->base, bgap_frontend_port (f->frontend));
  f->client.keep = false;
  support_client_send (&f->client, "GET /o/s/k HTTP/1.1\r\nHost: h\r\n"
                                   "Connection: close\r\n\r\n");
}

static void
_stop (struct fixture *f)
{
  support_client_stop (&f->client);
  bgap_frontend_shutdown (f->frontend);
  bgap_backend_shutdown (f->backend);
  support_server_stop (&f->server);
  support_base_free (f->base);
}

/* Guards against a large response that is buffered between a fast server and a
   caller that does not read.  */
static void
test_backpressure_reaches_the_server (void **state)
{
  (void)state;
  struct fixture f;
  _start (&f);
  bufferevent_disable (f.client.bev, EV_READ);
  support_run (f.base, &f.is_started);
  /* The kernel transfers bytes between the socket buffers for a while.  */
  uint64_t sent = 0;
  for (int stable = 0, rounds = 0; stable < STABLE_ROUNDS; rounds++)
    {
      assert_true (rounds < ROUNDS_MAX);
      support_run_ready (f.base);
      stable = sent == STREAM_SIZE - source.remaining ? stable + 1 : 0;
      sent = STREAM_SIZE - source.remaining;
    }
  assert_true (f.pauses > 0);
  assert_true (sent < STREAM_SIZE / 4);
  bufferevent_enable (f.client.bev, EV_READ);
  support_run (f.base, &f.client.closed);
  assert_true (f.client.total > STREAM_SIZE);
  assert_true (f.client.total < STREAM_SIZE + 200);
  assert_false (f.client.reset);
  _stop (&f);
}

/* Guards against a server that continues to work for a caller that has
   disconnected.  */
static void
test_disconnect_cancels_the_attempt (void **state)
{
  (void)state;
  struct fixture f;
  _start (&f);
  support_run (f.base, &f.is_started);
  bufferevent_disable (f.client.bev, EV_READ);
  shutdown (bufferevent_getfd (f.client.bev), SHUT_RDWR);
  support_run (f.base, &f.is_cancelled);
  support_run (f.base, &source.is_closed);
  assert_int_equal (bgap_frontend_exchanges (f.frontend), 0);
  assert_int_equal (bgap_backend_free_connections (f.backend, f.id), 1);
  _stop (&f);
}

/* Guards against a response that the server cuts off and that looks complete
   to the caller.  */
static void
test_incomplete_response_resets_the_caller (void **state)
{
  (void)state;
  struct fixture f;
  _start (&f);
  support_run (f.base, &f.is_started);
  shutdown (bufferevent_getfd (source.bev), SHUT_RDWR);
  support_run (f.base, &f.client.closed);
  assert_true (f.client.reset);
  assert_true (f.client.total < STREAM_SIZE);
  _stop (&f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_backpressure_reaches_the_server),
    cmocka_unit_test (test_disconnect_cancels_the_attempt),
    cmocka_unit_test (test_incomplete_response_resets_the_caller),
  };
  return cmocka_run_group_tests_name ("proxy", tests, NULL, NULL);
}
