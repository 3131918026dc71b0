#include "placer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "banyangap/base/hash.h"
#include "banyangap/ownership/topk.h"

/* Frequent keys offered to the plan as candidates for a split.  */
#define CANDIDATES_MAX 64

/* Splits and merges that wait to be applied.  */
#define WISHES_MAX 128

/* Load assumed for every entry, in requests per second. Without it all entries
   of a service without load would go to one server.  */
#define BASE_LOAD 0.01

/* A planned split or merge of a key.  */
struct wish
{
  bool merge;
  size_t size;
  unsigned char key[BGAP_KEY_MAX];
};

/* Placement of one service.  */
struct place
{
  char name[BGAP_NAME_SIZE];
  struct bgap_placement placement;
  struct bgap_placement_weights weights;
  uint32_t moves_per_minute;
  struct bgap_topk topk;
  struct wish wishes[WISHES_MAX];
  uint32_t wish_count;
  UT_hash_handle hh;
};

struct bgap_placer
{
  struct bgap_placement_ops ops;
  struct place *places;
};

/* One call of the planner.  */
struct plan
{
  struct bgap_placement_input_entry *entries;
  uint32_t entry_count;
  struct bgap_placement_input_server servers[BGAP_ENGINE_SERVERS_MAX];
  const struct bgap_topk_item *candidates[CANDIDATES_MAX];
};

static struct place *
_bgap_placer_find (const struct bgap_placer *placer, const char *service)
{
  struct place *place;
  HASH_FIND_STR (placer->places, service, place);
  return place;
}

static void
_bgap_placer_servers (const struct bgap_placement_view *view,
                      struct plan *plan)
{
  for (uint32_t i = 0; i < view->server_count; i++)
    {
      const struct bgap_placement_server *server = &view->servers[i];
      plan->servers[i] = (struct bgap_placement_input_server){
        .slots = server->slots,
        .zone = (uint32_t)bgap_hash64 (server->zone, strlen (server->zone)),
        .live = server->usable || server->draining,
        .draining = server->draining,
      };
    }
}

static double
_bgap_placer_entries (const struct bgap_placement_view *view,
                      struct plan *plan)
{
  double total = 0;
  for (uint32_t i = 0; i < view->entry_count; i++)
    {
      const struct bgap_placement_entry *entry = &view->entries[i];
      uint32_t holder = entry->server != BGAP_PLACEMENT_NO_SERVER
                            ? entry->server
                            : BGAP_PLACEMENT_NO_HOLDER;
      plan->entries[plan->entry_count++] = (struct bgap_placement_input_entry){
        .kind
        = entry->key.data != NULL ? BGAP_PLACEMENT_KEY : BGAP_PLACEMENT_SLICE,
        .load = entry->requests + BASE_LOAD,
        .hash = entry->key.data != NULL
                    ? bgap_hash64 (entry->key.data, entry->key.size)
                    : 0,
        /* Slices come first, in order.  */
        .slice = entry->slice,
        .holder = holder,
        .moving = entry->moving,
      };
      total += entry->requests;
    }
  return total;
}

static bool
_bgap_placer_is_entry (const struct plan *plan, uint64_t hash)
{
  for (uint32_t i = 0; i < plan->entry_count; i++)
    if (plan->entries[i].kind == BGAP_PLACEMENT_KEY
        && plan->entries[i].hash == hash)
      return true;
  return false;
}

/* Frequent keys without an entry. Their load is estimated from their share of
   the sketch, since an instance sees only its part of the requests.  */
static void
_bgap_placer_candidates (struct place *place,
                         const struct bgap_placement_view *view, double total,
                         struct plan *plan)
{
  const struct bgap_topk_item *items;
  uint32_t count = bgap_topk_items (&place->topk, view->now_ms, &items);
  uint32_t slices = 0;
  uint32_t found = 0;
  while (slices < view->entry_count && view->entries[slices].key.data == NULL)
    slices++;
  if (place->topk.total == 0 || !bgap_slice_count_valid (slices))
    return;
  for (uint32_t i = 0; i < count && found < CANDIDATES_MAX; i++)
    {
      uint32_t slice
          = bgap_slice_of_key (items[i].key, items[i].key_size, slices);
      if (items[i].key_size > BGAP_TOPK_KEY_SIZE
          || _bgap_placer_is_entry (plan, items[i].hash))
        continue;
      plan->candidates[found++] = &items[i];
      plan->entries[plan->entry_count++] = (struct bgap_placement_input_entry){
        .kind = BGAP_PLACEMENT_UNSPLIT_KEY,
        .load = total * (double)(items[i].weight - items[i].error)
                / (double)place->topk.total,
        .hash = items[i].hash,
        .slice = slice,
        .holder = plan->entries[slice].holder,
      };
    }
}

static void
_bgap_placer_wish (struct place *place, bool merge, const void *key,
                   size_t size)
{
  if (place->wish_count == WISHES_MAX || size > BGAP_KEY_MAX)
    return;
  struct wish *wish = &place->wishes[place->wish_count++];
  wish->merge = merge;
  wish->size = size;
  memcpy (wish->key, key, size);
}

static uint32_t
_bgap_placer_take (struct place *place, const struct bgap_placement_view *view,
                   const struct plan *plan,
                   const struct bgap_placement_change *changes, uint32_t count,
                   struct bgap_placement_move *moves)
{
  uint32_t move_count = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      const struct bgap_placement_change *change = &changes[i];
      if (change->action == BGAP_PLACEMENT_MOVE)
        {
          moves[move_count++]
              = (struct bgap_placement_move){ .entry = change->entry,
                                              .server = change->server };
          continue;
        }
      if (change->action == BGAP_PLACEMENT_SPLIT)
        {
          const struct bgap_topk_item *item
              = plan->candidates[change->entry - view->entry_count];
          _bgap_placer_wish (place, false, item->key, item->key_size);
          continue;
        }
      const struct bgap_bytes *key = &view->entries[change->entry].key;
      _bgap_placer_wish (place, true, key->data, key->size);
    }
  return move_count;
}

static uint32_t
_bgap_placer_plan (void *context, const struct bgap_placement_view *view,
                   struct bgap_placement_move *moves, uint32_t capacity)
{
  const struct bgap_placer *placer = context;
  struct place *place = _bgap_placer_find (placer, view->service);
  if (place == NULL || view->server_count > BGAP_ENGINE_SERVERS_MAX)
    return bgap_placement_even ()->plan (NULL, view, moves, capacity);
  struct plan plan = { 0 };
  plan.entries
      = calloc (view->entry_count + CANDIDATES_MAX, sizeof *plan.entries);
  struct bgap_placement_change *changes = calloc (capacity, sizeof *changes);
  uint32_t count = 0;
  if (plan.entries != NULL && changes != NULL)
    {
      _bgap_placer_servers (view, &plan);
      double total = _bgap_placer_entries (view, &plan);
      _bgap_placer_candidates (place, view, total, &plan);
      const struct bgap_placement_input input = {
        .entries = plan.entries,
        .entry_count = plan.entry_count,
        .servers = plan.servers,
        .server_count = view->server_count,
        .now_ms = view->now_ms,
      };
      count
          = bgap_placement_plan (&place->placement, &input, changes, capacity);
      count = _bgap_placer_take (place, view, &plan, changes, count, moves);
    }
  free (plan.entries);
  free (changes);
  return count;
}

struct bgap_placer *
bgap_placer_new (void)
{
  struct bgap_placer *placer = calloc (1, sizeof *placer);
  if (placer == NULL)
    return NULL;
  placer->ops.plan = _bgap_placer_plan;
  placer->ops.context = placer;
  return placer;
}

void
bgap_placer_free (struct bgap_placer *placer)
{
  struct place *place;
  struct place *next;
  HASH_ITER (hh, placer->places, place, next)
  {
    HASH_DEL (placer->places, place);
    bgap_placement_shutdown (&place->placement);
    bgap_topk_shutdown (&place->topk);
    free (place);
  }
  free (placer);
}

const struct bgap_placement_ops *
bgap_placer_ops (const struct bgap_placer *placer)
{
  return &placer->ops;
}

static void
_bgap_placer_add (struct bgap_placer *placer, const char *service,
                  const struct bgap_placement_desc *desc)
{
  struct place *place = calloc (1, sizeof *place);
  if (place == NULL)
    return;
  snprintf (place->name, sizeof place->name, "%s", service);
  place->weights = desc->weights;
  place->moves_per_minute = desc->moves_per_minute;
  if (bgap_placement_setup (&place->placement, desc) != BGAP_OK
      || bgap_topk_setup (&place->topk, &(struct bgap_topk_desc){ 0 })
             != BGAP_OK)
    {
      bgap_placement_shutdown (&place->placement);
      free (place);
      return;
    }
  HASH_ADD_STR (placer->places, name, place);
}

void
bgap_placer_set_service (struct bgap_placer *placer, const char *service,
                         const struct bgap_placement_weights *weights,
                         uint32_t moves_per_minute)
{
  struct place *place = _bgap_placer_find (placer, service);
  if (place != NULL && place->weights.imbalance == weights->imbalance
      && place->weights.unavailable == weights->unavailable
      && place->weights.churn == weights->churn
      && place->moves_per_minute == moves_per_minute)
    return;
  if (place != NULL)
    {
      HASH_DEL (placer->places, place);
      bgap_placement_shutdown (&place->placement);
      bgap_topk_shutdown (&place->topk);
      free (place);
    }
  _bgap_placer_add (
      placer, service,
      &(struct bgap_placement_desc){ .weights = *weights,
                                     .moves_per_minute = moves_per_minute });
}

void
bgap_placer_count (struct bgap_placer *placer, const char *service,
                   int64_t now_ms, const void *key, size_t size)
{
  struct place *place = _bgap_placer_find (placer, service);
  if (place != NULL)
    bgap_topk_add (&place->topk, now_ms, bgap_hash64 (key, size), key, size,
                   1);
}

void
bgap_placer_apply (struct bgap_placer *placer, struct bgap_engine *engine,
                   int64_t now_ms)
{
  for (struct place *place = placer->places; place != NULL;
       place = place->hh.next)
    {
      for (uint32_t i = 0; i < place->wish_count; i++)
        {
          const struct wish *wish = &place->wishes[i];
          if (wish->merge)
            bgap_engine_request_merge (engine, place->name, wish->key,
                                       wish->size, now_ms);
          else
            bgap_engine_request_split (engine, place->name, wish->key,
                                       wish->size, now_ms);
        }
      place->wish_count = 0;
    }
}
