#include "codec.h"

#include <stdlib.h>
#include <string.h>

#include "banyangap/base/json.h"
#include "banyangap/ownership/entry.h"

#define HEX64_DIGITS 16

enum bgap_status
bgap_codec_parse_object (const void *bytes, size_t size, json_t **object,
                         struct bgap_error *err)
{
  json_error_t reason;
  json_t *parsed = json_loadb (bytes, size, JSON_REJECT_DUPLICATES, &reason);
  if (parsed == NULL)
    return bgap_error_set (
        err,
        json_error_code (&reason) == json_error_out_of_memory
            ? BGAP_ERR_NO_MEMORY
            : BGAP_ERR_PROTOCOL,
        "line %d, column %d: %s", reason.line, reason.column, reason.text);
  if (json_is_object (parsed))
    {
      *object = parsed;
      return BGAP_OK;
    }
  json_decref (parsed);
  return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                         "the text is not a JSON object");
}

enum bgap_status
bgap_codec_int (const json_t *object, const char *name, int64_t low,
                int64_t high, int64_t *value, struct bgap_error *err)
{
  enum bgap_status status = bgap_json_int (object, name, value, err);
  if (status != BGAP_OK)
    return status;
  if (*value < low || *value > high)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "member \"%s\" is out of range", name);
  return BGAP_OK;
}

enum bgap_status
bgap_codec_offset (const json_t *object, const char *name, uint64_t *value,
                   struct bgap_error *err)
{
  int64_t number;
  enum bgap_status status
      = bgap_codec_int (object, name, 0, INT64_MAX, &number, err);
  if (status == BGAP_OK)
    *value = (uint64_t)number;
  return status;
}

enum bgap_status
bgap_codec_name (const json_t *object, const char *name, char *value,
                 size_t size, struct bgap_error *err)
{
  const char *text;
  enum bgap_status status = bgap_json_string (object, name, &text, err);
  if (status != BGAP_OK)
    return status;
  size_t length = strlen (text);
  if (length == 0 || length >= size)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "member \"%s\" is empty or too long", name);
  for (size_t i = 0; i < length; i++)
    if (text[i] < '!' || text[i] > '~')
      return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                             "member \"%s\" is not a name", name);
  memcpy (value, text, length + 1);
  return BGAP_OK;
}

/* Value of a lower-case hexadecimal digit, or -1.  */
static int
_bgap_hex_digit_value (char digit)
{
  if (digit >= '0' && digit <= '9')
    return digit - '0';
  if (digit >= 'a' && digit <= 'f')
    return digit - 'a' + 10;
  return -1;
}

enum bgap_status
bgap_codec_hex64 (const json_t *object, const char *name, uint64_t *value,
                  struct bgap_error *err)
{
  const char *text;
  enum bgap_status status = bgap_json_string (object, name, &text, err);
  if (status != BGAP_OK)
    return status;
  uint64_t number = 0;
  size_t i = 0;
  for (; i < HEX64_DIGITS && _bgap_hex_digit_value (text[i]) >= 0; i++)
    number = number << 4 | (uint64_t)_bgap_hex_digit_value (text[i]);
  if (i != HEX64_DIGITS || text[i] != '\0')
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "member \"%s\" is not 16 hexadecimal digits", name);
  *value = number;
  return BGAP_OK;
}

enum bgap_status
bgap_codec_hex_bytes (const json_t *object, const char *name, size_t max,
                      unsigned char **data, size_t *size,
                      struct bgap_error *err)
{
  const char *text;
  enum bgap_status status = bgap_json_string (object, name, &text, err);
  if (status != BGAP_OK)
    return status;
  size_t digits = strlen (text);
  if (digits % 2 != 0 || digits / 2 > max)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "member \"%s\" has a wrong length", name);
  unsigned char *bytes = malloc (digits / 2 + 1);
  if (bytes == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  for (size_t i = 0; i < digits; i += 2)
    {
      int high = _bgap_hex_digit_value (text[i]);
      int low = _bgap_hex_digit_value (text[i + 1]);
      if (high < 0 || low < 0)
        {
          free (bytes);
          return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                                 "member \"%s\" is not hexadecimal", name);
        }
      bytes[i / 2] = (unsigned char)((unsigned)high << 4 | (unsigned)low);
    }
  *data = bytes;
  *size = digits / 2;
  return BGAP_OK;
}

enum bgap_status
bgap_codec_print_hex (struct bgap_buffer *out, const void *data, size_t size)
{
  static const char digits[] = "0123456789abcdef";
  const unsigned char *bytes = data;
  char digit_pairs[128];
  enum bgap_status status = BGAP_OK;
  while (size > 0 && status == BGAP_OK)
    {
      size_t part
          = size < sizeof digit_pairs / 2 ? size : sizeof digit_pairs / 2;
      for (size_t i = 0; i < part; i++)
        {
          digit_pairs[2 * i] = digits[bytes[i] >> 4];
          digit_pairs[2 * i + 1] = digits[bytes[i] & 15];
        }
      status = bgap_buffer_append (out, digit_pairs, 2 * part);
      bytes += part;
      size -= part;
    }
  return status;
}

enum bgap_status
bgap_codec_print_string (struct bgap_buffer *out, const char *text)
{
  json_t *string = json_string (text);
  char *quoted = string ? json_dumps (string, JSON_ENCODE_ANY) : NULL;
  json_decref (string);
  if (quoted == NULL)
    return BGAP_ERR_INVALID;
  enum bgap_status status = bgap_buffer_append (out, quoted, strlen (quoted));
  free (quoted);
  return status;
}
