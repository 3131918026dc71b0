#include "engine_private.h"

#include <stdlib.h>
#include <string.h>

/* Maximum number of items of one proposed record; keeps the record well below
   BGAP_RECORD_MAX.  */
#define ITEMS_MAX 512

bool
bgap_engine_may_propose (struct bgap_engine *engine,
                         struct bgap_proposal *proposal, uint64_t basis)
{
  if (proposal->pending && proposal->basis == basis
      && engine->now_ms < proposal->expires_ms)
    return false;
  if (proposal->pending && proposal->basis == basis)
    engine->log_reader.log_down = true;
  proposal->pending = false;
  return true;
}

void
bgap_engine_propose (struct bgap_engine *engine,
                     struct bgap_proposal *proposal,
                     const struct bgap_record *record)
{
  struct bgap_buffer text = { 0 };
  if (bgap_record_print (record, &text) == BGAP_OK)
    *proposal = (struct bgap_proposal){
      .pending = true,
      .id = bgap_engine_push_append (engine, &text),
      .basis = record->based_on,
      .expires_ms = engine->now_ms + BGAP_PROPOSAL_MS,
    };
  bgap_buffer_shutdown (&text);
}

static void
_bgap_proposal_failed (struct bgap_engine *engine,
                       struct bgap_proposal *proposal, uint64_t id)
{
  if (proposal->pending && proposal->id == id)
    proposal->expires_ms = engine->now_ms + BGAP_PROPOSAL_RETRY_MS;
}

void
bgap_engine_on_append_done (struct bgap_engine *engine, uint64_t id,
                            enum bgap_status status, int64_t now_ms)
{
  bgap_engine_update_time (engine, now_ms);
  if (status == BGAP_OK)
    return;
  engine->log_reader.log_down = true;
  _bgap_proposal_failed (engine, &engine->witness_proposal, id);
  for (uint32_t i = 0; i < engine->service_count; i++)
    _bgap_proposal_failed (engine, &engine->services[i].proposal, id);
}

const struct bgap_renew_target *
bgap_engine_holder_target (const struct bgap_engine *engine,
                           const struct bgap_holding *holding)
{
  const char *name
      = bgap_replica_holder_name (engine->replica, holding->holder);
  for (uint32_t i = 0; i < engine->target_count; i++)
    if (strcmp (engine->targets[i].name, name) == 0)
      return &engine->targets[i];
  return NULL;
}

bool
bgap_engine_lease_ended (const struct bgap_engine *engine,
                         const struct bgap_holding *holding)
{
  if (bgap_holding_has_holder (holding))
    return false;
  if (holding->revoked == 0)
    return true;
  const struct bgap_renew_target *target
      = bgap_engine_holder_target (engine, holding);
  if (target && target->merged.incarnation == holding->incarnation
      && target->merged.acked >= holding->revoked)
    return true;
  int64_t start_ms = bgap_engine_wait_start (engine, holding->revoked);
  int64_t wait_ms = BGAP_LEASE_WAIT_MS;
  /* "@" marks an instance that holds the lease of an unfenced server. Such a
     server may still run requests that were sent before the lease ended.  */
  if (strchr (bgap_replica_holder_name (engine->replica, holding->holder),
              '@'))
    wait_ms += engine->desc.deadline_max_ms;
  return start_ms >= 0 && engine->now_ms - start_ms >= wait_ms;
}

/* Whether the service has a server to which entries can be granted.  */
static bool
_bgap_engine_has_usable_server (const struct bgap_engine *engine,
                                const char *service)
{
  for (uint32_t i = 0; i < engine->target_count; i++)
    if (strcmp (engine->targets[i].service, service) == 0
        && bgap_target_usable (engine, &engine->targets[i]))
      return true;
  return false;
}

/* Whether the entry must be revoked regardless of the placement policy: its
   holder is unknown or lost, or is another process than the one it was granted
   to.  */
static bool
_bgap_engine_must_revoke (const struct bgap_engine *engine,
                          const struct bgap_holding *holding)
{
  if (!bgap_holding_has_holder (holding))
    return false;
  const struct bgap_renew_target *target
      = bgap_engine_holder_target (engine, holding);
  if (target == NULL || bgap_target_lost (engine, target))
    return true;
  return target->merged.last_reply_ms >= 0
         && target->merged.incarnation != holding->incarnation;
}

/* Whether slice @slice is assigned to another cell.  */
bool
bgap_service_foreign (const struct bgap_service *service, uint32_t slice)
{
  return service->home && slice < service->slices && !service->home[slice];
}

/* Collects the entries to revoke. A holder is checked once per run of slices
   that it holds.  */
static uint32_t
_bgap_engine_collect_revokes (const struct bgap_engine *engine,
                              const struct bgap_service *service,
                              const struct bgap_scope *scope,
                              struct bgap_record_item *items)
{
  uint32_t count = 0;
  uint32_t checked = UINT32_MAX;
  bool revoke = false;
  for (uint32_t i = 0; i < scope->slice_count && count < ITEMS_MAX; i++)
    {
      const struct bgap_holding *slice = &scope->slices[i];
      if (!bgap_holding_has_holder (slice))
        continue;
      if (checked == UINT32_MAX
          || scope->slices[checked].holder != slice->holder
          || scope->slices[checked].incarnation != slice->incarnation)
        {
          checked = i;
          revoke = _bgap_engine_must_revoke (engine, slice);
        }
      if (!revoke && !bgap_service_foreign (service, i))
        continue;
      if (count > 0 && items[count - 1].first + items[count - 1].count == i)
        items[count - 1].count++;
      else
        items[count++] = (struct bgap_record_item){ .first = i, .count = 1 };
    }
  for (uint32_t i = 0; i < scope->key_count && count < ITEMS_MAX; i++)
    {
      const struct bgap_key_entry *key = &scope->keys[i];
      if (bgap_holding_has_holder (&key->holding)
          && (_bgap_engine_must_revoke (engine, &key->holding)
              || bgap_service_foreign (service, key->slice)))
        items[count++] = (struct bgap_record_item){ .key = key->bytes,
                                                    .key_size = key->size };
    }
  return count;
}

static bool
_bgap_engine_propose_revokes (struct bgap_engine *engine,
                              struct bgap_service *service,
                              const struct bgap_scope *scope)
{
  struct bgap_record_item *items = calloc (ITEMS_MAX, sizeof *items);
  if (items == NULL)
    return true;
  struct bgap_record record = { .type = BGAP_RECORD_REVOKE,
                                .based_on = scope->basis,
                                .config = service->config,
                                .items = items };
  memcpy (record.scope, scope->name, sizeof record.scope);
  record.item_count
      = _bgap_engine_collect_revokes (engine, service, scope, items);
  if (record.item_count > 0)
    bgap_engine_propose (engine, &service->proposal, &record);
  free (items);
  return record.item_count > 0;
}

static void
_bgap_engine_propose_service (struct bgap_engine *engine,
                              struct bgap_service *service)
{
  const struct bgap_scope *scope
      = bgap_replica_scope (engine->replica, service->name);
  if (!bgap_engine_may_propose (engine, &service->proposal,
                                scope ? scope->basis : 0)
      || (scope && service->config < scope->config))
    return;
  /* Slices of other cells are released and revoked even if this cell has no
     usable server.  */
  if (bgap_engine_tick_release (engine, service, scope))
    return;
  bool usable = _bgap_engine_has_usable_server (engine, service->name);
  if (scope && (usable || service->home)
      && _bgap_engine_propose_revokes (engine, service, scope))
    return;
  if (!usable)
    return;
  if (scope && bgap_engine_tick_requests (engine, service, scope))
    return;
  bgap_engine_plan (engine, service, scope);
}

void
bgap_engine_tick_propose (struct bgap_engine *engine)
{
  if (!bgap_engine_is_proposer (engine))
    return;
  bgap_engine_tick_witness_set (engine);
  if (!bgap_engine_witnesses_live (engine))
    return;
  for (uint32_t i = 0; i < engine->service_count; i++)
    _bgap_engine_propose_service (engine, &engine->services[i]);
  bgap_engine_tick_snapshot (engine);
}
