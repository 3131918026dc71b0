#include "engine_private.h"

#include <string.h>

/* A split or merge that is not complete after this time is dropped.  */
#define REQUEST_TIMEOUT_MS 30000

static enum bgap_status
_bgap_engine_request (struct bgap_engine *engine, const char *service,
                      const void *key, size_t key_size, bool merge,
                      int64_t now_ms)
{
  bgap_engine_update_time (engine, now_ms);
  const struct bgap_scope *scope
      = bgap_replica_scope (engine->replica, service);
  if (scope == NULL)
    return BGAP_ERR_NOT_FOUND;
  if (key_size > BGAP_KEY_MAX)
    return BGAP_ERR_INVALID;
  struct bgap_key_request *request = NULL;
  for (uint32_t i = 0; i < engine->request_count && !request; i++)
    {
      struct bgap_key_request *known = &engine->requests[i];
      if (strcmp (known->service, service) == 0 && known->size == key_size
          && memcmp (known->key, key, key_size) == 0)
        request = known;
    }
  if (request == NULL && engine->request_count == BGAP_KEY_REQUESTS_MAX)
    return BGAP_ERR_FULL;
  if (request == NULL)
    request = &engine->requests[engine->request_count++];
  *request = (struct bgap_key_request){ .merge = merge,
                                        .size = (uint16_t)key_size,
                                        .expires_ms = engine->now_ms
                                                      + REQUEST_TIMEOUT_MS };
  memcpy (request->service, scope->name, sizeof request->service);
  memcpy (request->key, key, key_size);
  return BGAP_OK;
}

enum bgap_status
bgap_engine_request_split (struct bgap_engine *engine, const char *service,
                           const void *key, size_t key_size, int64_t now_ms)
{
  return _bgap_engine_request (engine, service, key, key_size, false, now_ms);
}

enum bgap_status
bgap_engine_request_merge (struct bgap_engine *engine, const char *service,
                           const void *key, size_t key_size, int64_t now_ms)
{
  return _bgap_engine_request (engine, service, key, key_size, true, now_ms);
}

/* Fills in the next record of a merge, which takes three steps: revoke the
   key, grant it to the holder of its slice, merge. False if it has to wait. */
static bool
_bgap_engine_merge_step (const struct bgap_engine *engine,
                         const struct bgap_scope *scope,
                         const struct bgap_key_entry *key,
                         struct bgap_record *record,
                         struct bgap_record_item *item)
{
  const struct bgap_holding *slice = &scope->slices[key->slice];
  if (!bgap_holding_has_holder (slice))
    return false;
  if (key->holding.holder == slice->holder
      && key->holding.incarnation == slice->incarnation
      && bgap_holding_has_holder (&key->holding))
    {
      record->type = BGAP_RECORD_MERGE;
      record->key = key->bytes;
      record->key_size = key->size;
      return true;
    }
  *item
      = (struct bgap_record_item){ .key = key->bytes, .key_size = key->size };
  record->items = item;
  record->item_count = 1;
  record->type = BGAP_RECORD_REVOKE;
  if (bgap_holding_has_holder (&key->holding))
    return true;
  const char *holder
      = bgap_replica_holder_name (engine->replica, slice->holder);
  record->type = BGAP_RECORD_GRANT;
  record->slices = scope->slice_count;
  item->incarnation = slice->incarnation;
  memcpy (item->holder, holder, strlen (holder) + 1);
  return bgap_engine_lease_ended (engine, &key->holding);
}

static void
_bgap_engine_drop_request (struct bgap_engine *engine, uint32_t index)
{
  engine->requests[index] = engine->requests[--engine->request_count];
}

bool
bgap_engine_tick_requests (struct bgap_engine *engine,
                           struct bgap_service *service,
                           const struct bgap_scope *scope)
{
  for (uint32_t i = 0; i < engine->request_count; i++)
    {
      struct bgap_key_request *request = &engine->requests[i];
      if (strcmp (request->service, service->name) != 0)
        continue;
      const struct bgap_key_entry *key
          = bgap_scope_find_key (scope, request->key, request->size);
      bool done = request->merge ? key == NULL : key != NULL;
      if (done || engine->now_ms >= request->expires_ms)
        {
          _bgap_engine_drop_request (engine, i--);
          continue;
        }
      struct bgap_record_item item;
      struct bgap_record record = { .type = BGAP_RECORD_SPLIT,
                                    .based_on = scope->basis,
                                    .config = service->config,
                                    .key = request->key,
                                    .key_size = request->size };
      memcpy (record.scope, scope->name, sizeof record.scope);
      if (request->merge
          && !_bgap_engine_merge_step (engine, scope, key, &record, &item))
        continue;
      bgap_engine_propose (engine, &service->proposal, &record);
      return true;
    }
  return false;
}
