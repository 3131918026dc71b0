#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <sys/socket.h>
#include <unistd.h>

#include "backend_private.h"

#define LONG_MS 60000

/* Guards against a request on a connection that the server is about to close,
   and against a grant on a new one, as which it is counted, if the timer that
   ends its idle time is late: here the event loop does not run at all.  */
static void
test_idle_time_is_judged_by_the_clock (void **state)
{
  static const int64_t limits_ms[] = { 0, LONG_MS };
  struct bgap_backend *backend = NULL;
  struct bgap_backend_server_id id;
  struct event_base *base = event_base_new ();
  (void)state;
  assert_int_equal (
      bgap_backend_setup (&backend,
                          &(struct bgap_backend_desc){ .base = base }, NULL),
      BGAP_OK);
  assert_int_equal (
      bgap_backend_add_server (backend, "127.0.0.1:9", 2, &id, NULL), BGAP_OK);
  struct backend_server *server = bgap_pool_get (&backend->servers, id.id);
  for (size_t i = 0; i < 2; i++)
    {
      int ends[2];
      assert_int_equal (socketpair (AF_UNIX, SOCK_STREAM, 0, ends), 0);
      struct backend_connection *c
          = bgap_backend_connection_new (backend, server);
      assert_non_null (c);
      assert_int_equal (bufferevent_setfd (c->bev, ends[0]), 0);
      c->attempt = BGAP_INVALID_ID;
      c->idle_limit_ms = limits_ms[i];
      bgap_backend_connection_set_idle (c);
      assert_int_equal (bgap_backend_idle_connections (backend, id),
                        limits_ms[i] > 0);
      bool is_taken = bgap_backend_connection_take_idle (server, 0) == c;
      assert_int_equal (is_taken, limits_ms[i] > 0);
      assert_int_equal (server->idle_count, 0);
      close (ends[1]);
    }
  bgap_backend_shutdown (backend);
  event_base_free (base);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_idle_time_is_judged_by_the_clock),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
