#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/gateway/admin.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  char *query = strndup ((const char *)data, size);
  char value[16];
  if (query == NULL)
    return 0;
  if (bgap_admin_query (query, "a", value, sizeof value) == BGAP_OK
      && strnlen (value, sizeof value) == sizeof value)
    abort ();
  free (query);
  return 0;
}
