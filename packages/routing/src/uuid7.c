#include "banyangap/routing/uuid7.h"

#include <stdbool.h>

#include "banyangap/base/hex.h"

#define VERSION_BYTE 6
#define VERSION_7 0x70
#define VARIANT_BYTE 8
#define VARIANT_RFC 0x80
#define TIMESTAMP_BYTES 6

static bool
_bgap_uuid7_dash_at (size_t position)
{
  return position == 8 || position == 13 || position == 18 || position == 23;
}

enum bgap_status
bgap_uuid7_parse (const char *text, size_t size, struct bgap_uuid7 *uuid)
{
  if (size != BGAP_UUID7_TEXT_SIZE)
    return BGAP_ERR_INVALID;
  struct bgap_uuid7 parsed = { { 0 } };
  size_t digits = 0;
  for (size_t i = 0; i < size; i++)
    {
      if (_bgap_uuid7_dash_at (i))
        {
          if (text[i] != '-')
            return BGAP_ERR_INVALID;
          continue;
        }
      int digit = bgap_hex_digit (text[i]);
      if (digit < 0)
        return BGAP_ERR_INVALID;
      uint8_t *byte = &parsed.bytes[digits / 2];
      *byte = (uint8_t)(*byte << 4 | digit);
      digits++;
    }
  if ((parsed.bytes[VERSION_BYTE] & 0xf0) != VERSION_7
      || (parsed.bytes[VARIANT_BYTE] & 0xc0) != VARIANT_RFC)
    return BGAP_ERR_INVALID;
  *uuid = parsed;
  return BGAP_OK;
}

void
bgap_uuid7_format (const struct bgap_uuid7 *uuid,
                   char text[BGAP_UUID7_TEXT_SIZE + 1])
{
  static const char digits[] = "0123456789abcdef";
  size_t digit = 0;
  for (size_t i = 0; i < BGAP_UUID7_TEXT_SIZE; i++)
    {
      if (_bgap_uuid7_dash_at (i))
        {
          text[i] = '-';
          continue;
        }
      uint8_t byte = uuid->bytes[digit / 2];
      text[i] = digits[digit % 2 == 0 ? byte >> 4 : byte & 0xf];
      digit++;
    }
  text[BGAP_UUID7_TEXT_SIZE] = '\0';
}

int64_t
bgap_uuid7_time_ms (const struct bgap_uuid7 *uuid)
{
  int64_t time = 0;
  for (int i = 0; i < TIMESTAMP_BYTES; i++)
    time = time << 8 | uuid->bytes[i];
  return time;
}
