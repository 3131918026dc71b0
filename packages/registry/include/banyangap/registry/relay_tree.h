#ifndef BANYANGAP_REGISTRY_RELAY_TREE_H
#define BANYANGAP_REGISTRY_RELAY_TREE_H

/*
 * Decides which instances forward records to which others.
 *
 *   struct bgap_relay_tree tree = { 0 };
 *   for (uint32_t i = 0; i < bgap_relay_tree_relays (count); i++)
 *     tree.relays[tree.relay_count++] = names[i];
 *   for (uint32_t i = 0; i < count; i++)
 *     if (bgap_relay_tree_forwards (&tree, own, i, names[i],
 *                                   BGAP_RELAY_ROLE_RELAY))
 *       send (names[i]);
 *
 * Instances are numbered by their index in the list of all instances, which
 * has the same order everywhere. The first ones are relays: they forward
 * records to the others, their subscribers. The first of the relays are
 * readers: they read the store and send the records to the other relays, too.
 * A granter reads the assignments of keys and sends them to all other
 * instances. Among many instances it sends them only to the relays, which
 * forward them, since a copy of a large assignment for each instance would
 * saturate the granter's link.
 *
 * The relay of a subscriber is chosen by rendezvous hashing of their names, so
 * that it stays the same when other instances come and go and while the lists
 * of the instances differ.
 */

#include <stdbool.h>
#include <stdint.h>

/* There is one relay more for each group of this many instances.  */
#define BGAP_RELAY_INSTANCES_PER_RELAY 16u

/* Maximum number of subscribers of a relay. It is above the average, since
   hashing divides them unevenly. Each one costs the relay a few small messages
   a second.  */
#define BGAP_RELAY_SUBSCRIBERS_MAX 32u

/* Maximum number of readers. A call to the store costs much more than a
   message between instances.  */
#define BGAP_RELAY_READERS_MAX 3u

/* Maximum number of relays, enough for 1024 instances.  */
#define BGAP_RELAY_RELAYS_MAX 65u

/**
 * enum bgap_relay_role - in which role an instance sends records
 * @BGAP_RELAY_ROLE_RELAY: it has got them as a relay, from a reader or the
 *   granter, or has read them because it got none
 * @BGAP_RELAY_ROLE_READER: it has read them as a reader
 * @BGAP_RELAY_ROLE_GRANTER: it has read them as the granter
 */
enum bgap_relay_role
{
  BGAP_RELAY_ROLE_RELAY,
  BGAP_RELAY_ROLE_READER,
  BGAP_RELAY_ROLE_GRANTER
};

/**
 * struct bgap_relay_tree - the relays
 * @relays: names of the first instances of the list; they must stay valid
 */
struct bgap_relay_tree
{
  const char *relays[BGAP_RELAY_RELAYS_MAX];
  uint32_t relay_count;
};

/**
 * bgap_relay_tree_relays() - number of relays among @count instances
 */
uint32_t bgap_relay_tree_relays (uint32_t count);

/**
 * bgap_relay_tree_readers() - number of readers among @relays relays
 */
uint32_t bgap_relay_tree_readers (uint32_t relays);

/* Up to this many instances are all part of the core.  */
#define BGAP_RELAY_CORE_MIN 16u

/* Number of instances that stand by to become relays.  */
#define BGAP_RELAY_STANDBY 4u

/**
 * bgap_relay_tree_is_core() - whether an instance is a relay or stands by to
 * replace one, so that the others have to notice soon when it is lost
 * @count: number of instances
 * @index: index of the instance
 */
bool bgap_relay_tree_is_core (uint32_t count, uint32_t index);

/**
 * bgap_relay_tree_forwards() - whether an instance sends records to another
 * @own: index of the sender
 * @index: index of the recipient
 * @name: name of the recipient
 * @role: role of the sender
 */
bool bgap_relay_tree_forwards (const struct bgap_relay_tree *tree,
                               uint32_t own, uint32_t index, const char *name,
                               enum bgap_relay_role role);

#endif
