#ifndef BANYANGAP_LOGSERVICE_LOG_SERVICE_H
#define BANYANGAP_LOGSERVICE_LOG_SERVICE_H

/*
 * The platform's append-only log as a function table.
 *
 *   static void
 *   on_append (void *user, const struct bgap_log_append_result *result)
 *   {
 *     if (result->answer == BGAP_ANSWER_OK)
 *       use (result->offset);
 *   }
 *
 *   log.append (log.context, "config", text, size, on_append, user);
 *   log.read (log.context, "config", 1, 100, 1000, on_read, user);
 *   log.bounds (log.context, "config", on_bounds, user);
 *
 * Each call that returns BGAP_OK is completed exactly once, always from the
 * event loop and never from within the call, unless the implementation is shut
 * down first. Any other status means that nothing was sent and that the
 * completion function is not called. The result and the data it points to are
 * valid only during the completion function.
 *
 * Appends of one stream are sent one at a time in the order of the calls.
 * After BGAP_ANSWER_UNKNOWN the next append is sent nevertheless, so the
 * earlier record can appear before the later one, after it or not at all.
 */

#include <stddef.h>
#include <stdint.h>

#include "banyangap/base/status.h"
#include "banyangap/logservice/answer.h"

/* Maximum length of a stream name in bytes, without the terminating zero.
   Names consist of ASCII letters, digits, '.', '_' and '-'.  */
#define BGAP_LOG_STREAM_NAME_MAX 127

/**
 * struct bgap_log_record - one record of a stream
 * @offset: position in the stream, starting at 1
 * @time_ms: time of the append at the log, milliseconds since 1970-01-01 UTC
 * @data: text of the record, zero-terminated
 * @size: bytes in @data
 */
struct bgap_log_record
{
  int64_t offset;
  int64_t time_ms;
  const char *data;
  size_t size;
};

/**
 * struct bgap_log_append_result - outcome of an append
 * @answer: OK, REFUSED or UNKNOWN
 * @offset: offset of the record; 0 unless @answer is OK
 * @message: human-readable reason, empty if @answer is OK
 */
struct bgap_log_append_result
{
  enum bgap_answer answer;
  int64_t offset;
  const char *message;
};

/**
 * struct bgap_log_read_result - outcome of a read
 * @answer: OK, REFUSED, UNKNOWN or TRUNCATED
 * @first: oldest retained offset; set with OK and TRUNCATED
 * @end: offset that the next record will get; set with OK and TRUNCATED
 * @records: @count records with increasing offsets, all at or after the
 *   requested offset; empty if none arrived within the wait
 * @count: number of @records, 0 unless @answer is OK
 * @message: human-readable reason, empty if @answer is OK
 */
struct bgap_log_read_result
{
  enum bgap_answer answer;
  int64_t first;
  int64_t end;
  const struct bgap_log_record *records;
  size_t count;
  const char *message;
};

/**
 * struct bgap_log_bounds_result - outcome of reading the bounds of a stream
 * @answer: OK, REFUSED or UNKNOWN
 * @first: oldest retained offset; set with OK
 * @end: offset that the next record will get; set with OK
 * @message: human-readable reason, empty if @answer is OK
 */
struct bgap_log_bounds_result
{
  enum bgap_answer answer;
  int64_t first;
  int64_t end;
  const char *message;
};

/**
 * struct bgap_log_ops - operations of a log service
 * @append: add a record; @record is copied
 * @read: read up to @limit records from offset @from, waiting up to @wait_ms
 *   milliseconds for the first one
 * @bounds: read the oldest retained offset and the next offset of the stream
 * @context: first argument of all functions
 *
 * Each returns BGAP_OK, BGAP_ERR_INVALID (invalid stream name, offset or
 * limit, or a record above the size limit), BGAP_ERR_FULL (too many calls in
 * progress) or BGAP_ERR_NO_MEMORY.
 */
struct bgap_log_ops
{
  enum bgap_status (*append) (
      void *context, const char *stream, const void *record, size_t size,
      void (*done) (void *user, const struct bgap_log_append_result *result),
      void *user);
  enum bgap_status (*read) (
      void *context, const char *stream, int64_t from, uint32_t limit,
      uint32_t wait_ms,
      void (*done) (void *user, const struct bgap_log_read_result *result),
      void *user);
  enum bgap_status (*bounds) (
      void *context, const char *stream,
      void (*done) (void *user, const struct bgap_log_bounds_result *result),
      void *user);
  void *context;
};

#endif
