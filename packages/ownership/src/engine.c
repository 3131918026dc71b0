#include "engine_private.h"

#include <stdlib.h>
#include <string.h>

#define DEFAULT_WITNESSES 5
#define DEFAULT_DEADLINE_MAX_MS 30000
#define DEFAULT_MEMBER_GONE_MS 10000
#define DEFAULT_STARTUP_DELAY_MS 1000
#define DEFAULT_SNAPSHOT_RECORDS 10000
#define DEFAULT_SNAPSHOT_MS (15 * 60 * 1000)
#define DEFAULT_ACTIONS 4096
#define DEFAULT_ACTION_BYTES (4 * 1024 * 1024)
#define DEFAULT_RECENT_BYTES (1024 * 1024)

/* Time that a leaving instance waits for others to take over its roles, and
   the longest time that it waits for its replacement as a witness.  */
#define LEAVE_ROLES_MS 600
#define LEAVE_WITNESS_MS 3000

static void
_bgap_engine_default (uint32_t *option, uint32_t value)
{
  if (*option == 0)
    *option = value;
}

static void
_bgap_engine_defaults (struct bgap_engine_desc *desc)
{
  _bgap_engine_default (&desc->witnesses, DEFAULT_WITNESSES);
  _bgap_engine_default (&desc->deadline_max_ms, DEFAULT_DEADLINE_MAX_MS);
  _bgap_engine_default (&desc->witness_timeout_ms, DEFAULT_MEMBER_GONE_MS);
  _bgap_engine_default (&desc->startup_delay_ms, DEFAULT_STARTUP_DELAY_MS);
  _bgap_engine_default (&desc->snapshot_records, DEFAULT_SNAPSHOT_RECORDS);
  _bgap_engine_default (&desc->snapshot_ms, DEFAULT_SNAPSHOT_MS);
  _bgap_engine_default (&desc->actions, DEFAULT_ACTIONS);
  _bgap_engine_default (&desc->action_bytes, DEFAULT_ACTION_BYTES);
  _bgap_engine_default (&desc->record_cache_bytes, DEFAULT_RECENT_BYTES);
  if (desc->placement == NULL)
    desc->placement = bgap_placement_even ();
}

static enum bgap_status
_bgap_engine_validate (const struct bgap_engine_desc *desc,
                       struct bgap_error *err)
{
  if (!desc->cell || !desc->self || !desc->zone
      || !bgap_name_valid (desc->cell) || !bgap_name_valid (desc->self)
      || !bgap_name_valid (desc->zone))
    return bgap_error_set (err, BGAP_ERR_INVALID,
                           "cell, self and zone must be valid names");
  if (strchr (desc->self, '@') || strchr (desc->cell, '/'))
    return bgap_error_set (err, BGAP_ERR_INVALID,
                           "self must not contain \"@\", nor cell \"/\"");
  if (desc->incarnation == 0)
    return bgap_error_set (err, BGAP_ERR_INVALID, "incarnation must not be 0");
  if (desc->witnesses > BGAP_WITNESSES_MAX)
    return bgap_error_set (err, BGAP_ERR_INVALID,
                           "witnesses must be at most %d", BGAP_WITNESSES_MAX);
  return BGAP_OK;
}

static enum bgap_status
_bgap_engine_allocate (struct bgap_engine *engine)
{
  const struct bgap_engine_desc *desc = &engine->desc;
  enum bgap_status status = bgap_replica_setup (
      &engine->replica, &(struct bgap_replica_desc){ 0 });
  if (status == BGAP_OK)
    status = bgap_actions_setup (&engine->actions, desc->actions,
                                 desc->action_bytes);
  if (status == BGAP_OK)
    status = bgap_record_cache_setup (&engine->record_cache,
                                      desc->record_cache_bytes);
  return status;
}

enum bgap_status
bgap_engine_setup (struct bgap_engine **engine,
                   const struct bgap_engine_desc *desc, struct bgap_error *err)
{
  enum bgap_status status = _bgap_engine_validate (desc, err);
  if (status != BGAP_OK)
    return status;
  struct bgap_engine *created = calloc (1, sizeof *created);
  if (created == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  created->desc = *desc;
  _bgap_engine_defaults (&created->desc);
  memcpy (created->cell, desc->cell, strlen (desc->cell) + 1);
  memcpy (created->self, desc->self, strlen (desc->self) + 1);
  memcpy (created->zone, desc->zone, strlen (desc->zone) + 1);
  created->desc.cell = created->cell;
  created->desc.self = created->self;
  created->desc.zone = created->zone;
  created->random.state = desc->incarnation;
  created->self_member = -1;
  created->proposer = -1;
  created->successor = -1;
  created->now_ms = desc->now_ms;
  created->start_ms = desc->now_ms;
  created->watch_start_ms = desc->now_ms;
  created->snapshot_writer.last_snapshot_ms = desc->now_ms;
  created->log_reader.peer_ahead_since_ms = -1;
  created->log_reader.recovery_nonce = bgap_engine_new_nonce (created);
  if (_bgap_engine_allocate (created) != BGAP_OK)
    {
      bgap_engine_shutdown (created);
      return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
    }
  *engine = created;
  return BGAP_OK;
}

void
bgap_engine_shutdown (struct bgap_engine *engine)
{
  if (engine == NULL)
    return;
  bgap_replica_shutdown (engine->replica);
  bgap_actions_shutdown (&engine->actions);
  bgap_record_cache_shutdown (&engine->record_cache);
  bgap_snapshot_shutdown (&engine->log_reader.scan_snapshot);
  bgap_snapshot_shutdown (&engine->log_reader.peer_snapshot);
  bgap_buffer_shutdown (&engine->snapshot_writer.state);
  bgap_buffer_shutdown (&engine->snapshot_writer.peer_state);
  for (uint32_t i = 0; i < engine->service_count; i++)
    bgap_service_shutdown (&engine->services[i]);
  bgap_engine_proxy_shutdown (engine);
  free (engine->servers);
  free (engine->targets);
  free (engine);
}

void
bgap_engine_update_time (struct bgap_engine *engine, int64_t now_ms)
{
  if (now_ms > engine->now_ms)
    engine->now_ms = now_ms;
  /* The wait for a lease to end starts at a time that was read after the
     confirmation was processed: the process may have been paused between
     reading the time of the confirming call and the confirmation.  */
  for (uint32_t i = 0; i < engine->confirmed_count; i++)
    if (engine->confirmed[i].start_ms < 0
        && engine->now_ms > engine->confirmed[i].done_ms)
      engine->confirmed[i].start_ms = engine->now_ms;
}

uint64_t
bgap_engine_new_nonce (struct bgap_engine *engine)
{
  return bgap_random_next (&engine->random);
}

void
bgap_engine_tick (struct bgap_engine *engine, int64_t now_ms)
{
  bgap_engine_update_time (engine, now_ms);
  bgap_engine_tick_log_reader (engine);
  if (engine->self_member < 0)
    return;
  bgap_engine_tick_members (engine);
  bgap_engine_tick_recovery (engine);
  bgap_engine_tick_catchup (engine);
  bgap_engine_tick_renew (engine);
  bgap_engine_tick_reports (engine);
  bgap_engine_tick_load (engine);
  bgap_engine_tick_confirm (engine);
  bgap_engine_tick_propose (engine);
}

void
bgap_engine_leave (struct bgap_engine *engine, int64_t now_ms)
{
  bgap_engine_update_time (engine, now_ms);
  if (engine->leaving)
    return;
  engine->leaving = true;
  engine->leave_ms = engine->now_ms;
  engine->last_heartbeat_ms = 0;
  bgap_engine_update_roles (engine);
}

bool
bgap_engine_may_exit (const struct bgap_engine *engine)
{
  if (!engine->leaving)
    return false;
  int64_t waited = engine->now_ms - engine->leave_ms;
  if (waited >= LEAVE_WITNESS_MS)
    return true;
  return waited >= LEAVE_ROLES_MS
         && !bgap_engine_is_witness (engine, engine->self);
}

enum bgap_status
bgap_engine_on_peer_message (struct bgap_engine *engine, const char *from,
                             const void *bytes, size_t size, int64_t now_ms)
{
  struct bgap_message message;
  struct bgap_error err = { 0 };
  bgap_engine_update_time (engine, now_ms);
  struct bgap_member_state *member = bgap_engine_find_member (engine, from);
  enum bgap_status status = bgap_message_decode (bytes, size, &message, &err);
  if (status != BGAP_OK)
    return status;
  if (member == NULL || engine->self_member < 0)
    {
      bgap_message_shutdown (&message);
      return BGAP_OK;
    }
  switch (message.kind)
    {
    case BGAP_MESSAGE_HEARTBEAT:
      bgap_engine_on_heartbeat (engine, member, &message);
      break;
    case BGAP_MESSAGE_SERVERS:
      bgap_engine_on_server_report (engine, &message);
      break;
    case BGAP_MESSAGE_WITNESS_CHECK:
      bgap_engine_on_check (engine, from, &message);
      break;
    case BGAP_MESSAGE_WITNESS_REPLY:
      bgap_engine_on_check_reply (engine, from, &message);
      break;
    case BGAP_MESSAGE_APPLIED_QUERY:
      bgap_engine_on_replayed_query (engine, from, &message);
      break;
    case BGAP_MESSAGE_APPLIED_REPLY:
      bgap_engine_on_recovery_reply (engine, member, &message);
      bgap_engine_on_replayed_reply (engine, from, &message);
      break;
    case BGAP_MESSAGE_FETCH:
      bgap_engine_on_fetch (engine, from, &message);
      break;
    case BGAP_MESSAGE_RECORDS:
      bgap_engine_on_records (engine, from, &message);
      break;
    case BGAP_MESSAGE_SNAPSHOT:
      bgap_engine_on_snapshot_chunk (engine, from, &message);
      break;
    case BGAP_MESSAGE_LOAD:
      bgap_engine_on_load (engine, &message);
      break;
    default:
      bgap_engine_on_proxy_message (engine, from, &message);
      break;
    }
  bgap_message_shutdown (&message);
  return BGAP_OK;
}

void
bgap_engine_set_config (struct bgap_engine *engine, uint64_t version)
{
  engine->config = version;
}

const struct bgap_replica *
bgap_engine_replica (const struct bgap_engine *engine)
{
  return engine->replica;
}
