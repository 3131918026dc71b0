#include "engine_private.h"

#include <string.h>

/* Interval at which a reader that has stopped, at a record of a newer schema
   or because the log lost records, checks whether it may read again.  */
#define STOPPED_RETRY_MS 10000

static void
_bgap_engine_on_accepted (struct bgap_engine *engine)
{
  /* Holders must learn of grants and revokes without delay.  */
  engine->renew_now = true;
  engine->roles_stale = true;
}

/* Handles a record that does not change the replicated state.  */
static void
_bgap_engine_on_ignored (struct bgap_engine *engine, const void *bytes,
                         size_t size)
{
  struct bgap_record record;
  struct bgap_error err = { 0 };
  if (bgap_record_parse (bytes, size, &record, &err) != BGAP_OK)
    return;
  if (record.type == BGAP_RECORD_SNAPSHOT)
    bgap_engine_on_snapshot_record (engine, &record);
  bgap_record_shutdown (&record);
}

bool
bgap_engine_apply (struct bgap_engine *engine, uint64_t offset,
                   const void *bytes, size_t size)
{
  enum bgap_record_verdict verdict;
  struct bgap_error err = { 0 };
  bool was_stopped = bgap_replica_stopped (engine->replica);
  enum bgap_status status = bgap_replica_apply (engine->replica, offset, bytes,
                                                size, &verdict, &err);
  if (status == BGAP_ERR_UNAVAILABLE && !was_stopped)
    {
      bgap_engine_log (engine, true, "%s", err.message);
      engine->roles_stale = true;
    }
  if (status != BGAP_OK)
    return false;
  if (engine->self_member >= 0)
    bgap_record_cache_add (&engine->record_cache, offset, bytes, size);
  engine->snapshot_writer.records_since_snapshot++;
  if (verdict == BGAP_ACCEPTED)
    _bgap_engine_on_accepted (engine);
  else if (verdict == BGAP_IGNORED)
    _bgap_engine_on_ignored (engine, bytes, size);
  else if (verdict == BGAP_MALFORMED)
    bgap_engine_log (engine, true, "ignored malformed record; offset=%llu",
                     (unsigned long long)offset);
  return true;
}

bool
bgap_engine_adopt_snapshot (struct bgap_engine *engine,
                            struct bgap_snapshot *snapshot)
{
  struct bgap_error err = { 0 };
  enum bgap_status status = bgap_replica_load (engine->replica, snapshot->data,
                                               snapshot->size, &err);
  if (status == BGAP_OK)
    {
      bgap_record_cache_clear (&engine->record_cache);
      engine->log_reader.scanning = false;
      engine->confirm.active = false;
      engine->round.active = false;
      _bgap_engine_on_accepted (engine);
      bgap_engine_log (
          engine, false, "snapshot loaded; offset=%llu",
          (unsigned long long)bgap_replica_applied (engine->replica));
    }
  else
    bgap_engine_log (engine, true, "could not load snapshot: %s", err.message);
  bgap_snapshot_shutdown (snapshot);
  return status == BGAP_OK;
}

/* Collects the parts of a snapshot while the next record is no longer in the
   log.  */
static void
_bgap_engine_scan_for_snapshot (struct bgap_engine *engine, uint64_t offset,
                                const void *bytes, size_t size)
{
  struct bgap_log_reader *reader = &engine->log_reader;
  struct bgap_record record;
  struct bgap_error err = { 0 };
  if (offset < reader->scan_from)
    return;
  reader->scan_from = offset + 1;
  if (bgap_record_parse (bytes, size, &record, &err) != BGAP_OK)
    return;
  if (record.type == BGAP_RECORD_SNAPSHOT
      && bgap_snapshot_add (&reader->scan_snapshot, &record, &err) == BGAP_OK
      && bgap_snapshot_complete (&reader->scan_snapshot)
      && reader->scan_snapshot.as_of + 1 >= reader->log_first
      && reader->scan_snapshot.as_of > bgap_replica_applied (engine->replica))
    bgap_engine_adopt_snapshot (engine, &reader->scan_snapshot);
  bgap_record_shutdown (&record);
}

void
bgap_engine_on_record (struct bgap_engine *engine, uint64_t offset,
                       const void *bytes, size_t size, int64_t now_ms)
{
  bgap_engine_update_time (engine, now_ms);
  engine->log_reader.log_down = false;
  uint64_t next = bgap_replica_applied (engine->replica) + 1;
  if (offset == next)
    bgap_engine_apply (engine, offset, bytes, size);
  else if (offset > next && engine->log_reader.scanning)
    _bgap_engine_scan_for_snapshot (engine, offset, bytes, size);
  if (offset == next && engine->log_reader.scanning)
    engine->log_reader.scanning = false;
  if (engine->self_member >= 0)
    {
      bgap_engine_tick_renew (engine);
      bgap_engine_tick_confirm (engine);
      bgap_engine_tick_propose (engine);
    }
}

/* Checks the end of the log against @next, the offset that was to be read next
   when the end was queried.  */
static void
_bgap_engine_check_end (struct bgap_engine *engine, uint64_t next,
                        uint64_t end)
{
  struct bgap_log_reader *reader = &engine->log_reader;
  bool regressed = end > 0 && end < next;
  if (!regressed || reader->regressed)
    return;
  /* A log that lost records could assign their offsets to other records. The
     instance takes no role until it is restarted.  */
  bgap_engine_log (
      engine, true,
      "the log ends at %llu, before the next offset %llu: it lost records, "
      "so this instance takes no role until it is restarted",
      (unsigned long long)end, (unsigned long long)next);
  reader->regressed = true;
  engine->roles_stale = true;
}

void
bgap_engine_on_read_done (struct bgap_engine *engine, enum bgap_status status,
                          uint64_t first, uint64_t end, int64_t now_ms)
{
  bgap_engine_update_time (engine, now_ms);
  struct bgap_log_reader *reader = &engine->log_reader;
  reader->reading = false;
  reader->next_read_ms = engine->now_ms;
  if (status == BGAP_OK)
    {
      reader->log_down = false;
      if (!reader->scanning)
        _bgap_engine_check_end (engine, reader->read_from, end);
      if (reader->scanning && end && reader->scan_from >= end)
        {
          reader->scan_from = reader->log_first;
          reader->next_read_ms += BGAP_LOG_RETRY_MS;
        }
    }
  else if (status == BGAP_ERR_STALE
           && first <= bgap_replica_applied (engine->replica) + 1)
    reader->log_down = false;
  else if (status == BGAP_ERR_STALE)
    {
      reader->log_down = false;
      if (!reader->scanning)
        bgap_engine_log (
            engine, true,
            "the log starts at %llu, after the applied offset "
            "%llu; searching for a snapshot",
            (unsigned long long)first,
            (unsigned long long)bgap_replica_applied (engine->replica));
      reader->scanning = true;
      reader->log_first = first;
      reader->scan_from = first;
      bgap_snapshot_shutdown (&reader->scan_snapshot);
    }
  else
    {
      reader->log_down = true;
      reader->next_read_ms += BGAP_LOG_RETRY_MS;
    }
  bgap_engine_tick_log_reader (engine);
}

void
bgap_engine_on_log_end (struct bgap_engine *engine, enum bgap_status status,
                        uint64_t end, int64_t now_ms)
{
  bgap_engine_update_time (engine, now_ms);
  struct bgap_log_reader *reader = &engine->log_reader;
  reader->end_pending = false;
  if (status != BGAP_OK)
    {
      reader->next_end_ms = engine->now_ms + BGAP_LOG_RETRY_MS;
      return;
    }
  reader->end_known = true;
  reader->end_at_start = end;
  /* The end may have been queried before any record was applied.  */
  _bgap_engine_check_end (engine, 1, end);
}

void
bgap_engine_tick_log_reader (struct bgap_engine *engine)
{
  struct bgap_log_reader *reader = &engine->log_reader;
  if (!reader->end_known && !reader->end_pending
      && engine->now_ms >= reader->next_end_ms)
    {
      reader->end_pending = true;
      bgap_engine_push_action (engine, BGAP_ACTION_READ_END, "", NULL, 0);
    }
  uint64_t next = bgap_replica_applied (engine->replica) + 1;
  if (!engine->caught_up && reader->end_known && next >= reader->end_at_start)
    {
      engine->caught_up = true;
      bgap_engine_log (engine, false, "caught up with the log; offset=%llu",
                       (unsigned long long)(next - 1));
    }
  if (reader->reading || engine->now_ms < reader->next_read_ms)
    return;
  if (bgap_replica_stopped (engine->replica) || reader->regressed)
    {
      reader->next_read_ms = engine->now_ms + STOPPED_RETRY_MS;
      return;
    }
  reader->reading = true;
  reader->read_from = reader->scanning ? reader->scan_from : next;
  bgap_engine_push_read (engine, reader->read_from);
}
