#include "log_stream.h"

#include <stdlib.h>
#include <string.h>

#include "banyangap/base/clock.h"

void
bgap_log_stream_trim (struct stream *stream, int64_t retention)
{
  size_t count = (size_t)(stream->end - stream->first);
  size_t keep = retention > 0 ? (size_t)retention : 0;
  if (count <= keep)
    return;
  size_t excess = count - keep;
  for (size_t i = 0; i < excess; i++)
    json_decref (stream->records[i].data);
  memmove (stream->records, stream->records + excess,
           keep * sizeof *stream->records);
  stream->first += (int64_t)excess;
}

void
bgap_log_stream_append (struct stream *stream, json_t *data)
{
  size_t count = (size_t)(stream->end - stream->first);
  if (count == stream->capacity)
    {
      stream->capacity = stream->capacity ? stream->capacity * 2 : 64;
      stream->records = realloc (stream->records,
                                 stream->capacity * sizeof *stream->records);
      if (stream->records == NULL)
        abort ();
    }
  const struct bgap_clock *clock = bgap_clock_system ();
  stream->records[count].time_ms = clock->wall_ms (clock->context);
  stream->records[count].data = data;
  stream->end++;
}
