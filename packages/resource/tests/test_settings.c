#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "banyangap/resource/settings.h"
#include "support.h"

static void
_parse (struct bgap_settings *settings, const char *path,
        struct bgap_findings *findings)
{
  struct bgap_buffer text = { 0 };
  support_read (path, &text);
  bgap_settings_parse (settings, text.data, text.size, "settings.yaml",
                       findings);
  bgap_buffer_shutdown (&text);
}

/* Guards against example settings that do not parse or validate.  */
static void
test_example_settings_are_accepted (void **state)
{
  (void)state;
  struct bgap_settings settings;
  struct bgap_findings findings = { 0 };
  _parse (&settings, "../../../examples/settings/entry-aamosen.yaml",
          &findings);
  _parse (&settings, "../../../examples/settings/entry-hoejmosen.yaml",
          &findings);
  _parse (&settings, "../../../examples/settings/entry-vildmosen.yaml",
          &findings);
  support_check_golden (&findings, "none");
  assert_string_equal (settings.name, "entry-vildmosen");
  assert_string_equal (settings.zone, "vildmosen");
  assert_string_equal (settings.log_address, "127.0.0.1:21200");
  assert_string_equal (settings.log_level, "info");
  assert_int_equal (settings.limits.readiness_wait_ms, 3000);
  assert_int_equal (strlen (settings.operator_token_sha256), 64);
}

/* Guards against invalid settings that are accepted.  */
static void
test_settings_findings_match_the_golden_report (void **state)
{
  (void)state;
  struct bgap_settings settings;
  struct bgap_findings findings = { 0 };
  _parse (&settings, "golden/settings.yaml", &findings);
  support_check_golden (&findings, "settings");
  bgap_findings_shutdown (&findings);
  assert_int_equal (bgap_settings_parse (&settings, "", 0, "x", &findings),
                    BGAP_ERR_INVALID);
  assert_int_equal (findings.count, 1);
  bgap_findings_shutdown (&findings);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_example_settings_are_accepted),
    cmocka_unit_test (test_settings_findings_match_the_golden_report),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
