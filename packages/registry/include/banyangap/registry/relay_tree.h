#ifndef BANYANGAP_REGISTRY_RELAY_TREE_H
#define BANYANGAP_REGISTRY_RELAY_TREE_H

/*
 * Which instances pass records on to which others.
 *
 *   struct bgap_relay_tree tree = { 0 };
 *   for (uint32_t i = 0; i < bgap_relay_tree_relays (count); i++)
 *     tree.readers[tree.reader_count++] = names[i];
 *   for (uint32_t i = 0; i < count; i++)
 *     if (bgap_relay_tree_forwards (&tree, own, i, names[i],
 * BGAP_RELAY_ROLE_RELAY)) send (names[i]);
 *
 * Instances are numbered by their place in the list of all of them, which has
 * the same order everywhere. The first ones are readers: they read the store
 * and feed the others. A granter reads the assignments of keys and feeds all;
 * among many instances the readers pass its messages on, since its own link
 * would be filled by a copy of a large assignment for each of them. Which
 * reader feeds an instance follows from their names, so that it stays the same
 * when others come and go and while lists differ.
 */

#include <stdbool.h>
#include <stdint.h>

/* Instances for which there is a reader more.  */
#define BGAP_RELAY_INSTANCES_PER_RELAY 16u

/* Instances that one reader feeds at most, since names divide them unevenly.
   Each costs it a few small messages a second.  */
#define BGAP_RELAY_SUBSCRIBERS_MAX 32u

/* Readers at most, for 1024 instances.  */
#define BGAP_RELAY_RELAYS_MAX 65u

/**
 * enum bgap_relay_role - as what an instance passes records on
 * @BGAP_RELAY_ROLE_RELAY: it has read them, or got them from the granter
 * @BGAP_RELAY_ROLE_GRANTER: it has read them as the granter
 */
enum bgap_relay_role
{
  BGAP_RELAY_ROLE_RELAY,
  BGAP_RELAY_ROLE_GRANTER
};

/**
 * struct bgap_relay_tree - the readers
 * @relays: names of the first instances of the list; they stay valid
 */
struct bgap_relay_tree
{
  const char *relays[BGAP_RELAY_RELAYS_MAX];
  uint32_t relay_count;
};

/**
 * bgap_relay_tree_relays() - number of readers among @count instances
 */
uint32_t bgap_relay_tree_relays (uint32_t count);

/**
 * bgap_relay_tree_forwards() - whether an instance sends records to another
 * @own: place of the one that sends
 * @index: place of the other
 * @name: of the other
 */
bool bgap_relay_tree_forwards (const struct bgap_relay_tree *tree,
                               uint32_t own, uint32_t index, const char *name,
                               enum bgap_relay_role role);

#endif
