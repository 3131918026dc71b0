#include "engine_private.h"

#include <stdlib.h>
#include <string.h>

/*
 * Handover of slices between cells. The configuration and the logs of the
 * cells are not ordered relative to each other, so a proposer of the old cell
 * with an older configuration could grant a slice that the new cell has
 * granted. A release record in the old cell's log contains the configuration
 * version; after it, grants of older versions have no effect in that cell. It
 * is written when the leases of the released entries have ended, which only
 * the old cell's witnesses can confirm. The new cell grants the slices after
 * it has read the record.
 */

/* Maximum number of items of one proposed record.  */
#define ITEMS_MAX 512

static bool
_bgap_engine_releasable (const struct bgap_engine *engine,
                         const struct bgap_service *service, uint32_t slice,
                         const struct bgap_holding *holding)
{
  return bgap_service_foreign (service, slice) && holding->revoked
         && bgap_engine_lease_ended (engine, holding);
}

static uint32_t
_bgap_engine_collect_releases (const struct bgap_engine *engine,
                               const struct bgap_service *service,
                               const struct bgap_scope *scope,
                               struct bgap_record_item *items)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < scope->slice_count && count < ITEMS_MAX; i++)
    {
      if (!_bgap_engine_releasable (engine, service, i, &scope->slices[i]))
        continue;
      if (count > 0 && items[count - 1].first + items[count - 1].count == i)
        items[count - 1].count++;
      else
        items[count++] = (struct bgap_record_item){ .first = i, .count = 1 };
    }
  for (uint32_t i = 0; i < scope->key_count && count < ITEMS_MAX; i++)
    {
      const struct bgap_key_entry *key = &scope->keys[i];
      if (_bgap_engine_releasable (engine, service, key->slice, &key->holding))
        items[count++] = (struct bgap_record_item){ .key = key->bytes,
                                                    .key_size = key->size };
    }
  return count;
}

bool
bgap_engine_tick_release (struct bgap_engine *engine,
                          struct bgap_service *service,
                          const struct bgap_scope *scope)
{
  if (service->config == 0)
    return false;
  struct bgap_record_item *items = calloc (ITEMS_MAX, sizeof *items);
  if (items == NULL)
    return true;
  struct bgap_record record
      = { .type = BGAP_RECORD_RELEASE,
          .based_on = scope ? scope->basis : 0,
          .config = service->config,
          .slices = scope ? scope->slice_count : service->slices,
          .items = items };
  memcpy (record.scope, service->name, sizeof record.scope);
  if (scope)
    record.item_count
        = _bgap_engine_collect_releases (engine, service, scope, items);
  bool due = record.item_count > 0 || scope == NULL
             || scope->config < service->config;
  if (due)
    bgap_engine_propose (engine, &service->proposal, &record);
  free (items);
  return due;
}

static bool
_bgap_holding_empty (const struct bgap_holding *holding)
{
  return holding->token == 0 && holding->revoked == 0;
}

bool
bgap_engine_slice_released (const struct bgap_engine *engine,
                            const char *service, uint32_t slice,
                            uint64_t config)
{
  const struct bgap_scope *scope
      = bgap_replica_scope (engine->replica, service);
  if (scope == NULL || scope->config < config || slice >= scope->slice_count
      || !_bgap_holding_empty (&scope->slices[slice]))
    return false;
  for (uint32_t i = 0; i < scope->key_count; i++)
    if (scope->keys[i].slice == slice
        && !_bgap_holding_empty (&scope->keys[i].holding))
      return false;
  return true;
}
