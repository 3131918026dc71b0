#include "engine_private.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEX64_SIZE 17

static json_t *
_bgap_dump_hex64 (uint64_t value)
{
  char text[HEX64_SIZE];
  snprintf (text, sizeof text, "%016llx", (unsigned long long)value);
  return json_string (text);
}

static json_t *
_bgap_dump_witness_set (const struct bgap_witness_set *set)
{
  json_t *members = json_array ();
  for (uint32_t i = 0; i < set->count; i++)
    json_array_append_new (members, json_string (set->members[i]));
  return json_pack ("{s:I,s:b,s:o}", "offset", (json_int_t)set->offset,
                    "forced", set->forced, "members", members);
}

static json_t *
_bgap_dump_members (const struct bgap_engine *engine)
{
  json_t *list = json_array ();
  for (uint32_t i = 0; i < engine->member_count; i++)
    {
      const struct bgap_member_state *member = &engine->members[i];
      json_array_append_new (
          list, json_pack (
                    "{s:s,s:s,s:b,s:b,s:b,s:b,s:b,s:I,s:I,s:I}", "name",
                    member->name, "zone", member->zone, "live", member->live,
                    "leaving", member->leaving, "caught_up", member->caught_up,
                    "stopped", member->stopped, "log_down", member->log_down,
                    "applied", (json_int_t)member->applied, "config",
                    (json_int_t)member->config, "silent_ms",
                    (json_int_t)(engine->now_ms - member->last_heartbeat_ms)));
    }
  return list;
}

static json_t *
_bgap_dump_targets (const struct bgap_engine *engine)
{
  json_t *list = json_array ();
  for (uint32_t i = 0; i < engine->target_count; i++)
    {
      const struct bgap_renew_target *target = &engine->targets[i];
      const struct bgap_observation *merged = &target->merged;
      json_array_append_new (
          list, json_pack (
                    "{s:s,s:s,s:s,s:b,s:b,s:b,s:b,s:o,s:I,s:I,s:i,s:i,s:i}",
                    "name", target->name, "zone", target->zone, "service",
                    target->service, "renewed_here", target->renewed_here,
                    "leaving", target->leaving, "draining", merged->draining,
                    "lost", bgap_target_lost (engine, target), "incarnation",
                    _bgap_dump_hex64 (merged->incarnation), "acknowledged",
                    (json_int_t)merged->acked, "age_ms",
                    merged->last_reply_ms < 0
                        ? (json_int_t)-1
                        : (json_int_t)(engine->now_ms - merged->last_reply_ms),
                    "in_flight", (int)merged->in_flight, "slots",
                    (int)merged->slots, "queued", (int)merged->queued));
    }
  return list;
}

static json_t *
_bgap_dump_holding (const struct bgap_engine *engine,
                    const struct bgap_holding *holding)
{
  return json_pack (
      "{s:s,s:o,s:I,s:I}", "holder",
      holding->token || holding->revoked
          ? bgap_replica_holder_name (engine->replica, holding->holder)
          : "",
      "incarnation", _bgap_dump_hex64 (holding->incarnation), "token",
      (json_int_t)holding->token, "revoked", (json_int_t)holding->revoked);
}

static bool
_bgap_dump_holdings_equal (const struct bgap_holding *a,
                           const struct bgap_holding *b)
{
  return a->token == b->token && a->revoked == b->revoked
         && a->holder == b->holder && a->incarnation == b->incarnation;
}

static json_t *
_bgap_dump_key (const struct bgap_engine *engine,
                const struct bgap_key_entry *entry)
{
  char *text = malloc (2 * (size_t)entry->size + 1);
  if (text == NULL)
    return json_null ();
  text[0] = '\0';
  for (uint32_t i = 0; i < entry->size; i++)
    snprintf (text + 2 * (size_t)i, 3, "%02x", entry->bytes[i]);
  json_t *key = json_pack ("{s:s,s:I,s:o}", "key", text, "slice",
                           (json_int_t)entry->slice, "holding",
                           _bgap_dump_holding (engine, &entry->holding));
  free (text);
  return key;
}

static json_t *
_bgap_dump_scopes (const struct bgap_engine *engine)
{
  json_t *list = json_array ();
  const struct bgap_scope *scope;
  for (uint32_t i = 0; (scope = bgap_replica_scope_at (engine->replica, i));
       i++)
    {
      json_t *slices = json_array ();
      json_t *keys = json_array ();
      for (uint32_t first = 0, end; first < scope->slice_count; first = end)
        {
          for (end = first + 1;
               end < scope->slice_count
               && _bgap_dump_holdings_equal (&scope->slices[first],
                                             &scope->slices[end]);)
            end++;
          json_array_append_new (
              slices,
              json_pack ("{s:I,s:I,s:o}", "first", (json_int_t)first, "count",
                         (json_int_t)(end - first), "holding",
                         _bgap_dump_holding (engine, &scope->slices[first])));
        }
      for (uint32_t j = 0; j < scope->key_count; j++)
        json_array_append_new (keys, _bgap_dump_key (engine, &scope->keys[j]));
      json_array_append_new (
          list, json_pack ("{s:s,s:I,s:I,s:o,s:o}", "service", scope->name,
                           "basis", (json_int_t)scope->basis, "slice_count",
                           (json_int_t)scope->slice_count, "slices", slices,
                           "keys", keys));
    }
  return list;
}

static json_t *
_bgap_dump_confirmed (const struct bgap_engine *engine)
{
  json_t *list = json_array ();
  for (uint32_t i = 0; i < engine->confirmed_count; i++)
    json_array_append_new (
        list, json_pack ("{s:I,s:I}", "offset",
                         (json_int_t)engine->confirmed[i].offset, "start_ms",
                         (json_int_t)engine->confirmed[i].start_ms));
  return list;
}

static const char *
_bgap_dump_member_name (const struct bgap_engine *engine, int32_t member)
{
  return member >= 0 ? engine->members[member].name : "";
}

enum bgap_status
bgap_engine_dump (const struct bgap_engine *engine, struct bgap_buffer *out)
{
  const struct bgap_log_reader *reader = &engine->log_reader;
  json_t *dump = json_pack (
      "{s:s,s:s,s:s,s:o,s:I,s:b,s:b,s:s,s:s}", "cell", engine->cell, "self",
      engine->self, "zone", engine->zone, "incarnation",
      _bgap_dump_hex64 (engine->desc.incarnation), "now_ms",
      (json_int_t)engine->now_ms, "leaving", engine->leaving, "caught_up",
      engine->caught_up, "proposer",
      _bgap_dump_member_name (engine, engine->proposer), "successor",
      _bgap_dump_member_name (engine, engine->successor));
  json_t *log
      = json_pack ("{s:I,s:b,s:b,s:b,s:b,s:I,s:I}", "applied",
                   (json_int_t)bgap_replica_applied (engine->replica),
                   "stopped", bgap_replica_stopped (engine->replica), "down",
                   reader->log_down, "regressed", reader->regressed,
                   "scanning", reader->scanning, "end_at_start",
                   (json_int_t)reader->end_at_start, "records_since_snapshot",
                   (json_int_t)engine->snapshot_writer.records_since_snapshot);
  json_object_set_new (dump, "log", log);
  json_object_set_new (
      dump, "witnesses",
      _bgap_dump_witness_set (bgap_replica_witnesses (engine->replica)));
  json_object_set_new (dump, "witnesses_previous",
                       _bgap_dump_witness_set (
                           bgap_replica_witnesses_previous (engine->replica)));
  json_object_set_new (dump, "witnesses_in_force",
                       json_integer ((json_int_t)engine->in_force));
  json_object_set_new (dump, "confirmed", _bgap_dump_confirmed (engine));
  json_object_set_new (dump, "members", _bgap_dump_members (engine));
  json_object_set_new (dump, "servers", _bgap_dump_targets (engine));
  json_object_set_new (dump, "services", _bgap_dump_scopes (engine));
  json_object_set_new (dump, "actions_dropped",
                       json_integer ((json_int_t)engine->actions.dropped));
  char *text = json_dumps (dump, JSON_INDENT (1));
  json_decref (dump);
  if (text == NULL)
    return BGAP_ERR_NO_MEMORY;
  enum bgap_status status = bgap_buffer_append (out, text, strlen (text));
  free (text);
  return status;
}
