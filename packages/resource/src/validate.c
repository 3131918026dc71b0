#include "validate.h"

#include <string.h>

#include "report.h"

bool
bgap_validate_is_incomplete (const struct bgap_resource_set *set)
{
  return set->positions != NULL && set->positions->incomplete;
}

/* Checks that every resource belongs to a declared owner and that its name is
   unique.  */
static void
_bgap_validate_names (const struct bgap_resource_set *set,
                      struct bgap_findings *findings, int kind)
{
  for (uint32_t i = 0; i < bgap_array_count (set, kind); i++)
    {
      const void *item = bgap_array_item (set, kind, i);
      const char *owner = bgap_array_owner (item);
      const char *name = bgap_array_name (item);
      struct bgap_report_target at = { .set = set,
                                       .findings = findings,
                                       .kind = kind,
                                       .index = i,
                                       .field = "owner" };
      if (kind == BGAP_RESOURCE_OWNER && strcmp (owner, name) != 0)
        bgap_report_add (&at, "write the owner's own name",
                         "owner \"%s\" differs from name \"%s\"", owner, name);
      else if (kind != BGAP_RESOURCE_OWNER
               && bgap_resource_find_owner (set, owner) == NULL
               && !bgap_validate_is_incomplete (set))
        bgap_report_add (&at, "declare it with kind: owner, or correct it",
                         "owner \"%s\" is not declared", owner);
      at.field = "name";
      if (bgap_array_find (set, kind, owner, name, i) >= 0)
        bgap_report_add (&at, "rename or remove one of them",
                         "%s \"%s\" is declared twice",
                         bgap_schema_kinds[kind]->name, name);
    }
}

/* Owners may declare the same zone, but must agree on its region.  */
static void
_bgap_validate_zones (const struct bgap_resource_set *set,
                      struct bgap_findings *findings)
{
  for (uint32_t i = 0; i < set->zone_count; i++)
    for (uint32_t j = 0; j < i; j++)
      {
        const struct bgap_resource_zone *zone = &set->zones[i];
        const struct bgap_resource_zone *other = &set->zones[j];
        if (strcmp (zone->name, other->name) != 0
            || strcmp (zone->owner, other->owner) == 0
            || strcmp (zone->region, other->region) == 0)
          continue;
        const struct bgap_report_target at = { .set = set,
                                               .findings = findings,
                                               .kind = BGAP_RESOURCE_ZONE,
                                               .index = i,
                                               .field = "region" };
        bgap_report_add (&at, "write the same region",
                         "owner \"%s\" places zone \"%s\" in region \"%s\"",
                         other->owner, zone->name, other->region);
        break;
      }
}

static void
_bgap_validate_policies (const struct bgap_resource_set *set,
                         struct bgap_findings *findings)
{
  for (uint32_t i = 0; i < set->policy_count; i++)
    {
      const struct bgap_resource_weights *weights = &set->policies[i].weights;
      if (weights->imbalance + weights->unavailable + weights->churn > 0)
        continue;
      const struct bgap_report_target at = { .set = set,
                                             .findings = findings,
                                             .kind = BGAP_RESOURCE_POLICY,
                                             .index = i,
                                             .field = "weights" };
      bgap_report_add (&at, "give at least one weight above 0",
                       "all weights are 0");
    }
}

static void
_bgap_validate_policy_reference (const struct bgap_resource_set *set,
                                 const struct bgap_resource_service *service,
                                 struct bgap_report_target *at)
{
  const char *policy = service->ownership_policy;
  at->field = "ownership_policy";
  if (policy[0] == '\0')
    bgap_report_add (at, "name an ownership_policy of the same owner",
                     "a keyed service needs an ownership policy");
  else if (bgap_resource_find_policy (set, service->owner, policy) == NULL
           && !bgap_validate_is_incomplete (set))
    bgap_report_add (at, "declare it with kind: ownership_policy",
                     "ownership policy \"%s\" is not declared", policy);
}

static void
_bgap_validate_slices (const struct bgap_resource_set *set,
                       const struct bgap_resource_service *service,
                       struct bgap_report_target *at)
{
  const uint32_t servers
      = bgap_resource_count_servers (set, service->owner, service->name, NULL);
  at->field = "slices";
  if (service->slices == 0 && servers == 0)
    bgap_report_add (at, "add backend_servers, or set slices",
                     "no servers from which to derive the number of slices");
  else if (service->slices > 0 && service->slices < servers)
    bgap_report_add (at, "use about 64 slices per server",
                     "%u slices for %u servers leave servers without work",
                     service->slices, servers);
  else if ((uint64_t)servers > BGAP_RESOURCE_SLICES_MAX)
    bgap_report_add (at, "divide the service", "more than %u servers",
                     BGAP_RESOURCE_SLICES_MAX);
}

static void
_bgap_validate_service (const struct bgap_resource_set *set,
                        struct bgap_findings *findings, uint32_t index)
{
  const struct bgap_resource_service *service = &set->services[index];
  struct bgap_report_target at = { .set = set,
                                   .findings = findings,
                                   .kind = BGAP_RESOURCE_SERVICE,
                                   .index = index };
  if (service->keyed)
    {
      _bgap_validate_policy_reference (set, service, &at);
      if (!bgap_validate_is_incomplete (set))
        _bgap_validate_slices (set, service, &at);
    }
  else
    {
      at.field = "slices";
      if (service->slices > 0)
        bgap_report_add (&at, "remove it, or set keyed: true",
                         "a service without keys has no slices");
      at.field = "ownership_policy";
      if (service->ownership_policy[0] != '\0')
        bgap_report_add (&at, "remove it, or set keyed: true",
                         "a service without keys has no owners of keys");
    }
  at.field = "repeat_window_s";
  if (service->repeat != BGAP_RESOURCE_REPEAT_NEVER
      && service->repeat_window_s > 0)
    bgap_report_add (&at, "remove it, or set repeat: never",
                     "idempotent requests have no window for repeats");
}

enum bgap_status
bgap_resource_validate (const struct bgap_resource_set *set,
                        struct bgap_findings *findings)
{
  const uint64_t before = (uint64_t)findings->count + findings->dropped;
  for (int kind = 0; kind < BGAP_RESOURCE_KIND_COUNT; kind++)
    _bgap_validate_names (set, findings, kind);
  _bgap_validate_zones (set, findings);
  _bgap_validate_policies (set, findings);
  for (uint32_t i = 0; i < set->service_count; i++)
    _bgap_validate_service (set, findings, i);
  if (bgap_validate_servers (set, findings) != BGAP_OK)
    return BGAP_ERR_NO_MEMORY;
  const uint64_t after = (uint64_t)findings->count + findings->dropped;
  return after == before ? BGAP_OK : BGAP_ERR_INVALID;
}
