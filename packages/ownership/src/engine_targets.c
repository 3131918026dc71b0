#include "engine_private.h"

#include <stdlib.h>
#include <string.h>

#include "banyangap/base/hash.h"

struct bgap_renew_target *
bgap_engine_find_target (struct bgap_engine *engine, const char *name)
{
  for (uint32_t i = 0; i < engine->target_count; i++)
    if (strcmp (engine->targets[i].name, name) == 0)
      return &engine->targets[i];
  return NULL;
}

/* Adds the target @name of @server, with its state in @old if it is there.  */
static void
_bgap_engine_add_target (struct bgap_engine *engine,
                         const struct bgap_renew_target *old,
                         uint32_t old_count, const char *name,
                         const struct bgap_engine_server *server,
                         int32_t member, bool leaving)
{
  if (engine->target_count == BGAP_ENGINE_SERVERS_MAX
      || strlen (name) >= BGAP_NAME_SIZE
      || bgap_engine_find_target (engine, name))
    return;
  struct bgap_renew_target *target = &engine->targets[engine->target_count++];
  *target = (struct bgap_renew_target){ .watch_start_ms = engine->now_ms,
                                        .own.last_reply_ms = -1,
                                        .merged.last_reply_ms = -1,
                                        .last_hello_ms = -BGAP_RENEW_MS };
  for (uint32_t i = 0; i < old_count; i++)
    if (strcmp (old[i].name, name) == 0)
      *target = old[i];
  memcpy (target->name, name, strlen (name) + 1);
  memcpy (target->server, server->name, strlen (server->name) + 1);
  memcpy (target->zone, server->zone, strlen (server->zone) + 1);
  memcpy (target->service, server->service, strlen (server->service) + 1);
  target->member = member;
  target->slots = server->slots ? server->slots : 1;
  target->leaving = leaving;
}

/* Returns the instance if the holder's name is "<server>@<instance>", else
   NULL.  */
static const char *
_bgap_proxy_instance (const char *holder, const char *server)
{
  size_t length = strlen (server);
  if (strncmp (holder, server, length) != 0 || holder[length] != '@')
    return NULL;
  return holder + length + 1;
}

/* Number of slices of a service that a holder holds.  */
static uint32_t
_bgap_engine_count_held (const struct bgap_engine *engine, const char *service,
                         uint16_t holder)
{
  uint32_t count = 0;
  const struct bgap_scope *scope
      = bgap_replica_scope (engine->replica, service);
  for (uint32_t i = 0; scope && i < scope->slice_count; i++)
    count += bgap_holding_has_holder (&scope->slices[i])
             && scope->slices[i].holder == holder;
  return count;
}

/* Instance that currently holds the most slices for a server, among those that
   may continue to hold its lease, or -1.  */
static int32_t
_bgap_engine_current_proxy (struct bgap_engine *engine,
                            const struct bgap_engine_server *server)
{
  int32_t best = -1;
  uint32_t best_held = 0;
  for (uint32_t i = 0; i < BGAP_HOLDERS_MAX; i++)
    {
      const char *instance = _bgap_proxy_instance (
          bgap_replica_holder_name (engine->replica, (uint16_t)i),
          server->name);
      const struct bgap_member_state *member
          = instance ? bgap_engine_find_member (engine, instance) : NULL;
      if (!member || !member->live || member->leaving || member->stopped)
        continue;
      uint32_t held
          = _bgap_engine_count_held (engine, server->service, (uint16_t)i);
      if (held > best_held)
        {
          best = (int32_t)(member - engine->members);
          best_held = held;
        }
    }
  return best;
}

/* Instance that should hold the lease of an unfenced server: the current one,
   or else the highest live one in rendezvous order, preferably in the server's
   zone.  */
static int32_t
_bgap_engine_choose_proxy (struct bgap_engine *engine,
                           const struct bgap_engine_server *server)
{
  int32_t current = _bgap_engine_current_proxy (engine, server);
  if (current >= 0)
    return current;
  uint64_t key = bgap_hash64 (server->name, strlen (server->name));
  int32_t best = -1;
  bool best_same_zone = false;
  uint64_t best_weight = 0;
  for (uint32_t i = 0; i < engine->member_count; i++)
    {
      const struct bgap_member_state *member = &engine->members[i];
      bool same_zone = strcmp (member->zone, server->zone) == 0;
      uint64_t weight = bgap_rendezvous_weight (key, member->name);
      if (!member->live || member->leaving || member->stopped)
        continue;
      if (best < 0 || (same_zone && !best_same_zone)
          || (same_zone == best_same_zone && weight > best_weight))
        {
          best = (int32_t)i;
          best_same_zone = same_zone;
          best_weight = weight;
        }
    }
  return best;
}

/* Adds the targets of an unfenced server: the instance that should hold its
   lease, and those that hold or held it.  */
static void
_bgap_engine_add_proxies (struct bgap_engine *engine,
                          const struct bgap_renew_target *old,
                          uint32_t old_count,
                          const struct bgap_engine_server *server)
{
  char name[2 * BGAP_NAME_SIZE];
  int32_t proxy = _bgap_engine_choose_proxy (engine, server);
  if (proxy >= 0)
    {
      size_t length = strlen (server->name);
      memcpy (name, server->name, length);
      name[length] = '@';
      memcpy (name + length + 1, engine->members[proxy].name,
              strlen (engine->members[proxy].name) + 1);
      _bgap_engine_add_target (engine, old, old_count, name, server, proxy,
                               server->leaving);
    }
  for (uint32_t i = 0; i < BGAP_HOLDERS_MAX; i++)
    {
      const char *holder
          = bgap_replica_holder_name (engine->replica, (uint16_t)i);
      const char *instance = _bgap_proxy_instance (holder, server->name);
      const struct bgap_member_state *member
          = instance ? bgap_engine_find_member (engine, instance) : NULL;
      if (member && member - engine->members != proxy)
        _bgap_engine_add_target (engine, old, old_count, holder, server,
                                 (int32_t)(member - engine->members), true);
    }
}

void
bgap_engine_rebuild_targets (struct bgap_engine *engine)
{
  uint32_t old_count = engine->target_count;
  struct bgap_renew_target *old = malloc ((old_count + 1) * sizeof *old);
  if (old == NULL)
    return;
  if (engine->targets == NULL && engine->server_count > 0)
    engine->targets
        = calloc (BGAP_ENGINE_SERVERS_MAX, sizeof *engine->targets);
  if (engine->targets == NULL)
    {
      free (old);
      return;
    }
  memcpy (old, engine->targets, old_count * sizeof *old);
  engine->target_count = 0;
  for (uint32_t i = 0; i < engine->server_count; i++)
    {
      const struct bgap_engine_server *server = &engine->servers[i];
      if (server->unfenced)
        _bgap_engine_add_proxies (engine, old, old_count, server);
      else
        _bgap_engine_add_target (engine, old, old_count, server->name, server,
                                 -1, server->leaving);
    }
  free (old);
}

/* Keeps the newer of two observations. A process never takes back an
   acknowledgement, so the larger acknowledged basis of a process is kept.  */
static void
_bgap_observation_merge (struct bgap_observation *merged,
                         const struct bgap_observation *next)
{
  if (next->last_reply_ms < 0)
    return;
  if (merged->incarnation == next->incarnation)
    {
      uint64_t acked
          = merged->acked > next->acked ? merged->acked : next->acked;
      if (next->last_reply_ms >= merged->last_reply_ms)
        *merged = *next;
      merged->acked = acked;
    }
  else if (next->last_reply_ms > merged->last_reply_ms)
    *merged = *next;
}

void
bgap_engine_observe (struct bgap_engine *engine,
                     struct bgap_renew_target *target,
                     const struct bgap_renewal_reply *reply)
{
  struct bgap_observation *own = &target->own;
  if (own->last_reply_ms < 0 || own->incarnation != reply->incarnation)
    {
      own->acked = 0;
      target->clock_ms = reply->clock_ms;
      target->clock_received_ms = engine->now_ms;
    }
  else if (reply->clock_ms > target->clock_ms)
    {
      target->clock_ms = reply->clock_ms;
      target->clock_received_ms = engine->now_ms;
    }
  own->incarnation = reply->incarnation;
  own->last_reply_ms = engine->now_ms;
  own->draining = reply->draining;
  own->in_flight = reply->in_flight;
  own->slots = reply->slots;
  own->queued = reply->queued;
  char scope[BGAP_SCOPE_NAME_SIZE];
  size_t cell = strlen (engine->cell);
  memcpy (scope, engine->cell, cell);
  scope[cell] = '/';
  memcpy (scope + cell + 1, target->service, strlen (target->service) + 1);
  if (strcmp (scope, reply->scope) == 0 && reply->newest_basis > own->acked)
    own->acked = reply->newest_basis;
  _bgap_observation_merge (&target->merged, own);
}

void
bgap_engine_on_server_report (struct bgap_engine *engine,
                              const struct bgap_message *message)
{
  for (uint32_t i = 0; i < message->server_count; i++)
    {
      const struct bgap_message_server *server = &message->servers[i];
      struct bgap_renew_target *target
          = bgap_engine_find_target (engine, server->name);
      if (target == NULL || server->age_ms < 0
          || server->age_ms > engine->now_ms)
        continue;
      struct bgap_observation observation = {
        .incarnation = server->incarnation,
        .acked = server->acked,
        .last_reply_ms = engine->now_ms - server->age_ms,
        .draining = server->draining,
        .in_flight = server->in_flight,
        .slots = server->slots,
        .queued = server->queued,
      };
      _bgap_observation_merge (&target->merged, &observation);
    }
}

static void
_bgap_engine_report_to (struct bgap_engine *engine, int32_t member,
                        const struct bgap_message *message)
{
  if (member >= 0 && member != engine->self_member)
    bgap_engine_send (engine, engine->members[member].name, message);
}

void
bgap_engine_tick_reports (struct bgap_engine *engine)
{
  if (engine->now_ms < engine->last_report_ms + BGAP_REPORT_MS)
    return;
  engine->last_report_ms = engine->now_ms;
  struct bgap_message_server servers[BGAP_MESSAGE_SERVERS_MAX];
  uint32_t count = 0;
  for (uint32_t i = 0; i < engine->target_count; i++)
    {
      const struct bgap_renew_target *target = &engine->targets[i];
      if (!target->renewed_here || target->own.last_reply_ms < 0)
        continue;
      struct bgap_message_server *server = &servers[count++];
      *server = (struct bgap_message_server){
        .incarnation = target->own.incarnation,
        .acked = target->own.acked,
        .age_ms = engine->now_ms - target->own.last_reply_ms,
        .draining = target->own.draining,
        .in_flight = target->own.in_flight,
        .slots = target->own.slots,
        .queued = target->own.queued,
      };
      memcpy (server->name, target->name, sizeof server->name);
    }
  struct bgap_message message = { .kind = BGAP_MESSAGE_SERVERS,
                                  .servers = servers,
                                  .server_count = count };
  if (count == 0)
    return;
  _bgap_engine_report_to (engine, engine->proposer, &message);
  _bgap_engine_report_to (engine, engine->successor, &message);
}

bool
bgap_target_lost (const struct bgap_engine *engine,
                  const struct bgap_renew_target *target)
{
  int64_t since = target->merged.last_reply_ms;
  if (since < target->watch_start_ms)
    since = target->watch_start_ms;
  if (since < engine->watch_start_ms)
    since = engine->watch_start_ms;
  return engine->now_ms - since >= BGAP_SERVER_LOST_MS;
}

bool
bgap_target_usable (const struct bgap_engine *engine,
                    const struct bgap_renew_target *target)
{
  return target->merged.last_reply_ms >= 0 && !target->leaving
         && !target->merged.draining
         && engine->now_ms - target->merged.last_reply_ms
                < BGAP_SERVER_LOST_MS;
}
