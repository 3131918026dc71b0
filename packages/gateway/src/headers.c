#include "banyangap/gateway/headers.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define MIN_CAPACITY 16

static bool
_bgap_header_name_is_valid (const char *name, size_t size)
{
  static const char others[] = "!#$%&'*+-.^_`|~";
  for (size_t i = 0; i < size; i++)
    {
      unsigned char c = (unsigned char)name[i];
      bool is_alnum = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z')
                      || (c >= 'A' && c <= 'Z');
      if (!is_alnum && (c == '\0' || strchr (others, c) == NULL))
        return false;
    }
  return size > 0;
}

static bool
_bgap_header_value_is_valid (const char *value, size_t size)
{
  for (size_t i = 0; i < size; i++)
    {
      unsigned char c = (unsigned char)value[i];
      if ((c < 0x20 && c != '\t') || c == 0x7f)
        return false;
    }
  return true;
}

static enum bgap_status
_bgap_headers_reserve (struct bgap_headers *headers)
{
  if (headers->count < headers->capacity)
    return BGAP_OK;
  size_t capacity = headers->capacity ? headers->capacity * 2 : MIN_CAPACITY;
  struct bgap_header *items
      = realloc (headers->items, capacity * sizeof *items);
  if (items == NULL)
    return BGAP_ERR_NO_MEMORY;
  headers->items = items;
  headers->capacity = capacity;
  return BGAP_OK;
}

enum bgap_status
bgap_headers_add_bytes (struct bgap_headers *headers, const char *name,
                        size_t name_size, const char *value, size_t value_size)
{
  if (!_bgap_header_name_is_valid (name, name_size)
      || !_bgap_header_value_is_valid (value, value_size))
    return BGAP_ERR_INVALID;
  if (headers->count >= BGAP_HEADERS_COUNT_MAX
      || name_size + value_size > BGAP_HEADERS_SIZE_MAX - headers->size)
    return BGAP_ERR_FULL;
  if (_bgap_headers_reserve (headers) != BGAP_OK)
    return BGAP_ERR_NO_MEMORY;
  /* Name and value share one allocation.  */
  char *text = malloc (name_size + value_size + 2);
  if (text == NULL)
    return BGAP_ERR_NO_MEMORY;
  memcpy (text, name, name_size);
  text[name_size] = '\0';
  memcpy (text + name_size + 1, value, value_size);
  text[name_size + 1 + value_size] = '\0';
  headers->items[headers->count++] = (struct bgap_header){
    .name = text,
    .value = text + name_size + 1,
  };
  headers->size += name_size + value_size;
  return BGAP_OK;
}

enum bgap_status
bgap_headers_add (struct bgap_headers *headers, const char *name,
                  const char *value)
{
  return bgap_headers_add_bytes (headers, name, strlen (name), value,
                                 strlen (value));
}

enum bgap_status
bgap_headers_set (struct bgap_headers *headers, const char *name,
                  const char *value)
{
  bgap_headers_remove (headers, name);
  return bgap_headers_add (headers, name, value);
}

const char *
bgap_headers_find (const struct bgap_headers *headers, const char *name)
{
  for (size_t i = 0; i < headers->count; i++)
    if (strcasecmp (headers->items[i].name, name) == 0)
      return headers->items[i].value;
  return NULL;
}

static void
_bgap_headers_remove_bytes (struct bgap_headers *headers, const char *name,
                            size_t size)
{
  size_t kept = 0;
  for (size_t i = 0; i < headers->count; i++)
    {
      struct bgap_header item = headers->items[i];
      if (strncasecmp (item.name, name, size) == 0 && item.name[size] == '\0')
        {
          headers->size -= strlen (item.name) + strlen (item.value);
          free (item.name);
        }
      else
        headers->items[kept++] = item;
    }
  headers->count = kept;
}

void
bgap_headers_remove (struct bgap_headers *headers, const char *name)
{
  _bgap_headers_remove_bytes (headers, name, strlen (name));
}

enum bgap_status
bgap_headers_copy (struct bgap_headers *headers,
                   const struct bgap_headers *from)
{
  for (size_t i = 0; i < from->count; i++)
    {
      enum bgap_status status = bgap_headers_add (headers, from->items[i].name,
                                                  from->items[i].value);
      if (status != BGAP_OK)
        return status;
    }
  return BGAP_OK;
}

/* Whether a field may be removed because Connection lists it. Fields that
   decide how the request is treated are kept: a caller must not be able to
   strip them.  */
static bool
_bgap_headers_is_removable (const char *name, size_t size)
{
  static const char *const kept[] = { "Host", "Content-Length", "Content-Type",
                                      "Authorization", "Idempotency-Key" };
  if (size >= 5 && strncasecmp (name, "Bgap-", 5) == 0)
    return false;
  for (size_t i = 0; i < sizeof kept / sizeof *kept; i++)
    if (strlen (kept[i]) == size && strncasecmp (kept[i], name, size) == 0)
      return false;
  return true;
}

void
bgap_headers_remove_hop_by_hop (struct bgap_headers *headers)
{
  static const char *const names[] = { "Connection",
                                       "Keep-Alive",
                                       "Proxy-Authenticate",
                                       "Proxy-Authorization",
                                       "Proxy-Connection",
                                       "TE",
                                       "Trailer",
                                       "Transfer-Encoding",
                                       "Upgrade" };
  struct bgap_headers connection = { 0 };
  for (size_t i = 0; i < headers->count; i++)
    if (strcasecmp (headers->items[i].name, "Connection") == 0)
      bgap_headers_add (&connection, "Connection", headers->items[i].value);
  for (size_t i = 0; i < connection.count; i++)
    {
      char *rest = NULL;
      for (char *token = strtok_r (connection.items[i].value, ", \t", &rest);
           token != NULL; token = strtok_r (NULL, ", \t", &rest))
        if (_bgap_headers_is_removable (token, strlen (token)))
          bgap_headers_remove (headers, token);
    }
  bgap_headers_shutdown (&connection);
  for (size_t i = 0; i < sizeof names / sizeof *names; i++)
    bgap_headers_remove (headers, names[i]);
}

void
bgap_headers_shutdown (struct bgap_headers *headers)
{
  for (size_t i = 0; i < headers->count; i++)
    free (headers->items[i].name);
  free (headers->items);
  *headers = (struct bgap_headers){ 0 };
}
