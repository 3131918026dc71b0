#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/base/buffer.h"
#include "http_body.h"

/* The first byte determines the size of the pieces in which the rest is
   decoded.  */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static enum bgap_status
_decode (const char *bytes, size_t size, size_t piece,
         struct bgap_buffer *content, size_t *total)
{
  struct bgap_http_body body;
  bgap_http_body_start (&body, BGAP_HTTP_CHUNKED, 0);
  *total = 0;
  while (*total < size && !body.done)
    {
      size_t left = size - *total;
      size_t used;
      const char *part;
      size_t part_size;
      if (bgap_http_body_next (&body, bytes + *total,
                               left < piece ? left : piece, &used, &part,
                               &part_size)
          != BGAP_OK)
        return BGAP_ERR_PROTOCOL;
      if (used == 0 || part_size > used)
        abort ();
      bgap_buffer_append (content, part, part_size);
      *total += used;
    }
  return BGAP_OK;
}

/* The result must not depend on how the input is split into pieces.  */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct bgap_buffer a = { 0 };
  struct bgap_buffer b = { 0 };
  size_t total_a;
  size_t total_b;
  if (size < 2)
    return 0;
  const char *bytes = (const char *)data + 1;
  enum bgap_status whole = _decode (bytes, size - 1, size, &a, &total_a);
  enum bgap_status pieces
      = _decode (bytes, size - 1, (size_t)data[0] % 7 + 1, &b, &total_b);
  if (whole != pieces)
    abort ();
  if (whole == BGAP_OK
      && (total_a != total_b || a.size != b.size
          || (a.size > 0 && memcmp (a.data, b.data, a.size) != 0)))
    abort ();
  bgap_buffer_shutdown (&a);
  bgap_buffer_shutdown (&b);
  return 0;
}
