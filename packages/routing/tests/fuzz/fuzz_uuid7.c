/* Fuzzes the parser of idempotency keys. An accepted key must format to the
   same text.  */

#include <stdlib.h>
#include <strings.h>

#include "banyangap/routing/uuid7.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct bgap_uuid7 uuid;
  if (bgap_uuid7_parse ((const char *)data, size, &uuid) != BGAP_OK)
    return 0;
  char text[BGAP_UUID7_TEXT_SIZE + 1];
  bgap_uuid7_format (&uuid, text);
  if (strncasecmp (text, (const char *)data, size) != 0
      || bgap_uuid7_time_ms (&uuid) < 0 || text[14] != '7')
    abort ();
  return 0;
}
