#ifndef BGAP_OWNERSHIP_HOLDER_PRIVATE_H
#define BGAP_OWNERSHIP_HOLDER_PRIVATE_H

/*
 * Internal state of a holder, shared by holder.c (renewals) and holder_check.c
 * (checks of requests).
 */

#include "banyangap/base/pool.h"
#include "banyangap/ownership/holder.h"
#include "banyangap/ownership/replica.h"

/**
 * struct bgap_lease - lease for one scope
 * @name: name of the scope, "<cell>/<service>"
 * @entries: held entries; a key entry without a token is held by another
 *   holder
 * @end_ms: expiry time of the lease on this holder's clock
 * @acked: newest basis under which no request of a lost entry is in flight
 */
struct bgap_lease
{
  char name[BGAP_SCOPE_NAME_SIZE];
  struct bgap_scope entries;
  int64_t end_ms;
  uint64_t acked;
};

/**
 * struct bgap_holder_request - a request in flight
 * @lease: index of its lease
 * @token: fencing token under which it was admitted
 * @hash: hash of its key
 * @size: size of the key; a key longer than BGAP_KEY_MAX is not copied to
 *   @key: it never has an entry of its own, so @hash identifies its entry
 */
struct bgap_holder_request
{
  uint32_t lease;
  uint64_t token;
  uint64_t hash;
  size_t size;
  unsigned char key[BGAP_KEY_MAX];
};

struct bgap_holder
{
  uint64_t incarnation;
  struct bgap_lease *leases;
  uint32_t count;
  uint32_t capacity;
  struct bgap_pool requests;
  uint32_t in_flight;
  uint32_t slots;
  uint32_t queued;
  bool draining;
};

/**
 * bgap_holder_update_acked() - acknowledge the newest basis if no request of a
 * lost entry is in flight
 */
void bgap_holder_update_acked (struct bgap_holder *holder,
                               struct bgap_lease *lease);

#endif
