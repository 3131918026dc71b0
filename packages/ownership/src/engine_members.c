#include "engine_private.h"

#include <string.h>

#include "banyangap/base/hash.h"

/* Number of heartbeats after which a suspected member is live again.  */
#define LIVE_HEARTBEATS 2

/* A new instance takes roles only after it could receive heartbeats of the
   others.  */
#define STARTUP_MS BGAP_SUSPECT_MS

/* Number of renewers of a target.  */
#define RENEWERS 2

struct bgap_member_state *
bgap_engine_find_member (struct bgap_engine *engine, const char *name)
{
  for (uint32_t i = 0; i < engine->member_count; i++)
    if (strcmp (engine->members[i].name, name) == 0)
      return &engine->members[i];
  return NULL;
}

bool
bgap_engine_member_live (const struct bgap_engine *engine, const char *name)
{
  for (uint32_t i = 0; i < engine->member_count; i++)
    if (strcmp (engine->members[i].name, name) == 0)
      return engine->members[i].live;
  return false;
}

bool
bgap_engine_is_proposer (const struct bgap_engine *engine)
{
  return engine->self_member >= 0 && engine->proposer == engine->self_member;
}

static bool
_bgap_member_may_propose (const struct bgap_member_state *member,
                          bool log_required)
{
  return member->live && !member->leaving && member->caught_up
         && !member->stopped && !(log_required && member->log_down);
}

/* Member that ranks highest in rendezvous order among those that may propose,
   excluding @except.  */
static int32_t
_bgap_engine_rank_proposer (const struct bgap_engine *engine, int32_t except,
                            bool log_required)
{
  uint64_t key = bgap_hash64 (engine->cell, strlen (engine->cell));
  int32_t best = -1;
  uint64_t best_weight = 0;
  for (uint32_t i = 0; i < engine->member_count; i++)
    {
      const struct bgap_member_state *member = &engine->members[i];
      uint64_t weight = bgap_rendezvous_weight (key, member->name);
      if ((int32_t)i == except
          || !_bgap_member_may_propose (member, log_required)
          || (best >= 0 && weight <= best_weight))
        continue;
      best = (int32_t)i;
      best_weight = weight;
    }
  return best;
}

/* Whether this instance is one of the renewers of a target.  */
static bool
_bgap_engine_renews (const struct bgap_engine *engine,
                     const struct bgap_renew_target *target)
{
  uint64_t key = bgap_hash64 (target->name, strlen (target->name));
  uint64_t own = bgap_rendezvous_weight (key, engine->self);
  uint32_t higher_ranked = 0;
  for (uint32_t i = 0; i < engine->member_count; i++)
    {
      const struct bgap_member_state *member = &engine->members[i];
      if ((int32_t)i != engine->self_member && member->live && !member->leaving
          && !member->stopped
          && bgap_rendezvous_weight (key, member->name) > own)
        higher_ranked++;
    }
  return higher_ranked < RENEWERS;
}

void
bgap_engine_update_roles (struct bgap_engine *engine)
{
  engine->roles_stale = false;
  if (engine->self_member < 0)
    return;
  struct bgap_member_state *self = &engine->members[engine->self_member];
  self->live = true;
  self->leaving = engine->leaving || self->listed_leaving;
  self->caught_up
      = engine->caught_up && engine->now_ms - engine->start_ms >= STARTUP_MS;
  self->stopped
      = bgap_replica_stopped (engine->replica) || engine->log_reader.regressed;
  self->log_down = engine->log_reader.log_down;
  bool was_watching = engine->proposer == engine->self_member
                      || engine->successor == engine->self_member;
  engine->proposer = _bgap_engine_rank_proposer (engine, -1, true);
  if (engine->proposer < 0)
    engine->proposer = _bgap_engine_rank_proposer (engine, -1, false);
  engine->successor
      = _bgap_engine_rank_proposer (engine, engine->proposer, true);
  bool watching = engine->proposer == engine->self_member
                  || engine->successor == engine->self_member;
  if (watching && !was_watching)
    engine->watch_start_ms = engine->now_ms;
  bgap_engine_rebuild_targets (engine);
  for (uint32_t i = 0; i < engine->target_count; i++)
    engine->targets[i].renewed_here
        = !self->stopped && _bgap_engine_renews (engine, &engine->targets[i])
          && (!self->leaving
              || engine->now_ms - engine->leave_ms < BGAP_SERVER_LOST_MS);
}

void
bgap_engine_on_heartbeat (struct bgap_engine *engine,
                          struct bgap_member_state *member,
                          const struct bgap_message *message)
{
  bool changed
      = member->leaving != (message->leaving || member->listed_leaving)
        || member->caught_up != message->caught_up
        || member->stopped != message->stopped
        || member->log_down != message->log_down;
  member->last_heartbeat_ms = engine->now_ms;
  member->incarnation = message->incarnation;
  member->applied = message->applied;
  member->config = message->config;
  member->leaving = message->leaving || member->listed_leaving;
  member->caught_up = message->caught_up;
  member->stopped = message->stopped;
  member->log_down = message->log_down;
  if (!member->live && ++member->heartbeats >= LIVE_HEARTBEATS)
    {
      member->live = true;
      changed = true;
    }
  /* A set that is in force stays so until the next set, so the statement of a
     peer is sufficient.  */
  if (message->in_force > engine->in_force
      && message->in_force == bgap_replica_witnesses (engine->replica)->offset)
    engine->in_force = message->in_force;
  if (changed)
    engine->roles_stale = true;
}

static void
_bgap_engine_send_heartbeats (struct bgap_engine *engine)
{
  const struct bgap_member_state *self = &engine->members[engine->self_member];
  struct bgap_message message = {
    .kind = BGAP_MESSAGE_HEARTBEAT,
    .incarnation = engine->desc.incarnation,
    .applied = bgap_replica_applied (engine->replica),
    .witness_basis = bgap_replica_witnesses (engine->replica)->offset,
    .in_force = engine->in_force,
    .config = engine->config,
    .caught_up = self->caught_up,
    .stopped = self->stopped,
    .leaving = self->leaving,
    .log_down = self->log_down,
  };
  struct bgap_buffer bytes = { 0 };
  if (bgap_message_encode (&message, &bytes) == BGAP_OK)
    for (uint32_t i = 0; i < engine->member_count; i++)
      if ((int32_t)i != engine->self_member)
        bgap_engine_push_action (engine, BGAP_ACTION_SEND_PEER,
                                 engine->members[i].name, bytes.data,
                                 bytes.size);
  bgap_buffer_shutdown (&bytes);
}

void
bgap_engine_tick_members (struct bgap_engine *engine)
{
  struct bgap_member_state *self = &engine->members[engine->self_member];
  for (uint32_t i = 0; i < engine->member_count; i++)
    {
      struct bgap_member_state *member = &engine->members[i];
      if ((int32_t)i == engine->self_member || !member->live
          || engine->now_ms - member->last_heartbeat_ms < BGAP_SUSPECT_MS)
        continue;
      member->live = false;
      member->heartbeats = 0;
      engine->roles_stale = true;
      bgap_engine_log (engine, true, "instance suspected; instance=%s",
                       member->name);
    }
  bool caught_up
      = engine->caught_up && engine->now_ms - engine->start_ms >= STARTUP_MS;
  if (engine->roles_stale || caught_up != self->caught_up
      || engine->log_reader.log_down != self->log_down
      || (engine->leaving
          && engine->now_ms - engine->leave_ms >= BGAP_SERVER_LOST_MS))
    bgap_engine_update_roles (engine);
  if (engine->now_ms < engine->last_heartbeat_ms + BGAP_HEARTBEAT_MS)
    return;
  engine->last_heartbeat_ms = engine->now_ms;
  self->last_heartbeat_ms = engine->now_ms;
  _bgap_engine_send_heartbeats (engine);
}
