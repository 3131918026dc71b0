/*
 * Passes arbitrary bytes to the parsers of resources and settings.
 *
 * Checks that a text without findings yields a usable set: references resolve,
 * derived defaults are filled in, and the diff of the set with itself is
 * empty. Every finding must have a position, a message and a remedy.
 */

#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/resource/set.h"
#include "banyangap/resource/settings.h"

#define CHECK(condition)                                                      \
  do                                                                          \
    if (!(condition))                                                         \
      {                                                                       \
        fprintf (stderr, "failed: %s\n", #condition);                         \
        abort ();                                                             \
      }                                                                       \
  while (0)

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
_check_findings (const struct bgap_findings *findings)
{
  for (uint32_t i = 0; i < findings->count; i++)
    {
      CHECK (findings->items[i].message[0] != '\0');
      CHECK (findings->items[i].remedy[0] != '\0');
      CHECK (findings->items[i].line > 0 && findings->items[i].column > 0);
    }
  json_t *array = bgap_findings_to_json (findings);
  CHECK (array != NULL && json_array_size (array) == findings->count);
  struct bgap_findings copy = { 0 };
  bgap_findings_from_json (&copy, array);
  CHECK (copy.count == findings->count);
  CHECK (copy.count == 0
         || memcmp (copy.items[0].message, findings->items[0].message,
                    strlen (copy.items[0].message))
                == 0);
  bgap_findings_shutdown (&copy);
  json_decref (array);
}

static void
_check_set (struct bgap_resource_set *set)
{
  bgap_resource_free_positions (set);
  bgap_resource_resolve (set);
  for (uint32_t i = 0; i < set->service_count; i++)
    {
      const struct bgap_resource_service *service = &set->services[i];
      CHECK (bgap_resource_find_owner (set, service->owner) != NULL);
      CHECK (service->queue_limit > 0 && service->deadline_ms > 0);
      CHECK (service->keyed == (service->slices > 0));
      CHECK ((service->slices & (service->slices - 1)) == 0);
      CHECK (!service->keyed
             || bgap_resource_find_policy (set, service->owner,
                                           service->ownership_policy)
                    != NULL);
    }
  for (uint32_t i = 0; i < set->servers_count; i++)
    {
      const struct bgap_resource_servers *list = &set->servers[i];
      CHECK (bgap_resource_find_service (set, list->owner, list->service)
             != NULL);
      for (uint32_t j = 0; j < list->server_count; j++)
        CHECK (
            bgap_resource_find_zone (set, list->owner, list->servers[j].zone)
                != NULL
            && list->servers[j].slots > 0);
    }
  struct bgap_buffer diff = { 0 };
  CHECK (bgap_resource_diff (set, set, &diff) == BGAP_OK && diff.size == 0);
  bgap_buffer_shutdown (&diff);
}

static void
_fuzz_resources (const char *text, size_t size)
{
  const struct bgap_resource_set_desc desc = { .nodes_max = 4096 };
  struct bgap_resource_set set;
  struct bgap_findings findings = { 0 };
  CHECK (bgap_resource_set_setup (&set, &desc) == BGAP_OK);
  enum bgap_status parsed
      = bgap_resource_parse (&set, text, size, "fuzz", &findings);
  CHECK ((parsed == BGAP_OK) == bgap_findings_empty (&findings));
  enum bgap_status valid = bgap_resource_validate (&set, &findings);
  if (parsed == BGAP_OK)
    CHECK ((valid == BGAP_OK) == bgap_findings_empty (&findings));
  bgap_findings_sort (&findings);
  _check_findings (&findings);
  if (bgap_findings_empty (&findings))
    _check_set (&set);
  bgap_findings_shutdown (&findings);
  bgap_resource_set_shutdown (&set);
}

static void
_fuzz_settings (const char *text, size_t size)
{
  struct bgap_settings settings;
  struct bgap_findings findings = { 0 };
  enum bgap_status status
      = bgap_settings_parse (&settings, text, size, "fuzz", &findings);
  CHECK ((status == BGAP_OK) == bgap_findings_empty (&findings));
  _check_findings (&findings);
  if (status == BGAP_OK)
    CHECK (settings.name[0] != '\0' && settings.log_level != NULL
           && settings.operators_address[0] != '\0');
  bgap_findings_shutdown (&findings);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  _fuzz_resources ((const char *)data, size);
  _fuzz_settings ((const char *)data, size);
  return 0;
}
