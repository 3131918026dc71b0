#include "http_body.h"

#include "banyangap/base/hex.h"

/* Limit in bytes of one chunk's extensions, and of all trailer fields.  */
#define LINE_SIZE_MAX 8192

/* Limit of digits of a chunk size, leading zeros included.  */
#define SIZE_DIGITS_MAX 16

/* No digit is added to a chunk size of this value or more. So the size stays
   below 2^48 and cannot overflow.  */
#define CHUNK_SIZE_LIMIT (1ULL << 44)

enum state
{
  STATE_SIZE_START,
  STATE_SIZE,
  STATE_EXTENSION,
  STATE_SIZE_LF,
  STATE_DATA,
  STATE_DATA_CR,
  STATE_DATA_LF,
  STATE_TRAILER_START,
  STATE_TRAILER,
  STATE_TRAILER_LF,
  STATE_LAST_LF
};

void
bgap_http_body_start (struct bgap_http_body *body,
                      enum bgap_http_framing framing, uint64_t length)
{
  *body = (struct bgap_http_body){
    .is_chunked = framing == BGAP_HTTP_CHUNKED,
    .state = STATE_SIZE_START,
    .remaining = framing == BGAP_HTTP_LENGTH ? length : 0,
  };
  body->done = !body->is_chunked && body->remaining == 0;
}

static enum bgap_status
_bgap_body_expect (struct bgap_http_body *body, char c, char expected,
                   enum state next)
{
  body->state = (int)next;
  return c == expected ? BGAP_OK : BGAP_ERR_PROTOCOL;
}

static enum bgap_status
_bgap_body_read_size (struct bgap_http_body *body, char c)
{
  int digit = bgap_hex_digit (c);
  if (digit >= 0)
    {
      if (body->remaining >= CHUNK_SIZE_LIMIT
          || ++body->line_size > SIZE_DIGITS_MAX)
        return BGAP_ERR_PROTOCOL;
      body->remaining = body->remaining * 16 + (uint64_t)digit;
      body->state = STATE_SIZE;
      return BGAP_OK;
    }
  if (body->state == STATE_SIZE_START)
    return BGAP_ERR_PROTOCOL;
  if (c == '\r')
    body->state = STATE_SIZE_LF;
  else if (c == ';' || c == ' ' || c == '\t')
    body->state = STATE_EXTENSION;
  else
    return BGAP_ERR_PROTOCOL;
  return BGAP_OK;
}

/* Skips extensions and trailer fields.  */
static enum bgap_status
_bgap_body_skip_line (struct bgap_http_body *body, char c, enum state at_end)
{
  if (++body->line_size > LINE_SIZE_MAX || c == '\n')
    return BGAP_ERR_PROTOCOL;
  if (c == '\r')
    body->state = (int)at_end;
  return BGAP_OK;
}

/* Reads the one character that is allowed in the current state.  */
static enum bgap_status
_bgap_body_read_fixed (struct bgap_http_body *body, char c)
{
  switch (body->state)
    {
    case STATE_SIZE_LF:
      body->line_size = 0;
      return _bgap_body_expect (body, c, '\n',
                                body->remaining > 0 ? STATE_DATA
                                                    : STATE_TRAILER_START);
    case STATE_DATA_CR:
      return _bgap_body_expect (body, c, '\r', STATE_DATA_LF);
    case STATE_DATA_LF:
      return _bgap_body_expect (body, c, '\n', STATE_SIZE_START);
    case STATE_TRAILER_LF:
      return _bgap_body_expect (body, c, '\n', STATE_TRAILER_START);
    default:
      body->done = true;
      return c == '\n' ? BGAP_OK : BGAP_ERR_PROTOCOL;
    }
}

static enum bgap_status
_bgap_body_read_control (struct bgap_http_body *body, char c)
{
  if (body->state == STATE_SIZE_START || body->state == STATE_SIZE)
    return _bgap_body_read_size (body, c);
  if (body->state == STATE_EXTENSION)
    return _bgap_body_skip_line (body, c, STATE_SIZE_LF);
  if (body->state == STATE_TRAILER_START && c == '\r')
    {
      body->state = STATE_LAST_LF;
      return BGAP_OK;
    }
  if (body->state == STATE_TRAILER_START || body->state == STATE_TRAILER)
    {
      body->state = STATE_TRAILER;
      return _bgap_body_skip_line (body, c, STATE_TRAILER_LF);
    }
  return _bgap_body_read_fixed (body, c);
}

enum bgap_status
bgap_http_body_next (struct bgap_http_body *body, const char *bytes,
                     size_t size, size_t *used, const char **data,
                     size_t *data_size)
{
  size_t i = 0;
  *data = bytes;
  *data_size = 0;
  *used = 0;
  while (body->is_chunked && body->state != STATE_DATA && i < size
         && !body->done)
    if (_bgap_body_read_control (body, bytes[i++]) != BGAP_OK)
      return BGAP_ERR_PROTOCOL;
  *used = i;
  if (body->done || body->remaining == 0)
    return BGAP_OK;
  if (body->is_chunked && body->state != STATE_DATA)
    return BGAP_OK;
  uint64_t rest = size - i;
  *data = bytes + i;
  *data_size = (size_t)(rest < body->remaining ? rest : body->remaining);
  *used = i + *data_size;
  body->remaining -= *data_size;
  if (body->remaining == 0 && body->is_chunked)
    body->state = STATE_DATA_CR;
  else if (body->remaining == 0)
    body->done = true;
  return BGAP_OK;
}
