#ifndef BGAP_OWNERSHIP_HOLDER_PRIVATE_H
#define BGAP_OWNERSHIP_HOLDER_PRIVATE_H

/*
 * State of a holder, shared by renewals and the check of requests.
 */

#include "banyangap/base/pool.h"
#include "banyangap/ownership/holder.h"
#include "banyangap/ownership/replica.h"

/**
 * struct bgap_lease - lease for one scope
 * @name: "<cell>/<service>"
 * @entries: held entries; key entries without a token are held elsewhere
 * @end_ms: end of the lease on this holder's clock
 * @acked: newest basis under which no request of a lost entry runs
 */
struct bgap_lease
{
  char name[BGAP_SCOPE_NAME_SIZE];
  struct bgap_scope entries;
  int64_t end_ms;
  uint64_t acked;
};

/**
 * struct bgap_running - a request that runs
 * @lease: index of its lease
 * @size: bytes of @key; a longer key never has an entry of its own, and only
 *   @hash counts
 */
struct bgap_running
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
  struct bgap_pool running;
  uint32_t in_flight;
  uint32_t slots;
  uint32_t queued;
  bool draining;
};

/**
 * bgap_holder_settle() - acknowledge the newest basis if no request runs under
 * a lost entry
 */
void bgap_holder_settle (struct bgap_holder *holder, struct bgap_lease *lease);

#endif
