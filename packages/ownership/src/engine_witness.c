#include "engine_private.h"

/* A new instance asks its peers if the log has not answered by then.  */
#define RECOVERY_MS 200

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
    = bgap_replica_stopped (engine->replica) || engine->reader.regressed,
    .scopes = scopes,
    .scope_count = message->scope_count,
  };
  bgap_engine_send (engine, from, &reply);
}

void
bgap_engine_on_replayed (struct bgap_engine *engine, const char *from,
                         const struct bgap_message *message)
{
  struct bgap_message reply = {
    .kind = BGAP_MESSAGE_APPLIED_REPLY,
    .nonce = message->nonce,
    .incarnation = engine->desc.incarnation,
    .applied = bgap_replica_applied (engine->replica),
    .caught_up = engine->caught_up,
    .stopped
    = bgap_replica_stopped (engine->replica) || engine->reader.regressed,
  };
  bgap_engine_send (engine, from, &reply);
}

void
bgap_engine_on_recovery_reply (struct bgap_engine *engine,
                               struct bgap_member *member,
                               const struct bgap_message *message)
{
  if (engine->caught_up || message->nonce != engine->reader.recovery_nonce
      || !message->caught_up || message->stopped)
    return;
  member->answered = true;
  if (message->applied > member->answer)
    member->answer = message->applied;
}

/* Whether the members that answered since the start form a majority of each
   required set without this instance, and everything they had replayed is
   applied here.  */
static bool
_bgap_engine_recovered (const struct bgap_engine *engine)
{
  uint8_t votes[BGAP_REQUIRED_SETS] = { 0 };
  uint64_t newest = 0;
  for (uint32_t i = 0; i < engine->member_count; i++)
    {
      const struct bgap_member *member = &engine->members[i];
      if ((int32_t)i == engine->self_member || !member->answered)
        continue;
      bgap_engine_vote (engine, member->name, votes);
      if (member->answer > newest)
        newest = member->answer;
    }
  return bgap_engine_quorum (engine, votes)
         && bgap_replica_applied (engine->replica) >= newest;
}

void
bgap_engine_tick_recovery (struct bgap_engine *engine)
{
  struct bgap_reader *reader = &engine->reader;
  if (engine->caught_up || engine->now_ms - engine->start_ms < RECOVERY_MS)
    return;
  if (_bgap_engine_recovered (engine))
    {
      engine->caught_up = true;
      bgap_engine_log (
          engine, false, "caught up with a majority; offset=%llu",
          (unsigned long long)bgap_replica_applied (engine->replica));
      return;
    }
  if (engine->now_ms < reader->recovery_ms + RECOVERY_RETRY_MS)
    return;
  reader->recovery_ms = engine->now_ms;
  struct bgap_message query = { .kind = BGAP_MESSAGE_APPLIED_QUERY,
                                .nonce = reader->recovery_nonce };
  for (uint32_t i = 0; i < engine->member_count; i++)
    if ((int32_t)i != engine->self_member)
      bgap_engine_send (engine, engine->members[i].name, &query);
}
