#include "http_head.h"

#include <evhtp/parser.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Largest accepted Content-Length: 2^50 bytes.  */
#define LENGTH_MAX (1ULL << 50)

/* State of one run of the libevhtp parser.  */
struct parse
{
  struct bgap_http_head *head;
  char *path;
  char *query;
  char *name;
  size_t name_size;
  bool has_value;
  bool complete;
  enum bgap_status status;
};

enum bgap_status
bgap_http_head_find (struct evbuffer *input, size_t limit, size_t *size)
{
  *size = 0;
  struct evbuffer_ptr end = evbuffer_search (input, "\r\n\r\n", 4, NULL);
  if (end.pos < 0)
    return evbuffer_get_length (input) >= limit ? BGAP_ERR_FULL : BGAP_OK;
  if ((size_t)end.pos + 4 > limit)
    return BGAP_ERR_FULL;
  *size = (size_t)end.pos + 4;
  return BGAP_OK;
}

/* Parser callbacks return 0 to continue and -1 to stop with parse->status.  */
static int
_bgap_head_stop (struct parse *parse, enum bgap_status status)
{
  parse->status = status;
  return -1;
}

static int
_bgap_head_store (htparser *parser, char **out, const char *bytes, size_t size)
{
  struct parse *parse = htparser_get_userdata (parser);
  if (*out != NULL)
    return _bgap_head_stop (parse, BGAP_ERR_PROTOCOL);
  *out = strndup (bytes, size);
  if (*out == NULL)
    return _bgap_head_stop (parse, BGAP_ERR_NO_MEMORY);
  return 0;
}

static int
_bgap_head_on_method (htparser *parser, const char *bytes, size_t size)
{
  struct parse *parse = htparser_get_userdata (parser);
  return _bgap_head_store (parser, &parse->head->method, bytes, size);
}

static int
_bgap_head_on_path (htparser *parser, const char *bytes, size_t size)
{
  struct parse *parse = htparser_get_userdata (parser);
  return _bgap_head_store (parser, &parse->path, bytes, size);
}

static int
_bgap_head_on_query (htparser *parser, const char *bytes, size_t size)
{
  struct parse *parse = htparser_get_userdata (parser);
  return _bgap_head_store (parser, &parse->query, bytes, size);
}

static int
_bgap_head_on_name (htparser *parser, const char *bytes, size_t size)
{
  struct parse *parse = htparser_get_userdata (parser);
  if (parse->name != NULL && !parse->has_value)
    return _bgap_head_stop (parse, BGAP_ERR_PROTOCOL);
  free (parse->name);
  parse->name = strndup (bytes, size);
  parse->name_size = size;
  parse->has_value = false;
  return parse->name ? 0 : _bgap_head_stop (parse, BGAP_ERR_NO_MEMORY);
}

/* libevhtp reports a line without a colon as a value without a name, and a
   folded line as a second value. Both are rejected.  */
static int
_bgap_head_on_value (htparser *parser, const char *bytes, size_t size)
{
  struct parse *parse = htparser_get_userdata (parser);
  if (parse->name == NULL || parse->has_value)
    return _bgap_head_stop (parse, BGAP_ERR_PROTOCOL);
  while (size > 0 && (bytes[size - 1] == ' ' || bytes[size - 1] == '\t'))
    size--;
  while (size > 0 && (bytes[0] == ' ' || bytes[0] == '\t'))
    {
      bytes++;
      size--;
    }
  parse->has_value = true;
  if (parse->head->headers.count >= BGAP_HEADERS_RECEIVED_MAX)
    return _bgap_head_stop (parse, BGAP_ERR_FULL);
  enum bgap_status status = bgap_headers_add_bytes (
      &parse->head->headers, parse->name, parse->name_size, bytes, size);
  if (status == BGAP_ERR_INVALID)
    status = BGAP_ERR_PROTOCOL;
  return status == BGAP_OK ? 0 : _bgap_head_stop (parse, status);
}

/* Stops the parser, because http_body.c decodes the body.  */
static int
_bgap_head_on_complete (htparser *parser)
{
  struct parse *parse = htparser_get_userdata (parser);
  parse->complete = parse->name == NULL || parse->has_value;
  return -1;
}

/* Lines must end with CR LF, and the only other control character allowed is a
   tab: characters that only some parsers skip could hide a field from
   others.  */
static bool
_bgap_head_lines_are_valid (const char *bytes, size_t size)
{
  for (size_t i = 0; i < size; i++)
    {
      unsigned char c = (unsigned char)bytes[i];
      if (c == '\r' && i + 1 < size && bytes[i + 1] == '\n')
        i++;
      else if ((c < 0x20 && c != '\t') || c == 0x7f)
        return false;
    }
  return true;
}

static bool
_bgap_head_parse_length (const char *text, uint64_t *length)
{
  uint64_t value = 0;
  if (*text == '\0')
    return false;
  for (; *text != '\0'; text++)
    {
      if (*text < '0' || *text > '9' || value > LENGTH_MAX / 10)
        return false;
      value = value * 10 + (uint64_t)(*text - '0');
    }
  *length = value;
  return value <= LENGTH_MAX;
}

static enum bgap_status
_bgap_head_read_framing (struct bgap_http_head *head, struct bgap_error *err)
{
  const char *length = NULL;
  const char *encoding = NULL;
  for (size_t i = 0; i < head->headers.count; i++)
    {
      const struct bgap_header *header = &head->headers.items[i];
      bool is_length = strcasecmp (header->name, "Content-Length") == 0;
      if (!is_length && strcasecmp (header->name, "Transfer-Encoding") != 0)
        continue;
      if (length != NULL || encoding != NULL)
        return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                               "the length of the body is given twice");
      *(is_length ? &length : &encoding) = header->value;
    }
  if (length != NULL && !_bgap_head_parse_length (length, &head->length))
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "Content-Length is no valid number");
  if (encoding != NULL
      && (strcasecmp (encoding, "chunked") != 0 || head->minor == 0))
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "the transfer encoding is not supported");
  if (length != NULL)
    head->framing = BGAP_HTTP_LENGTH;
  else if (encoding != NULL)
    head->framing = BGAP_HTTP_CHUNKED;
  return BGAP_OK;
}

static void
_bgap_head_read_connection (struct bgap_http_head *head)
{
  head->close = head->minor == 0;
  for (size_t i = 0; i < head->headers.count; i++)
    {
      const struct bgap_header *header = &head->headers.items[i];
      if (strcasecmp (header->name, "Connection") != 0)
        continue;
      const char *text = header->value;
      while (*(text += strspn (text, ", \t")) != '\0')
        {
          size_t size = strcspn (text, ", \t");
          if (size == 5 && strncasecmp (text, "close", 5) == 0)
            head->close = true;
          text += size;
        }
    }
}

static enum bgap_status
_bgap_head_read_target (struct parse *parse, struct bgap_error *err)
{
  const char *path = parse->path ? parse->path : "";
  if (parse->head->method == NULL || path[0] != '/' || strchr (path, '#')
      || (parse->query != NULL && strchr (parse->query, '#')))
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "the request target is not a path");
  size_t path_size = strlen (path);
  size_t query_size = parse->query ? strlen (parse->query) + 1 : 0;
  char *target = malloc (path_size + query_size + 1);
  if (target == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  memcpy (target, path, path_size + 1);
  if (parse->query != NULL)
    {
      target[path_size] = '?';
      memcpy (target + path_size + 1, parse->query, query_size);
    }
  parse->head->target = target;
  return BGAP_OK;
}

static enum bgap_status
_bgap_head_run (struct parse *parse, enum bgap_http_kind kind,
                const char *bytes, size_t size, struct bgap_error *err)
{
  htparse_hooks hooks = {
    .method = _bgap_head_on_method,
    .path = _bgap_head_on_path,
    .args = _bgap_head_on_query,
    .hdr_key = _bgap_head_on_name,
    .hdr_val = _bgap_head_on_value,
    .on_hdrs_complete = _bgap_head_on_complete,
  };
  htparser *parser = htparser_new ();
  if (parser == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  htparser_init (parser, kind == BGAP_HTTP_REQUEST ? htp_type_request
                                                   : htp_type_response);
  htparser_set_userdata (parser, parse);
  size_t used = htparser_run (parser, &hooks, bytes, size);
  bool is_version_1
      = htparser_get_major (parser) == 1 && htparser_get_minor (parser) <= 1;
  parse->head->minor = htparser_get_minor (parser);
  free (parser);
  if (parse->status != BGAP_OK)
    return bgap_error_set (err, parse->status, "a header field is %s",
                           parse->status == BGAP_ERR_FULL ? "too large"
                                                          : "malformed");
  if (!parse->complete || used != size || !is_version_1)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL, "the head is malformed");
  return BGAP_OK;
}

/* Returns the status of a status line, or 0 if it is malformed: the version,
   one space and three digits, from 100 to 599. libevhtp also accepts several
   spaces.  */
static int
_bgap_head_read_status (const char *bytes, size_t size)
{
  if (size < 13 || memcmp (bytes, "HTTP/1.", 7) != 0
      || (bytes[7] != '0' && bytes[7] != '1') || bytes[8] != ' '
      || bytes[9] < '1' || bytes[9] > '5' || bytes[10] < '0' || bytes[10] > '9'
      || bytes[11] < '0' || bytes[11] > '9'
      || (bytes[12] != ' ' && bytes[12] != '\r'))
    return 0;
  return (bytes[9] - '0') * 100 + (bytes[10] - '0') * 10 + (bytes[11] - '0');
}

enum bgap_status
bgap_http_head_parse (struct bgap_http_head *head, enum bgap_http_kind kind,
                      const char *bytes, size_t size, struct bgap_error *err)
{
  struct parse parse = { .head = head };
  *head = (struct bgap_http_head){ 0 };
  if (!_bgap_head_lines_are_valid (bytes, size))
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "the head has a control character");
  int code
      = kind == BGAP_HTTP_RESPONSE ? _bgap_head_read_status (bytes, size) : 0;
  if (kind == BGAP_HTTP_RESPONSE && code == 0)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "the status line is malformed");
  head->status = code;
  /* libevhtp does not report the heads of interim responses; their fields are
     not used.  */
  if (code >= 100 && code < 200 && bytes[7] == '1')
    return BGAP_OK;
  enum bgap_status status = _bgap_head_run (&parse, kind, bytes, size, err);
  if (status == BGAP_OK)
    status = _bgap_head_read_framing (head, err);
  if (status == BGAP_OK)
    _bgap_head_read_connection (head);
  if (status == BGAP_OK && kind == BGAP_HTTP_REQUEST)
    status = _bgap_head_read_target (&parse, err);
  free (parse.path);
  free (parse.query);
  free (parse.name);
  return status;
}

void
bgap_http_head_shutdown (struct bgap_http_head *head)
{
  free (head->method);
  free (head->target);
  bgap_headers_shutdown (&head->headers);
  *head = (struct bgap_http_head){ 0 };
}

const char *
bgap_http_status_text (int status)
{
  static const struct
  {
    int status;
    const char *text;
  } texts[] = {
    { 200, "OK" },
    { 201, "Created" },
    { 202, "Accepted" },
    { 204, "No Content" },
    { 304, "Not Modified" },
    { 400, "Bad Request" },
    { 401, "Unauthorized" },
    { 403, "Forbidden" },
    { 404, "Not Found" },
    { 405, "Method Not Allowed" },
    { 408, "Request Timeout" },
    { 409, "Conflict" },
    { 410, "Gone" },
    { 413, "Content Too Large" },
    { 417, "Expectation Failed" },
    { 422, "Unprocessable Content" },
    { 429, "Too Many Requests" },
    { 431, "Request Header Fields Too Large" },
    { 500, "Internal Server Error" },
    { 502, "Bad Gateway" },
    { 503, "Service Unavailable" },
    { 504, "Gateway Timeout" },
  };
  for (size_t i = 0; i < sizeof texts / sizeof *texts; i++)
    if (texts[i].status == status)
      return texts[i].text;
  return "Status";
}
