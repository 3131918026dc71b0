#include "engine_private.h"

#include <string.h>

#include "banyangap/base/hash.h"

/* Records are fetched from a peer only if it has been ahead for this long: the
   log usually delivers them earlier.  */
#define PEER_AHEAD_MS 50

/* A reply ends with the record that reaches this size; the remaining records
   are fetched by the next request.  */
#define REPLY_BYTES ((size_t)256 * 1024)

/* Time after which a fetch without a reply is repeated.  */
#define FETCH_RETRY_MS 200

static void
_bgap_engine_send_fetch (struct bgap_engine *engine, const char *peer)
{
  const struct bgap_snapshot *parts = &engine->log_reader.peer_snapshot;
  struct bgap_message message = {
    .kind = BGAP_MESSAGE_FETCH,
    .applied = bgap_replica_applied (engine->replica) + 1,
    .snapshot_id = parts->next > 0 ? parts->id : 0,
    .part = parts->next,
  };
  engine->log_reader.last_fetch_ms = engine->now_ms;
  bgap_engine_send (engine, peer, &message);
}

void
bgap_engine_fetch_records (struct bgap_engine *engine, const char *peer)
{
  int64_t since = engine->now_ms - engine->log_reader.last_fetch_ms;
  if (since < BGAP_MIN_INTERVAL_MS
      || (engine->log_reader.peer_snapshot.next > 0 && since < FETCH_RETRY_MS))
    return;
  bgap_snapshot_shutdown (&engine->log_reader.peer_snapshot);
  _bgap_engine_send_fetch (engine, peer);
}

void
bgap_engine_tick_catchup (struct bgap_engine *engine)
{
  struct bgap_log_reader *reader = &engine->log_reader;
  const struct bgap_member_state *ahead = NULL;
  for (uint32_t i = 0; i < engine->member_count; i++)
    {
      const struct bgap_member_state *member = &engine->members[i];
      if ((int32_t)i != engine->self_member && member->live
          && member->applied > bgap_replica_applied (engine->replica)
          && (!ahead || member->applied > ahead->applied))
        ahead = member;
    }
  if (ahead == NULL || bgap_replica_stopped (engine->replica))
    {
      reader->peer_ahead_since_ms = -1;
      return;
    }
  if (reader->peer_ahead_since_ms < 0)
    reader->peer_ahead_since_ms = engine->now_ms;
  if (engine->now_ms - reader->peer_ahead_since_ms >= PEER_AHEAD_MS
      && engine->now_ms - reader->last_fetch_ms >= FETCH_RETRY_MS)
    bgap_engine_fetch_records (engine, ahead->name);
}

/* Sends the records from offset @from on; false if they are not in the cache.
 */
static bool
_bgap_engine_send_records (struct bgap_engine *engine, const char *to,
                           uint64_t from)
{
  struct bgap_bytes records[BGAP_MESSAGE_RECORDS_MAX];
  uint32_t count = 0;
  size_t size = 0;
  const struct bgap_buffer *record;
  while (count < BGAP_MESSAGE_RECORDS_MAX && size < REPLY_BYTES
         && (record
             = bgap_record_cache_find (&engine->record_cache, from + count)))
    {
      records[count++] = (struct bgap_bytes){ record->data, record->size };
      size += record->size;
    }
  struct bgap_message message = { .kind = BGAP_MESSAGE_RECORDS,
                                  .applied = from,
                                  .records = records,
                                  .record_count = count };
  if (count > 0)
    bgap_engine_send (engine, to, &message);
  return count > 0;
}

/* Sends one part of the serialized state. The same copy of the state is used
   while a peer fetches its parts, so that they are consistent.  */
static void
_bgap_engine_send_part (struct bgap_engine *engine, const char *to,
                        uint64_t id, uint32_t part)
{
  struct bgap_snapshot_writer *writer = &engine->snapshot_writer;
  if (part == 0 || id != writer->peer_state_as_of || !writer->peer_state.size)
    {
      part = 0;
      writer->peer_state.size = 0;
      writer->peer_state_as_of = bgap_replica_applied (engine->replica);
      if (bgap_replica_save (engine->replica, &writer->peer_state) != BGAP_OK)
        return;
    }
  size_t start = (size_t)part * BGAP_SNAPSHOT_PART_SIZE;
  if (start >= writer->peer_state.size)
    return;
  size_t size = writer->peer_state.size - start;
  if (size > BGAP_SNAPSHOT_PART_SIZE)
    size = BGAP_SNAPSHOT_PART_SIZE;
  struct bgap_bytes data = { writer->peer_state.data + start, size };
  struct bgap_message message = {
    .kind = BGAP_MESSAGE_SNAPSHOT,
    .applied = writer->peer_state_as_of,
    .snapshot_id = writer->peer_state_as_of,
    .part = part,
    .parts = bgap_snapshot_parts (writer->peer_state.size),
    .records = &data,
    .record_count = 1,
  };
  bgap_engine_send (engine, to, &message);
}

void
bgap_engine_on_fetch (struct bgap_engine *engine, const char *from,
                      const struct bgap_message *message)
{
  if (message->applied > bgap_replica_applied (engine->replica))
    return;
  if (!_bgap_engine_send_records (engine, from, message->applied))
    _bgap_engine_send_part (engine, from, message->snapshot_id, message->part);
}

void
bgap_engine_on_records (struct bgap_engine *engine, const char *from,
                        const struct bgap_message *message)
{
  uint64_t before = bgap_replica_applied (engine->replica);
  for (uint32_t i = 0; i < message->record_count; i++)
    if (message->applied + i == bgap_replica_applied (engine->replica) + 1)
      bgap_engine_apply (engine, message->applied + i,
                         message->records[i].data, message->records[i].size);
  if (bgap_replica_applied (engine->replica) == before)
    return;
  const struct bgap_member_state *member
      = bgap_engine_find_member (engine, from);
  if (member && member->applied > bgap_replica_applied (engine->replica))
    bgap_engine_fetch_records (engine, from);
  bgap_engine_tick_renew (engine);
  bgap_engine_tick_confirm (engine);
  bgap_engine_tick_propose (engine);
}

void
bgap_engine_on_snapshot_chunk (struct bgap_engine *engine, const char *from,
                               const struct bgap_message *message)
{
  if (message->record_count != 1
      || message->records[0].size > BGAP_SNAPSHOT_PART_SIZE
      || message->parts == 0 || message->parts > BGAP_SNAPSHOT_PARTS_MAX
      || message->applied <= bgap_replica_applied (engine->replica))
    return;
  struct bgap_error err = { 0 };
  struct bgap_snapshot *parts = &engine->log_reader.peer_snapshot;
  struct bgap_record record = {
    .type = BGAP_RECORD_SNAPSHOT,
    .snapshot = { .id = message->snapshot_id,
                  .as_of = message->applied,
                  .part = message->part,
                  .parts = message->parts,
                  .checksum = bgap_hash64 (message->records[0].data,
                                           message->records[0].size),
                  .data = (unsigned char *)message->records[0].data,
                  .size = message->records[0].size },
  };
  if (bgap_snapshot_add (parts, &record, &err) != BGAP_OK)
    return;
  if (bgap_snapshot_complete (parts))
    bgap_engine_adopt_snapshot (engine, parts);
  else
    _bgap_engine_send_fetch (engine, from);
}
