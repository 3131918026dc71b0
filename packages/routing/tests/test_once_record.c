#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "banyangap/routing/idempotency.h"

#define WALL_MS INT64_C (1700000000000)

/* Guards against a malformed record that changes the table, and against a
   record with a higher schema that is read as if it were supported.  */
static void
test_malformed_records (void **state)
{
  (void)state;
  static const char *const bad[] = {
    "",
    "[]",
    "{\"type\":\"once\",\"schema\":1}",
    "{\"type\":\"once\",\"schema\":1,\"instance\":\"a\",\"items\":[{}]}",
    "{\"type\":\"once\",\"schema\":1,\"instance\":\"a\",\"items\":[{"
    "\"outcome\""
    ":\"018bcfe5-6800-7000-8000-000000000001\",\"attempt\":"
    "\"00000000000000010000000000000001\",\"result\":\"answered\","
    "\"status\":200,\"type\":\"a\\r\\nb\"}]}",
  };
  struct bgap_idempotency a;
  const struct bgap_idempotency_desc desc
      = { .instance = "a", .incarnation = 1 };
  assert_int_equal (bgap_idempotency_setup (&a, &desc, NULL), BGAP_OK);
  bgap_idempotency_on_stream_end (&a, 1);
  uint64_t offset = 0;
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    assert_int_equal (bgap_idempotency_on_record (&a, 0, WALL_MS, ++offset,
                                                  bad[i], strlen (bad[i]),
                                                  NULL),
                      BGAP_ERR_PROTOCOL);
  assert_int_equal (bgap_idempotency_counts (&a).keys, 0);
  assert_true (bgap_idempotency_ready (&a));
  static const char newer[] = "{\"type\":\"once\",\"schema\":2}";
  assert_int_equal (bgap_idempotency_on_record (&a, 0, WALL_MS, ++offset,
                                                newer, strlen (newer), NULL),
                    BGAP_ERR_UNAVAILABLE);
  assert_false (bgap_idempotency_ready (&a));
  bgap_idempotency_shutdown (&a);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_malformed_records),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
