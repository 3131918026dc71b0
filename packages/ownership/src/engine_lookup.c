#include "engine_private.h"

#include <string.h>

#include "banyangap/base/hash.h"
#include "replica_private.h"

enum bgap_status
bgap_engine_lookup (const struct bgap_engine *engine, const char *service,
                    const void *key, size_t key_size,
                    struct bgap_engine_route *route)
{
  const struct bgap_scope *scope
      = bgap_replica_scope (engine->replica, service);
  if (scope == NULL || scope->slice_count == 0)
    return BGAP_ERR_NOT_FOUND;
  uint64_t hash = bgap_hash64 (key, key_size);
  uint32_t slice = (uint32_t)(hash & (scope->slice_count - 1));
  uint32_t entry = slice;
  const struct bgap_holding *holding = &scope->slices[slice];
  if (scope->key_count > 0)
    {
      bool found;
      uint32_t position
          = bgap_scope_key_position (scope, key, key_size, hash, &found);
      if (found)
        {
          holding = &scope->keys[position].holding;
          entry = scope->slice_count + position;
        }
    }
  if (!bgap_holding_has_holder (holding))
    return BGAP_ERR_UNAVAILABLE;
  const char *name
      = bgap_replica_holder_name (engine->replica, holding->holder);
  *route = (struct bgap_engine_route){ .server = name,
                                       .incarnation = holding->incarnation,
                                       .slice = slice,
                                       .token = holding->token,
                                       .entry = entry };
  const char *instance = strchr (name, '@');
  if (instance == NULL)
    return BGAP_OK;
  /* The name of the holder is "<server>@<instance>"; the target has the name
     of the server alone.  */
  route->via = instance + 1;
  for (uint32_t i = 0; i < engine->target_count; i++)
    if (strcmp (engine->targets[i].name, name) == 0)
      {
        route->server = engine->targets[i].server;
        return BGAP_OK;
      }
  return BGAP_ERR_UNAVAILABLE;
}
