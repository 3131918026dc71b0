#ifndef BANYANGAP_ROUTING_RATE_LIMIT_H
#define BANYANGAP_ROUTING_RATE_LIMIT_H

/*
 * Rate limit of one backend server from the point of view of this instance.
 * The limit is shared by all instances: each request to the server needs a
 * permit, which the server's issuer hands out; see permit_issuer.h.
 *
 * A limit has two independent sources: what the server states in its answers,
 * and its warm-up, during which it is cold; see cold_limit.h. The lower one
 * applies, and each ends by itself, the warm-up at a time known beforehand.
 *
 *   struct bgap_rate_limit limit = { 0 };
 *   bgap_rate_limit_heard (&limit, now_ms, 5, 0);
 *   if (bgap_rate_limit_ask (&limit, now_ms, waiting))
 *     ... ask the issuer for limit.asked permits ...
 *   bgap_rate_limit_answered (&limit, now_ms, granted, wait_ms, age_ms);
 *   if (!bgap_rate_limit_blocks (&limit, now_ms))
 *     bgap_rate_limit_take (&limit, now_ms);
 */

#include <stdbool.h>
#include <stdint.h>

/* A limit above the first value is none in practice. The second is the lowest
   one that is applied: the end of a limit is heard with an answer, so that a
   request now and then has to pass.  */
#define BGAP_RATE_LIMIT_MAX_PER_S 1e6
#define BGAP_RATE_LIMIT_MIN_PER_S 0.1

/* Time for which a permit is valid. It bounds how many requests can arrive at
   once because their permits were kept.  */
#define BGAP_PERMIT_VALID_MS 200

/* Time for which a permit for a cold server is valid, from when the issuer
   granted it, transmission included. Together with the rate at which permits
   are granted it bounds the requests in a second.  */
#define BGAP_COLD_PERMIT_VALID_MS 150

/* Time without an answer of the issuer after which its standby is asked.  */
#define BGAP_ISSUER_TIMEOUT_MS 150

/* Time for which the standby is asked before the issuer is tried again.  */
#define BGAP_STANDBY_MS 1000

/* Time without an answer of either after which this instance issues permits
   to itself.  */
#define BGAP_ISSUERS_LOST_MS 1000

/* Time after which an issuer forgets permits that were asked for.  */
#define BGAP_ISSUER_ASK_TTL_MS 700

/* Most permits that an instance may ask for at a time.  */
#define BGAP_PERMITS_MAX 64u

/**
 * enum bgap_permit_source - whom to ask for permits
 */
enum bgap_permit_source
{
  BGAP_PERMITS_OF_ISSUER,
  BGAP_PERMITS_OF_STANDBY,
  BGAP_PERMITS_OF_SELF
};

/**
 * struct bgap_rate_limit - the limit; zeroed means none. Fields are private
 * @per_s: requests per second that the server accepts from all instances
 *   together, 0 for no limit
 * @cold_per_s: rate of permits during its warm-up, which ends at
 *   @cold_until_ms; above 0 also for a warm server if its service limits the
 *   requests of cold ones
 * @heard_ms: when the server stated @per_s, or stated none
 * @is_known: it has stated one before
 * @permits: permits in stock, valid until @permits_until_ms
 * @asked: permits asked for and not granted yet
 * @asked_ms: when they were last asked for
 * @is_answered: an issuer has answered since @asked_ms
 * @unanswered_since_ms: when they were first asked for without an answer since
 * @standby_until_ms: the standby is asked until then, since the issuer did
 *   not answer
 * @wait_ms: time for one permit that the issuer stated at @answered_ms
 */
struct bgap_rate_limit
{
  double per_s;
  double cold_per_s;
  int64_t cold_until_ms;
  int64_t heard_ms;
  bool is_known;
  uint32_t permits;
  int64_t permits_until_ms;
  uint32_t asked;
  int64_t asked_ms;
  bool is_answered;
  int64_t unanswered_since_ms;
  int64_t standby_until_ms;
  double wait_ms;
  int64_t answered_ms;
};

/**
 * bgap_rate_limit_clamp() - the limit that is applied for a stated one
 * @per_s: as stated, not negative; 0 is a limit here
 *
 * Return: requests per second, in whole thousandths, as in messages between
 * instances; 0 for no limit.
 */
double bgap_rate_limit_clamp (double per_s);

/**
 * bgap_rate_limit_reset() - a server has restarted: forget the limit that it
 * stated; messages on a limit that it stated before have no effect
 *
 * The warm-up stays: it is set before the process is known to be new.
 */
void bgap_rate_limit_reset (struct bgap_rate_limit *limit, int64_t now_ms);

/**
 * bgap_rate_limit_heard() - apply news of the limit unless newer ones are
 * known
 * @per_s: 0 for no limit
 * @age_ms: age of the news
 *
 * Return: whether the limit changed.
 */
bool bgap_rate_limit_heard (struct bgap_rate_limit *limit, int64_t now_ms,
                            double per_s, int64_t age_ms);

/**
 * bgap_rate_limit_set_cold() - set or end the warm-up of the server
 * @per_s: rate of permits, 0 for none
 * @left_ms: time until the server is warm, 0 if it is
 *
 * Return: whether there was no limit before and is one now.
 */
bool bgap_rate_limit_set_cold (struct bgap_rate_limit *limit, int64_t now_ms,
                               double per_s, int64_t left_ms);

/**
 * bgap_rate_limit_cold_per_s() - rate of permits if the server is cold, else 0
 */
double bgap_rate_limit_cold_per_s (const struct bgap_rate_limit *limit,
                                   int64_t now_ms);

/**
 * bgap_rate_limit_per_s() - the limit that applies, 0 for none
 */
double bgap_rate_limit_per_s (const struct bgap_rate_limit *limit,
                              int64_t now_ms);

/**
 * bgap_rate_limit_permits() - valid permits in stock
 */
uint32_t bgap_rate_limit_permits (const struct bgap_rate_limit *limit,
                                  int64_t now_ms);

/**
 * bgap_rate_limit_blocks() - whether the server has a limit and no permit is
 * in stock
 */
bool bgap_rate_limit_blocks (const struct bgap_rate_limit *limit,
                             int64_t now_ms);

/**
 * bgap_rate_limit_take() - use a permit for a request
 */
void bgap_rate_limit_take (struct bgap_rate_limit *limit, int64_t now_ms);

/**
 * bgap_rate_limit_ask() - decide whether to ask for permits now
 * @wanted: requests that wait for a permit; if there are fewer than before,
 *   the rest is withdrawn, so that others get the permits
 *
 * Return: whether to send the number limit->asked, which replaces the one that
 * was sent before.
 */
bool bgap_rate_limit_ask (struct bgap_rate_limit *limit, int64_t now_ms,
                          uint32_t wanted);

/**
 * bgap_rate_limit_source() - whom to ask, after bgap_rate_limit_ask()
 */
enum bgap_permit_source
bgap_rate_limit_source (const struct bgap_rate_limit *limit, int64_t now_ms);

/**
 * bgap_rate_limit_answered() - apply an answer of the issuer
 * @granted: number of permits
 * @wait_ms: time after which the issuer expects to have granted all the
 *   permits that were asked for
 * @age_ms: time since the permits were granted, at most; permits that are too
 *   old count as used if the server is cold
 */
void bgap_rate_limit_answered (struct bgap_rate_limit *limit, int64_t now_ms,
                               uint32_t granted, int64_t wait_ms,
                               int64_t age_ms);

/**
 * bgap_rate_limit_asked() - permits that were asked for, not granted yet and
 * not forgotten by the issuer
 */
uint32_t bgap_rate_limit_asked (const struct bgap_rate_limit *limit,
                                int64_t now_ms);

/**
 * bgap_rate_limit_wait_ms() - expected time until @count permits are there
 *
 * Return: milliseconds, 0 if there is no limit or it is not known.
 */
double bgap_rate_limit_wait_ms (const struct bgap_rate_limit *limit,
                                int64_t now_ms, uint32_t count);

#endif
