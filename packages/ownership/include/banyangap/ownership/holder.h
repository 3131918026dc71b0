#ifndef BANYANGAP_OWNERSHIP_HOLDER_H
#define BANYANGAP_OWNERSHIP_HOLDER_H

/*
 * Server side of leases.
 *
 *   struct bgap_holder *holder;
 *   bgap_holder_setup (&holder, &(struct bgap_holder_desc){
 *     .incarnation = bgap_random_seed () });
 *   bgap_holder_on_renew (holder, body, size, now_ms, &reply_text, &err);
 *   if (bgap_holder_check (holder, service, key, key_size, token, now_ms)
 *       != BGAP_HOLDER_OK)
 *     refuse ();
 *
 * A holder that passes requests on, or that does not stop running ones when it
 * loses their entry, brackets them with bgap_holder_begin() and
 * bgap_holder_end(). It then acknowledges the loss of an entry only when no
 * request runs under it any more.
 *
 * now_ms must be read from CLOCK_BOOTTIME for each call, not from a time
 * cached by an event loop: a paused process would take an ended lease for a
 * valid one. A server whose work takes time calls bgap_holder_check() again
 * immediately before the work takes effect.
 */

#include <stdbool.h>
#include <stdint.h>

#include "banyangap/base/buffer.h"
#include "banyangap/base/status.h"
#include "banyangap/ownership/lease.h"

/**
 * enum bgap_holder_verdict - whether a request may run
 */
enum bgap_holder_verdict
{
  BGAP_HOLDER_OK,
  BGAP_HOLDER_NO_LEASE, /* the lease has ended or never began */
  BGAP_HOLDER_NOT_HELD, /* the key is not among the held entries */
  BGAP_HOLDER_TOKEN,    /* the entry is held under another token */
  BGAP_HOLDER_FULL      /* too many requests run */
};

/**
 * struct bgap_holder_desc - options
 * @incarnation: random and never used before, required
 * @scopes: largest number of scopes; 0 means 8
 * @running: largest number of requests that run at a time; 0 means 256
 */
struct bgap_holder_desc
{
  uint64_t incarnation;
  uint32_t scopes;
  uint32_t running;
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
 * bgap_holder_set_load() - values for the replies
 */
void bgap_holder_set_load (struct bgap_holder *holder, uint32_t in_flight,
                           uint32_t slots, uint32_t queued);

/**
 * bgap_holder_set_draining() - value for the replies
 */
void bgap_holder_set_draining (struct bgap_holder *holder, bool draining);

/**
 * bgap_holder_on_hello() - append the reply to a hello
 */
enum bgap_status bgap_holder_on_hello (struct bgap_holder *holder,
                                       int64_t now_ms,
                                       struct bgap_buffer *reply);

/**
 * bgap_holder_on_renew() - take a renewal and append the reply
 *
 * Return: BGAP_OK, also if the renewal was refused (the reply says so);
 * BGAP_ERR_PROTOCOL for a malformed message, BGAP_ERR_NO_MEMORY or
 * BGAP_ERR_FULL, all of which leave the holder unchanged.
 */
enum bgap_status bgap_holder_on_renew (struct bgap_holder *holder,
                                       const void *bytes, size_t size,
                                       int64_t now_ms,
                                       struct bgap_buffer *reply,
                                       struct bgap_error *err);

/**
 * bgap_holder_check() - whether a request for a key may run now
 * @service: name of the service
 * @token: the token that came with the request
 */
enum bgap_holder_verdict bgap_holder_check (const struct bgap_holder *holder,
                                            const char *service,
                                            const void *key, size_t key_size,
                                            uint64_t token, int64_t now_ms);

/**
 * bgap_holder_begin() - check a request and note that it runs
 * @request: handle for bgap_holder_end(), set if the request may run
 */
enum bgap_holder_verdict bgap_holder_begin (struct bgap_holder *holder,
                                            const char *service,
                                            const void *key, size_t key_size,
                                            uint64_t token, int64_t now_ms,
                                            uint32_t *request);

/**
 * bgap_holder_end() - a request has ended; a stale handle is ignored
 */
void bgap_holder_end (struct bgap_holder *holder, uint32_t request);

/**
 * bgap_holder_holds() - whether the holder may serve the key now, under any
 * token; for tests of exclusiveness
 */
bool bgap_holder_holds (const struct bgap_holder *holder, const char *service,
                        const void *key, size_t key_size, int64_t now_ms);

/**
 * bgap_holder_lease_end() - end of the lease for a service on the holder's
 * clock, 0 if there is none
 */
int64_t bgap_holder_lease_end (const struct bgap_holder *holder,
                               const char *service);

/**
 * bgap_holder_verdict_name() - short name of a verdict, never NULL
 */
const char *bgap_holder_verdict_name (enum bgap_holder_verdict verdict);

#endif
