#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "frontend_private.h"

/* Size in bytes of the socket's send buffer for large responses. The kernel
   would otherwise buffer several MB for each slow caller, which count towards
   the memory of the host. It allows twice this size, for its own overhead; at
   a round trip of 2 ms that is 32 MB/s.  */
#define LARGE_SEND_BUFFER 32768

static struct frontend_connection *
_bgap_frontend_find (const struct bgap_frontend *frontend,
                     struct bgap_exchange_id id)
{
  struct frontend_connection **item
      = bgap_pool_get (&frontend->exchanges, id.id);
  return item ? *item : NULL;
}

const struct bgap_frontend_request *
bgap_frontend_request (const struct bgap_frontend *frontend,
                       struct bgap_exchange_id id)
{
  struct frontend_connection *c = _bgap_frontend_find (frontend, id);
  return c ? &c->request : NULL;
}

/* Content-Length must be a plain decimal number to determine the framing.  */
static enum bgap_status
_bgap_frontend_read_length (struct frontend_connection *c,
                            const struct bgap_headers *headers)
{
  const char *length
      = headers ? bgap_headers_find (headers, "Content-Length") : NULL;
  c->has_length = length != NULL;
  if (length == NULL)
    return BGAP_OK;
  size_t size = strlen (length);
  if (size == 0 || size > 18 || strspn (length, "0123456789") != size)
    return BGAP_ERR_INVALID;
  c->body_remaining = strtoull (length, NULL, 10);
  return BGAP_OK;
}

static enum bgap_status
_bgap_frontend_print_headers (struct frontend_connection *c, int status,
                              const struct bgap_headers *headers)
{
  struct evbuffer *out = bufferevent_get_output (c->bev);
  struct bgap_headers copy = { 0 };
  enum bgap_status result = BGAP_OK;
  if (headers != NULL)
    result = bgap_headers_copy (&copy, headers);
  bgap_headers_remove_hop_by_hop (&copy);
  if (status == 204)
    bgap_headers_remove (&copy, "Content-Length");
  if (result == BGAP_OK)
    evbuffer_add_printf (out, "HTTP/1.1 %d %s\r\n", status,
                         bgap_http_status_text (status));
  for (size_t i = 0; i < copy.count && result == BGAP_OK; i++)
    evbuffer_add_printf (out, "%s: %s\r\n", copy.items[i].name,
                         copy.items[i].value);
  bgap_headers_shutdown (&copy);
  return result;
}

enum bgap_status
bgap_frontend_start (struct bgap_frontend *frontend,
                     struct bgap_exchange_id id, int status,
                     const struct bgap_headers *headers)
{
  struct frontend_connection *c = _bgap_frontend_find (frontend, id);
  if (c == NULL)
    return BGAP_ERR_NOT_FOUND;
  if (c->response_started || status < 200 || status > 599
      || _bgap_frontend_read_length (c, headers) != BGAP_OK)
    return BGAP_ERR_INVALID;
  c->has_no_body = strcmp (c->request.method, "HEAD") == 0 || status == 204
                   || status == 304;
  bool needs_framing = !c->has_no_body && !c->has_length;
  c->is_chunked = needs_framing && c->head.minor > 0;
  c->close_after_response = c->close_after_response || frontend->is_stopping
                            || frontend->closes_after_response
                            || (needs_framing && !c->is_chunked);
  enum bgap_status result = _bgap_frontend_print_headers (c, status, headers);
  if (result != BGAP_OK)
    return result;
  c->response_started = true;
  evbuffer_add_printf (bufferevent_get_output (c->bev), "%s%s\r\n",
                       c->is_chunked ? "Transfer-Encoding: chunked\r\n" : "",
                       c->close_after_response ? "Connection: close\r\n" : "");
  return BGAP_OK;
}

void
bgap_frontend_set_large (struct bgap_frontend *frontend,
                         struct bgap_exchange_id id)
{
  const int size = LARGE_SEND_BUFFER;
  struct frontend_connection *c = _bgap_frontend_find (frontend, id);
  if (c == NULL)
    return;
  c->is_large = true;
  setsockopt (bufferevent_getfd (c->bev), SOL_SOCKET, SO_SNDBUF, &size,
              sizeof size);
}

enum bgap_status
bgap_frontend_write (struct bgap_frontend *frontend,
                     struct bgap_exchange_id id, const void *bytes,
                     size_t size)
{
  struct frontend_connection *c = _bgap_frontend_find (frontend, id);
  if (c == NULL)
    return BGAP_ERR_NOT_FOUND;
  if (!c->response_started)
    return BGAP_ERR_INVALID;
  if (c->has_no_body || size == 0)
    return BGAP_OK;
  if (c->has_length && size > c->body_remaining)
    return BGAP_ERR_INVALID;
  struct evbuffer *out = bufferevent_get_output (c->bev);
  if (c->is_chunked)
    evbuffer_add_printf (out, "%zx\r\n", size);
  if (evbuffer_add (out, bytes, size) != 0)
    return BGAP_ERR_NO_MEMORY;
  if (c->is_chunked)
    evbuffer_add (out, "\r\n", 2);
  if (c->has_length)
    c->body_remaining -= size;
  if (evbuffer_get_length (out) <= bgap_frontend_connection_limit (c))
    return BGAP_OK;
  c->is_full = true;
  bgap_frontend_connection_set_resume (c);
  return BGAP_OK;
}

bool
bgap_frontend_is_full (const struct bgap_frontend *frontend,
                       struct bgap_exchange_id id)
{
  const struct frontend_connection *c = _bgap_frontend_find (frontend, id);
  return c != NULL && c->is_full;
}

enum bgap_status
bgap_frontend_finish (struct bgap_frontend *frontend,
                      struct bgap_exchange_id id)
{
  struct frontend_connection *c = _bgap_frontend_find (frontend, id);
  if (c == NULL)
    return BGAP_ERR_NOT_FOUND;
  if (!c->response_started)
    return BGAP_ERR_INVALID;
  if (c->has_length && !c->has_no_body && c->body_remaining > 0)
    {
      bgap_frontend_abort (frontend, id);
      return BGAP_ERR_INVALID;
    }
  if (c->is_chunked)
    evbuffer_add (bufferevent_get_output (c->bev), "0\r\n\r\n", 5);
  bgap_frontend_connection_end_exchange (c);
  return BGAP_OK;
}

enum bgap_status
bgap_frontend_abort (struct bgap_frontend *frontend,
                     struct bgap_exchange_id id)
{
  struct frontend_connection *c = _bgap_frontend_find (frontend, id);
  if (c == NULL)
    return BGAP_ERR_NOT_FOUND;
  ++*frontend->broken_total;
  bgap_frontend_connection_close (c, true);
  return BGAP_OK;
}

enum bgap_status
bgap_frontend_reply (struct bgap_frontend *frontend,
                     struct bgap_exchange_id id, int status,
                     const struct bgap_headers *headers, const void *body,
                     size_t size)
{
  struct bgap_headers all = { 0 };
  struct bgap_buffer length = { 0 };
  enum bgap_status result = bgap_buffer_printf (&length, "%zu", size);
  if (result == BGAP_OK && headers != NULL)
    result = bgap_headers_copy (&all, headers);
  if (result == BGAP_OK)
    result = bgap_headers_set (&all, "Content-Length", length.data);
  if (result == BGAP_OK)
    result = bgap_frontend_start (frontend, id, status, &all);
  bgap_headers_shutdown (&all);
  bgap_buffer_shutdown (&length);
  if (result != BGAP_OK)
    return result;
  if (size > 0)
    result = bgap_frontend_write (frontend, id, body, size);
  if (result != BGAP_OK)
    {
      bgap_frontend_abort (frontend, id);
      return result;
    }
  return bgap_frontend_finish (frontend, id);
}
