#include "engine_private.h"

/* A new instance that has not caught up with the log after this time queries
   its peers.  */
#define RECOVERY_DELAY_MS 200

#define RECOVERY_RETRY_MS 100

void
bgap_engine_on_check (struct bgap_engine *engine, const char *from,
                      const struct bgap_message *message)
{
  struct bgap_message_scope scopes[BGAP_SCOPES_MAX];
  for (uint32_t i = 0; i < message->scope_count; i++)
    {
      const struct bgap_scope *scope
          = bgap_replica_scope (engine->replica, message->scopes[i].name);
      scopes[i] = message->scopes[i];
      scopes[i].basis = scope ? scope->basis : 0;
    }
  struct bgap_message reply = {
    .kind = BGAP_MESSAGE_WITNESS_REPLY,
    .nonce = message->nonce,
    .incarnation = engine->desc.incarnation,
    .applied = bgap_replica_applied (engine->replica),
    .witness_basis = bgap_replica_witnesses (engine->replica)->offset,
    .caught_up = engine->caught_up,
    .stopped
    = bgap_replica_stopped (engine->replica) || engine->log_reader.regressed,
    .scopes = scopes,
    .scope_count = message->scope_count,
  };
  bgap_engine_send (engine, from, &reply);
}

void
bgap_engine_on_replayed_query (struct bgap_engine *engine, const char *from,
                               const struct bgap_message *message)
{
  struct bgap_message reply = {
    .kind = BGAP_MESSAGE_APPLIED_REPLY,
    .nonce = message->nonce,
    .incarnation = engine->desc.incarnation,
    .applied = bgap_replica_applied (engine->replica),
    .caught_up = engine->caught_up,
    .stopped
    = bgap_replica_stopped (engine->replica) || engine->log_reader.regressed,
  };
  bgap_engine_send (engine, from, &reply);
}

void
bgap_engine_on_recovery_reply (struct bgap_engine *engine,
                               struct bgap_member_state *member,
                               const struct bgap_message *message)
{
  if (engine->caught_up || message->nonce != engine->log_reader.recovery_nonce
      || !message->caught_up || message->stopped)
    return;
  member->recovery_answered = true;
  if (message->applied > member->recovery_applied)
    member->recovery_applied = message->applied;
}

/* Whether the members that have answered since the start form a majority of
   each required set without this instance, and this instance has applied all
   records that they had replayed.  */
static bool
_bgap_engine_recovered (const struct bgap_engine *engine)
{
  uint8_t votes[BGAP_REQUIRED_SETS] = { 0 };
  uint64_t newest = 0;
  for (uint32_t i = 0; i < engine->member_count; i++)
    {
      const struct bgap_member_state *member = &engine->members[i];
      if ((int32_t)i == engine->self_member || !member->recovery_answered)
        continue;
      bgap_engine_add_vote (engine, member->name, votes);
      if (member->recovery_applied > newest)
        newest = member->recovery_applied;
    }
  return bgap_engine_has_quorum (engine, votes)
         && bgap_replica_applied (engine->replica) >= newest;
}

void
bgap_engine_tick_recovery (struct bgap_engine *engine)
{
  struct bgap_log_reader *reader = &engine->log_reader;
  if (engine->caught_up
      || engine->now_ms - engine->start_ms < RECOVERY_DELAY_MS)
    return;
  if (_bgap_engine_recovered (engine))
    {
      engine->caught_up = true;
      bgap_engine_log (
          engine, false, "caught up with a majority; offset=%llu",
          (unsigned long long)bgap_replica_applied (engine->replica));
      return;
    }
  if (engine->now_ms < reader->last_recovery_ms + RECOVERY_RETRY_MS)
    return;
  reader->last_recovery_ms = engine->now_ms;
  struct bgap_message query = { .kind = BGAP_MESSAGE_APPLIED_QUERY,
                                .nonce = reader->recovery_nonce };
  for (uint32_t i = 0; i < engine->member_count; i++)
    if ((int32_t)i != engine->self_member)
      bgap_engine_send (engine, engine->members[i].name, &query);
}
