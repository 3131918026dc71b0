#include "engine_private.h"

#include <stdlib.h>
#include <string.h>

#include "banyangap/ownership/lease.h"

/*
 * Renewal of leases in rounds. A round stores the clock value of each target,
 * queries the witnesses, and renews with the stored values once a majority has
 * answered that it knows no newer record. The order is required for safety: a
 * lease starts at a clock value that the holder sent before any witness was
 * queried.
 */

static void
_bgap_engine_send_hello (struct bgap_engine *engine,
                         struct bgap_renew_target *target)
{
  static const char body[] = "{}";
  target->last_hello_ms = engine->now_ms;
  if (target->member < 0)
    {
      bgap_engine_push_action (engine, BGAP_ACTION_HELLO, target->name, body,
                               sizeof body - 1);
      return;
    }
  struct bgap_message message = { .kind = BGAP_MESSAGE_HELLO };
  memcpy (message.service, target->name, sizeof message.service);
  bgap_engine_proxy_send (engine, target->member, &message);
}

static bool
_bgap_holding_held_by (const struct bgap_holding *holding, int32_t holder,
                       uint64_t incarnation)
{
  return bgap_holding_has_holder (holding) && holding->holder == holder
         && holding->incarnation == incarnation;
}

/* Lists the entries that a holder holds, and the keys of its slices that it
   does not hold. @items must have space for every slice and key of @scope.  */
static uint32_t
_bgap_engine_lease_items (const struct bgap_scope *scope, int32_t holder,
                          uint64_t incarnation,
                          struct bgap_renewal_item *items)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < scope->slice_count; i++)
    {
      const struct bgap_holding *slice = &scope->slices[i];
      if (!_bgap_holding_held_by (slice, holder, incarnation))
        continue;
      struct bgap_renewal_item *last = count > 0 ? &items[count - 1] : NULL;
      if (last && last->token == slice->token
          && last->first + last->count == i)
        last->count++;
      else
        items[count++] = (struct bgap_renewal_item){ .first = i,
                                                     .count = 1,
                                                     .token = slice->token };
    }
  for (uint32_t i = 0; i < scope->key_count; i++)
    {
      const struct bgap_key_entry *key = &scope->keys[i];
      bool held = _bgap_holding_held_by (&key->holding, holder, incarnation);
      if (held
          || _bgap_holding_held_by (&scope->slices[key->slice], holder,
                                    incarnation))
        items[count++] = (struct bgap_renewal_item){
          .key = key->bytes,
          .key_size = key->size,
          .token = held ? key->holding.token : 0,
        };
    }
  return count;
}

static void
_bgap_engine_send_renew (struct bgap_engine *engine,
                         const struct bgap_renew_target *target,
                         const struct bgap_buffer *text)
{
  if (target->member < 0)
    {
      bgap_engine_push_action (engine, BGAP_ACTION_RENEW, target->name,
                               text->data, text->size);
      return;
    }
  struct bgap_bytes body = { text->data, text->size };
  struct bgap_message message
      = { .kind = BGAP_MESSAGE_RENEW, .records = &body, .record_count = 1 };
  memcpy (message.service, target->name, sizeof message.service);
  bgap_engine_proxy_send (engine, target->member, &message);
}

static void
_bgap_engine_renew (struct bgap_engine *engine,
                    const struct bgap_renew_target *target,
                    const struct bgap_scope *scope)
{
  struct bgap_renewal renew = {
    .basis = scope->basis,
    .incarnation = target->round_incarnation,
    .clock_echo_ms = target->round_clock_ms,
    .lease_ms = BGAP_LEASE_MS,
    .slice_count = scope->slice_count,
    .complete = target->own.incarnation != target->round_incarnation
                || target->own.acked != scope->basis,
  };
  struct bgap_buffer text = { 0 };
  size_t cell = strlen (engine->cell);
  memcpy (renew.scope, engine->cell, cell);
  renew.scope[cell] = '/';
  memcpy (renew.scope + cell + 1, scope->name, strlen (scope->name) + 1);
  if (renew.complete)
    {
      renew.items = calloc ((size_t)scope->slice_count + scope->key_count + 1,
                            sizeof *renew.items);
      if (renew.items == NULL)
        return;
      renew.item_count = _bgap_engine_lease_items (
          scope, bgap_replica_holder_find (engine->replica, target->name),
          target->round_incarnation, renew.items);
    }
  if (bgap_renewal_print (&renew, &text) == BGAP_OK)
    _bgap_engine_send_renew (engine, target, &text);
  bgap_buffer_shutdown (&text);
  free (renew.items);
}

/* Renews the targets of scope @index of the round.  */
static void
_bgap_engine_renew_scope (struct bgap_engine *engine, uint32_t index)
{
  struct bgap_renew_round *round = &engine->round;
  const char *name = round->scopes[index].name;
  const struct bgap_scope *scope = bgap_replica_scope (engine->replica, name);
  round->renewed[index] = true;
  if (scope == NULL)
    return;
  for (uint32_t i = 0; i < engine->target_count; i++)
    {
      const struct bgap_renew_target *target = &engine->targets[i];
      if (target->in_round && strcmp (target->service, name) == 0)
        _bgap_engine_renew (engine, target, scope);
    }
}

static void
_bgap_engine_round_advance (struct bgap_engine *engine)
{
  struct bgap_renew_round *round = &engine->round;
  bool finished = true;
  for (uint32_t i = 0; i < round->scope_count; i++)
    {
      if (!round->renewed[i]
          && bgap_engine_has_quorum (engine, round->votes[i]))
        _bgap_engine_renew_scope (engine, i);
      finished = finished && round->renewed[i];
    }
  if (finished)
    round->active = false;
}

/* Adds the scope of @service to the round.  */
static void
_bgap_engine_round_add_scope (struct bgap_engine *engine, const char *service)
{
  struct bgap_renew_round *round = &engine->round;
  for (uint32_t i = 0; i < round->scope_count; i++)
    if (strcmp (round->scopes[i].name, service) == 0)
      return;
  const struct bgap_scope *scope
      = bgap_replica_scope (engine->replica, service);
  struct bgap_message_scope *added = &round->scopes[round->scope_count++];
  memcpy (added->name, scope->name, sizeof added->name);
  added->basis = scope->basis;
}

/* Selects the targets to renew in this round, and sends a hello to those
   without a recent clock value or a scope.  */
static void
_bgap_engine_round_select_targets (struct bgap_engine *engine)
{
  for (uint32_t i = 0; i < engine->target_count; i++)
    {
      struct bgap_renew_target *target = &engine->targets[i];
      const struct bgap_scope *scope
          = bgap_replica_scope (engine->replica, target->service);
      bool fresh = target->own.last_reply_ms >= 0
                   && engine->now_ms - target->clock_received_ms
                          < BGAP_CLOCK_STALE_MS;
      target->in_round = false;
      if (!target->renewed_here)
        continue;
      if (!fresh || scope == NULL || scope->slice_count == 0)
        {
          if (engine->now_ms - target->last_hello_ms >= BGAP_RENEW_MS)
            _bgap_engine_send_hello (engine, target);
          continue;
        }
      target->in_round = true;
      target->round_clock_ms = target->clock_ms;
      target->round_incarnation = target->own.incarnation;
      if (engine->round.scope_count < BGAP_SCOPES_MAX)
        _bgap_engine_round_add_scope (engine, target->service);
    }
}

static void
_bgap_engine_round_query_witnesses (struct bgap_engine *engine)
{
  struct bgap_renew_round *round = &engine->round;
  struct bgap_message check = { .kind = BGAP_MESSAGE_WITNESS_CHECK,
                                .nonce = round->nonce,
                                .witness_basis = round->witness_basis,
                                .scopes = round->scopes,
                                .scope_count = round->scope_count };
  for (uint32_t i = 0; i < engine->member_count; i++)
    if ((int32_t)i != engine->self_member
        && bgap_engine_is_witness (engine, engine->members[i].name))
      bgap_engine_send (engine, engine->members[i].name, &check);
  /* This instance also votes if it is a witness.  */
  if (engine->caught_up)
    for (uint32_t i = 0; i < round->scope_count; i++)
      bgap_engine_add_vote (engine, engine->self, round->votes[i]);
}

void
bgap_engine_tick_renew (struct bgap_engine *engine)
{
  struct bgap_renew_round *round = &engine->round;
  int64_t since = engine->now_ms - engine->last_round_ms;
  if (since < BGAP_MIN_INTERVAL_MS
      || (!engine->renew_now && since < BGAP_RENEW_MS))
    return;
  engine->last_round_ms = engine->now_ms;
  engine->renew_now = false;
  *round = (struct bgap_renew_round){
    .nonce = bgap_engine_new_nonce (engine),
    .started_ms = engine->now_ms,
    .witness_basis = bgap_replica_witnesses (engine->replica)->offset,
  };
  if (bgap_replica_stopped (engine->replica) || engine->log_reader.regressed)
    return;
  _bgap_engine_round_select_targets (engine);
  if (round->scope_count == 0 || round->witness_basis == 0)
    return;
  round->active = true;
  _bgap_engine_round_query_witnesses (engine);
  _bgap_engine_round_advance (engine);
}

/* Whether the witness knows no newer record of the scope than this instance
   knows now. The state of this instance may be newer than when the query was
   sent; an answer that rules out records after the older state also rules out
   records after the newer one.  */
static bool
_bgap_engine_scope_current (const struct bgap_engine *engine,
                            const struct bgap_message *reply, const char *name)
{
  const struct bgap_scope *scope = bgap_replica_scope (engine->replica, name);
  for (uint32_t i = 0; i < reply->scope_count; i++)
    if (strcmp (reply->scopes[i].name, name) == 0)
      return scope && reply->scopes[i].basis <= scope->basis;
  return false;
}

void
bgap_engine_on_check_reply (struct bgap_engine *engine, const char *from,
                            const struct bgap_message *message)
{
  struct bgap_renew_round *round = &engine->round;
  uint64_t witness_basis = bgap_replica_witnesses (engine->replica)->offset;
  if (!round->active || message->nonce != round->nonce)
    return;
  if (round->witness_basis != witness_basis)
    {
      /* The votes were counted for another witness set.  */
      round->active = false;
      engine->renew_now = true;
      return;
    }
  if (!message->caught_up || message->stopped)
    return;
  bool newer = message->witness_basis > witness_basis;
  for (uint32_t i = 0; !newer && i < round->scope_count; i++)
    {
      if (_bgap_engine_scope_current (engine, message, round->scopes[i].name))
        bgap_engine_add_vote (engine, from, round->votes[i]);
      else
        newer = true;
    }
  if (newer)
    bgap_engine_fetch_records (engine, from);
  _bgap_engine_round_advance (engine);
}

enum bgap_status
bgap_engine_on_server_reply (struct bgap_engine *engine, const char *server,
                             const void *bytes, size_t size, int64_t now_ms)
{
  struct bgap_renewal_reply reply;
  struct bgap_error err = { 0 };
  bgap_engine_update_time (engine, now_ms);
  struct bgap_renew_target *target = bgap_engine_find_target (engine, server);
  enum bgap_status status
      = bgap_renewal_reply_parse (bytes, size, &reply, &err);
  if (status != BGAP_OK || target == NULL)
    return status;
  bool first = target->own.last_reply_ms < 0
               || target->own.incarnation != reply.incarnation;
  bgap_engine_observe (engine, target, &reply);
  const struct bgap_scope *scope
      = bgap_replica_scope (engine->replica, target->service);
  /* A new process, or one whose clock value was unknown, is renewed without
     waiting for the next interval.  */
  if (first || (!reply.scope[0] && scope && target->own.acked < scope->basis))
    engine->renew_now = true;
  if (engine->self_member >= 0)
    {
      bgap_engine_tick_renew (engine);
      bgap_engine_tick_propose (engine);
    }
  return BGAP_OK;
}
