#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "banyangap/resource/config.h"

static const char documents[]
    = "{kind: owner, name: o, owner: o, entry_hosts_max: 2}\n---\n"
      "{kind: zone, name: a, owner: o, region: r}\n---\n"
      "{kind: zone, name: b, owner: o, region: r}\n---\n"
      "{kind: ownership_policy, name: p, owner: o, witnesses: %s}\n---\n"
      "{kind: service, name: s, owner: o, keyed: true, repeat: idempotent, "
      "ownership_policy: p}\n"
      "---\n"
      "{kind: backend_servers, name: s, owner: o, service: s, servers: ["
      "{name: s1, zone: a, address: '127.0.0.1:1', slots: 1, connections: 9},"
      "{name: s2, zone: %s, address: '127.0.0.1:2', slots: 1, "
      "connections: 9}]}\n";

static enum bgap_config_result
_evaluate (struct bgap_config *config, const char *witnesses, const char *zone,
           bool apply)
{
  char text[2048];
  struct bgap_config_event event = { 0 };
  struct bgap_buffer record = { 0 };
  int64_t version = bgap_config_version (config, "o");
  snprintf (text, sizeof text, documents, witnesses, zone);
  if (apply)
    {
      assert_int_equal (
          bgap_config_encode ("o", version, text, "test", &record), BGAP_OK);
      assert_int_equal (bgap_config_apply (config, bgap_config_next (config),
                                           record.data, record.size, &event),
                        BGAP_OK);
    }
  else
    assert_int_equal (bgap_config_check (config, "o", version, text, &event),
                      BGAP_OK);
  struct bgap_buffer report = { 0 };
  bgap_findings_print (&event.findings, &report);
  print_message ("%s", report.data != NULL ? report.data : "");
  bgap_buffer_shutdown (&report);
  enum bgap_config_result result = event.result;
  bgap_buffer_shutdown (&record);
  bgap_config_event_shutdown (&event);
  return result;
}

/* Guards against a slice with two home cells: the home cell is derived from
   the cells of the service, and instances can have different versions of the
   configuration for a while.  */
static void
test_change_of_cells_is_refused (void **state)
{
  (void)state;
  struct bgap_config config;
  const struct bgap_config_desc desc = { 0 };
  assert_int_equal (bgap_config_setup (&config, &desc), BGAP_OK);
  assert_int_equal (_evaluate (&config, "zone", "b", true),
                    BGAP_CONFIG_ACCEPTED);
  assert_int_equal (_evaluate (&config, "zone", "b", false),
                    BGAP_CONFIG_ACCEPTED);
  assert_int_equal (_evaluate (&config, "zone", "a", false),
                    BGAP_CONFIG_REFUSED);
  assert_int_equal (_evaluate (&config, "region", "b", false),
                    BGAP_CONFIG_REFUSED);
  bgap_config_shutdown (&config);
}

/* Guards against refusing a change of zones that leaves the cells as they
   are.  */
static void
test_change_of_zones_within_a_region_is_accepted (void **state)
{
  (void)state;
  struct bgap_config config;
  const struct bgap_config_desc desc = { 0 };
  assert_int_equal (bgap_config_setup (&config, &desc), BGAP_OK);
  assert_int_equal (_evaluate (&config, "region", "b", true),
                    BGAP_CONFIG_ACCEPTED);
  assert_int_equal (_evaluate (&config, "region", "a", false),
                    BGAP_CONFIG_ACCEPTED);
  bgap_config_shutdown (&config);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_change_of_cells_is_refused),
    cmocka_unit_test (test_change_of_zones_within_a_region_is_accepted),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
