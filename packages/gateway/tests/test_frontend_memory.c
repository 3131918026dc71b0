#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <event2/buffer.h>
#include <sys/socket.h>

#include "frontend_private.h"
#include "support.h"

#define CALLERS 100
#define UNSENT_SIZE_MAX ((size_t)1 << 20)
#define BUFFER_LOW 16384
#define PIECE_SIZE 8192
#define RECEIVE_BUFFER 4096

struct fixture
{
  struct event_base *base;
  struct bgap_frontend *frontend;
  struct support_client callers[CALLERS];
  uint32_t requests;
  size_t max_unsent;
};

static size_t
_unsent (const struct fixture *f)
{
  const struct frontend_connection *c;
  size_t size = 0;
  LIST_FOREACH (c, &f->frontend->connections, next)
  size += evbuffer_get_length (bufferevent_get_output (c->bev));
  return size;
}

/* Writes until the caller's buffer is full.  */
static void
_on_resume (void *context, struct bgap_exchange_id id)
{
  static const char piece[PIECE_SIZE];
  struct fixture *f = context;
  while (!bgap_frontend_is_full (f->frontend, id))
    assert_int_equal (
        bgap_frontend_write (f->frontend, id, piece, sizeof piece), BGAP_OK);
  size_t unsent = _unsent (f);
  if (unsent > f->max_unsent)
    f->max_unsent = unsent;
}

static void
_on_request (void *context, struct bgap_exchange_id id,
             const struct bgap_frontend_request *request)
{
  struct fixture *f = context;
  (void)request;
  f->requests++;
  assert_int_equal (bgap_frontend_start (f->frontend, id, 200, NULL), BGAP_OK);
  _on_resume (context, id);
}

static void
_on_cancel (void *context, struct bgap_exchange_id id)
{
  (void)context;
  (void)id;
}

static void
_start_caller (struct fixture *f, struct support_client *caller)
{
  const int size = RECEIVE_BUFFER;
  support_client_start (caller, f->base, bgap_frontend_port (f->frontend));
  setsockopt (bufferevent_getfd (caller->bev), SOL_SOCKET, SO_RCVBUF, &size,
              sizeof size);
  bufferevent_disable (caller->bev, EV_READ);
  support_client_send (caller, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
}

/* Guards against many callers that do not read endless answers, for which the
   buffers of all together exceed the memory of a small machine.  */
static void
test_many_slow_callers (void **state)
{
  struct fixture f = { .base = event_base_new () };
  const struct bgap_frontend_desc desc = {
    .base = f.base,
    .address = "127.0.0.1:0",
    .any_path = true,
    .buffer_low = BUFFER_LOW,
    .unsent_size_max = UNSENT_SIZE_MAX,
    .ops = { .request = _on_request,
             .cancel = _on_cancel,
             .resume = _on_resume,
             .context = &f },
  };
  (void)state;
  assert_int_equal (bgap_frontend_setup (&f.frontend, &desc, NULL), BGAP_OK);
  for (int i = 0; i < CALLERS; i++)
    _start_caller (&f, &f.callers[i]);
  while (f.requests < CALLERS)
    event_base_loop (f.base, EVLOOP_ONCE);
  support_run_ready (f.base);
  assert_int_equal (f.frontend->unsent_size, _unsent (&f));
  /* Each connection may still buffer a little, so that all go on.  */
  size_t rest = CALLERS * (size_t)(BUFFER_LOW + 2 * PIECE_SIZE);
  if (f.max_unsent > UNSENT_SIZE_MAX + rest)
    fail_msg ("%zu bytes", f.max_unsent);
  for (int i = 0; i < CALLERS; i++)
    support_client_stop (&f.callers[i]);
  while (f.frontend->connection_count > 0)
    event_base_loop (f.base, EVLOOP_ONCE);
  assert_int_equal (f.frontend->unsent_size, 0);
  bgap_frontend_shutdown (f.frontend);
  support_base_free (f.base);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_many_slow_callers),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
