#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <dirent.h>
#include <stdio.h>
#include <string.h>

#include "banyangap/resource/set.h"
#include "support.h"

static void
_load_folder (struct bgap_resource_set *set, const char *folder,
              struct bgap_findings *findings)
{
  DIR *dir = opendir (folder);
  assert_non_null (dir);
  const struct dirent *entry;
  while ((entry = readdir (dir)) != NULL)
    {
      char path[512];
      snprintf (path, sizeof path, "%s/%s", folder, entry->d_name);
      if (strstr (entry->d_name, ".yaml") == NULL)
        continue;
      struct bgap_buffer text = { 0 };
      support_read (path, &text);
      bgap_resource_parse (set, text.data, text.size, entry->d_name, findings);
      bgap_buffer_shutdown (&text);
    }
  closedir (dir);
}

static void
_check_service (const struct bgap_resource_set *set, const char *owner,
                const char *name, uint32_t servers, uint32_t slots,
                uint32_t slices)
{
  uint64_t sum;
  const struct bgap_resource_service *service
      = bgap_resource_find_service (set, owner, name);
  assert_non_null (service);
  assert_int_equal (bgap_resource_count_servers (set, owner, name, &sum),
                    servers);
  assert_int_equal (sum, (uint64_t)servers * slots);
  assert_int_equal (service->slices, slices);
  assert_int_equal (service->queue_limit, 4 * servers * slots);
}

/* Guards against example resources that do not load or differ in size from
   the deployments, and against owners that conflict with each other.  */
static void
test_examples_have_the_deployed_sizes (void **state)
{
  (void)state;
  struct bgap_resource_set set;
  struct bgap_findings findings = { 0 };
  const struct bgap_resource_set_desc desc = { 0 };
  assert_int_equal (bgap_resource_set_setup (&set, &desc), BGAP_OK);
  _load_folder (&set, "../../../examples/styrelsen", &findings);
  _load_folder (&set, "../../../examples/zafu", &findings);
  bgap_resource_validate (&set, &findings);
  support_check_golden (&findings, "none");
  bgap_resource_resolve (&set);
  _check_service (&set, "styrelsen", "vandstand", 8, 4, 0);
  _check_service (&set, "styrelsen", "groeftregister", 6, 4, 0);
  _check_service (&set, "styrelsen", "mosearkiv", 10, 4, 1024);
  _check_service (&set, "zafu", "listing", 15, 6, 1024);
  _check_service (&set, "zafu", "orderbook", 9, 6, 0);
  _check_service (&set, "zafu", "materials", 12, 6, 0);
  assert_int_equal (set.zone_count, 6);
  assert_int_equal (
      bgap_resource_find_service (&set, "zafu", "orderbook")->repeat,
      BGAP_RESOURCE_REPEAT_NEVER);
  bgap_resource_set_shutdown (&set);
}

/* Guards against findings that are lost, have a wrong position or no remedy,
   and against a report that ends at the first error.  */
static void
test_findings_match_the_golden_reports (void **state)
{
  (void)state;
  const char *const names[] = { "fields", "references", "syntax", "alias" };
  for (size_t i = 0; i < sizeof names / sizeof *names; i++)
    {
      char path[128];
      struct bgap_resource_set set;
      struct bgap_findings findings = { 0 };
      const struct bgap_resource_set_desc desc = { 0 };
      assert_int_equal (bgap_resource_set_setup (&set, &desc), BGAP_OK);
      snprintf (path, sizeof path, "golden/%s.yaml", names[i]);
      support_load (&set, path, &findings);
      support_check_golden (&findings, names[i]);
      bgap_findings_shutdown (&findings);
      bgap_resource_set_shutdown (&set);
    }
}

/* Guards against defaults, stated or derived from the servers, that differ
   from the reference page.  */
static void
test_defaults_follow_from_the_servers (void **state)
{
  (void)state;
  struct bgap_resource_set set;
  struct bgap_buffer text = { 0 };
  struct bgap_findings findings = { 0 };
  const struct bgap_resource_set_desc desc = { 0 };
  assert_int_equal (bgap_resource_set_setup (&set, &desc), BGAP_OK);
  support_owner (&text, "a", 5, 1500);
  assert_int_equal (
      bgap_resource_parse (&set, text.data, text.size, "a", &findings),
      BGAP_OK);
  assert_int_equal (bgap_resource_validate (&set, &findings), BGAP_OK);
  const struct bgap_resource_service *service = &set.services[0];
  assert_int_equal (service->slices, 0);
  bgap_resource_resolve (&set);
  assert_int_equal (service->slices, 512);
  assert_int_equal (service->queue_limit, 80);
  assert_int_equal (service->repeat_window_s, 3600);
  assert_int_equal (service->retry_budget_percent, 20);
  assert_int_equal (service->class, BGAP_RESOURCE_CLASS_NORMAL);
  assert_int_equal (service->deadline_ms, 1500);
  assert_int_equal (set.owners[0].entry_hosts_max, 12);
  assert_false (set.servers[0].servers[0].draining);
  assert_string_equal (set.servers[0].servers[4].address, "10.97.0.5:80");
  bgap_buffer_shutdown (&text);
  bgap_resource_set_shutdown (&set);
}

static uint32_t
_count_findings (const struct bgap_resource_set_desc *desc, const char *text)
{
  struct bgap_resource_set set;
  struct bgap_findings findings = { 0 };
  assert_int_equal (bgap_resource_set_setup (&set, desc), BGAP_OK);
  bgap_resource_parse (&set, text, strlen (text), "x", &findings);
  uint32_t count = findings.count + findings.dropped;
  bgap_findings_shutdown (&findings);
  bgap_resource_set_shutdown (&set);
  return count;
}

/* Guards against input that exceeds the limits, which bound the memory of the
   parser, without a finding.  */
static void
test_exceeded_limits_are_findings (void **state)
{
  (void)state;
  struct bgap_buffer text = { 0 };
  support_owner (&text, "a", 3, 100);
  const struct bgap_resource_set_desc none = { 0 };
  const struct bgap_resource_set_desc small_text = { .text_max = 20 };
  const struct bgap_resource_set_desc few_documents = { .documents_max = 4 };
  const struct bgap_resource_set_desc few_nodes = { .nodes_max = 30 };
  const struct bgap_resource_set_desc few_servers = { .servers_max = 2 };
  assert_int_equal (_count_findings (&none, text.data), 0);
  assert_int_equal (_count_findings (&small_text, text.data), 1);
  assert_int_equal (_count_findings (&few_documents, text.data), 1);
  assert_int_equal (_count_findings (&few_nodes, text.data), 1);
  assert_int_equal (_count_findings (&few_servers, text.data), 1);
  assert_int_equal (_count_findings (&none, "[[[[[[[[[1]]]]]]]]]"), 1);
  bgap_buffer_shutdown (&text);
}

/* Guards against a diff that omits a difference or reports an equal value.  */
static void
test_diff_reports_every_difference (void **state)
{
  (void)state;
  struct bgap_resource_set sets[2];
  const unsigned servers[] = { 2, 3 };
  struct bgap_findings findings = { 0 };
  for (unsigned i = 0; i < 2; i++)
    {
      struct bgap_buffer text = { 0 };
      const struct bgap_resource_set_desc desc = { 0 };
      assert_int_equal (bgap_resource_set_setup (&sets[i], &desc), BGAP_OK);
      support_owner (&text, "a", servers[i], 100 + i);
      if (i == 0)
        bgap_buffer_printf (&text, "---\nkind: zone\nname: y\nowner: a\n"
                                   "region: r\n");
      bgap_resource_parse (&sets[i], text.data, text.size, "a", &findings);
      bgap_buffer_shutdown (&text);
    }
  struct bgap_buffer out = { 0 };
  assert_int_equal (bgap_resource_diff (&sets[0], &sets[1], &out), BGAP_OK);
  assert_string_equal (out.data,
                       "- zone/y\n"
                       "~ service/s.deadline_ms: 100 -> 101\n"
                       "+ backend_servers/s.servers.a-2: 10.97.0.3:80 in z\n");
  out.size = 0;
  assert_int_equal (bgap_resource_diff (&sets[1], &sets[1], &out), BGAP_OK);
  assert_int_equal (out.size, 0);
  bgap_buffer_shutdown (&out);
  bgap_resource_set_shutdown (&sets[0]);
  bgap_resource_set_shutdown (&sets[1]);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_examples_have_the_deployed_sizes),
    cmocka_unit_test (test_findings_match_the_golden_reports),
    cmocka_unit_test (test_defaults_follow_from_the_servers),
    cmocka_unit_test (test_exceeded_limits_are_findings),
    cmocka_unit_test (test_diff_reports_every_difference),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
