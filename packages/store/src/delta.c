#include "delta.h"

#include <stdbool.h>
#include <zlib.h>

/* Values have at most a few tens of kilobytes; the window covers 32 KiB of the
   base. Negative for raw deflate data without header and checksum, since the
   length is sent separately.  */
#define WINDOW_BITS (-15)
#define MEMORY_LEVEL 6

enum bgap_status
bgap_delta_encode (const struct bgap_bytes *base,
                   const struct bgap_bytes *value, struct bgap_buffer *out)
{
  unsigned char chunk[1024];
  z_stream stream = { 0 };
  if (deflateInit2 (&stream, Z_DEFAULT_COMPRESSION, Z_DEFLATED, WINDOW_BITS,
                    MEMORY_LEVEL, Z_DEFAULT_STRATEGY)
      != Z_OK)
    return BGAP_ERR_NO_MEMORY;
  if (base->size > 0)
    (void)deflateSetDictionary (&stream, base->data, (uInt)base->size);
  stream.next_in = (z_const Bytef *)value->data;
  stream.avail_in = (uInt)value->size;
  enum bgap_status status = BGAP_OK;
  int result = Z_OK;
  while (result == Z_OK && status == BGAP_OK)
    {
      stream.next_out = chunk;
      stream.avail_out = sizeof chunk;
      result = deflate (&stream, Z_FINISH);
      status
          = bgap_buffer_append (out, chunk, sizeof chunk - stream.avail_out);
    }
  deflateEnd (&stream);
  return status;
}

enum bgap_status
bgap_delta_decode (const struct bgap_bytes *base,
                   const struct bgap_bytes *delta, void *value, size_t size)
{
  z_stream stream = { 0 };
  if (inflateInit2 (&stream, WINDOW_BITS) != Z_OK)
    return BGAP_ERR_NO_MEMORY;
  if (base->size > 0)
    (void)inflateSetDictionary (&stream, base->data, (uInt)base->size);
  stream.next_in = (z_const Bytef *)delta->data;
  stream.avail_in = (uInt)delta->size;
  stream.next_out = value;
  stream.avail_out = (uInt)size;
  int result = inflate (&stream, Z_FINISH);
  bool complete = result == Z_STREAM_END && stream.avail_out == 0;
  inflateEnd (&stream);
  return complete ? BGAP_OK : BGAP_ERR_PROTOCOL;
}
