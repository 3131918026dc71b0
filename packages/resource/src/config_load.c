#include <stdlib.h>
#include <string.h>

#include "config_state.h"
#include "report.h"

static const struct bgap_config_slices *
_bgap_config_find_slices (const struct bgap_config_slices *known,
                          uint32_t count, const char *service)
{
  for (uint32_t i = 0; i < count; i++)
    if (strcmp (known[i].service, service) == 0)
      return &known[i];
  return NULL;
}

static void
_bgap_config_check_owners (const struct bgap_resource_set *set,
                           const char *owner, const uint32_t *first,
                           struct bgap_findings *findings)
{
  for (int kind = 0; kind < BGAP_RESOURCE_KIND_COUNT; kind++)
    for (uint32_t i = first[kind]; i < bgap_array_count (set, kind); i++)
      {
        const void *item = bgap_array_item (set, kind, i);
        if (strcmp (bgap_array_owner (item), owner) == 0)
          continue;
        const struct bgap_report_target at = { .set = set,
                                               .findings = findings,
                                               .kind = kind,
                                               .index = i,
                                               .field = "owner" };
        bgap_report_add (&at, "publish each owner's resources separately",
                         "belongs to \"%s\", the change is of \"%s\"",
                         bgap_array_owner (item), owner);
      }
}

/* A change replaces all documents of its owner, so one without the owner
   resource would remove the owner.  */
static void
_bgap_config_check_declared (const struct bgap_resource_set *set,
                             const char *owner, struct bgap_findings *findings)
{
  if (bgap_resource_find_owner (set, owner) != NULL
      || !bgap_findings_empty (findings))
    return;
  const struct bgap_finding finding = {
    .file = "documents",
    .line = 1,
    .column = 1,
    .message = "the owner itself is not among the documents",
    .remedy = "add kind: owner; a change replaces all documents of its owner",
  };
  bgap_findings_add (findings, &finding);
}

static void
_bgap_config_fill_slices (struct bgap_resource_set *set, const char *owner,
                          const struct bgap_config_slices *known,
                          uint32_t count, struct bgap_findings *findings)
{
  for (uint32_t i = 0; i < set->service_count; i++)
    {
      struct bgap_resource_service *service = &set->services[i];
      const struct bgap_config_slices *slices
          = _bgap_config_find_slices (known, count, service->name);
      if (!service->keyed || slices == NULL
          || strcmp (service->owner, owner) != 0)
        continue;
      if (service->slices == 0)
        service->slices = slices->slices;
      if (service->slices == slices->slices)
        continue;
      const struct bgap_report_target at = { .set = set,
                                             .findings = findings,
                                             .kind = BGAP_RESOURCE_SERVICE,
                                             .index = i,
                                             .field = "slices" };
      bgap_report_add (&at,
                       "keep the number, or declare a service of another name",
                       "the service has had %u slices, and grants name slices "
                       "by number",
                       slices->slices);
    }
}

enum bgap_status
bgap_config_load (struct bgap_resource_set *set, const char *owner,
                  const char *documents,
                  const struct bgap_config_slices *known, uint32_t known_count,
                  struct bgap_findings *findings)
{
  uint32_t first[BGAP_RESOURCE_KIND_COUNT];
  for (int kind = 0; kind < BGAP_RESOURCE_KIND_COUNT; kind++)
    first[kind] = bgap_array_count (set, kind);
  enum bgap_status status = bgap_resource_parse (
      set, documents, strlen (documents), "documents", findings);
  if (status == BGAP_ERR_NO_MEMORY)
    return status;
  _bgap_config_check_owners (set, owner, first, findings);
  _bgap_config_check_declared (set, owner, findings);
  _bgap_config_fill_slices (set, owner, known, known_count, findings);
  return bgap_findings_empty (findings) ? BGAP_OK : BGAP_ERR_INVALID;
}

static int
_bgap_config_compare_slices (const void *a, const void *b)
{
  const struct bgap_config_slices *left = a;
  const struct bgap_config_slices *right = b;
  return strcmp (left->service, right->service);
}

enum bgap_status
bgap_config_merge_slices (const struct bgap_resource_set *set,
                          const char *owner,
                          const struct bgap_config_slices *known,
                          uint32_t known_count,
                          struct bgap_config_slices **out, uint32_t *out_count)
{
  struct bgap_config_slices *merged
      = calloc ((size_t)known_count + set->service_count + 1, sizeof *merged);
  if (merged == NULL)
    return BGAP_ERR_NO_MEMORY;
  uint32_t count = known_count;
  if (known_count > 0)
    memcpy (merged, known, known_count * sizeof *merged);
  for (uint32_t i = 0; i < set->service_count; i++)
    {
      const struct bgap_resource_service *service = &set->services[i];
      if (!service->keyed || strcmp (service->owner, owner) != 0
          || _bgap_config_find_slices (known, known_count, service->name)
                 != NULL)
        continue;
      memcpy (merged[count].service, service->name, sizeof service->name);
      merged[count++].slices = service->slices;
    }
  if (count > BGAP_CONFIG_SLICES_MAX)
    {
      free (merged);
      return BGAP_ERR_FULL;
    }
  qsort (merged, count, sizeof *merged, _bgap_config_compare_slices);
  *out = merged;
  *out_count = count;
  return BGAP_OK;
}
