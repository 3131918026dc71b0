#ifndef BANYANGAP_ROUTING_MESSAGE_H
#define BANYANGAP_ROUTING_MESSAGE_H

/*
 * Messages between the routers of a zone (MessagePack).
 *
 *   struct bgap_routing_suspicion item = {
 *     .fingerprint = f, .server = bgap_hash64 ("v1", 2),
 *     .kind = BGAP_SUSPICION_SUSPECT };
 *   bgap_routing_encode_suspicions (&buffer, &item, 1);
 */

#include <stddef.h>
#include <stdint.h>

#include "banyangap/base/buffer.h"
#include "banyangap/base/status.h"

/* Most items in a message; longer lists are malformed or are split.  */
#define BGAP_ROUTING_MESSAGE_ITEMS_MAX 4096

/**
 * enum bgap_routing_message - kinds of messages
 */
enum bgap_routing_message
{
  BGAP_ROUTING_MESSAGE_SUSPICIONS = 1,
  BGAP_ROUTING_MESSAGE_LOADS
};

/**
 * enum bgap_suspicion_kind - news about a fingerprint
 */
enum bgap_suspicion_kind
{
  BGAP_SUSPICION_SUSPECT,    /* in flight when a server died */
  BGAP_SUSPICION_CLEARED,    /* answered since then */
  BGAP_SUSPICION_QUARANTINED /* refuse it */
};

/**
 * struct bgap_routing_suspicion - news about a fingerprint
 * @server: XXH3 hash of the name of the server that died; 0 with CLEARED
 * @left_ms: QUARANTINED, milliseconds for which it still holds
 */
struct bgap_routing_suspicion
{
  uint64_t fingerprint;
  uint64_t server;
  enum bgap_suspicion_kind kind;
  uint32_t left_ms;
};

/**
 * struct bgap_routing_load - in-flight requests of the sender on a server
 * @server: XXH3 hash of "<service>/<server>"
 */
struct bgap_routing_load
{
  uint64_t server;
  uint32_t in_flight;
};

/**
 * bgap_routing_encode_suspicions() - append the message to @out
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID for too many items, BGAP_ERR_NO_MEMORY.
 */
enum bgap_status
bgap_routing_encode_suspicions (struct bgap_buffer *out,
                                const struct bgap_routing_suspicion *items,
                                size_t count);

/**
 * bgap_routing_decode_suspicions() - decode into @items
 * @count: in: room at @items; out: items found
 *
 * Return: BGAP_OK, BGAP_ERR_PROTOCOL if malformed, BGAP_ERR_FULL if there is
 * too little room. On errors @items is undefined.
 */
enum bgap_status
bgap_routing_decode_suspicions (const void *bytes, size_t size,
                                struct bgap_routing_suspicion *items,
                                size_t *count, struct bgap_error *err);

/**
 * bgap_routing_encode_loads() - as above
 */
enum bgap_status
bgap_routing_encode_loads (struct bgap_buffer *out,
                           const struct bgap_routing_load *items,
                           size_t count);

/**
 * bgap_routing_decode_loads() - as above
 */
enum bgap_status bgap_routing_decode_loads (const void *bytes, size_t size,
                                            struct bgap_routing_load *items,
                                            size_t *count,
                                            struct bgap_error *err);

#endif
