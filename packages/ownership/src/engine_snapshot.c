#include "engine_private.h"

/* The snapshot is started again if a part was not read from the log within
   this time.  */
#define CHUNK_TIMEOUT_MS 5000

static void
_bgap_engine_append_chunk (struct bgap_engine *engine)
{
  struct bgap_snapshot_writer *writer = &engine->snapshot_writer;
  struct bgap_buffer text = { 0 };
  writer->sent_ms = engine->now_ms;
  if (bgap_snapshot_print (writer->id, writer->as_of, &writer->state,
                           writer->part, &text)
      == BGAP_OK)
    bgap_engine_push_append (engine, &text);
  bgap_buffer_shutdown (&text);
}

void
bgap_engine_tick_snapshot (struct bgap_engine *engine)
{
  struct bgap_snapshot_writer *writer = &engine->snapshot_writer;
  if (writer->active && engine->now_ms - writer->sent_ms < CHUNK_TIMEOUT_MS)
    return;
  writer->active = false;
  bool due = writer->records_since_snapshot >= engine->desc.snapshot_records
             || (writer->records_since_snapshot > 0
                 && engine->now_ms - writer->last_snapshot_ms
                        >= (int64_t)engine->desc.snapshot_ms);
  if (!due || engine->log_reader.log_down)
    return;
  writer->state.size = 0;
  if (bgap_replica_save (engine->replica, &writer->state) != BGAP_OK)
    return;
  if (bgap_snapshot_parts (writer->state.size) > BGAP_SNAPSHOT_PARTS_MAX)
    {
      writer->last_snapshot_ms = engine->now_ms;
      writer->records_since_snapshot = 0;
      bgap_engine_log (engine, true, "the state is too large for a snapshot");
      return;
    }
  writer->active = true;
  writer->id = bgap_engine_new_nonce (engine);
  writer->as_of = bgap_replica_applied (engine->replica);
  writer->part = 0;
  _bgap_engine_append_chunk (engine);
}

void
bgap_engine_on_snapshot_record (struct bgap_engine *engine,
                                const struct bgap_record *record)
{
  struct bgap_snapshot_writer *writer = &engine->snapshot_writer;
  const struct bgap_record_snapshot *part_record = &record->snapshot;
  /* Parts are not counted, as they would otherwise cause further snapshots.
   */
  if (writer->records_since_snapshot > 0)
    writer->records_since_snapshot--;
  if (part_record->part + 1 == part_record->parts)
    {
      writer->last_snapshot_ms = engine->now_ms;
      writer->records_since_snapshot = 0;
    }
  if (!writer->active || part_record->id != writer->id
      || part_record->part != writer->part)
    return;
  writer->part++;
  if (writer->part < part_record->parts)
    _bgap_engine_append_chunk (engine);
  else
    {
      writer->active = false;
      bgap_buffer_shutdown (&writer->state);
    }
}
