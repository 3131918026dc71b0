#include <string.h>

#include "config_state.h"
#include "text.h"

/* Cells compared per service; the ownership package refuses more zones.  */
#define CELLS_MAX 64

/* Cells of a keyed service: its zones, or their regions.  */
struct cells
{
  const char *names[CELLS_MAX];
  uint32_t count;
  enum bgap_resource_witnesses witnesses;
};

static void
_bgap_config_cells_add (struct cells *cells, const char *name)
{
  for (uint32_t i = 0; i < cells->count; i++)
    if (strcmp (cells->names[i], name) == 0)
      return;
  if (cells->count < CELLS_MAX)
    cells->names[cells->count++] = name;
}

static struct cells
_bgap_config_cells (const struct bgap_resource_set *set,
                    const struct bgap_resource_service *service)
{
  const struct bgap_resource_policy *policy = bgap_resource_find_policy (
      set, service->owner, service->ownership_policy);
  struct cells cells = { .witnesses = policy->witnesses };
  for (uint32_t i = 0; i < set->servers_count; i++)
    {
      const struct bgap_resource_servers *servers = &set->servers[i];
      if (strcmp (servers->owner, service->owner) != 0
          || strcmp (servers->service, service->name) != 0)
        continue;
      for (uint32_t j = 0; j < servers->server_count; j++)
        {
          const char *zone = servers->servers[j].zone;
          const struct bgap_resource_zone *resource
              = bgap_resource_find_zone (set, service->owner, zone);
          bool region = cells.witnesses == BGAP_RESOURCE_WITNESSES_REGION;
          _bgap_config_cells_add (&cells, region ? resource->region : zone);
        }
    }
  return cells;
}

static bool
_bgap_config_cells_equal (const struct cells *a, const struct cells *b)
{
  if (a->witnesses != b->witnesses || a->count != b->count)
    return false;
  struct cells merged = *a;
  for (uint32_t i = 0; i < b->count; i++)
    _bgap_config_cells_add (&merged, b->names[i]);
  return merged.count == a->count;
}

void
bgap_config_check_cells (const struct bgap_config *config,
                         const struct bgap_config_update *update,
                         struct bgap_config_event *event)
{
  for (uint32_t i = 0; i < update->set.service_count; i++)
    {
      const struct bgap_resource_service *after = &update->set.services[i];
      const struct bgap_resource_service *before = bgap_resource_find_service (
          &config->set, after->owner, after->name);
      if (strcmp (after->owner, event->owner) != 0 || !after->keyed
          || before == NULL || !before->keyed)
        continue;
      struct cells old_cells = _bgap_config_cells (&config->set, before);
      struct cells new_cells = _bgap_config_cells (&update->set, after);
      if (old_cells.count == 0
          || _bgap_config_cells_equal (&old_cells, &new_cells))
        continue;
      struct bgap_finding finding = { .file = "documents" };
      bgap_text_printf (finding.path, sizeof finding.path, "service/%s",
                        after->name);
      bgap_text_copy (finding.message, sizeof finding.message,
                      "the zones of a keyed service and its policy's "
                      "witnesses cannot change");
      bgap_text_copy (finding.remedy, sizeof finding.remedy,
                      "keep a server in each zone, or create a service under "
                      "a new name");
      bgap_findings_add (&event->findings, &finding);
    }
}
