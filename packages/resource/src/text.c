#include "text.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <netinet/in.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/resource/types.h"

#define DISTANCE_WORD_SIZE 64
#define DISTANCE_TOO_LONG 1000u
#define PORT_DIGITS_MAX 5
#define PORT_MAX 65535

/* Bytes of the UTF-8 character that starts with @lead.  */
static size_t
_bgap_text_character_size (unsigned char lead)
{
  if (lead >= 0xf0)
    return 4;
  if (lead >= 0xe0)
    return 3;
  return lead >= 0xc0 ? 2 : 1;
}

static bool
_bgap_text_is_continuation (char byte)
{
  return ((unsigned char)byte & 0xc0) == 0x80;
}

/* Removes an incomplete character at the end.  */
static void
_bgap_text_trim (char *text, size_t length)
{
  size_t start = length;
  while (start > 0 && _bgap_text_is_continuation (text[start - 1]))
    start--;
  if (start > 0
      && length - (start - 1)
             < _bgap_text_character_size ((unsigned char)text[start - 1]))
    text[start - 1] = '\0';
}

void
bgap_text_copy (char *to, size_t size, const char *from)
{
  size_t length = strnlen (from, size - 1);
  memcpy (to, from, length);
  to[length] = '\0';
  _bgap_text_trim (to, length);
}

void
bgap_text_printf (char *to, size_t size, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  vsnprintf (to, size, format, args);
  va_end (args);
  _bgap_text_trim (to, strlen (to));
}

void
bgap_text_clean (char *text)
{
  _bgap_text_trim (text, strlen (text));
  json_t *check = json_string (text);
  const bool valid = check != NULL;
  json_decref (check);
  for (char *c = text; *c != '\0'; c++)
    if ((unsigned char)*c < 0x20 || *c == 0x7f
        || (!valid && (unsigned char)*c >= 0x80))
      *c = '?';
}

static unsigned
_bgap_text_min (unsigned a, unsigned b)
{
  return a < b ? a : b;
}

unsigned
bgap_text_distance (const char *a, const char *b)
{
  size_t a_length = strlen (a);
  size_t b_length = strlen (b);
  if (a_length >= DISTANCE_WORD_SIZE || b_length >= DISTANCE_WORD_SIZE)
    return DISTANCE_TOO_LONG;
  unsigned row[DISTANCE_WORD_SIZE];
  for (unsigned j = 0; j <= b_length; j++)
    row[j] = j;
  for (size_t i = 1; i <= a_length; i++)
    {
      unsigned diagonal = row[0];
      row[0] = (unsigned)i;
      for (size_t j = 1; j <= b_length; j++)
        {
          unsigned cost = diagonal + (a[i - 1] != b[j - 1]);
          diagonal = row[j];
          row[j]
              = _bgap_text_min (cost, _bgap_text_min (row[j], row[j - 1]) + 1);
        }
    }
  return row[b_length];
}

bool
bgap_text_is_name (const char *text)
{
  static const char allowed[] = "abcdefghijklmnopqrstuvwxyz0123456789-";
  size_t length = strlen (text);
  return length > 0 && length < BGAP_RESOURCE_NAME_SIZE && text[0] != '-'
         && strspn (text, allowed) == length;
}

bool
bgap_text_is_digest (const char *text)
{
  size_t length = strlen (text);
  return length == BGAP_RESOURCE_DIGEST_SIZE - 1
         && strspn (text, "0123456789abcdef") == length;
}

static bool
_bgap_text_port (const char *text, unsigned long *port)
{
  size_t length = strlen (text);
  if (length == 0 || length > PORT_DIGITS_MAX || text[0] == '0'
      || strspn (text, "0123456789") != length)
    return false;
  *port = strtoul (text, NULL, 10);
  return *port <= PORT_MAX;
}

bool
bgap_text_address (const char *text, char *to, bool *unspecified)
{
  char host[INET6_ADDRSTRLEN];
  const bool v6 = text[0] == '[';
  const char *start = v6 ? text + 1 : text;
  const char *end = strchr (start, v6 ? ']' : ':');
  if (end == NULL || (size_t)(end - start) >= sizeof host)
    return false;
  const char *colon = v6 ? end + 1 : end;
  unsigned long port;
  if (*colon != ':' || !_bgap_text_port (colon + 1, &port))
    return false;
  memcpy (host, start, (size_t)(end - start));
  host[end - start] = '\0';
  struct in6_addr address = { 0 };
  const struct in6_addr zero = { 0 };
  const int family = v6 ? AF_INET6 : AF_INET;
  if (inet_pton (family, host, &address) != 1)
    return false;
  *unspecified = memcmp (&address, &zero, sizeof zero) == 0;
  inet_ntop (family, &address, host, sizeof host);
  snprintf (to, BGAP_RESOURCE_ADDRESS_SIZE, v6 ? "[%s]:%lu" : "%s:%lu", host,
            port);
  return true;
}
