#ifndef BANYANGAP_STANDIN_LOG_STREAM_H
#define BANYANGAP_STANDIN_LOG_STREAM_H

/* One stream of the log service's stand-in, kept in memory.  */

#include <jansson.h>
#include <stdint.h>
#include <sys/queue.h>

struct record
{
  int64_t time_ms;
  json_t *data;
};

/* Holds the records with the offsets @first to @end - 1.  */
struct stream
{
  LIST_ENTRY (stream) next;
  char *name;
  struct record *records;
  size_t capacity;
  int64_t first;
  int64_t end;
};

/* Removes the oldest records so that at most @retention remain.  */
void bgap_log_stream_trim (struct stream *stream, int64_t retention);

/* Appends a record; takes the reference to @data.  */
void bgap_log_stream_append (struct stream *stream, json_t *data);

#endif
