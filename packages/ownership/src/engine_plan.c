#include "engine_private.h"

#include <stdlib.h>
#include <string.h>

/* Maximum number of items of one proposed record.  */
#define ITEMS_MAX 512

/* Minimum time between two plans while no entry of a service has been granted.
 */
#define INITIAL_PLAN_INTERVAL_MS 100

/**
 * struct plan - a view of one service and the moves that the placement policy
 * chose for it
 * @targets: target of each server of the view
 * @holdings: state of each entry of the view
 * @moves: moves that the placement policy chose
 * @ready: number of entries that may be granted
 */
struct plan
{
  struct bgap_placement_server servers[BGAP_ENGINE_SERVERS_MAX];
  const struct bgap_renew_target *targets[BGAP_ENGINE_SERVERS_MAX];
  struct bgap_placement_entry *entries;
  const struct bgap_holding **holdings;
  struct bgap_placement_move *moves;
  struct bgap_placement_view view;
  uint32_t move_count;
  uint32_t ready;
};

static const struct bgap_holding no_holding = { 0 };

static void
_bgap_plan_servers (const struct bgap_engine *engine, const char *service,
                    struct plan *plan)
{
  for (uint32_t i = 0; i < engine->target_count; i++)
    {
      const struct bgap_renew_target *target = &engine->targets[i];
      if (strcmp (target->service, service) != 0)
        continue;
      uint32_t index = plan->view.server_count++;
      plan->targets[index] = target;
      plan->servers[index] = (struct bgap_placement_server){
        .name = target->name,
        .zone = target->zone,
        .slots = target->slots,
        .usable = bgap_target_usable (engine, target),
        .draining = target->leaving || target->merged.draining,
        .in_flight = target->merged.in_flight,
        .queued = target->merged.queued,
        .load_age_ms = target->merged.last_reply_ms < 0
                           ? -1
                           : engine->now_ms - target->merged.last_reply_ms,
      };
    }
}

static uint32_t
_bgap_plan_find_server (const struct bgap_engine *engine,
                        const struct plan *plan,
                        const struct bgap_holding *holding)
{
  if (!holding->token && !holding->revoked)
    return BGAP_PLACEMENT_NO_SERVER;
  const char *name
      = bgap_replica_holder_name (engine->replica, holding->holder);
  for (uint32_t i = 0; i < plan->view.server_count; i++)
    if (strcmp (plan->servers[i].name, name) == 0)
      return i;
  return BGAP_PLACEMENT_NO_SERVER;
}

static void
_bgap_plan_entry (const struct bgap_engine *engine,
                  const struct bgap_service *service, struct plan *plan,
                  const struct bgap_holding *holding, uint32_t slice,
                  const struct bgap_key_entry *key)
{
  uint32_t index = plan->view.entry_count;
  bool held = bgap_holding_has_holder (holding);
  /* Adjacent entries usually have the same holder, which saves a search.  */
  uint32_t server
      = index > 0 && plan->holdings[index - 1]->holder == holding->holder
                && plan->holdings[index - 1]->token == holding->token
                && plan->holdings[index - 1]->revoked == holding->revoked
            ? (held ? plan->entries[index - 1].server
                    : plan->entries[index - 1].previous)
            : _bgap_plan_find_server (engine, plan, holding);
  bool ready = bgap_engine_grantable (engine, service, slice, holding);
  bool home = !bgap_service_foreign (service, slice);
  plan->holdings[index] = holding;
  plan->entries[index] = (struct bgap_placement_entry){
    .slice = slice,
    .key = { key ? key->bytes : NULL, key ? key->size : 0 },
    .server = held ? server : BGAP_PLACEMENT_NO_SERVER,
    .previous = held ? BGAP_PLACEMENT_NO_SERVER : server,
    .moving = (!held && !ready) || !home,
    .requests = bgap_service_rate (service, index),
  };
  plan->ready += ready;
  plan->view.entry_count++;
}

static void
_bgap_plan_entries (const struct bgap_engine *engine,
                    const struct bgap_service *service,
                    const struct bgap_scope *scope, struct plan *plan)
{
  bool granted = scope && scope->slice_count > 0;
  uint32_t slices = granted ? scope->slice_count : service->slices;
  for (uint32_t i = 0; i < slices; i++)
    _bgap_plan_entry (engine, service, plan,
                      granted ? &scope->slices[i] : &no_holding, i, NULL);
  for (uint32_t i = 0; granted && i < scope->key_count; i++)
    _bgap_plan_entry (engine, service, plan, &scope->keys[i].holding,
                      scope->keys[i].slice, &scope->keys[i]);
}

/* Appends entry @index to @items, or extends the last item if the entry is the
   slice after it.  */
static uint32_t
_bgap_plan_item (const struct plan *plan, uint32_t index, const char *holder,
                 uint64_t incarnation, struct bgap_record_item *items,
                 uint32_t count)
{
  const struct bgap_placement_entry *entry = &plan->entries[index];
  struct bgap_record_item *last = count > 0 ? &items[count - 1] : NULL;
  if (!entry->key.data && last && last->count > 0
      && last->first + last->count == entry->slice
      && last->incarnation == incarnation
      && strcmp (last->holder, holder) == 0)
    {
      last->count++;
      return count;
    }
  if (count == ITEMS_MAX)
    return count;
  struct bgap_record_item *item = &items[count];
  *item = (struct bgap_record_item){ .incarnation = incarnation };
  memcpy (item->holder, holder, strlen (holder) + 1);
  if (entry->key.data)
    {
      item->key = (unsigned char *)entry->key.data;
      item->key_size = entry->key.size;
    }
  else
    {
      item->first = entry->slice;
      item->count = 1;
    }
  return count + 1;
}

/* Writes the items of a grant of ready entries, or of a revoke of entries that
   move. Moves are ordered by entry, so that adjacent slices form ranges.  */
static uint32_t
_bgap_plan_items (const struct bgap_engine *engine, const struct plan *plan,
                  bool grant, struct bgap_record_item *items)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < plan->move_count; i++)
    {
      const struct bgap_placement_move *move = &plan->moves[i];
      if (move->entry >= plan->view.entry_count
          || move->server >= plan->view.server_count)
        continue;
      const struct bgap_placement_entry *entry = &plan->entries[move->entry];
      const struct bgap_renew_target *target = plan->targets[move->server];
      bool free_entry = !bgap_holding_has_holder (plan->holdings[move->entry]);
      if (free_entry != grant || entry->moving
          || !bgap_target_usable (engine, target)
          || (!grant && entry->server == move->server))
        continue;
      count = _bgap_plan_item (plan, move->entry, grant ? target->name : "",
                               grant ? target->merged.incarnation : 0, items,
                               count);
    }
  return count;
}

static int
_bgap_compare_moves (const void *a, const void *b)
{
  const struct bgap_placement_move *first = a;
  const struct bgap_placement_move *second = b;
  if (first->entry != second->entry)
    return first->entry < second->entry ? -1 : 1;
  return 0;
}

static bool
_bgap_plan_propose (struct bgap_engine *engine, struct bgap_service *service,
                    const struct bgap_scope *scope, const struct plan *plan,
                    bool grant)
{
  struct bgap_record_item *items = calloc (ITEMS_MAX, sizeof *items);
  if (items == NULL)
    return false;
  struct bgap_record record = {
    .type = grant ? BGAP_RECORD_GRANT : BGAP_RECORD_REVOKE,
    .based_on = scope ? scope->basis : 0,
    .config = service->config,
    .slices
    = scope && scope->slice_count ? scope->slice_count : service->slices,
    .items = items,
  };
  memcpy (record.scope, service->name, sizeof record.scope);
  record.item_count = _bgap_plan_items (engine, plan, grant, items);
  if (record.item_count > 0)
    bgap_engine_propose (engine, &service->proposal, &record);
  free (items);
  return record.item_count > 0;
}

/* Before the first grant, waits until all servers have replied or had time to
   reply: if only one server was known, it would get every slice.  */
static bool
_bgap_engine_servers_known (const struct bgap_engine *engine,
                            const struct bgap_service *service)
{
  if (engine->now_ms - service->configured_ms >= engine->desc.startup_delay_ms
      && engine->now_ms - engine->watch_start_ms
             >= engine->desc.startup_delay_ms)
    return true;
  for (uint32_t i = 0; i < engine->target_count; i++)
    if (strcmp (engine->targets[i].service, service->name) == 0
        && !engine->targets[i].leaving
        && !bgap_target_usable (engine, &engine->targets[i]))
      return false;
  return true;
}

bool
bgap_engine_grantable (const struct bgap_engine *engine,
                       const struct bgap_service *service, uint32_t slice,
                       const struct bgap_holding *holding)
{
  return bgap_engine_lease_ended (engine, holding)
         && !bgap_service_foreign (service, slice)
         && (!service->released_elsewhere
             || service->released_elsewhere (service->context, service->name,
                                             slice, service->config));
}

/* Whether no slice has or had a holder.  */
static bool
_bgap_scope_never_granted (const struct bgap_scope *scope)
{
  for (uint32_t i = 0; scope && i < scope->slice_count; i++)
    if (scope->slices[i].token || scope->slices[i].revoked)
      return false;
  return true;
}

/* Whether a plan is due: an entry may be granted, or the interval has passed.
 */
static bool
_bgap_engine_plan_due (const struct bgap_engine *engine,
                       const struct bgap_service *service,
                       const struct bgap_scope *scope)
{
  int64_t since = engine->now_ms - service->last_plan_ms;
  if (since < BGAP_MIN_INTERVAL_MS)
    return false;
  if (_bgap_scope_never_granted (scope))
    return since >= INITIAL_PLAN_INTERVAL_MS
           && _bgap_engine_servers_known (engine, service);
  if (since >= BGAP_PLAN_MS)
    return true;
  for (uint32_t i = 0; i < scope->slice_count; i++)
    if (bgap_engine_grantable (engine, service, i, &scope->slices[i]))
      return true;
  for (uint32_t i = 0; i < scope->key_count; i++)
    if (bgap_engine_grantable (engine, service, scope->keys[i].slice,
                               &scope->keys[i].holding))
      return true;
  return false;
}

static bool
_bgap_engine_plan_run (struct bgap_engine *engine,
                       struct bgap_service *service,
                       const struct bgap_scope *scope, struct plan *plan)
{
  const struct bgap_placement_ops *ops = engine->desc.placement;
  uint32_t capacity
      = (scope && scope->slice_count ? scope->slice_count : service->slices)
        + BGAP_KEYS_MAX;
  plan->entries = calloc (capacity, sizeof *plan->entries);
  plan->holdings = calloc (capacity, sizeof (const struct bgap_holding *));
  plan->moves = calloc (capacity, sizeof *plan->moves);
  if (!plan->entries || !plan->holdings || !plan->moves)
    return false;
  _bgap_plan_servers (engine, service->name, plan);
  _bgap_plan_entries (engine, service, scope, plan);
  plan->view.service = service->name;
  plan->view.now_ms = engine->now_ms;
  plan->view.servers = plan->servers;
  plan->view.entries = plan->entries;
  plan->move_count
      = ops->plan (ops->context, &plan->view, plan->moves, capacity);
  if (plan->move_count > capacity)
    plan->move_count = 0;
  qsort (plan->moves, plan->move_count, sizeof *plan->moves,
         _bgap_compare_moves);
  for (uint32_t i = 1; i < plan->move_count; i++)
    if (plan->moves[i].entry == plan->moves[i - 1].entry)
      plan->moves[i].server = BGAP_PLACEMENT_NO_SERVER;
  if (plan->ready > 0
      && _bgap_plan_propose (engine, service, scope, plan, true))
    return true;
  return scope && _bgap_plan_propose (engine, service, scope, plan, false);
}

bool
bgap_engine_plan (struct bgap_engine *engine, struct bgap_service *service,
                  const struct bgap_scope *scope)
{
  if (!_bgap_engine_plan_due (engine, service, scope))
    return false;
  struct plan *plan = calloc (1, sizeof *plan);
  if (plan == NULL)
    return false;
  service->last_plan_ms = engine->now_ms;
  bool proposed = _bgap_engine_plan_run (engine, service, scope, plan);
  free (plan->entries);
  free (plan->holdings);
  free (plan->moves);
  free (plan);
  return proposed;
}
