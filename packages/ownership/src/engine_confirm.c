#include "engine_private.h"

#include <string.h>

/*
 * Confirmation that a majority of each required witness set holds all records
 * up to an offset, all at the same moment.
 *
 * One round of answers is not enough. A witness may answer, restart during a
 * log outage, and catch up with members that have not replayed the record yet;
 * its first answer then counts although it has forgotten the record. In the
 * second round the same members must answer again under the same incarnations.
 * At the moment the second round was sent all of them held the record, and a
 * member that restarts later must catch up with a majority that includes one
 * of them.
 */

#define RESEND_MS 20
#define RESTART_MS 400

static bool
_bgap_engine_unconfirmed (const struct bgap_engine *engine, uint64_t offset)
{
  return engine->confirmed_count == 0
         || engine->confirmed[engine->confirmed_count - 1].offset < offset;
}

/* Newest offset that must be confirmed, or 0.  */
static uint64_t
_bgap_engine_confirm_target (const struct bgap_engine *engine)
{
  uint64_t target = 0;
  const struct bgap_witness_set *sets[BGAP_REQUIRED_SETS];
  bgap_engine_required (engine, sets);
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
  struct bgap_confirm *confirm = &engine->confirm;
  struct bgap_message query
      = { .kind = BGAP_MESSAGE_APPLIED_QUERY, .nonce = confirm->nonce };
  const uint8_t *have = confirm->second ? confirm->again : confirm->seen;
  confirm->sent_ms = engine->now_ms;
  for (uint32_t i = 0; i < engine->member_count; i++)
    {
      const char *name = engine->members[i].name;
      uint8_t votes[BGAP_REQUIRED_SETS] = { 0 };
      bgap_engine_vote (engine, name, votes);
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
  struct bgap_confirm *confirm = &engine->confirm;
  confirm->active = false;
  engine->in_force = confirm->witness_basis;
  if (engine->confirmed_count == BGAP_CONFIRMED_MAX)
    memmove (engine->confirmed, engine->confirmed + 1,
             --engine->confirmed_count * sizeof engine->confirmed[0]);
  engine->confirmed[engine->confirmed_count++] = (struct bgap_confirmed){
    .offset = confirm->target, .done_ms = engine->now_ms, .start_ms = -1
  };
}

/* Goes on to the second round, or ends, if a majority has answered.  */
static void
_bgap_engine_confirm_advance (struct bgap_engine *engine)
{
  struct bgap_confirm *confirm = &engine->confirm;
  if (!confirm->second && bgap_engine_quorum (engine, confirm->seen))
    {
      confirm->second = true;
      confirm->nonce = bgap_engine_nonce (engine);
      if (bgap_engine_is_witness (engine, engine->self))
        bgap_engine_vote (engine, engine->self, confirm->again);
      _bgap_engine_confirm_send (engine);
    }
  if (confirm->second && bgap_engine_quorum (engine, confirm->again))
    _bgap_engine_confirm_done (engine);
}

static void
_bgap_engine_confirm_start (struct bgap_engine *engine)
{
  struct bgap_confirm *confirm = &engine->confirm;
  *confirm = (struct bgap_confirm){
    .active = true,
    .target = bgap_replica_applied (engine->replica),
    .nonce = bgap_engine_nonce (engine),
    .witness_basis = bgap_replica_witnesses (engine->replica)->offset,
    .started_ms = engine->now_ms,
  };
  bgap_engine_vote (engine, engine->self, confirm->seen);
  _bgap_engine_confirm_send (engine);
  _bgap_engine_confirm_advance (engine);
}

void
bgap_engine_tick_confirm (struct bgap_engine *engine)
{
  struct bgap_confirm *confirm = &engine->confirm;
  if (!bgap_engine_is_proposer (engine) || !engine->caught_up
      || bgap_replica_witnesses (engine->replica)->offset == 0)
    {
      confirm->active = false;
      return;
    }
  uint64_t target = _bgap_engine_confirm_target (engine);
  if (target == 0 || !_bgap_engine_unconfirmed (engine, target))
    {
      confirm->active = false;
      return;
    }
  if (!confirm->active || confirm->target < target
      || confirm->witness_basis
             != bgap_replica_witnesses (engine->replica)->offset
      || engine->now_ms - confirm->started_ms >= RESTART_MS)
    _bgap_engine_confirm_start (engine);
  else if (engine->now_ms - confirm->sent_ms >= RESEND_MS)
    _bgap_engine_confirm_send (engine);
}

/* Notes the answer of member @index of required set @set.  */
static void
_bgap_engine_confirm_note (struct bgap_confirm *confirm, uint32_t set,
                           int index, uint64_t incarnation)
{
  uint8_t bit = (uint8_t)(1u << (unsigned)index);
  if (!confirm->second)
    {
      confirm->seen[set] |= bit;
      confirm->incarnations[set][index] = incarnation;
    }
  else if ((confirm->seen[set] & bit)
           && confirm->incarnations[set][index] == incarnation)
    confirm->again[set] |= bit;
}

void
bgap_engine_on_replayed_reply (struct bgap_engine *engine, const char *from,
                               const struct bgap_message *message)
{
  struct bgap_confirm *confirm = &engine->confirm;
  if (!confirm->active || message->nonce != confirm->nonce
      || !message->caught_up || message->applied < confirm->target
      || confirm->witness_basis
             != bgap_replica_witnesses (engine->replica)->offset)
    return;
  const struct bgap_witness_set *sets[BGAP_REQUIRED_SETS];
  bgap_engine_required (engine, sets);
  for (uint32_t i = 0; i < BGAP_REQUIRED_SETS; i++)
    {
      int index = sets[i] ? bgap_witness_index (sets[i], from) : -1;
      if (index >= 0)
        _bgap_engine_confirm_note (confirm, i, index, message->incarnation);
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
