#include "banyangap/ownership/placement_ops.h"

#include <stdlib.h>

/* Maximum number of entries with a holder that one plan moves; the next plans
   move the rest.  */
#define REBALANCE_MOVES_MAX 64

/**
 * struct server_share - number of entries of one server
 * @held: number of entries, including the planned moves
 */
struct server_share
{
  uint32_t held;
};

/* Usable server with the fewest entries per slot, or
   BGAP_PLACEMENT_NO_SERVER.  */
static uint32_t
_bgap_even_least_loaded (const struct bgap_placement_view *view,
                         const struct server_share *shares)
{
  uint32_t best = BGAP_PLACEMENT_NO_SERVER;
  for (uint32_t i = 0; i < view->server_count; i++)
    if (view->servers[i].usable
        && (best == BGAP_PLACEMENT_NO_SERVER
            || (uint64_t)shares[i].held * view->servers[best].slots
                   < (uint64_t)shares[best].held * view->servers[i].slots))
      best = i;
  return best;
}

/* Whether the server has more entries than its share, so that one of them
   should move to the server @least.  */
static bool
_bgap_even_exceeds_share (const struct bgap_placement_view *view,
                          const struct server_share *shares, uint32_t server,
                          uint32_t least)
{
  const struct bgap_placement_server *from = &view->servers[server];
  const struct bgap_placement_server *to = &view->servers[least];
  /* After the move, the source must still have more entries per slot than the
     target has before it.  */
  return shares[server].held > 0
         && (uint64_t)(shares[server].held - 1) * to->slots
                > (uint64_t)shares[least].held * from->slots;
}

/* Assigns the entries without a holder. Each server gets the entries that it
   lacks as one run of consecutive entries, which keeps grant records short. */
static uint32_t
_bgap_even_assign_free (const struct bgap_placement_view *view,
                        struct server_share *shares,
                        struct bgap_placement_move *moves, uint32_t capacity)
{
  uint32_t *deficits
      = calloc ((size_t)view->server_count + 1, sizeof *deficits);
  uint32_t count = 0;
  uint32_t server = 0;
  if (deficits == NULL)
    return 0;
  for (uint32_t i = 0; i < view->entry_count; i++)
    {
      const struct bgap_placement_entry *entry = &view->entries[i];
      uint32_t least = _bgap_even_least_loaded (view, shares);
      if (entry->server != BGAP_PLACEMENT_NO_SERVER || entry->moving
          || least == BGAP_PLACEMENT_NO_SERVER)
        continue;
      shares[least].held++;
      deficits[least]++;
    }
  for (uint32_t i = 0; i < view->entry_count && count < capacity; i++)
    {
      const struct bgap_placement_entry *entry = &view->entries[i];
      if (entry->server != BGAP_PLACEMENT_NO_SERVER || entry->moving)
        continue;
      while (server < view->server_count && deficits[server] == 0)
        server++;
      if (server == view->server_count)
        break;
      deficits[server]--;
      moves[count++] = (struct bgap_placement_move){ i, server };
    }
  free (deficits);
  return count;
}

/* Moves entries from draining servers and from servers above their share.  */
static uint32_t
_bgap_even_rebalance (const struct bgap_placement_view *view,
                      struct server_share *shares,
                      struct bgap_placement_move *moves, uint32_t capacity)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < view->entry_count; i++)
    {
      const struct bgap_placement_entry *entry = &view->entries[i];
      if (count == capacity || count == REBALANCE_MOVES_MAX)
        break;
      uint32_t least = _bgap_even_least_loaded (view, shares);
      if (entry->server == BGAP_PLACEMENT_NO_SERVER || entry->moving
          || least == BGAP_PLACEMENT_NO_SERVER || least == entry->server)
        continue;
      if (!view->servers[entry->server].draining
          && !_bgap_even_exceeds_share (view, shares, entry->server, least))
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
  struct server_share *shares
      = calloc ((size_t)view->server_count + 1, sizeof *shares);
  if (shares == NULL)
    return 0;
  for (uint32_t i = 0; i < view->entry_count; i++)
    if (view->entries[i].server != BGAP_PLACEMENT_NO_SERVER)
      shares[view->entries[i].server].held++;
  uint32_t count = _bgap_even_assign_free (view, shares, moves, capacity);
  count
      += _bgap_even_rebalance (view, shares, moves + count, capacity - count);
  free (shares);
  return count;
}

const struct bgap_placement_ops *
bgap_placement_even (void)
{
  static const struct bgap_placement_ops ops = { .plan = _bgap_even_plan };
  return &ops;
}
