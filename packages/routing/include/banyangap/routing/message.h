#ifndef BANYANGAP_ROUTING_MESSAGE_H
#define BANYANGAP_ROUTING_MESSAGE_H

/*
 * Codec for messages between the routers of a zone (MessagePack).
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

/* Maximum number of items in a message. A longer message is malformed; senders
   split longer lists.  */
#define BGAP_ROUTING_MESSAGE_ITEMS_MAX 4096

/**
 * enum bgap_routing_message - kinds of messages
 */
enum bgap_routing_message
{
  BGAP_ROUTING_MESSAGE_SUSPICIONS = 1,
  BGAP_ROUTING_MESSAGE_LOADS,
  BGAP_ROUTING_MESSAGE_PERMITS_WANTED, /* to the issuer of a server */
  BGAP_ROUTING_MESSAGE_PERMITS,        /* from the issuer */
  BGAP_ROUTING_MESSAGE_RATE_LIMITS     /* from the issuer, to all instances */
};

/**
 * enum bgap_suspicion_kind - state change of a fingerprint
 */
enum bgap_suspicion_kind
{
  BGAP_SUSPICION_SUSPECT,    /* in flight when a server crashed */
  BGAP_SUSPICION_CLEARED,    /* answered since then */
  BGAP_SUSPICION_QUARANTINED /* requests with it are refused */
};

/**
 * struct bgap_routing_suspicion - state change of a fingerprint
 * @server: XXH3 hash of the name of the server that crashed; 0 with CLEARED,
 *   and with QUARANTINED if the sender starts a trial
 * @remaining_ms: with QUARANTINED, remaining time of the quarantine
 */
struct bgap_routing_suspicion
{
  uint64_t fingerprint;
  uint64_t server;
  enum bgap_suspicion_kind kind;
  uint32_t remaining_ms;
};

/**
 * struct bgap_routing_load - requests of the sender in flight on a server
 * @server: XXH3 hash of "<service>/<server>"
 */
struct bgap_routing_load
{
  uint64_t server;
  uint32_t in_flight;
};

/**
 * struct bgap_routing_permits - permits for requests to a server
 * @server: XXH3 hash of "<service>/<server>"
 * @count: permits that are wanted or granted
 * @rank: of the most urgent request that waits, if they are wanted
 * @stamp: if they are wanted, the sender's clock; if they are granted, what
 *   the recipient's clock showed at that time; see struct bgap_permit_answer
 * @wait_ms: time until the issuer will have granted the rest
 * @limit_thousandths: rate limit of the server in thousandths of a request per
 *   second, 0 for none
 * @limit_age_ms: time since the server stated this
 * @cold_thousandths: rate of permits in thousandths of a request per second if
 *   the sender, who wants some, knows that the server is cold; else 0
 * @cold_left_ms: time until it is warm
 *
 * The last two fields and @stamp are sent only if the stamp is not 0.
 */
struct bgap_routing_permits
{
  uint64_t server;
  uint32_t count;
  uint32_t rank;
  uint32_t wait_ms;
  uint64_t limit_thousandths;
  uint32_t limit_age_ms;
  uint32_t stamp;
  uint64_t cold_thousandths;
  uint32_t cold_left_ms;
};

/**
 * bgap_routing_encode_suspicions() - append an encoded message to @out
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID if @count is above
 * BGAP_ROUTING_MESSAGE_ITEMS_MAX, or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status
bgap_routing_encode_suspicions (struct bgap_buffer *out,
                                const struct bgap_routing_suspicion *items,
                                size_t count);

/**
 * bgap_routing_decode_suspicions() - decode a message into @items
 * @count: in: capacity of @items; out: number of decoded items
 *
 * Return: BGAP_OK, BGAP_ERR_PROTOCOL if the message is malformed, or
 * BGAP_ERR_FULL if it has more than @count items. On errors the contents of
 * @items are undefined.
 */
enum bgap_status
bgap_routing_decode_suspicions (const void *bytes, size_t size,
                                struct bgap_routing_suspicion *items,
                                size_t *count, struct bgap_error *err);

/**
 * bgap_routing_encode_loads() - append an encoded message to @out
 *
 * Return: as bgap_routing_encode_suspicions().
 */
enum bgap_status
bgap_routing_encode_loads (struct bgap_buffer *out,
                           const struct bgap_routing_load *items,
                           size_t count);

/**
 * bgap_routing_decode_loads() - decode a message into @items
 * @count: in: capacity of @items; out: number of decoded items
 *
 * Return: as bgap_routing_decode_suspicions().
 */
enum bgap_status bgap_routing_decode_loads (const void *bytes, size_t size,
                                            struct bgap_routing_load *items,
                                            size_t *count,
                                            struct bgap_error *err);

/**
 * bgap_routing_encode_permits() - append an encoded message to @out
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status
bgap_routing_encode_permits (struct bgap_buffer *out,
                             const struct bgap_routing_permits *permits);

/**
 * bgap_routing_decode_permits() - decode a message
 *
 * Return: BGAP_OK or BGAP_ERR_PROTOCOL.
 */
enum bgap_status
bgap_routing_decode_permits (const void *bytes, size_t size,
                             struct bgap_routing_permits *permits,
                             struct bgap_error *err);

#endif
