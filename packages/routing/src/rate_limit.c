#include "banyangap/routing/rate_limit.h"

#include <math.h>

/* Time after which waiting requests are asked for again, so that a lost
   message costs no more. The issuer forgets them after
   BGAP_ISSUER_ASK_TTL_MS.  */
#define ASK_INTERVAL_MS 300

/* Time for which a wait that the issuer stated is used.  */
#define WAIT_VALID_MS 1000

#define THOUSAND 1000.0

double
bgap_rate_limit_clamp (double per_s)
{
  if (per_s > BGAP_RATE_LIMIT_MAX_PER_S)
    return 0;
  if (per_s < BGAP_RATE_LIMIT_MIN_PER_S)
    return BGAP_RATE_LIMIT_MIN_PER_S;
  return round (per_s * THOUSAND) / THOUSAND;
}

void
bgap_rate_limit_reset (struct bgap_rate_limit *limit, int64_t now_ms)
{
  *limit = (struct bgap_rate_limit){ .heard_ms = now_ms,
                                     .is_known = true,
                                     .cold_per_s = limit->cold_per_s,
                                     .cold_until_ms = limit->cold_until_ms };
  limit->unanswered_since_ms = now_ms;
}

double
bgap_rate_limit_cold_per_s (const struct bgap_rate_limit *limit,
                            int64_t now_ms)
{
  return now_ms < limit->cold_until_ms ? limit->cold_per_s : 0;
}

double
bgap_rate_limit_per_s (const struct bgap_rate_limit *limit, int64_t now_ms)
{
  double cold_per_s = bgap_rate_limit_cold_per_s (limit, now_ms);
  if (cold_per_s == 0 || limit->per_s == 0)
    return cold_per_s + limit->per_s;
  return fmin (cold_per_s, limit->per_s);
}

bool
bgap_rate_limit_set_cold (struct bgap_rate_limit *limit, int64_t now_ms,
                          double per_s, int64_t left_ms)
{
  bool was_limited = bgap_rate_limit_per_s (limit, now_ms) > 0;
  limit->cold_per_s = per_s;
  limit->cold_until_ms = per_s > 0 && left_ms > 0 ? now_ms + left_ms : 0;
  if (was_limited || bgap_rate_limit_per_s (limit, now_ms) == 0)
    return false;
  limit->permits = 0;
  limit->asked = 0;
  limit->unanswered_since_ms = now_ms;
  return true;
}

bool
bgap_rate_limit_heard (struct bgap_rate_limit *limit, int64_t now_ms,
                       double per_s, int64_t age_ms)
{
  int64_t heard_ms = now_ms - age_ms;
  if (limit->is_known && heard_ms < limit->heard_ms)
    return false;
  bool changed = per_s != limit->per_s;
  limit->heard_ms = heard_ms;
  limit->is_known = limit->is_known || per_s > 0;
  if (!changed)
    return false;
  limit->per_s = per_s;
  if (bgap_rate_limit_per_s (limit, now_ms) == 0)
    {
      limit->permits = 0;
      limit->asked = 0;
    }
  if (limit->asked == 0)
    limit->unanswered_since_ms = now_ms;
  return true;
}

uint32_t
bgap_rate_limit_permits (const struct bgap_rate_limit *limit, int64_t now_ms)
{
  return now_ms < limit->permits_until_ms ? limit->permits : 0;
}

bool
bgap_rate_limit_blocks (const struct bgap_rate_limit *limit, int64_t now_ms)
{
  return bgap_rate_limit_per_s (limit, now_ms) > 0
         && bgap_rate_limit_permits (limit, now_ms) == 0;
}

void
bgap_rate_limit_take (struct bgap_rate_limit *limit, int64_t now_ms)
{
  if (bgap_rate_limit_per_s (limit, now_ms) > 0
      && bgap_rate_limit_permits (limit, now_ms) > 0)
    limit->permits--;
}

uint32_t
bgap_rate_limit_asked (const struct bgap_rate_limit *limit, int64_t now_ms)
{
  return bgap_rate_limit_per_s (limit, now_ms) > 0
                 && now_ms - limit->asked_ms < BGAP_ISSUER_ASK_TTL_MS
             ? limit->asked
             : 0;
}

bool
bgap_rate_limit_ask (struct bgap_rate_limit *limit, int64_t now_ms,
                     uint32_t wanted)
{
  int64_t age_ms = now_ms - limit->asked_ms;
  uint32_t asked = bgap_rate_limit_asked (limit, now_ms);
  uint32_t stock = bgap_rate_limit_permits (limit, now_ms);
  bool is_waiting = asked > 0 && !limit->is_answered;
  bool timed_out = is_waiting && age_ms >= BGAP_ISSUER_TIMEOUT_MS;
  wanted -= wanted < stock ? wanted : stock;
  if (wanted > BGAP_PERMITS_MAX)
    wanted = BGAP_PERMITS_MAX;
  bool is_limited = bgap_rate_limit_per_s (limit, now_ms) > 0;
  if (!is_limited || (wanted == 0 && asked == 0))
    return false;
  /* One message at a time is under way, whatever the number of requests.  */
  if (is_waiting && !timed_out)
    return false;
  if (wanted == asked && !timed_out && age_ms < ASK_INTERVAL_MS)
    return false;
  if (timed_out)
    limit->standby_until_ms
        = now_ms < limit->standby_until_ms ? now_ms : now_ms + BGAP_STANDBY_MS;
  if (!is_waiting)
    limit->unanswered_since_ms = now_ms;
  limit->asked = wanted;
  limit->asked_ms = now_ms;
  limit->is_answered = false;
  return true;
}

enum bgap_permit_source
bgap_rate_limit_source (const struct bgap_rate_limit *limit, int64_t now_ms)
{
  if (now_ms - limit->unanswered_since_ms >= BGAP_ISSUERS_LOST_MS)
    return BGAP_PERMITS_OF_SELF;
  return now_ms < limit->standby_until_ms ? BGAP_PERMITS_OF_STANDBY
                                          : BGAP_PERMITS_OF_ISSUER;
}

void
bgap_rate_limit_answered (struct bgap_rate_limit *limit, int64_t now_ms,
                          uint32_t granted, int64_t wait_ms, int64_t age_ms)
{
  bool is_cold = bgap_rate_limit_cold_per_s (limit, now_ms) > 0;
  int64_t valid_ms
      = is_cold ? BGAP_COLD_PERMIT_VALID_MS - age_ms : BGAP_PERMIT_VALID_MS;
  uint32_t stock = bgap_rate_limit_permits (limit, now_ms);
  limit->is_answered = true;
  limit->answered_ms = now_ms;
  limit->asked -= granted < limit->asked ? granted : limit->asked;
  limit->wait_ms
      = limit->asked > 0 ? (double)wait_ms / limit->asked : (double)wait_ms;
  if (granted == 0 || valid_ms <= 0
      || bgap_rate_limit_per_s (limit, now_ms) == 0)
    return;
  if (stock == 0)
    limit->permits_until_ms = now_ms + valid_ms;
  limit->permits = stock + granted;
}

double
bgap_rate_limit_wait_ms (const struct bgap_rate_limit *limit, int64_t now_ms,
                         uint32_t count)
{
  uint32_t stock = bgap_rate_limit_permits (limit, now_ms);
  int64_t age_ms = now_ms - limit->answered_ms;
  bool is_limited = bgap_rate_limit_per_s (limit, now_ms) > 0;
  if (!is_limited || count <= stock || age_ms > WAIT_VALID_MS)
    return 0;
  double ms = limit->wait_ms * (count - stock) - (double)age_ms;
  return ms > 0 ? ms : 0;
}
