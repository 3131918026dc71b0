#include "percent.h"

#include "banyangap/base/hex.h"

enum bgap_status
bgap_percent_decode (const char *text, size_t size, unsigned char *out,
                     size_t capacity, size_t *used)
{
  *used = 0;
  for (size_t i = 0; i < size; i++)
    {
      int byte = (unsigned char)text[i];
      if (text[i] == '%')
        {
          int high = size - i > 2 ? bgap_hex_digit (text[i + 1]) : -1;
          int low = size - i > 2 ? bgap_hex_digit (text[i + 2]) : -1;
          if (high < 0 || low < 0)
            return BGAP_ERR_INVALID;
          byte = high * 16 + low;
          i += 2;
        }
      if (*used == capacity)
        return BGAP_ERR_FULL;
      out[(*used)++] = (unsigned char)byte;
    }
  return BGAP_OK;
}
