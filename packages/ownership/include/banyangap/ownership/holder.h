#ifndef BANYANGAP_OWNERSHIP_HOLDER_H
#define BANYANGAP_OWNERSHIP_HOLDER_H

/*
 * Server side of leases: adopts renewals and checks requests against them.
 *
 *   struct bgap_holder *holder;
 *   bgap_holder_setup (&holder, &(struct bgap_holder_desc){
 *     .incarnation = bgap_random_seed () });
 *   bgap_holder_on_renew (holder, body, size, now_ms, &reply_text, &err);
 *   if (bgap_holder_check (holder, service, key, key_size, token, now_ms)
 *       != BGAP_HOLDER_OK)
 *     refuse ();
 *
 * A holder that forwards requests, or that does not cancel requests in flight
 * when it loses their entry, calls bgap_holder_begin() before and
 * bgap_holder_end() after each request. The loss of an entry is then
 * acknowledged only when no request under it is in flight any more.
 *
 * Read now_ms from CLOCK_BOOTTIME for each call. Do not pass a time cached by
 * an event loop: after the process was paused, an expired lease would appear
 * valid. A server whose work takes time calls bgap_holder_check() again
 * immediately before the work takes effect.
 */

#include <stdbool.h>
#include <stdint.h>

#include "banyangap/base/buffer.h"
#include "banyangap/base/status.h"
#include "banyangap/ownership/lease.h"

/**
 * enum bgap_holder_verdict - result of the check of a request
 */
enum bgap_holder_verdict
{
  BGAP_HOLDER_OK,
  BGAP_HOLDER_NO_LEASE,       /* the lease has expired or was never granted */
  BGAP_HOLDER_NOT_HELD,       /* the key's entry is not held */
  BGAP_HOLDER_TOKEN_MISMATCH, /* the entry is held under another token */
  BGAP_HOLDER_FULL            /* too many requests are in flight */
};

/**
 * struct bgap_holder_desc - options
 * @incarnation: random number, never reused, not 0
 * @max_scopes: maximum number of scopes; 0 means 8
 * @max_in_flight: maximum number of requests that bgap_holder_begin() admits
 *   at a time; 0 means 256
 */
struct bgap_holder_desc
{
  uint64_t incarnation;
  uint32_t max_scopes;
  uint32_t max_in_flight;
};

struct bgap_holder;

/**
 * bgap_holder_setup() - create a holder without leases
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_holder_setup (struct bgap_holder **holder,
                                    const struct bgap_holder_desc *desc);

/**
 * bgap_holder_shutdown() - free the holder; NULL is allowed
 */
void bgap_holder_shutdown (struct bgap_holder *holder);

/**
 * bgap_holder_set_load() - set the load that replies report
 */
void bgap_holder_set_load (struct bgap_holder *holder, uint32_t in_flight,
                           uint32_t slots, uint32_t queued);

/**
 * bgap_holder_set_draining() - set whether replies report that the server
 * drains
 */
void bgap_holder_set_draining (struct bgap_holder *holder, bool draining);

/**
 * bgap_holder_on_hello() - append the reply to a hello request
 */
enum bgap_status bgap_holder_on_hello (struct bgap_holder *holder,
                                       int64_t now_ms,
                                       struct bgap_buffer *reply);

/**
 * bgap_holder_on_renew() - process a renewal and append the reply
 *
 * Return: BGAP_OK, also if the renewal was refused (the reply then has
 * accepted false); BGAP_ERR_PROTOCOL for a malformed message,
 * BGAP_ERR_NO_MEMORY or BGAP_ERR_FULL. On an error the holder is unchanged.
 */
enum bgap_status bgap_holder_on_renew (struct bgap_holder *holder,
                                       const void *bytes, size_t size,
                                       int64_t now_ms,
                                       struct bgap_buffer *reply,
                                       struct bgap_error *err);

/**
 * bgap_holder_check() - check whether a request for a key may run now
 * @service: name of the service
 * @token: fencing token of the request
 */
enum bgap_holder_verdict bgap_holder_check (const struct bgap_holder *holder,
                                            const char *service,
                                            const void *key, size_t key_size,
                                            uint64_t token, int64_t now_ms);

/**
 * bgap_holder_begin() - check a request and register it as in flight
 * @request: set to the handle for bgap_holder_end() on BGAP_HOLDER_OK
 */
enum bgap_holder_verdict bgap_holder_begin (struct bgap_holder *holder,
                                            const char *service,
                                            const void *key, size_t key_size,
                                            uint64_t token, int64_t now_ms,
                                            uint32_t *request);

/**
 * bgap_holder_end() - unregister a finished request; ignores a stale handle
 */
void bgap_holder_end (struct bgap_holder *holder, uint32_t request);

/**
 * bgap_holder_may_serve() - whether the holder may serve the key now, under
 * any token; for tests of mutual exclusion
 */
bool bgap_holder_may_serve (const struct bgap_holder *holder,
                            const char *service, const void *key,
                            size_t key_size, int64_t now_ms);

/**
 * bgap_holder_lease_end() - expiry time of the lease for a service on the
 * holder's clock, 0 if there is none
 */
int64_t bgap_holder_lease_end (const struct bgap_holder *holder,
                               const char *service);

/**
 * bgap_holder_verdict_name() - short name of a verdict, never NULL
 */
const char *bgap_holder_verdict_name (enum bgap_holder_verdict verdict);

#endif
