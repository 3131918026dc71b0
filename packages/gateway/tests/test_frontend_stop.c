#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "frontend_fixture.h"

/* Guards against a caller whose request is still arriving when the process
   ends, and that gets a closed connection instead of a refusal.  */
static void
test_incomplete_requests_are_refused (void **state)
{
  static const char *const parts[] = {
    "POST /o/s/a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab",
    "POST /o/s/a HTTP/1.1\r\nHost: h\r\n",
  };
  (void)state;
  for (size_t i = 0; i < 2; i++)
    {
      struct frontend_fixture f;
      struct support_client idle;
      frontend_fixture_start (&f, &(struct bgap_frontend_desc){ 0 });
      support_client_start (&idle, f.base, bgap_frontend_port (f.frontend));
      support_client_send (&f.client, parts[i]);
      support_run_ready (f.base);
      bgap_frontend_stop (f.frontend);
      bgap_frontend_refuse_incomplete (f.frontend);
      frontend_fixture_expect (&f, "HTTP/1.1 503 ");
      frontend_fixture_expect (&f, "Bgap-Outcome: not-run\r\n");
      support_run (f.base, &f.client.closed);
      assert_false (f.client.reset);
      assert_int_equal (f.requests, 0);
      support_run (f.base, &idle.closed);
      assert_int_equal (idle.total, 0);
      support_client_stop (&idle);
      frontend_fixture_stop (&f);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_incomplete_requests_are_refused),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
