#include "status_line.h"

#include <string.h>

/* Position of the minor version, of the status and of what follows.  */
#define MINOR_AT 7
#define STATUS_AT 9
#define END_AT 12

static bool
_bgap_status_line_is_valid (const char *bytes)
{
  const char *status = bytes + STATUS_AT;
  if (memcmp (bytes, "HTTP/1.", MINOR_AT) != 0
      || (bytes[MINOR_AT] != '0' && bytes[MINOR_AT] != '1')
      || bytes[MINOR_AT + 1] != ' ')
    return false;
  if (status[0] < '1' || status[0] > '5' || status[1] < '0' || status[1] > '9'
      || status[2] < '0' || status[2] > '9')
    return false;
  return bytes[END_AT] == ' ' || bytes[END_AT] == '\r'
         || bytes[END_AT] == '\n';
}

/* Follows the head of an interim response to its end, after which comes
   another status line.  */
static void
_bgap_status_line_skip (struct bgap_status_line *line, char byte)
{
  if (byte == '\n' && line->at_line_start)
    *line = (struct bgap_status_line){ 0 };
  else if (byte != '\r')
    line->at_line_start = byte == '\n';
}

static bool
_bgap_status_line_check_bytes (struct bgap_status_line *line,
                               const char *bytes, size_t size)
{
  for (size_t i = 0; i < size && !line->done; i++)
    {
      if (line->size == sizeof line->bytes)
        {
          _bgap_status_line_skip (line, bytes[i]);
          continue;
        }
      line->bytes[line->size++] = bytes[i];
      if (line->size < sizeof line->bytes)
        continue;
      if (!_bgap_status_line_is_valid (line->bytes))
        return false;
      line->at_line_start = bytes[i] == '\n';
      /* evhttp reads on after this interim response only.  */
      line->done = memcmp (line->bytes + STATUS_AT, "100", 3) != 0;
    }
  return true;
}

bool
bgap_status_line_check (struct bgap_status_line *line, struct evbuffer *input,
                        size_t size)
{
  struct evbuffer_ptr at;
  struct evbuffer_iovec piece;
  while (size > 0 && !line->done)
    {
      if (evbuffer_ptr_set (input, &at, evbuffer_get_length (input) - size,
                            EVBUFFER_PTR_SET)
              != 0
          || evbuffer_peek (input, (ev_ssize_t)size, &at, &piece, 1) < 1)
        return false;
      size_t next = piece.iov_len < size ? piece.iov_len : size;
      if (!_bgap_status_line_check_bytes (line, piece.iov_base, next))
        return false;
      size -= next;
    }
  return true;
}
