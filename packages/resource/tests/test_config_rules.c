#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "banyangap/resource/config.h"
#include "support.h"

/* Guards against a number of slices that changes when servers are added, or
   the service is removed and added again: grants refer to slices by
   number.  */
static void
test_number_of_slices_is_kept (void **state)
{
  (void)state;
  struct bgap_config config;
  support_setup (&config);
  support_apply_change (&config, "a", 0, 4, 100);
  assert_int_equal (bgap_config_resources (&config)->services[0].slices, 256);
  assert_int_equal (support_apply_change (&config, "a", 1, 9, 100),
                    BGAP_CONFIG_ACCEPTED);
  assert_int_equal (bgap_config_resources (&config)->services[0].slices, 256);
  struct bgap_buffer record = { 0 };
  const char only_owner[] = "kind: owner\nname: a\nowner: a\n";
  bgap_config_encode ("a", 2, only_owner, "jens", &record);
  assert_int_equal (support_apply (&config, 3, &record), BGAP_CONFIG_ACCEPTED);
  assert_int_equal (bgap_config_resources (&config)->service_count, 0);
  struct bgap_buffer same = { 0 };
  struct bgap_buffer text = { 0 };
  support_owner (&same, "a", 4, 100);
  const char *policy = strstr (same.data, "ownership_policy: p\n");
  assert_non_null (policy);
  bgap_buffer_printf (&text, "%.*sslices: 512\n%s", (int)(policy - same.data),
                      same.data, policy);
  bgap_buffer_shutdown (&same);
  bgap_buffer_shutdown (&record);
  bgap_config_encode ("a", 3, text.data, "jens", &record);
  assert_int_equal (support_apply (&config, 4, &record), BGAP_CONFIG_REFUSED);
  assert_int_equal (support_apply_change (&config, "a", 3, 4, 100),
                    BGAP_CONFIG_ACCEPTED);
  assert_int_equal (bgap_config_resources (&config)->services[0].slices, 256);
  bgap_buffer_shutdown (&text);
  bgap_buffer_shutdown (&record);
  bgap_config_shutdown (&config);
}

/* Guards against accepting a change that exceeds the limits, or that makes
   the state too large for a snapshot.  */
static void
test_change_beyond_the_limits_is_refused (void **state)
{
  (void)state;
  const struct bgap_config_desc descs[] = {
    { .owners_max = 1 },
    { .documents_max = 600 },
    { .snapshot_max = 3000 },
  };
  for (size_t i = 0; i < sizeof descs / sizeof *descs; i++)
    {
      struct bgap_config config;
      struct bgap_config_event event = { 0 };
      struct bgap_buffer text = { 0 };
      assert_int_equal (bgap_config_setup (&config, &descs[i]), BGAP_OK);
      assert_int_equal (support_apply_change (&config, "a", 0, 1, 100),
                        BGAP_CONFIG_ACCEPTED);
      support_owner (&text, "b", 5, 100);
      assert_int_equal (bgap_config_check (&config, "b", 0, text.data, &event),
                        BGAP_OK);
      assert_int_equal (event.result, BGAP_CONFIG_REFUSED);
      assert_int_equal (event.findings.count, 1);
      bgap_config_event_shutdown (&event);
      bgap_buffer_shutdown (&text);
      bgap_config_shutdown (&config);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_number_of_slices_is_kept),
    cmocka_unit_test (test_change_beyond_the_limits_is_refused),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
