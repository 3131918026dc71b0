#include "banyangap/registry/relay_tree.h"

#include <string.h>

#include "banyangap/base/hash.h"

uint32_t
bgap_relay_tree_relays (uint32_t count)
{
  uint32_t relays = 1 + count / BGAP_RELAY_INSTANCES_PER_RELAY;
  return relays < BGAP_RELAY_RELAYS_MAX ? relays : BGAP_RELAY_RELAYS_MAX;
}

uint32_t
bgap_relay_tree_readers (uint32_t relays)
{
  return relays < BGAP_RELAY_READERS_MAX ? relays : BGAP_RELAY_READERS_MAX;
}

bool
bgap_relay_tree_is_core (uint32_t count, uint32_t index)
{
  return count <= BGAP_RELAY_CORE_MIN
         || index < bgap_relay_tree_relays (count) + BGAP_RELAY_STANDBY;
}

/* Index of the one of the first @count relays that sends to the instance.  */
static uint32_t
_bgap_relay_tree_sender_to (const struct bgap_relay_tree *tree, uint32_t count,
                            const char *name)
{
  uint64_t key = bgap_hash64 (name, strlen (name));
  uint64_t most = 0;
  uint32_t best = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      uint64_t weight = bgap_rendezvous_weight (key, tree->relays[i]);
      if (weight < most)
        continue;
      most = weight;
      best = i;
    }
  return best;
}

bool
bgap_relay_tree_forwards (const struct bgap_relay_tree *tree, uint32_t own,
                          uint32_t index, const char *name,
                          enum bgap_relay_role role)
{
  if (index == own)
    return false;
  if (role == BGAP_RELAY_ROLE_GRANTER
      && (tree->relay_count == 1 || index < tree->relay_count))
    return true;
  uint32_t readers = bgap_relay_tree_readers (tree->relay_count);
  if (index < tree->relay_count)
    return role == BGAP_RELAY_ROLE_READER && own < readers && index >= readers
           && _bgap_relay_tree_sender_to (tree, readers, name) == own;
  return own < tree->relay_count
         && _bgap_relay_tree_sender_to (tree, tree->relay_count, name) == own;
}
