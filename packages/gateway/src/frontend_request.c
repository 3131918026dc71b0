#include <event2/buffer.h>
#include <string.h>
#include <strings.h>

#include "frontend_private.h"
#include "socket_pending.h"

void
bgap_frontend_connection_reject (struct frontend_connection *c, int status,
                                 const char *message)
{
  ++*c->frontend->refused_total;
  evbuffer_add_printf (
      bufferevent_get_output (c->bev),
      "HTTP/1.1 %d %s\r\n%s%s"
      "Content-Type: text/plain\r\n"
      "Content-Length: %zu\r\n"
      "Connection: close\r\n\r\n%s\n",
      status, bgap_http_status_text (status),
      c->frontend->desc.any_path ? "" : "Bgap-Outcome: not-run\r\n",
      status == 503 ? "Retry-After: 1\r\n" : "", strlen (message) + 1,
      message);
  bgap_frontend_connection_release_body (c);
  bgap_frontend_connection_flush (c);
}

/* Ends the connection of a caller that has left before its request was
   read.  */
static void
_bgap_frontend_drop (struct frontend_connection *c)
{
  const struct bgap_frontend_ops *ops = &c->frontend->desc.ops;
  ++*c->frontend->left_total;
  if (ops->left != NULL)
    ops->left (ops->context, &c->request);
  bgap_frontend_connection_close (c, true);
}

/* Passes a complete request on.  */
static void
_bgap_frontend_dispatch (struct frontend_connection *c)
{
  struct bgap_frontend *frontend = c->frontend;
  c->request.method = c->head.method;
  c->request.target = c->head.target;
  c->request.body = c->body.data;
  c->request.body_size = c->body.size;
  if (bgap_socket_pending (bufferevent_getfd (c->bev)) == SOCKET_PENDING_END)
    {
      _bgap_frontend_drop (c);
      return;
    }
  c->exchange = bgap_pool_alloc (&frontend->exchanges);
  *(struct frontend_connection **)bgap_pool_get (&frontend->exchanges,
                                                 c->exchange)
      = c;
  c->state = FRONTEND_RUNNING;
  c->response_started = false;
  c->is_full = false;
  event_del (&c->timer);
  ++*frontend->requests_total;
  frontend->desc.ops.request (frontend->desc.ops.context,
                              (struct bgap_exchange_id){ c->exchange },
                              &c->request);
}

/* Returns the status and reason to reject a parsed head with, or 0.  */
static int
_bgap_frontend_check_head (struct frontend_connection *c, const char **reason)
{
  const struct bgap_http_head *head = &c->head;
  static char message[BGAP_ERROR_MESSAGE_SIZE];
  struct bgap_error err = { 0 };
  const char *expect = bgap_headers_find (&head->headers, "Expect");
  size_t hosts = 0;
  for (size_t i = 0; i < head->headers.count; i++)
    if (strcasecmp (head->headers.items[i].name, "Host") == 0)
      hosts++;
  *reason = message;
  if (hosts > 1 || (hosts == 0 && head->minor > 0))
    {
      *reason = "there is not exactly one Host field";
      return 400;
    }
  if (expect != NULL && strcasecmp (expect, "100-continue") != 0)
    {
      *reason = "the expectation is not supported";
      return 417;
    }
  if (head->framing == BGAP_HTTP_LENGTH
      && head->length > c->frontend->desc.body_size_max)
    {
      *reason = "the body is too large";
      return 413;
    }
  if (!c->frontend->desc.any_path
      && bgap_target_parse (head->target, strlen (head->target),
                            &c->request.parts, &err)
             != BGAP_OK)
    {
      memcpy (message, err.message, sizeof message);
      return 404;
    }
  return 0;
}

/* Adds @size to the bytes of all bodies; rejects the request if the limit is
   exceeded.  */
static bool
_bgap_frontend_reserve (struct frontend_connection *c, size_t size)
{
  struct bgap_frontend *frontend = c->frontend;
  if (size > frontend->desc.bodies_size_max - frontend->bodies_size)
    {
      bgap_frontend_connection_reject (c, 503,
                                       "too many bodies are being received");
      return false;
    }
  frontend->bodies_size += size;
  c->body_reserved += size;
  return true;
}

static void
_bgap_frontend_start_body (struct frontend_connection *c)
{
  const struct bgap_http_head *head = &c->head;
  bool expects = bgap_headers_find (&head->headers, "Expect") != NULL;
  c->close_after_response = head->close;
  bgap_http_body_start (&c->decoder, head->framing, head->length);
  if (head->framing == BGAP_HTTP_LENGTH
      && !_bgap_frontend_reserve (c, (size_t)head->length))
    return;
  c->request.headers = c->head.headers;
  c->head.headers = (struct bgap_headers){ 0 };
  bgap_headers_remove_hop_by_hop (&c->request.headers);
  bgap_headers_remove (&c->request.headers, "Content-Length");
  bgap_headers_remove (&c->request.headers, "Expect");
  if (expects && !c->decoder.done && head->minor > 0)
    evbuffer_add_printf (bufferevent_get_output (c->bev),
                         "HTTP/1.1 100 Continue\r\n\r\n");
  c->state = FRONTEND_BODY;
  if (!c->decoder.done)
    bgap_frontend_connection_set_timer (c, c->frontend->desc.body_timeout_ms);
}

/* Returns whether to continue reading.  */
static bool
_bgap_frontend_read_head (struct frontend_connection *c)
{
  struct evbuffer *input = bufferevent_get_input (c->bev);
  size_t size;
  if (evbuffer_get_length (input) == 0)
    return false;
  if (!c->head_started)
    {
      c->head_started = true;
      bgap_frontend_connection_set_timer (c,
                                          c->frontend->desc.head_timeout_ms);
    }
  if (bgap_http_head_find (input, c->frontend->desc.head_size_max, &size)
      != BGAP_OK)
    {
      bgap_frontend_connection_reject (c, 431, "the head is too large");
      return false;
    }
  if (size == 0)
    return false;
  const char *bytes = (const char *)evbuffer_pullup (input, (ssize_t)size);
  struct bgap_error err = { 0 };
  const char *reason = err.message;
  enum bgap_status status = bytes ? bgap_http_head_parse (
                                &c->head, BGAP_HTTP_REQUEST, bytes, size, &err)
                                  : BGAP_ERR_NO_MEMORY;
  int code = 0;
  if (status == BGAP_OK)
    code = _bgap_frontend_check_head (c, &reason);
  else
    code = status == BGAP_ERR_FULL        ? 431
           : status == BGAP_ERR_NO_MEMORY ? 503
                                          : 400;
  evbuffer_drain (input, size);
  if (code != 0)
    bgap_frontend_connection_reject (c, code, reason);
  else
    _bgap_frontend_start_body (c);
  return true;
}

static bool
_bgap_frontend_read_body (struct frontend_connection *c)
{
  struct evbuffer *input = bufferevent_get_input (c->bev);
  struct evbuffer_iovec piece;
  size_t used;
  const char *data;
  size_t size;
  if (c->decoder.done)
    {
      _bgap_frontend_dispatch (c);
      return c->state != FRONTEND_DEAD;
    }
  if (evbuffer_get_length (input) == 0
      || evbuffer_peek (input, -1, NULL, &piece, 1) < 1)
    return false;
  if (bgap_http_body_next (&c->decoder, piece.iov_base, piece.iov_len, &used,
                           &data, &size)
      != BGAP_OK)
    {
      bgap_frontend_connection_reject (c, 400, "the body is malformed");
      return false;
    }
  if (size > c->frontend->desc.body_size_max - c->body.size)
    {
      bgap_frontend_connection_reject (c, 413, "the body is too large");
      return false;
    }
  if (c->head.framing == BGAP_HTTP_CHUNKED
      && !_bgap_frontend_reserve (c, size))
    return false;
  if (bgap_buffer_append (&c->body, data, size) != BGAP_OK)
    {
      bgap_frontend_connection_reject (c, 503, "out of memory");
      return false;
    }
  evbuffer_drain (input, used);
  return true;
}

/* Reads the next request only when at most buffer_low bytes of the previous
   response are unsent, so that a caller that pipelines without reading is not
   served further.  */
void
bgap_frontend_connection_process (struct frontend_connection *c)
{
  bool go_on = true;
  while (go_on)
    {
      struct evbuffer *output = bufferevent_get_output (c->bev);
      if (c->state == FRONTEND_HEAD
          && evbuffer_get_length (output) <= c->frontend->desc.buffer_low)
        go_on = _bgap_frontend_read_head (c);
      else if (c->state == FRONTEND_BODY)
        go_on = _bgap_frontend_read_body (c);
      else
        go_on = false;
    }
  if (c->state == FRONTEND_FLUSH || c->state == FRONTEND_LINGER)
    {
      struct evbuffer *input = bufferevent_get_input (c->bev);
      evbuffer_drain (input, evbuffer_get_length (input));
    }
  bgap_frontend_connection_update_idle (c);
}
