#ifndef BANYANGAP_ROUTING_PERMIT_ISSUER_H
#define BANYANGAP_ROUTING_PERMIT_ISSUER_H

/*
 * Hands out permits for requests to servers with a rate limit. For each server
 * one instance is the issuer, chosen by rendezvous hashing; it hands out
 * permits at the rate of the limit to the instances that ask for them, the
 * most urgent requests first and the instances in turn.
 *
 *   struct bgap_permit_issuer *issuer = bgap_permit_issuer_new ();
 *   bgap_permit_issuer_ask (issuer, now_ms, &(struct bgap_permit_ask){
 *     .server = hash, .instance = "entry-2", .count = 3, .rank = 4,
 *     .per_s = 5 });
 *   struct bgap_permit_answer answer;
 *   while (bgap_permit_issuer_next (issuer, now_ms, &answer))
 *     ... send it to answer.instance ...
 *   bgap_permit_issuer_free (issuer);
 *
 * Permits that were handed out for a server in any time t are at most
 * limit x (t + 0.05 s) + 1, where the limit is the lower one of what the
 * server states and of the rate while it is cold, each times the share of this
 * issuer. A new issuer starts without permits.
 */

#include <stdbool.h>
#include <stdint.h>

#include "banyangap/base/status.h"
#include "banyangap/routing/rate_limit.h"
#include "banyangap/routing/types.h"

/**
 * struct bgap_permit_ask - a message of an instance to the issuer
 * @server: XXH3 hash of "<service>/<server>"
 * @instance: name of the asking instance
 * @count: permits that it wants; replaces what it asked for before
 * @rank: rank of its most urgent waiting request, smallest first
 * @per_s: limit that the instance knows, 0 for none
 * @age_ms: age of this knowledge
 * @share: part of the limit that this issuer may hand out, 0 to 1
 * @cold_per_s: rate of permits if the instance knows that the server is cold,
 *   else 0
 * @cold_left_ms: time until it is warm
 * @cold_share: as @share, for @cold_per_s
 * @stamp: time of the instance's own clock when it asked
 */
struct bgap_permit_ask
{
  uint64_t server;
  const char *instance;
  uint32_t count;
  int64_t rank;
  double per_s;
  int64_t age_ms;
  double share;
  double cold_per_s;
  int64_t cold_left_ms;
  double cold_share;
  uint32_t stamp;
};

/**
 * struct bgap_permit_answer - a message of the issuer
 * @instance: recipient; NULL for all instances, as news of the limit
 * @count: permits granted
 * @wait_ms: time after which the rest will probably have been granted
 * @per_s, @age_ms: newest knowledge of the limit, as in struct bgap_permit_ask
 * @stamp: that of the recipient's last message and the time since it arrived:
 *   what the recipient's clock showed at this time if the message took none
 */
struct bgap_permit_answer
{
  uint64_t server;
  const char *instance;
  uint32_t count;
  int64_t wait_ms;
  double per_s;
  int64_t age_ms;
  uint32_t stamp;
};

struct bgap_permit_issuer;

/**
 * bgap_permit_issuer_new() - create an issuer
 *
 * Return: the issuer, or NULL if memory is short.
 */
struct bgap_permit_issuer *bgap_permit_issuer_new (void);

/**
 * bgap_permit_issuer_free() - free the issuer; NULL is allowed
 */
void bgap_permit_issuer_free (struct bgap_permit_issuer *issuer);

/**
 * bgap_permit_issuer_ask() - handle a message of an instance
 *
 * Return: BGAP_OK; BGAP_ERR_NO_MEMORY, then it had no effect.
 */
enum bgap_status bgap_permit_issuer_ask (struct bgap_permit_issuer *issuer,
                                         int64_t now_ms,
                                         const struct bgap_permit_ask *ask);

/**
 * bgap_permit_issuer_next() - take the next message that is due
 * @answer: valid until the next call
 *
 * Return: false if there is none.
 */
bool bgap_permit_issuer_next (struct bgap_permit_issuer *issuer,
                              int64_t now_ms,
                              struct bgap_permit_answer *answer);

/**
 * bgap_permit_issuer_wait_ms() - time until bgap_permit_issuer_next() may have
 * a message again
 *
 * Return: milliseconds, 0 if one is due; @most_ms if none is expected before.
 */
int64_t bgap_permit_issuer_wait_ms (const struct bgap_permit_issuer *issuer,
                                    int64_t now_ms, int64_t most_ms);

#endif
