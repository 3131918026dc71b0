#include "support.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

void
support_read (const char *path, struct bgap_buffer *out)
{
  FILE *file = fopen (path, "rb");
  if (file == NULL)
    fail_msg ("cannot read %s", path);
  char bytes[4096];
  size_t size;
  while ((size = fread (bytes, 1, sizeof bytes, file)) > 0)
    assert_int_equal (bgap_buffer_append (out, bytes, size), BGAP_OK);
  fclose (file);
}

enum bgap_status
support_load (struct bgap_resource_set *set, const char *path,
              struct bgap_findings *findings)
{
  struct bgap_buffer text = { 0 };
  support_read (path, &text);
  const char *name = strrchr (path, '/') ? strrchr (path, '/') + 1 : path;
  bgap_resource_parse (set, text.data, text.size, name, findings);
  bgap_buffer_shutdown (&text);
  return bgap_resource_validate (set, findings);
}

void
support_check_golden (struct bgap_findings *findings, const char *name)
{
  char path[128];
  struct bgap_buffer expected = { 0 };
  struct bgap_buffer actual = { 0 };
  bgap_findings_sort (findings);
  assert_int_equal (bgap_findings_print (findings, &actual), BGAP_OK);
  snprintf (path, sizeof path, "golden/%s.txt", name);
  support_read (path, &expected);
  assert_string_equal (actual.data ? actual.data : "",
                       expected.data ? expected.data : "");
  bgap_buffer_shutdown (&expected);
  bgap_buffer_shutdown (&actual);
}

void
support_owner (struct bgap_buffer *out, const char *owner, unsigned servers,
               unsigned deadline_ms)
{
  bgap_buffer_printf (
      out,
      "kind: owner\nname: %s\nowner: %s\n---\n"
      "kind: zone\nname: z\nowner: %s\nregion: r\n---\n"
      "kind: ownership_policy\nname: p\nowner: %s\nwitnesses: zone\n---\n"
      "kind: service\nname: s\nowner: %s\nkeyed: true\nrepeat: never\n"
      "ownership_policy: p\ndeadline_ms: %u\n---\n"
      "kind: backend_servers\nname: s\nowner: %s\nservice: s\nservers:\n",
      owner, owner, owner, owner, owner, deadline_ms, owner);
  for (unsigned i = 0; i < servers; i++)
    bgap_buffer_printf (out,
                        "- {name: %s-%u, zone: z, address: '10.%u.0.%u:80', "
                        "slots: 4, connections: 110}\n",
                        owner, i, (unsigned char)owner[0], i + 1);
}

void
support_setup (struct bgap_config *config)
{
  const struct bgap_config_desc desc = { 0 };
  assert_int_equal (bgap_config_setup (config, &desc), BGAP_OK);
}

enum bgap_config_result
support_apply (struct bgap_config *config, int64_t offset,
               const struct bgap_buffer *record)
{
  struct bgap_config_event event = { 0 };
  assert_int_equal (
      bgap_config_apply (config, offset, record->data, record->size, &event),
      BGAP_OK);
  bgap_config_event_shutdown (&event);
  return event.result;
}

void
support_change (struct bgap_buffer *out, const char *owner, int64_t based_on,
                unsigned servers, unsigned deadline_ms)
{
  struct bgap_buffer documents = { 0 };
  support_owner (&documents, owner, servers, deadline_ms);
  out->size = 0;
  assert_int_equal (
      bgap_config_encode (owner, based_on, documents.data, "jens", out),
      BGAP_OK);
  bgap_buffer_shutdown (&documents);
}

enum bgap_config_result
support_apply_change (struct bgap_config *config, const char *owner,
                      int64_t based_on, unsigned servers, unsigned deadline_ms)
{
  struct bgap_buffer record = { 0 };
  support_change (&record, owner, based_on, servers, deadline_ms);
  const enum bgap_config_result result
      = support_apply (config, bgap_config_next (config), &record);
  bgap_buffer_shutdown (&record);
  return result;
}
