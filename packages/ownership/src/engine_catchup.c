#include "engine_private.h"

#include <string.h>

#include "banyangap/base/hash.h"

/* A peer may be ahead for this long before it is asked for records: the log
   usually delivers them first.  */
#define AHEAD_MS 50

/* Bytes of records in one reply; the rest is fetched next.  */
#define REPLY_BYTES ((size_t)256 * 1024)

/* Time after which an unanswered fetch is repeated.  */
#define FETCH_RETRY_MS 200

static void
_bgap_engine_send_fetch (struct bgap_engine *engine, const char *peer)
{
  const struct bgap_snapshot *parts = &engine->reader.peer_snapshot;
  struct bgap_message message = {
    .kind = BGAP_MESSAGE_FETCH,
    .applied = bgap_replica_applied (engine->replica) + 1,
    .snapshot_id = parts->next > 0 ? parts->id : 0,
    .part = parts->next,
  };
  engine->reader.fetch_ms = engine->now_ms;
  bgap_engine_send (engine, peer, &message);
}

void
bgap_engine_fetch (struct bgap_engine *engine, const char *peer)
{
  int64_t since = engine->now_ms - engine->reader.fetch_ms;
  if (since < BGAP_SPACING_MS
      || (engine->reader.peer_snapshot.next > 0 && since < FETCH_RETRY_MS))
    return;
  bgap_snapshot_shutdown (&engine->reader.peer_snapshot);
  _bgap_engine_send_fetch (engine, peer);
}

void
bgap_engine_tick_catchup (struct bgap_engine *engine)
{
  struct bgap_reader *reader = &engine->reader;
  const struct bgap_member *ahead = NULL;
  for (uint32_t i = 0; i < engine->member_count; i++)
    {
      const struct bgap_member *member = &engine->members[i];
      if ((int32_t)i != engine->self_member && member->live
          && member->applied > bgap_replica_applied (engine->replica)
          && (!ahead || member->applied > ahead->applied))
        ahead = member;
    }
  if (ahead == NULL || bgap_replica_stopped (engine->replica))
    {
      reader->ahead_since_ms = -1;
      return;
    }
  if (reader->ahead_since_ms < 0)
    reader->ahead_since_ms = engine->now_ms;
  if (engine->now_ms - reader->ahead_since_ms >= AHEAD_MS
      && engine->now_ms - reader->fetch_ms >= FETCH_RETRY_MS)
    bgap_engine_fetch (engine, ahead->name);
}

/* Sends the records from @from on; false if they are not kept.  */
static bool
_bgap_engine_send_records (struct bgap_engine *engine, const char *to,
                           uint64_t from)
{
  struct bgap_bytes records[BGAP_MESSAGE_RECORDS_MAX];
  uint32_t count = 0;
  size_t size = 0;
  const struct bgap_buffer *record;
  while (count < BGAP_MESSAGE_RECORDS_MAX && size < REPLY_BYTES
         && (record = bgap_recent_find (&engine->recent, from + count)))
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

/* Sends one chunk of the state. The state is kept while its chunks are being
   fetched, so that all of them belong together.  */
static void
_bgap_engine_send_part (struct bgap_engine *engine, const char *to,
                        uint64_t id, uint32_t part)
{
  struct bgap_writer *writer = &engine->writer;
  if (part == 0 || id != writer->served_as_of || !writer->served.size)
    {
      part = 0;
      writer->served.size = 0;
      writer->served_as_of = bgap_replica_applied (engine->replica);
      if (bgap_replica_save (engine->replica, &writer->served) != BGAP_OK)
        return;
    }
  size_t start = (size_t)part * BGAP_SNAPSHOT_PART_SIZE;
  if (start >= writer->served.size)
    return;
  size_t size = writer->served.size - start;
  if (size > BGAP_SNAPSHOT_PART_SIZE)
    size = BGAP_SNAPSHOT_PART_SIZE;
  struct bgap_bytes chunk = { writer->served.data + start, size };
  struct bgap_message message = {
    .kind = BGAP_MESSAGE_SNAPSHOT,
    .applied = writer->served_as_of,
    .snapshot_id = writer->served_as_of,
    .part = part,
    .parts = bgap_snapshot_parts (writer->served.size),
    .records = &chunk,
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
  const struct bgap_member *member = bgap_engine_member (engine, from);
  if (member && member->applied > bgap_replica_applied (engine->replica))
    bgap_engine_fetch (engine, from);
  bgap_engine_tick_renew (engine);
  bgap_engine_tick_confirm (engine);
  bgap_engine_tick_propose (engine);
}

void
bgap_engine_on_snapshot_part (struct bgap_engine *engine, const char *from,
                              const struct bgap_message *message)
{
  if (message->record_count != 1
      || message->records[0].size > BGAP_SNAPSHOT_PART_SIZE
      || message->parts == 0 || message->parts > BGAP_SNAPSHOT_PARTS_MAX
      || message->applied <= bgap_replica_applied (engine->replica))
    return;
  struct bgap_error err = { 0 };
  struct bgap_snapshot *parts = &engine->reader.peer_snapshot;
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
