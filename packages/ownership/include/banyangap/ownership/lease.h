#ifndef BANYANGAP_OWNERSHIP_LEASE_H
#define BANYANGAP_OWNERSHIP_LEASE_H

/*
 * JSON messages between the instances that renew leases (renewers) and the
 * holders: the body of POST /.bgap/renew, and the reply to it and to POST
 * /.bgap/hello. The body of a hello is an empty object.
 *
 *   struct bgap_renewal renewal;
 *   if (bgap_renewal_parse (body, size, &renewal, &err) == BGAP_OK)
 *     bgap_renewal_shutdown (&renewal);
 */

#include <stdbool.h>
#include <stdint.h>

#include "banyangap/base/buffer.h"
#include "banyangap/base/status.h"
#include "banyangap/ownership/entry.h"

/* Size of a lease's scope name, "<cell>/<service>", with its terminating
   zero.  */
#define BGAP_SCOPE_NAME_SIZE (2 * BGAP_NAME_SIZE)

/**
 * struct bgap_renewal_item - a range of slices, or a key, in a renewal
 * @first: first slice
 * @count: number of slices; 0 if the item is a key
 * @key: the key, or NULL; owned by the renewal if it was parsed
 * @key_size: bytes of @key
 * @token: fencing token; 0 for a key that the server does not hold although it
 *   holds the key's slice
 */
struct bgap_renewal_item
{
  uint32_t first;
  uint32_t count;
  unsigned char *key;
  size_t key_size;
  uint64_t token;
};

/**
 * struct bgap_renewal - lease renewal for one scope
 * @scope: "<cell>/<service>"
 * @basis: newest accepted offset of the scope
 * @incarnation: of the holder
 * @clock_echo_ms: the holder's clock as reported in a reply that the renewer
 *   received before its witness check; the lease starts at this time
 * @lease_ms: duration of the lease
 * @slice_count: number of slices of the service
 * @complete: @items lists everything that the holder holds; otherwise the
 *   renewal only extends the lease of a holder that has already adopted @basis
 */
struct bgap_renewal
{
  char scope[BGAP_SCOPE_NAME_SIZE];
  uint64_t basis;
  uint64_t incarnation;
  int64_t clock_echo_ms;
  int64_t lease_ms;
  uint32_t slice_count;
  bool complete;
  struct bgap_renewal_item *items;
  uint32_t item_count;
};

/**
 * struct bgap_renewal_reply - reply to a hello or a renewal
 * @scope: of the renewal; empty in a reply to a hello
 * @incarnation: of the holder
 * @clock_ms: the holder's clock, for @clock_echo_ms of the next renewal
 * @newest_basis: newest basis of @scope that the holder has adopted and under
 *   which no request of a lost entry is in flight, 0 if none
 * @accepted: the renewal was adopted; false in a reply to a hello
 * @draining: the server drains
 * @in_flight: number of running requests
 * @slots: number of requests that the server can run at once
 * @queued: number of waiting requests
 */
struct bgap_renewal_reply
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
 * bgap_renewal_parse() - parse a renewal from JSON text
 *
 * Return: BGAP_OK, BGAP_ERR_PROTOCOL or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_renewal_parse (const void *bytes, size_t size,
                                     struct bgap_renewal *renewal,
                                     struct bgap_error *err);

/**
 * bgap_renewal_print() - append a renewal as JSON
 */
enum bgap_status bgap_renewal_print (const struct bgap_renewal *renewal,
                                     struct bgap_buffer *out);

/**
 * bgap_renewal_shutdown() - free what a parsed renewal owns and zero it
 */
void bgap_renewal_shutdown (struct bgap_renewal *renewal);

/**
 * bgap_renewal_reply_parse() - parse a reply from JSON text
 *
 * Return: BGAP_OK or BGAP_ERR_PROTOCOL.
 */
enum bgap_status bgap_renewal_reply_parse (const void *bytes, size_t size,
                                           struct bgap_renewal_reply *reply,
                                           struct bgap_error *err);

/**
 * bgap_renewal_reply_print() - append a reply as JSON
 */
enum bgap_status
bgap_renewal_reply_print (const struct bgap_renewal_reply *reply,
                          struct bgap_buffer *out);

#endif
