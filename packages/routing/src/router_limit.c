#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/base/array.h"
#include "banyangap/base/hash.h"
#include "router_parts.h"

/* Permits that an instance asks for in advance, for requests that it sends
   elsewhere meanwhile.  */
#define PERMITS_AHEAD 2u

/* Part of a limit that the standby of an issuer hands out, and all other
   instances together. They may all do so for a while, since none of them can
   tell whether the issuer has ended or is only cut off from some instances. */
#define STANDBY_SHARE 0.25
#define OTHERS_SHARE 0.25

/* Time for which an instance that has left the list stays the issuer: the list
   may have been incomplete.  */
#define DEPARTED_MS 2000

#define THOUSAND 1000.0

/* Issuers.  */

static bool
_bgap_limit_may_issue (const struct bgap_router_peer_instance *instance,
                       int64_t now_ms)
{
  return !instance->departed || now_ms - instance->departed_ms < DEPARTED_MS;
}

static struct bgap_router_issuers
_bgap_limit_issuers (const struct bgap_router_state *state, int64_t now_ms,
                     uint64_t server)
{
  struct bgap_router_issuers issuers = { 0 };
  uint64_t first = 0;
  uint64_t second = 0;
  for (uint32_t i = 0; i < state->instance_count; i++)
    {
      const struct bgap_router_peer_instance *instance = &state->instances[i];
      if (!_bgap_limit_may_issue (instance, now_ms))
        continue;
      uint64_t weight = bgap_rendezvous_weight (server, instance->name);
      if (issuers.first == NULL || weight > first)
        {
          issuers.second = issuers.first;
          second = first;
          issuers.first = instance->name;
          first = weight;
        }
      else if (issuers.second == NULL || weight > second)
        {
          issuers.second = instance->name;
          second = weight;
        }
    }
  if (issuers.first == NULL)
    issuers.first = state->instance;
  return issuers;
}

/* Part of a limit that this instance may hand out.  */
static double
_bgap_limit_share (const struct bgap_router_state *state,
                   const struct bgap_router_issuers *issuers)
{
  if (strcmp (issuers->first, state->instance) == 0)
    return 1;
  if (issuers->second != NULL
      && strcmp (issuers->second, state->instance) == 0)
    return STANDBY_SHARE;
  return OTHERS_SHARE / state->instance_count;
}

enum bgap_status
bgap_router_set_instances (struct bgap_router *router, int64_t now_ms,
                           const struct bgap_router_instance *instances,
                           uint32_t count)
{
  struct bgap_router_state *state = router->state;
  if (bgap_array_reserve (&state->instances, &state->instance_capacity, count,
                          sizeof *state->instances)
      != BGAP_OK)
    return BGAP_ERR_NO_MEMORY;
  state->instance_count = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      struct bgap_router_peer_instance *instance
          = &state->instances[state->instance_count];
      if (strlen (instances[i].name) >= sizeof instance->name)
        continue;
      snprintf (instance->name, sizeof instance->name, "%s",
                instances[i].name);
      instance->departed = instances[i].departed;
      instance->departed_ms = now_ms - instances[i].departed_for_ms;
      state->instance_count++;
    }
  bgap_router_note_listed (state, now_ms);
  return BGAP_OK;
}

/* Sending.  */

static void
_bgap_limit_send (struct bgap_router_state *state, const char *instance,
                  enum bgap_routing_message kind,
                  const struct bgap_routing_permits *permits)
{
  struct bgap_buffer message = { 0 };
  if (bgap_routing_encode_permits (&message, permits) == BGAP_OK)
    bgap_router_emit (state, &(struct bgap_router_action){
                                 .kind = instance != NULL
                                             ? BGAP_ROUTER_ACTION_SEND_INSTANCE
                                             : BGAP_ROUTER_ACTION_SEND_PEER,
                                 .instance = instance,
                                 .peer_kind = kind,
                                 .bytes = message.data,
                                 .size = message.size });
  bgap_buffer_shutdown (&message);
}

static void
_bgap_limit_dispatch_waiting (struct bgap_router_state *state, int64_t now_ms,
                              struct bgap_router_server *server)
{
  struct bgap_router_service *service
      = bgap_router_service (state, server->server.service.id);
  bgap_router_dispatch_holder_queue (state, now_ms, server);
  if (service != NULL)
    bgap_router_dispatch_queue (state, now_ms, service);
}

void
bgap_router_hear_limit (struct bgap_router_state *state,
                        struct bgap_router_server *server, int64_t now_ms,
                        double per_s, int64_t age_ms)
{
  struct bgap_router_service *service
      = bgap_router_service (state, server->server.service.id);
  if (bgap_rate_limit_heard (&server->server.rate_limit, now_ms, per_s, age_ms)
      && service != NULL)
    service->has_limits = service->has_limits || per_s > 0;
}

/* The time as it is stated in messages: never 0, which means none.  */
static uint32_t
_bgap_limit_stamp (int64_t now_ms)
{
  return (uint32_t)now_ms | 1u;
}

/* Time since permits with this stamp were granted, at most. Without a stamp
   they were asked for before the server was known to be cold.  */
static int64_t
_bgap_limit_age_ms (int64_t now_ms, uint32_t stamp)
{
  if (stamp == 0)
    return BGAP_COLD_PERMIT_VALID_MS;
  int32_t age_ms = (int32_t)(_bgap_limit_stamp (now_ms) - stamp);
  return age_ms > 0 ? age_ms : 0;
}

/* Applies news of a limit, and permits if there are any.  */
static void
_bgap_limit_on_answer (struct bgap_router_state *state, int64_t now_ms,
                       const struct bgap_routing_permits *permits,
                       bool is_answer)
{
  struct bgap_router_server *server
      = bgap_router_hash_find (state, permits->server);
  if (server == NULL)
    return;
  bgap_router_hear_limit (state, server, now_ms,
                          (double)permits->limit_thousandths / THOUSAND,
                          permits->limit_age_ms);
  if (is_answer)
    bgap_rate_limit_answered (&server->server.rate_limit, now_ms,
                              permits->count, permits->wait_ms,
                              _bgap_limit_age_ms (now_ms, permits->stamp));
  _bgap_limit_dispatch_waiting (state, now_ms, server);
}

/* Permits that this instance hands out.  */

static struct bgap_routing_permits
_bgap_limit_message (const struct bgap_permit_answer *answer)
{
  return (struct bgap_routing_permits){
    .server = answer->server,
    .count = answer->count,
    .wait_ms = (uint32_t)answer->wait_ms,
    .limit_thousandths = (uint64_t)llround (answer->per_s * THOUSAND),
    .limit_age_ms = (uint32_t)answer->age_ms,
    .stamp = answer->stamp,
  };
}

/* An answer may let waiting requests be sent, which ask for more permits. The
   loop then continues with these.  */
void
bgap_router_issue_permits (struct bgap_router_state *state, int64_t now_ms)
{
  struct bgap_permit_answer answer;
  if (state->issuing)
    return;
  state->issuing = true;
  while (bgap_permit_issuer_next (state->issuer, now_ms, &answer))
    {
      const struct bgap_routing_permits message
          = _bgap_limit_message (&answer);
      bool is_news = answer.instance == NULL;
      bool is_own = !is_news && strcmp (answer.instance, state->instance) == 0;
      if (!is_own)
        _bgap_limit_send (state, answer.instance,
                          is_news ? BGAP_ROUTING_MESSAGE_RATE_LIMITS
                                  : BGAP_ROUTING_MESSAGE_PERMITS,
                          &message);
      if (is_news || is_own)
        _bgap_limit_on_answer (state, now_ms, &message, is_own);
    }
  state->issuing = false;
}

/* Sets the warm-up of the server as the sender or this instance knows it: the
   later end of the two.  */
static void
_bgap_limit_read_cold (const struct bgap_router_state *state, int64_t now_ms,
                       const struct bgap_routing_permits *wanted,
                       struct bgap_permit_ask *ask)
{
  const struct bgap_router_server *server
      = bgap_router_hash_find (state, wanted->server);
  ask->cold_per_s = (double)wanted->cold_thousandths / THOUSAND;
  ask->cold_left_ms = wanted->cold_left_ms;
  if (server == NULL)
    return;
  const struct bgap_rate_limit *limit = &server->server.rate_limit;
  double own_per_s = bgap_rate_limit_cold_per_s (limit, now_ms);
  int64_t own_left_ms = limit->cold_until_ms - now_ms;
  if (own_per_s <= 0 || own_left_ms <= ask->cold_left_ms)
    return;
  ask->cold_per_s = own_per_s;
  ask->cold_left_ms = own_left_ms;
}

static void
_bgap_limit_on_wanted (struct bgap_router_state *state, int64_t now_ms,
                       const char *from,
                       const struct bgap_routing_permits *wanted)
{
  const struct bgap_router_issuers issuers
      = _bgap_limit_issuers (state, now_ms, wanted->server);
  struct bgap_permit_ask ask = {
    .server = wanted->server,
    .instance = from,
    .count
    = wanted->count < BGAP_PERMITS_MAX ? wanted->count : BGAP_PERMITS_MAX,
    .rank = wanted->rank,
    .per_s = (double)wanted->limit_thousandths / THOUSAND,
    .age_ms = wanted->limit_age_ms,
    .share = _bgap_limit_share (state, &issuers),
    .cold_share
    = bgap_router_cold_share (state, now_ms, wanted->server, &issuers),
    .stamp = wanted->stamp,
  };
  _bgap_limit_read_cold (state, now_ms, wanted, &ask);
  /* Without an answer the instance asks another one.  */
  if (ask.cold_per_s > 0 && ask.cold_share <= 0)
    return;
  /* Without memory it is as if the message was lost; the instance asks
     again.  */
  if (bgap_permit_issuer_ask (state->issuer, now_ms, &ask) == BGAP_OK)
    bgap_router_issue_permits (state, now_ms);
}

/* Asking.  */

static const char *
_bgap_limit_instance_to_ask (const struct bgap_router_state *state,
                             int64_t now_ms, const struct bgap_server *server)
{
  const struct bgap_router_issuers issuers
      = _bgap_limit_issuers (state, now_ms, server->hash_full);
  bool is_cold = bgap_rate_limit_cold_per_s (&server->rate_limit, now_ms) > 0;
  switch (bgap_rate_limit_source (&server->rate_limit, now_ms))
    {
    case BGAP_PERMITS_OF_SELF:
      return state->instance;
    case BGAP_PERMITS_OF_STANDBY:
      return issuers.second != NULL ? issuers.second : issuers.first;
    case BGAP_PERMITS_OF_ISSUER:
      break;
    }
  /* An issuer that may not hand out any asks its standby.  */
  if (is_cold && issuers.second != NULL
      && strcmp (issuers.first, state->instance) == 0
      && bgap_router_cold_share (state, now_ms, server->hash_full, &issuers)
             <= 0)
    return issuers.second;
  return issuers.first;
}

static bool
_bgap_limit_may_issue_cold (const struct bgap_router_state *state,
                            int64_t now_ms, const struct bgap_server *server)
{
  const struct bgap_router_issuers issuers
      = _bgap_limit_issuers (state, now_ms, server->hash_full);
  return bgap_router_cold_share (state, now_ms, server->hash_full, &issuers)
         > 0;
}

static void
_bgap_limit_ask (struct bgap_router_state *state, int64_t now_ms,
                 struct bgap_server *server, uint32_t count, int64_t rank)
{
  const struct bgap_rate_limit *limit = &server->rate_limit;
  const char *issuer = _bgap_limit_instance_to_ask (state, now_ms, server);
  double cold_per_s = bgap_rate_limit_cold_per_s (limit, now_ms);
  int64_t cold_left_ms = limit->cold_until_ms - now_ms;
  int64_t age_ms = now_ms - limit->heard_ms;
  const struct bgap_routing_permits wanted = {
    .server = server->hash_full,
    .count = count,
    .rank = (uint32_t)rank,
    .limit_thousandths = (uint64_t)llround (limit->per_s * THOUSAND),
    .limit_age_ms = (uint32_t)(age_ms < UINT32_MAX ? age_ms : UINT32_MAX),
    .stamp = cold_per_s > 0 ? _bgap_limit_stamp (now_ms) : 0,
    .cold_thousandths = (uint64_t)llround (cold_per_s * THOUSAND),
    .cold_left_ms
    = cold_per_s > 0
          ? (uint32_t)(cold_left_ms < UINT32_MAX ? cold_left_ms : UINT32_MAX)
          : 0,
  };
  if (strcmp (issuer, state->instance) != 0)
    _bgap_limit_send (state, issuer, BGAP_ROUTING_MESSAGE_PERMITS_WANTED,
                      &wanted);
  else if (cold_per_s > 0
           && !_bgap_limit_may_issue_cold (state, now_ms, server))
    {
      bgap_router_take_own_permit (state, now_ms, server);
      _bgap_limit_dispatch_waiting (state, now_ms,
                                    (struct bgap_router_server *)server);
    }
  else
    _bgap_limit_on_wanted (state, now_ms, state->instance, &wanted);
}

void
bgap_router_want_permits (struct bgap_router_state *state, int64_t now_ms,
                          struct bgap_server *server, uint32_t wanted,
                          int64_t rank)
{
  if (bgap_rate_limit_ask (&server->rate_limit, now_ms, wanted))
    _bgap_limit_ask (state, now_ms, server, server->rate_limit.asked, rank);
}

/* Permits that were asked for at servers of the service and not granted.  */
static uint32_t
_bgap_limit_asked (const struct bgap_router_service *service, int64_t now_ms)
{
  uint32_t asked = 0;
  for (uint32_t i = 0; i < service->server_count; i++)
    asked += bgap_rate_limit_asked (&service->servers[i]->rate_limit, now_ms);
  return asked;
}

/* Requests without keys that could use a permit before it expires: those that
   wait, and some of those that will come, which are sent elsewhere if there is
   no permit.  */
static uint32_t
_bgap_limit_wanted (const struct bgap_router_service *service, int64_t now_ms)
{
  uint32_t recent = bgap_window_count_get (&service->arrivals, now_ms);
  uint32_t ahead = recent * BGAP_PERMIT_VALID_MS / BGAP_WINDOW_MS;
  return service->queue.count
         + (ahead < PERMITS_AHEAD ? ahead : PERMITS_AHEAD);
}

static void
_bgap_limit_withdraw (struct bgap_router_state *state, int64_t now_ms,
                      struct bgap_router_service *service, uint32_t count)
{
  for (uint32_t i = 0; count > 0 && i < service->server_count; i++)
    {
      struct bgap_server *server = service->servers[i];
      if (bgap_rate_limit_asked (&server->rate_limit, now_ms) == 0)
        continue;
      bgap_router_want_permits (state, now_ms, server, 0, 0);
      count--;
    }
}

void
bgap_router_want_any_permits (struct bgap_router_state *state, int64_t now_ms,
                              struct bgap_router_service *service,
                              int64_t rank)
{
  if (!service->has_limits || service->desc.keyed)
    return;
  uint32_t wanted = _bgap_limit_wanted (service, now_ms);
  uint32_t asked = _bgap_limit_asked (service, now_ms);
  if (asked > wanted)
    _bgap_limit_withdraw (state, now_ms, service, asked - wanted);
  for (; asked < wanted; asked++)
    {
      const struct bgap_balancer_query query = {
        .servers = service->servers,
        .count = service->server_count,
        .without_permits = true,
      };
      struct bgap_server *server
          = bgap_balancer_pick (&service->balancer, now_ms, &query);
      if (server == NULL
          || !bgap_rate_limit_blocks (&server->rate_limit, now_ms))
        return;
      bgap_router_want_permits (state, now_ms, server, 1, rank);
    }
}

void
bgap_router_server_rate_limit (struct bgap_router *router, int64_t now_ms,
                               struct bgap_server_id server_id, double per_s)
{
  struct bgap_router_state *state = router->state;
  struct bgap_router_server *server = bgap_router_server (state, server_id.id);
  if (server == NULL)
    return;
  bool was_limited = server->server.rate_limit.per_s > 0;
  bgap_router_hear_limit (state, server, now_ms, per_s, 0);
  bool is_limited = server->server.rate_limit.per_s > 0;
  if (was_limited == is_limited)
    return;
  /* Through the issuer the others learn it, too.  */
  _bgap_limit_ask (state, now_ms, &server->server, 0, 0);
  _bgap_limit_dispatch_waiting (state, now_ms, server);
}

void
bgap_router_server_cold (struct bgap_router *router, int64_t now_ms,
                         struct bgap_server_id server_id, double per_s,
                         int64_t left_ms)
{
  struct bgap_router_state *state = router->state;
  struct bgap_router_server *server = bgap_router_server (state, server_id.id);
  if (server == NULL)
    return;
  struct bgap_router_service *service
      = bgap_router_service (state, server->server.service.id);
  bgap_rate_limit_set_cold (&server->server.rate_limit, now_ms, per_s,
                            left_ms);
  if (service != NULL && left_ms > 0)
    service->has_limits = true;
  if (left_ms <= 0)
    _bgap_limit_dispatch_waiting (state, now_ms, server);
}

/* Messages of other instances.  */

enum bgap_status
bgap_router_on_permits (struct bgap_router_state *state, int64_t now_ms,
                        const char *from, int kind, const void *bytes,
                        size_t size, struct bgap_error *err)
{
  struct bgap_routing_permits permits;
  enum bgap_status status
      = bgap_routing_decode_permits (bytes, size, &permits, err);
  if (status != BGAP_OK)
    return status;
  if (kind == BGAP_ROUTING_MESSAGE_PERMITS_WANTED)
    _bgap_limit_on_wanted (state, now_ms, from, &permits);
  else
    _bgap_limit_on_answer (state, now_ms, &permits,
                           kind == BGAP_ROUTING_MESSAGE_PERMITS);
  return BGAP_OK;
}

void
bgap_router_tick_limits (struct bgap_router_state *state, int64_t now_ms)
{
  for (uint32_t id = bgap_pool_next (&state->services, BGAP_INVALID_ID);
       id != BGAP_INVALID_ID; id = bgap_pool_next (&state->services, id))
    {
      struct bgap_router_service *service = bgap_router_service (state, id);
      bool has_limits = false;
      for (uint32_t i = 0; service->has_limits && i < service->server_count;
           i++)
        has_limits = has_limits
                     || bgap_rate_limit_per_s (
                            &service->servers[i]->rate_limit, now_ms)
                            > 0;
      service->has_limits = has_limits;
    }
  bgap_router_issue_permits (state, now_ms);
}
