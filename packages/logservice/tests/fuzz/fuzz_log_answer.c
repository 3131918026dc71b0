#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "log_response.h"

/* The first byte selects the parser and the requested offset.  */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct bgap_log_response response = { 0 };
  struct bgap_error err = { 0 };
  enum bgap_status status;
  if (size == 0)
    return 0;
  const char *body = (const char *)data + 1;
  int64_t from = 1 + (data[0] >> 4);
  uint32_t limit = 4;
  switch (data[0] & 3)
    {
    case 0:
      status
          = bgap_log_response_parse_append (body, size - 1, &response, &err);
      if (status == BGAP_OK && response.offset < 1)
        abort ();
      break;
    case 1:
      status
          = bgap_log_response_parse_bounds (body, size - 1, &response, &err);
      if (status == BGAP_OK
          && (response.first < 1 || response.end < response.first))
        abort ();
      break;
    default:
      status = bgap_log_response_parse_read (body, size - 1, from, limit,
                                             &response, &err);
      if (status == BGAP_OK && response.count > limit)
        abort ();
      for (size_t i = 0; status == BGAP_OK && i < response.count; i++)
        {
          const struct bgap_log_record *record = &response.records[i];
          if (record->offset < from || record->offset >= response.end
              || strlen (record->data) != record->size
              || (i > 0 && record->offset <= record[-1].offset))
            abort ();
        }
      break;
    }
  if ((status == BGAP_OK) != (err.message[0] == '\0'))
    abort ();
  bgap_log_response_shutdown (&response);
  return 0;
}
