#ifndef BANYANGAP_OWNERSHIP_LEASE_H
#define BANYANGAP_OWNERSHIP_LEASE_H

/*
 * Messages between renewers and holders (JSON): the request of
 * POST /.bgap/renew, and the reply to it and to POST /.bgap/hello. A hello has
 * an empty object as its body.
 *
 *   struct bgap_renew renew;
 *   if (bgap_renew_parse (body, size, &renew, &err) == BGAP_OK)
 *     bgap_renew_shutdown (&renew);
 */

#include <stdbool.h>
#include <stdint.h>

#include "banyangap/base/buffer.h"
#include "banyangap/base/status.h"
#include "banyangap/ownership/entry.h"

/* Longest scope of a lease, "<cell>/<service>", terminating zero included.  */
#define BGAP_SCOPE_NAME_SIZE (2 * BGAP_NAME_SIZE)

/**
 * struct bgap_lease_item - slices, or a key, in a renewal
 * @first: first slice
 * @count: number of slices; 0 if the item is a key
 * @token: offset of the grant; 0 for a key that the server does not hold
 *   although it holds the key's slice
 */
struct bgap_lease_item
{
  uint32_t first;
  uint32_t count;
  unsigned char *key;
  size_t key_size;
  uint64_t token;
};

/**
 * struct bgap_renew - one renewal
 * @scope: "<cell>/<service>"
 * @basis: newest accepted offset of the scope
 * @incarnation: of the holder
 * @clock_echo_ms: the holder's clock, from a reply that the renewer had before
 *   its witness check
 * @lease_ms: duration of the lease
 * @slice_count: number of slices of the service
 * @complete: @items lists everything the holder holds; otherwise the renewal
 *   only extends the lease of a holder that is at @basis already
 */
struct bgap_renew
{
  char scope[BGAP_SCOPE_NAME_SIZE];
  uint64_t basis;
  uint64_t incarnation;
  int64_t clock_echo_ms;
  int64_t lease_ms;
  uint32_t slice_count;
  bool complete;
  struct bgap_lease_item *items;
  uint32_t item_count;
};

/**
 * struct bgap_renew_reply - reply to hello and renew
 * @newest_basis: newest basis of @scope adopted, 0 if none
 * @accepted: the renewal was adopted; false in a reply to hello
 * @in_flight: requests running
 * @slots: requests the server can run at once
 * @queued: requests waiting
 */
struct bgap_renew_reply
{
  char scope[BGAP_SCOPE_NAME_SIZE];
  uint64_t incarnation;
  int64_t clock_ms;
  uint64_t newest_basis;
  bool accepted;
  bool draining;
  uint32_t in_flight;
  uint32_t slots;
  uint32_t queued;
};

/**
 * bgap_renew_parse() - read a renewal
 *
 * Return: BGAP_OK, BGAP_ERR_PROTOCOL or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_renew_parse (const void *bytes, size_t size,
                                   struct bgap_renew *renew,
                                   struct bgap_error *err);

/**
 * bgap_renew_print() - append a renewal as JSON
 */
enum bgap_status bgap_renew_print (const struct bgap_renew *renew,
                                   struct bgap_buffer *out);

/**
 * bgap_renew_shutdown() - free what the renewal owns; it is zeroed
 */
void bgap_renew_shutdown (struct bgap_renew *renew);

/**
 * bgap_renew_reply_parse() - read a reply
 *
 * Return: BGAP_OK or BGAP_ERR_PROTOCOL.
 */
enum bgap_status bgap_renew_reply_parse (const void *bytes, size_t size,
                                         struct bgap_renew_reply *reply,
                                         struct bgap_error *err);

/**
 * bgap_renew_reply_print() - append a reply as JSON
 */
enum bgap_status bgap_renew_reply_print (const struct bgap_renew_reply *reply,
                                         struct bgap_buffer *out);

#endif
