#include "engine_private.h"

#include <string.h>

/*
 * Confirms that a majority of each required witness set holds all records up
 * to an offset at the same time.
 *
 * One round of answers is not sufficient. A witness may answer, restart during
 * a log outage, and catch up with members that have not replayed the record
 * yet; its answer would then count although it no longer holds the record. In
 * the second round the same members must answer again with the same
 * incarnations. All of them held the record when the second round was sent,
 * and a member that restarts later must catch up with a majority that includes
 * one of them.
 */

/* Queries without an answer are repeated after QUERY_RETRY_MS. A confirmation
   that is not complete after CONFIRM_TIMEOUT_MS starts again.  */
#define QUERY_RETRY_MS 20
#define CONFIRM_TIMEOUT_MS 400

static bool
_bgap_engine_needs_confirmation (const struct bgap_engine *engine,
                                 uint64_t offset)
{
  return engine->confirmed_count == 0
         || engine->confirmed[engine->confirmed_count - 1].offset < offset;
}

/* Newest offset that needs confirmation, or 0.  */
static uint64_t
_bgap_engine_confirm_target (const struct bgap_engine *engine)
{
  uint64_t target = 0;
  const struct bgap_witness_set *sets[BGAP_REQUIRED_SETS];
  bgap_engine_required_sets (engine, sets);
  if (sets[1])
    target = sets[0]->offset;
  const struct bgap_scope *scope;
  for (uint32_t i = 0; (scope = bgap_replica_scope_at (engine->replica, i));
       i++)
    {
      for (uint32_t j = 0; j < scope->slice_count; j++)
        if (!scope->slices[j].token && scope->slices[j].revoked > target)
          target = scope->slices[j].revoked;
      for (uint32_t j = 0; j < scope->key_count; j++)
        if (!scope->keys[j].holding.token
            && scope->keys[j].holding.revoked > target)
          target = scope->keys[j].holding.revoked;
    }
  return target;
}

static void
_bgap_engine_confirm_send (struct bgap_engine *engine)
{
  struct bgap_confirm_query *confirm = &engine->confirm;
  struct bgap_message query
      = { .kind = BGAP_MESSAGE_APPLIED_QUERY, .nonce = confirm->nonce };
  const uint8_t *have
      = confirm->second_round ? confirm->second_votes : confirm->first_votes;
  confirm->sent_ms = engine->now_ms;
  for (uint32_t i = 0; i < engine->member_count; i++)
    {
      const char *name = engine->members[i].name;
      uint8_t votes[BGAP_REQUIRED_SETS] = { 0 };
      bgap_engine_add_vote (engine, name, votes);
      bool missing = false;
      for (uint32_t j = 0; j < BGAP_REQUIRED_SETS; j++)
        missing = missing || (votes[j] & ~have[j]);
      if (missing && (int32_t)i != engine->self_member)
        bgap_engine_send (engine, name, &query);
    }
}

static void
_bgap_engine_confirm_done (struct bgap_engine *engine)
{
  struct bgap_confirm_query *confirm = &engine->confirm;
  confirm->active = false;
  engine->in_force = confirm->witness_basis;
  if (engine->confirmed_count == BGAP_CONFIRMED_MAX)
    memmove (engine->confirmed, engine->confirmed + 1,
             --engine->confirmed_count * sizeof engine->confirmed[0]);
  engine->confirmed[engine->confirmed_count++]
      = (struct bgap_confirmed_offset){ .offset = confirm->target,
                                        .done_ms = engine->now_ms,
                                        .start_ms = -1 };
}

/* Starts the second round, or completes the confirmation, if a majority has
   answered.  */
static void
_bgap_engine_confirm_advance (struct bgap_engine *engine)
{
  struct bgap_confirm_query *confirm = &engine->confirm;
  if (!confirm->second_round
      && bgap_engine_has_quorum (engine, confirm->first_votes))
    {
      confirm->second_round = true;
      confirm->nonce = bgap_engine_new_nonce (engine);
      if (bgap_engine_is_witness (engine, engine->self))
        bgap_engine_add_vote (engine, engine->self, confirm->second_votes);
      _bgap_engine_confirm_send (engine);
    }
  if (confirm->second_round
      && bgap_engine_has_quorum (engine, confirm->second_votes))
    _bgap_engine_confirm_done (engine);
}

static void
_bgap_engine_confirm_start (struct bgap_engine *engine)
{
  struct bgap_confirm_query *confirm = &engine->confirm;
  *confirm = (struct bgap_confirm_query){
    .active = true,
    .target = bgap_replica_applied (engine->replica),
    .nonce = bgap_engine_new_nonce (engine),
    .witness_basis = bgap_replica_witnesses (engine->replica)->offset,
    .started_ms = engine->now_ms,
  };
  bgap_engine_add_vote (engine, engine->self, confirm->first_votes);
  _bgap_engine_confirm_send (engine);
  _bgap_engine_confirm_advance (engine);
}

void
bgap_engine_tick_confirm (struct bgap_engine *engine)
{
  struct bgap_confirm_query *confirm = &engine->confirm;
  if (!bgap_engine_is_proposer (engine) || !engine->caught_up
      || bgap_replica_witnesses (engine->replica)->offset == 0)
    {
      confirm->active = false;
      return;
    }
  uint64_t target = _bgap_engine_confirm_target (engine);
  if (target == 0 || !_bgap_engine_needs_confirmation (engine, target))
    {
      confirm->active = false;
      return;
    }
  if (!confirm->active || confirm->target < target
      || confirm->witness_basis
             != bgap_replica_witnesses (engine->replica)->offset
      || engine->now_ms - confirm->started_ms >= CONFIRM_TIMEOUT_MS)
    _bgap_engine_confirm_start (engine);
  else if (engine->now_ms - confirm->sent_ms >= QUERY_RETRY_MS)
    _bgap_engine_confirm_send (engine);
}

/* Records the answer of member @index of required set @set.  */
static void
_bgap_engine_confirm_add_answer (struct bgap_confirm_query *confirm,
                                 uint32_t set, int index, uint64_t incarnation)
{
  uint8_t bit = (uint8_t)(1u << (unsigned)index);
  if (!confirm->second_round)
    {
      confirm->first_votes[set] |= bit;
      confirm->incarnations[set][index] = incarnation;
    }
  else if ((confirm->first_votes[set] & bit)
           && confirm->incarnations[set][index] == incarnation)
    confirm->second_votes[set] |= bit;
}

void
bgap_engine_on_replayed_reply (struct bgap_engine *engine, const char *from,
                               const struct bgap_message *message)
{
  struct bgap_confirm_query *confirm = &engine->confirm;
  if (!confirm->active || message->nonce != confirm->nonce
      || !message->caught_up || message->applied < confirm->target
      || confirm->witness_basis
             != bgap_replica_witnesses (engine->replica)->offset)
    return;
  const struct bgap_witness_set *sets[BGAP_REQUIRED_SETS];
  bgap_engine_required_sets (engine, sets);
  for (uint32_t i = 0; i < BGAP_REQUIRED_SETS; i++)
    {
      int index = sets[i] ? bgap_witness_index (sets[i], from) : -1;
      if (index >= 0)
        _bgap_engine_confirm_add_answer (confirm, i, index,
                                         message->incarnation);
    }
  _bgap_engine_confirm_advance (engine);
}

int64_t
bgap_engine_wait_start (const struct bgap_engine *engine, uint64_t offset)
{
  for (uint32_t i = 0; i < engine->confirmed_count; i++)
    if (engine->confirmed[i].offset >= offset)
      return engine->confirmed[i].start_ms;
  return -1;
}
