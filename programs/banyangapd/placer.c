#include "placer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "banyangap/base/hash.h"
#include "banyangap/ownership/topk.h"

/* Largest number of frequent keys that a plan may split off.  */
#define SPLIT_KEYS_MAX 64

/* Largest number of splits and merges that wait for bgap_placer_apply().  */
#define PENDING_MAX 128

/* Load in requests per second that is added to the load of every entry.
   Without it all entries of a service without load would go to one server.  */
#define BASE_LOAD 0.01

/* A planned split or merge of a key.  */
struct key_change
{
  bool merge;
  size_t size;
  unsigned char key[BGAP_KEY_MAX];
};

/* Placement of one service.  */
struct service_state
{
  char name[BGAP_NAME_SIZE];
  struct bgap_placement placement;
  struct bgap_placement_weights weights;
  uint32_t moves_per_minute;
  struct bgap_topk topk;
  struct key_change pending[PENDING_MAX];
  uint32_t pending_count;
  UT_hash_handle hh;
};

struct bgap_placer
{
  struct bgap_placement_ops ops;
  struct service_state *services;
};

/* Input of one call of bgap_placement_plan().  */
struct plan_input
{
  struct bgap_placement_input_entry *entries;
  uint32_t entry_count;
  struct bgap_placement_input_server servers[BGAP_ENGINE_SERVERS_MAX];
  const struct bgap_topk_item *split_keys[SPLIT_KEYS_MAX];
};

static struct service_state *
_bgap_placer_find (const struct bgap_placer *placer, const char *service)
{
  struct service_state *state;
  HASH_FIND_STR (placer->services, service, state);
  return state;
}

static void
_bgap_placer_add_servers (const struct bgap_placement_view *view,
                          struct plan_input *plan)
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
_bgap_placer_add_entries (const struct bgap_placement_view *view,
                          struct plan_input *plan)
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
        /* The slices come before the keys, in order.  */
        .slice = entry->slice,
        .holder = holder,
        .moving = entry->moving,
      };
      total += entry->requests;
    }
  return total;
}

static bool
_bgap_placer_is_entry (const struct plan_input *plan, uint64_t hash)
{
  for (uint32_t i = 0; i < plan->entry_count; i++)
    if (plan->entries[i].kind == BGAP_PLACEMENT_KEY
        && plan->entries[i].hash == hash)
      return true;
  return false;
}

/* Adds the frequent keys without an entry. Their load is estimated from their
   share of the sketch, since an instance sees only a part of the requests.  */
static void
_bgap_placer_add_split_keys (struct service_state *state,
                             const struct bgap_placement_view *view,
                             double total, struct plan_input *plan)
{
  const struct bgap_topk_item *items;
  uint32_t count = bgap_topk_items (&state->topk, view->now_ms, &items);
  uint32_t slices = 0;
  uint32_t found = 0;
  while (slices < view->entry_count && view->entries[slices].key.data == NULL)
    slices++;
  if (state->topk.total == 0 || !bgap_slice_count_valid (slices))
    return;
  for (uint32_t i = 0; i < count && found < SPLIT_KEYS_MAX; i++)
    {
      uint32_t slice
          = bgap_slice_of_key (items[i].key, items[i].key_size, slices);
      if (items[i].key_size > BGAP_TOPK_KEY_SIZE
          || _bgap_placer_is_entry (plan, items[i].hash))
        continue;
      plan->split_keys[found++] = &items[i];
      plan->entries[plan->entry_count++] = (struct bgap_placement_input_entry){
        .kind = BGAP_PLACEMENT_UNSPLIT_KEY,
        .load = total * (double)(items[i].weight - items[i].error)
                / (double)state->topk.total,
        .hash = items[i].hash,
        .slice = slice,
        .holder = plan->entries[slice].holder,
      };
    }
}

static void
_bgap_placer_queue_change (struct service_state *state, bool merge,
                           const void *key, size_t size)
{
  if (state->pending_count == PENDING_MAX || size > BGAP_KEY_MAX)
    return;
  struct key_change *change = &state->pending[state->pending_count++];
  change->merge = merge;
  change->size = size;
  memcpy (change->key, key, size);
}

static uint32_t
_bgap_placer_collect_moves (struct service_state *state,
                            const struct bgap_placement_view *view,
                            const struct plan_input *plan,
                            const struct bgap_placement_change *changes,
                            uint32_t count, struct bgap_placement_move *moves)
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
              = plan->split_keys[change->entry - view->entry_count];
          _bgap_placer_queue_change (state, false, item->key, item->key_size);
          continue;
        }
      const struct bgap_bytes *key = &view->entries[change->entry].key;
      _bgap_placer_queue_change (state, true, key->data, key->size);
    }
  return move_count;
}

static uint32_t
_bgap_placer_plan (void *context, const struct bgap_placement_view *view,
                   struct bgap_placement_move *moves, uint32_t capacity)
{
  const struct bgap_placer *placer = context;
  struct service_state *state = _bgap_placer_find (placer, view->service);
  if (state == NULL || view->server_count > BGAP_ENGINE_SERVERS_MAX)
    return bgap_placement_even ()->plan (NULL, view, moves, capacity);
  struct plan_input plan = { 0 };
  plan.entries
      = calloc (view->entry_count + SPLIT_KEYS_MAX, sizeof *plan.entries);
  struct bgap_placement_change *changes = calloc (capacity, sizeof *changes);
  uint32_t count = 0;
  if (plan.entries != NULL && changes != NULL)
    {
      _bgap_placer_add_servers (view, &plan);
      double total = _bgap_placer_add_entries (view, &plan);
      _bgap_placer_add_split_keys (state, view, total, &plan);
      const struct bgap_placement_input input = {
        .entries = plan.entries,
        .entry_count = plan.entry_count,
        .servers = plan.servers,
        .server_count = view->server_count,
        .now_ms = view->now_ms,
      };
      count
          = bgap_placement_plan (&state->placement, &input, changes, capacity);
      count = _bgap_placer_collect_moves (state, view, &plan, changes, count,
                                          moves);
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
  struct service_state *state;
  struct service_state *next;
  HASH_ITER (hh, placer->services, state, next)
  {
    HASH_DEL (placer->services, state);
    bgap_placement_shutdown (&state->placement);
    bgap_topk_shutdown (&state->topk);
    free (state);
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
  struct service_state *state = calloc (1, sizeof *state);
  if (state == NULL)
    return;
  snprintf (state->name, sizeof state->name, "%s", service);
  state->weights = desc->weights;
  state->moves_per_minute = desc->moves_per_minute;
  if (bgap_placement_setup (&state->placement, desc) != BGAP_OK
      || bgap_topk_setup (&state->topk, &(struct bgap_topk_desc){ 0 })
             != BGAP_OK)
    {
      bgap_placement_shutdown (&state->placement);
      free (state);
      return;
    }
  HASH_ADD_STR (placer->services, name, state);
}

void
bgap_placer_set_service (struct bgap_placer *placer, const char *service,
                         const struct bgap_placement_weights *weights,
                         uint32_t moves_per_minute)
{
  struct service_state *state = _bgap_placer_find (placer, service);
  if (state != NULL && state->weights.imbalance == weights->imbalance
      && state->weights.unavailable == weights->unavailable
      && state->weights.churn == weights->churn
      && state->moves_per_minute == moves_per_minute)
    return;
  if (state != NULL)
    {
      HASH_DEL (placer->services, state);
      bgap_placement_shutdown (&state->placement);
      bgap_topk_shutdown (&state->topk);
      free (state);
    }
  _bgap_placer_add (
      placer, service,
      &(struct bgap_placement_desc){ .weights = *weights,
                                     .moves_per_minute = moves_per_minute });
}

void
bgap_placer_count_request (struct bgap_placer *placer, const char *service,
                           int64_t now_ms, const void *key, size_t size)
{
  struct service_state *state = _bgap_placer_find (placer, service);
  if (state != NULL)
    bgap_topk_add (&state->topk, now_ms, bgap_hash64 (key, size), key, size,
                   1);
}

void
bgap_placer_apply (struct bgap_placer *placer, struct bgap_engine *engine,
                   int64_t now_ms)
{
  for (struct service_state *state = placer->services; state != NULL;
       state = state->hh.next)
    {
      for (uint32_t i = 0; i < state->pending_count; i++)
        {
          const struct key_change *change = &state->pending[i];
          if (change->merge)
            bgap_engine_request_merge (engine, state->name, change->key,
                                       change->size, now_ms);
          else
            bgap_engine_request_split (engine, state->name, change->key,
                                       change->size, now_ms);
        }
      state->pending_count = 0;
    }
}
