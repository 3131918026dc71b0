#include "delta.h"

#include <stdlib.h>
#include <zstd.h>

/* Bounds of the window in bits. It covers the base and the value.  */
#define WINDOW_BITS_MIN 10
#define WINDOW_BITS_MAX 27

static int
_bgap_delta_window_bits (size_t base_size, size_t value_size)
{
  int bits = WINDOW_BITS_MIN;
  while (bits < WINDOW_BITS_MAX
         && ((size_t)1 << bits) < base_size + value_size)
    bits++;
  return bits;
}

/* Sets the options: no size in the frame, since it is sent separately, and a
   checksum, since a delta decodes to something with any base.  */
static bool
_bgap_delta_set_options (ZSTD_CCtx *stream, const struct bgap_bytes *base,
                         const struct bgap_bytes *value)
{
  int bits = _bgap_delta_window_bits (base->size, value->size);
  return !ZSTD_isError (
             ZSTD_CCtx_setParameter (stream, ZSTD_c_windowLog, bits))
         && !ZSTD_isError (
             ZSTD_CCtx_setParameter (stream, ZSTD_c_contentSizeFlag, 0))
         && !ZSTD_isError (
             ZSTD_CCtx_setParameter (stream, ZSTD_c_checksumFlag, 1))
         && !ZSTD_isError (
             ZSTD_CCtx_refPrefix (stream, base->data, base->size));
}

enum bgap_status
bgap_delta_encode (const struct bgap_bytes *base,
                   const struct bgap_bytes *value, struct bgap_buffer *out)
{
  size_t capacity = ZSTD_compressBound (value->size);
  void *bytes = malloc (capacity);
  ZSTD_CCtx *stream = ZSTD_createCCtx ();
  enum bgap_status status = BGAP_ERR_NO_MEMORY;
  if (bytes != NULL && stream != NULL
      && _bgap_delta_set_options (stream, base, value))
    {
      size_t size
          = ZSTD_compress2 (stream, bytes, capacity, value->data, value->size);
      if (!ZSTD_isError (size))
        status = bgap_buffer_append (out, bytes, size);
    }
  ZSTD_freeCCtx (stream);
  free (bytes);
  return status;
}

enum bgap_status
bgap_delta_decode (const struct bgap_bytes *base,
                   const struct bgap_bytes *delta, void *value, size_t size)
{
  ZSTD_DCtx *stream = ZSTD_createDCtx ();
  if (stream == NULL)
    return BGAP_ERR_NO_MEMORY;
  enum bgap_status status = BGAP_ERR_PROTOCOL;
  if (!ZSTD_isError (ZSTD_DCtx_refPrefix (stream, base->data, base->size))
      && ZSTD_decompressDCtx (stream, value, size, delta->data, delta->size)
             == size)
    status = BGAP_OK;
  ZSTD_freeDCtx (stream);
  return status;
}
