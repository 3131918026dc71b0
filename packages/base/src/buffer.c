#include "banyangap/base/buffer.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MIN_CAPACITY 64

static enum bgap_status
_bgap_buffer_reserve (struct bgap_buffer *buffer, size_t size)
{
  size_t needed = buffer->size + size + 1;
  if (needed <= buffer->capacity)
    return BGAP_OK;
  size_t capacity = buffer->capacity ? buffer->capacity : MIN_CAPACITY;
  while (capacity < needed)
    capacity *= 2;
  char *data = realloc (buffer->data, capacity);
  if (data == NULL)
    return BGAP_ERR_NO_MEMORY;
  buffer->data = data;
  buffer->capacity = capacity;
  return BGAP_OK;
}

enum bgap_status
bgap_buffer_append (struct bgap_buffer *buffer, const void *bytes, size_t size)
{
  if (_bgap_buffer_reserve (buffer, size) != BGAP_OK)
    return BGAP_ERR_NO_MEMORY;
  if (size > 0)
    memcpy (buffer->data + buffer->size, bytes, size);
  buffer->size += size;
  buffer->data[buffer->size] = '\0';
  return BGAP_OK;
}

enum bgap_status
bgap_buffer_printf (struct bgap_buffer *buffer, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  int size = vsnprintf (NULL, 0, format, args);
  va_end (args);
  if (size < 0)
    return BGAP_ERR_INVALID;
  if (_bgap_buffer_reserve (buffer, (size_t)size) != BGAP_OK)
    return BGAP_ERR_NO_MEMORY;
  va_start (args, format);
  vsnprintf (buffer->data + buffer->size, (size_t)size + 1, format, args);
  va_end (args);
  buffer->size += (size_t)size;
  return BGAP_OK;
}

void
bgap_buffer_shutdown (struct bgap_buffer *buffer)
{
  free (buffer->data);
  *buffer = (struct bgap_buffer){ 0 };
}
