#include "banyangap/ownership/placement_ops.h"

#include <stdlib.h>

/* Most entries with a holder moved by one plan; the next plan moves the next
   ones.  */
#define MOVES_MAX 64

/**
 * struct share - entries of one server
 * @held: entries now, moves included
 */
struct share
{
  uint32_t held;
};

/* Server with the fewest entries per slot, or BGAP_PLACEMENT_NONE.  */
static uint32_t
_bgap_even_least (const struct bgap_placement_view *view,
                  const struct share *shares)
{
  uint32_t best = BGAP_PLACEMENT_NONE;
  for (uint32_t i = 0; i < view->server_count; i++)
    if (view->servers[i].usable
        && (best == BGAP_PLACEMENT_NONE
            || (uint64_t)shares[i].held * view->servers[best].slots
                   < (uint64_t)shares[best].held * view->servers[i].slots))
      best = i;
  return best;
}

/* Entries of a server that are more than its share, rounded up.  */
static bool
_bgap_even_above (const struct bgap_placement_view *view,
                  const struct share *shares, uint32_t server, uint32_t least)
{
  const struct bgap_placement_server *from = &view->servers[server];
  const struct bgap_placement_server *to = &view->servers[least];
  /* Moving one entry must leave the giver with at least as many per slot.  */
  return shares[server].held > 0
         && (uint64_t)(shares[server].held - 1) * to->slots
                > (uint64_t)shares[least].held * from->slots;
}

/* Gives the entries without a holder to the servers in runs, so that grants
   stay short: each server gets what it lacks to its share at once.  */
static uint32_t
_bgap_even_fill (const struct bgap_placement_view *view, struct share *shares,
                 struct bgap_placement_move *moves, uint32_t capacity)
{
  uint32_t *wanted = calloc ((size_t)view->server_count + 1, sizeof *wanted);
  uint32_t count = 0;
  uint32_t server = 0;
  if (wanted == NULL)
    return 0;
  for (uint32_t i = 0; i < view->entry_count; i++)
    {
      const struct bgap_placement_entry *entry = &view->entries[i];
      uint32_t least = _bgap_even_least (view, shares);
      if (entry->server != BGAP_PLACEMENT_NONE || entry->moving
          || least == BGAP_PLACEMENT_NONE)
        continue;
      shares[least].held++;
      wanted[least]++;
    }
  for (uint32_t i = 0; i < view->entry_count && count < capacity; i++)
    {
      const struct bgap_placement_entry *entry = &view->entries[i];
      if (entry->server != BGAP_PLACEMENT_NONE || entry->moving)
        continue;
      while (server < view->server_count && wanted[server] == 0)
        server++;
      if (server == view->server_count)
        break;
      wanted[server]--;
      moves[count++] = (struct bgap_placement_move){ i, server };
    }
  free (wanted);
  return count;
}

/* Moves entries from draining servers and from those above their share.  */
static uint32_t
_bgap_even_level (const struct bgap_placement_view *view, struct share *shares,
                  struct bgap_placement_move *moves, uint32_t capacity)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < view->entry_count; i++)
    {
      const struct bgap_placement_entry *entry = &view->entries[i];
      if (count == capacity || count == MOVES_MAX)
        break;
      uint32_t least = _bgap_even_least (view, shares);
      if (entry->server == BGAP_PLACEMENT_NONE || entry->moving
          || least == BGAP_PLACEMENT_NONE || least == entry->server)
        continue;
      if (!view->servers[entry->server].draining
          && !_bgap_even_above (view, shares, entry->server, least))
        continue;
      shares[entry->server].held--;
      shares[least].held++;
      moves[count++] = (struct bgap_placement_move){ i, least };
    }
  return count;
}

static uint32_t
_bgap_even_plan (void *context, const struct bgap_placement_view *view,
                 struct bgap_placement_move *moves, uint32_t capacity)
{
  (void)context;
  struct share *shares
      = calloc ((size_t)view->server_count + 1, sizeof *shares);
  if (shares == NULL)
    return 0;
  for (uint32_t i = 0; i < view->entry_count; i++)
    if (view->entries[i].server != BGAP_PLACEMENT_NONE)
      shares[view->entries[i].server].held++;
  uint32_t count = _bgap_even_fill (view, shares, moves, capacity);
  count += _bgap_even_level (view, shares, moves + count, capacity - count);
  free (shares);
  return count;
}

const struct bgap_placement_ops *
bgap_placement_even (void)
{
  static const struct bgap_placement_ops ops = { .plan = _bgap_even_plan };
  return &ops;
}
