#include "banyangap/routing/permit_issuer.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "banyangap/base/array.h"
#include "banyangap/base/repeat.h"

/* Permits that are kept for instances that ask later: one, and those of this
   time, since instances are served at intervals.  */
#define BURST_MIN 1.0
#define BURST_S 0.05

/* News of a limit go to all instances if it differs by more than this part
   from what they were told.  */
#define NEWS_PART 0.1

/* Time after which a server that nobody asks for is forgotten.  */
#define ENTRY_TTL_MS 10000

#define MS_PER_S 1000.0

/* A message is lost if no connection to its receiver is open yet, which takes
   50 ms to 500 ms. An instance that starts is told within the second half of
   the longest interval.  */
static const struct bgap_repeat_desc news_repeats
    = { .first_ms = 400, .max_ms = 8000 };

/**
 * struct waiter - an instance that has asked for permits
 * @count: permits that it has not got yet
 * @turn: number of the last permit that it got, or of the last one before it
 *   asked; the smallest is served first
 * @stamp: of its last message
 * @granted: permits that it has not been told of
 * @reply_due: it has asked and was not answered
 */
struct waiter
{
  char instance[BGAP_ROUTING_NAME_SIZE];
  uint32_t count;
  int64_t rank;
  uint64_t turn;
  int64_t asked_ms;
  uint32_t stamp;
  uint32_t granted;
  bool reply_due;
};

/**
 * struct limited_server - a server for which instances ask
 * @per_s: the limit that it states, 0 for none
 * @heard_ms: time of that knowledge
 * @cold_per_s, @cold_until_ms: rate of permits while it is cold
 * @told_per_s: what all instances were told
 * @news: repeats of that, since the message may get lost
 * @share, @cold_share: part of each limit that this issuer may hand out
 * @permits: permits at hand, at @refilled_ms
 * @turns: permits handed out so far
 * @asked_ms: when an instance last asked
 */
struct limited_server
{
  uint64_t server;
  double per_s;
  int64_t heard_ms;
  double told_per_s;
  struct bgap_repeat news;
  double share;
  double cold_per_s;
  int64_t cold_until_ms;
  double cold_share;
  double permits;
  int64_t refilled_ms;
  uint64_t turns;
  int64_t asked_ms;
  struct waiter *waiters;
  uint32_t waiter_count;
  uint32_t waiter_capacity;
  UT_hash_handle hh;
};

struct bgap_permit_issuer
{
  struct limited_server *servers;
};

struct bgap_permit_issuer *
bgap_permit_issuer_new (void)
{
  return calloc (1, sizeof (struct bgap_permit_issuer));
}

static void
_bgap_issuer_free_server (struct bgap_permit_issuer *issuer,
                          struct limited_server *server)
{
  HASH_DEL (issuer->servers, server);
  free (server->waiters);
  free (server);
}

void
bgap_permit_issuer_free (struct bgap_permit_issuer *issuer)
{
  struct limited_server *server;
  struct limited_server *next;
  if (issuer == NULL)
    return;
  HASH_ITER (hh, issuer->servers, server, next)
  _bgap_issuer_free_server (issuer, server);
  free (issuer);
}

/* Permits.  */

static bool
_bgap_issuer_is_cold (const struct limited_server *server, int64_t now_ms)
{
  return server->cold_per_s > 0 && now_ms < server->cold_until_ms;
}

static double
_bgap_issuer_per_ms (const struct limited_server *server, int64_t now_ms)
{
  double stated = server->per_s * server->share / MS_PER_S;
  double cold = server->cold_per_s * server->cold_share / MS_PER_S;
  if (!_bgap_issuer_is_cold (server, now_ms))
    return stated;
  return server->per_s > 0 ? fmin (stated, cold) : cold;
}

static void
_bgap_issuer_refill (struct limited_server *server, int64_t now_ms)
{
  double per_ms = _bgap_issuer_per_ms (server, now_ms);
  double most = BURST_MIN + per_ms * MS_PER_S * BURST_S;
  double elapsed_ms = (double)(now_ms - server->refilled_ms);
  server->refilled_ms = now_ms;
  server->permits += elapsed_ms * per_ms;
  if (server->permits > most)
    server->permits = most;
}

/* Whether @waiter gets its next permit before @other.  */
static bool
_bgap_issuer_precedes (const struct waiter *waiter, const struct waiter *other)
{
  if (waiter->rank != other->rank)
    return waiter->rank < other->rank;
  return waiter->turn != other->turn ? waiter->turn < other->turn
                                     : waiter < other;
}

/* The waiter that gets the next permit, or NULL.  */
static struct waiter *
_bgap_issuer_next_waiter (const struct limited_server *server)
{
  struct waiter *best = NULL;
  for (uint32_t i = 0; i < server->waiter_count; i++)
    {
      struct waiter *waiter = &server->waiters[i];
      if (waiter->count > 0
          && (best == NULL || _bgap_issuer_precedes (waiter, best)))
        best = waiter;
    }
  return best;
}

static void
_bgap_issuer_drop_expired (struct limited_server *server, int64_t now_ms)
{
  uint32_t kept = 0;
  for (uint32_t i = 0; i < server->waiter_count; i++)
    if (now_ms - server->waiters[i].asked_ms < BGAP_ISSUER_ASK_TTL_MS)
      server->waiters[kept++] = server->waiters[i];
  server->waiter_count = kept;
}

static void
_bgap_issuer_grant (struct limited_server *server, int64_t now_ms)
{
  struct waiter *waiter;
  _bgap_issuer_refill (server, now_ms);
  while (server->permits >= 1
         && (waiter = _bgap_issuer_next_waiter (server)) != NULL)
    {
      server->permits--;
      waiter->count--;
      waiter->granted++;
      waiter->turn = ++server->turns;
    }
}

/* Permits that @other gets before @waiter has got all of its own. Waiters of
   one rank are served in turn.  */
static uint32_t
_bgap_issuer_before (const struct waiter *waiter, const struct waiter *other)
{
  if (other->rank > waiter->rank)
    return 0;
  if (other->rank < waiter->rank)
    return other->count;
  uint32_t rounds = _bgap_issuer_precedes (other, waiter) ? waiter->count
                                                          : waiter->count - 1;
  return other->count < rounds ? other->count : rounds;
}

/* Time until the waiter has got all its permits, if nobody else asks.  */
static int64_t
_bgap_issuer_waiter_wait_ms (const struct limited_server *server,
                             int64_t now_ms, const struct waiter *waiter)
{
  double per_ms = _bgap_issuer_per_ms (server, now_ms);
  uint32_t before = waiter->count;
  if (waiter->count == 0)
    return 0;
  if (per_ms <= 0)
    return BGAP_ISSUER_ASK_TTL_MS;
  for (uint32_t i = 0; i < server->waiter_count; i++)
    if (&server->waiters[i] != waiter)
      before += _bgap_issuer_before (waiter, &server->waiters[i]);
  double ms = (before - server->permits) / per_ms;
  return ms > 0 && ms < INT32_MAX ? (int64_t)ms : 0;
}

/* Messages of instances.  */

static void
_bgap_issuer_forget_unused (struct bgap_permit_issuer *issuer, int64_t now_ms)
{
  struct limited_server *server;
  struct limited_server *next;
  HASH_ITER (hh, issuer->servers, server, next)
  if (now_ms - server->asked_ms > ENTRY_TTL_MS)
    _bgap_issuer_free_server (issuer, server);
}

static struct limited_server *
_bgap_issuer_server (struct bgap_permit_issuer *issuer, int64_t now_ms,
                     const struct bgap_permit_ask *ask)
{
  struct limited_server *server;
  HASH_FIND (hh, issuer->servers, &ask->server, sizeof ask->server, server);
  if (server != NULL)
    return server;
  _bgap_issuer_forget_unused (issuer, now_ms);
  server = calloc (1, sizeof *server);
  if (server == NULL)
    return NULL;
  server->server = ask->server;
  server->heard_ms = now_ms - ask->age_ms - 1;
  server->refilled_ms = now_ms;
  server->share = ask->share;
  HASH_ADD (hh, issuer->servers, server, sizeof server->server, server);
  return server;
}

static struct waiter *
_bgap_issuer_waiter (struct limited_server *server, const char *instance)
{
  for (uint32_t i = 0; i < server->waiter_count; i++)
    if (strcmp (server->waiters[i].instance, instance) == 0)
      return &server->waiters[i];
  if (bgap_array_reserve (&server->waiters, &server->waiter_capacity,
                          server->waiter_count + 1, sizeof *server->waiters)
      != BGAP_OK)
    return NULL;
  struct waiter *waiter = &server->waiters[server->waiter_count++];
  *waiter = (struct waiter){ .turn = server->turns };
  snprintf (waiter->instance, sizeof waiter->instance, "%s", instance);
  return waiter;
}

static void
_bgap_issuer_hear (struct limited_server *server, int64_t now_ms,
                   const struct bgap_permit_ask *ask)
{
  int64_t heard_ms = now_ms - ask->age_ms;
  if (heard_ms <= server->heard_ms)
    return;
  _bgap_issuer_refill (server, now_ms);
  server->heard_ms = heard_ms;
  server->per_s = ask->per_s;
}

/* An instance that knows of no warm-up, or of an earlier end, may have read an
   older registration, so that one that is known ends by its time only. A later
   end costs nothing: instances that know that the server is warm do not ask,
   or only because of the limit that it states.  */
static void
_bgap_issuer_hear_cold (struct limited_server *server, int64_t now_ms,
                        const struct bgap_permit_ask *ask)
{
  int64_t until_ms = now_ms + ask->cold_left_ms;
  server->cold_share = ask->cold_share;
  if (ask->cold_per_s <= 0)
    return;
  server->cold_per_s = ask->cold_per_s;
  if (until_ms > server->cold_until_ms)
    server->cold_until_ms = until_ms;
}

enum bgap_status
bgap_permit_issuer_ask (struct bgap_permit_issuer *issuer, int64_t now_ms,
                        const struct bgap_permit_ask *ask)
{
  struct limited_server *server = _bgap_issuer_server (issuer, now_ms, ask);
  if (server == NULL)
    return BGAP_ERR_NO_MEMORY;
  _bgap_issuer_hear (server, now_ms, ask);
  _bgap_issuer_refill (server, now_ms);
  server->share = ask->share;
  _bgap_issuer_hear_cold (server, now_ms, ask);
  server->asked_ms = now_ms;
  uint32_t count_before = server->waiter_count;
  struct waiter *waiter = _bgap_issuer_waiter (server, ask->instance);
  if (waiter == NULL)
    return BGAP_ERR_NO_MEMORY;
  /* An answer to the first message opens the connection for later ones.  */
  bool is_new = server->waiter_count > count_before;
  bool is_limited = server->per_s > 0 || _bgap_issuer_is_cold (server, now_ms);
  waiter->count = is_limited ? ask->count : 0;
  waiter->rank = ask->rank;
  waiter->stamp = ask->stamp;
  waiter->asked_ms = now_ms;
  waiter->reply_due = ask->count > 0 || is_new;
  return BGAP_OK;
}

/* Messages to instances.  */

static bool
_bgap_issuer_has_news (const struct limited_server *server)
{
  double change = server->per_s > server->told_per_s
                      ? server->per_s - server->told_per_s
                      : server->told_per_s - server->per_s;
  if (server->per_s == 0 || server->told_per_s == 0)
    return change > 0;
  return change > NEWS_PART * server->told_per_s;
}

/* Whether all instances are to be told of the limit now. Repeats end when
   nobody asks for the server any more: the limit may be outdated then.  */
static bool
_bgap_issuer_take_news (struct limited_server *server, int64_t now_ms)
{
  if (!_bgap_issuer_has_news (server))
    return now_ms - server->asked_ms <= ENTRY_TTL_MS
           && bgap_repeat_take (&server->news, now_ms);
  server->told_per_s = server->per_s;
  server->news = (struct bgap_repeat){ 0 };
  if (server->per_s > 0)
    bgap_repeat_begin (&server->news, now_ms, &news_repeats);
  return true;
}

static struct bgap_permit_answer
_bgap_issuer_answer (const struct limited_server *server, int64_t now_ms)
{
  return (struct bgap_permit_answer){
    .server = server->server,
    .per_s = server->per_s,
    .age_ms = now_ms - server->heard_ms,
  };
}

static bool
_bgap_issuer_next_of (struct limited_server *server, int64_t now_ms,
                      struct bgap_permit_answer *answer)
{
  *answer = _bgap_issuer_answer (server, now_ms);
  if (_bgap_issuer_take_news (server, now_ms))
    return true;
  _bgap_issuer_drop_expired (server, now_ms);
  _bgap_issuer_grant (server, now_ms);
  for (uint32_t i = 0; i < server->waiter_count; i++)
    {
      struct waiter *waiter = &server->waiters[i];
      if (waiter->granted == 0 && !waiter->reply_due)
        continue;
      answer->instance = waiter->instance;
      answer->count = waiter->granted;
      answer->wait_ms = _bgap_issuer_waiter_wait_ms (server, now_ms, waiter);
      if (waiter->stamp != 0)
        answer->stamp = waiter->stamp + (uint32_t)(now_ms - waiter->asked_ms);
      waiter->granted = 0;
      waiter->reply_due = false;
      return true;
    }
  return false;
}

bool
bgap_permit_issuer_next (struct bgap_permit_issuer *issuer, int64_t now_ms,
                         struct bgap_permit_answer *answer)
{
  for (struct limited_server *server = issuer->servers; server != NULL;
       server = server->hh.next)
    if (_bgap_issuer_next_of (server, now_ms, answer))
      return true;
  return false;
}

int64_t
bgap_permit_issuer_wait_ms (const struct bgap_permit_issuer *issuer,
                            int64_t now_ms, int64_t most_ms)
{
  int64_t wait_ms = most_ms;
  for (const struct limited_server *server = issuer->servers; server != NULL;
       server = server->hh.next)
    {
      double per_ms = _bgap_issuer_per_ms (server, now_ms);
      if (per_ms <= 0 || _bgap_issuer_next_waiter (server) == NULL)
        continue;
      double ms = (1 - server->permits) / per_ms
                  - (double)(now_ms - server->refilled_ms);
      if (ms < (double)wait_ms)
        wait_ms = ms > 0 ? (int64_t)ms + 1 : 0;
    }
  return wait_ms;
}
