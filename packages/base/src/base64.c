#include "banyangap/base/base64.h"

#include <stdint.h>

static const char alphabet[]
    = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

enum bgap_status
bgap_base64_encode (struct bgap_buffer *out, const void *bytes, size_t size)
{
  const uint8_t *in = bytes;
  for (size_t i = 0; i < size; i += 3)
    {
      uint32_t group = (uint32_t)in[i] << 16;
      if (i + 1 < size)
        group |= (uint32_t)in[i + 1] << 8;
      if (i + 2 < size)
        group |= in[i + 2];
      const char text[4] = {
        alphabet[group >> 18],
        alphabet[group >> 12 & 63],
        i + 1 < size ? alphabet[group >> 6 & 63] : '=',
        i + 2 < size ? alphabet[group & 63] : '=',
      };
      if (bgap_buffer_append (out, text, sizeof text) != BGAP_OK)
        return BGAP_ERR_NO_MEMORY;
    }
  return BGAP_OK;
}

static int
_bgap_base64_value (char c)
{
  if (c >= 'A' && c <= 'Z')
    return c - 'A';
  if (c >= 'a' && c <= 'z')
    return c - 'a' + 26;
  if (c >= '0' && c <= '9')
    return c - '0' + 52;
  if (c == '+')
    return 62;
  return c == '/' ? 63 : -1;
}

enum bgap_status
bgap_base64_decode (const char *text, size_t text_size, void *bytes,
                    size_t *size)
{
  uint8_t *out = bytes;
  size_t padding = 0;
  *size = 0;
  if (text_size % 4 != 0)
    return BGAP_ERR_PROTOCOL;
  if (text_size > 0 && text[text_size - 1] == '=')
    padding = text[text_size - 2] == '=' ? 2 : 1;
  for (size_t i = 0; i < text_size; i += 4)
    {
      uint32_t group = 0;
      size_t pad = i + 4 == text_size ? padding : 0;
      for (size_t j = 0; j < 4; j++)
        {
          int value = j >= 4 - pad ? 0 : _bgap_base64_value (text[i + j]);
          if (value < 0)
            return BGAP_ERR_PROTOCOL;
          group = group << 6 | (uint32_t)value;
        }
      for (size_t j = 0; j < 3 - pad; j++)
        out[(*size)++] = (uint8_t)(group >> (16 - 8 * j));
    }
  return BGAP_OK;
}
