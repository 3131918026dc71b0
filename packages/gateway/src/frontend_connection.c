#include "frontend_private.h"

#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Bytes read ahead of a running request; bounds pipelined requests.  */
#define READ_AHEAD_MAX 65536

/* How long a refused caller may go on sending before its connection is
   closed. Closing at once would reset the connection and could destroy the
   response before the caller has read it.  */
#define LINGER_MS 2000

static void
_bgap_frontend_arm (struct frontend_connection *c, uint32_t ms)
{
  const struct timeval limit = bgap_address_timeval (ms);
  event_add (&c->timer, &limit);
}

void
bgap_frontend_reap (struct bgap_frontend *frontend)
{
  struct frontend_connection *c = LIST_FIRST (&frontend->dead);
  LIST_INIT (&frontend->dead);
  while (c != NULL)
    {
      struct frontend_connection *next = LIST_NEXT (c, next);
      bgap_http_head_shutdown (&c->head);
      bgap_headers_shutdown (&c->request.headers);
      bgap_buffer_shutdown (&c->body);
      free (c);
      c = next;
    }
}

static void
_bgap_frontend_release_body (struct frontend_connection *c)
{
  c->frontend->bodies_size -= c->reserved;
  c->reserved = 0;
}

void
bgap_frontend_connection_close (struct frontend_connection *c, bool reset)
{
  struct bgap_frontend *frontend = c->frontend;
  if (c->state == FRONTEND_DEAD)
    return;
  c->state = FRONTEND_DEAD;
  bgap_pool_free (&frontend->exchanges, c->exchange);
  _bgap_frontend_release_body (c);
  if (reset)
    {
      const struct linger linger = { .l_onoff = 1 };
      setsockopt (bufferevent_getfd (c->bev), SOL_SOCKET, SO_LINGER, &linger,
                  sizeof linger);
    }
  event_del (&c->timer);
  event_del (&c->wake);
  bufferevent_disable (c->bev, EV_READ | EV_WRITE);
  bufferevent_free (c->bev);
  LIST_REMOVE (c, next);
  LIST_INSERT_HEAD (&frontend->dead, c, next);
  *frontend->connections_open = --frontend->connection_count;
  event_active (&frontend->reap, EV_TIMEOUT, 1);
  bgap_frontend_check_stopped (frontend);
}

bool
bgap_frontend_connection_is_idle (const struct frontend_connection *c)
{
  return c->state == FRONTEND_HEAD && !c->in_head
         && evbuffer_get_length (bufferevent_get_input (c->bev)) == 0
         && evbuffer_get_length (bufferevent_get_output (c->bev)) == 0;
}

static void
_bgap_frontend_linger (struct frontend_connection *c)
{
  if (c->ended)
    {
      bgap_frontend_connection_close (c, false);
      return;
    }
  c->state = FRONTEND_LINGER;
  shutdown (bufferevent_getfd (c->bev), SHUT_WR);
  _bgap_frontend_arm (c, LINGER_MS);
}

/* Sends what is left, then closes.  */
static void
_bgap_frontend_flush (struct frontend_connection *c)
{
  c->state = FRONTEND_FLUSH;
  event_del (&c->timer);
  if (evbuffer_get_length (bufferevent_get_output (c->bev)) == 0)
    _bgap_frontend_linger (c);
}

/* Answers a request that the daemon never sees, and closes.  */
static void
_bgap_frontend_refuse (struct frontend_connection *c, int status,
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
      c->frontend->takes_any_path ? "" : "Bgap-Outcome: not-run\r\n",
      status == 503 ? "Retry-After: 1\r\n" : "", strlen (message) + 1,
      message);
  _bgap_frontend_release_body (c);
  _bgap_frontend_flush (c);
}

static void
_bgap_frontend_hand_over (struct frontend_connection *c)
{
  struct bgap_frontend *frontend = c->frontend;
  c->exchange = bgap_pool_alloc (&frontend->exchanges);
  *(struct frontend_connection **)bgap_pool_get (&frontend->exchanges,
                                                 c->exchange)
      = c;
  c->state = FRONTEND_RUNNING;
  c->started = false;
  c->is_full = false;
  event_del (&c->timer);
  c->request.method = c->head.method;
  c->request.target = c->head.target;
  c->request.body = c->body.data;
  c->request.body_size = c->body.size;
  ++*frontend->requests_total;
  frontend->desc.ops.request (frontend->desc.ops.context,
                              (struct bgap_exchange_id){ c->exchange },
                              &c->request);
}

void
bgap_frontend_connection_ended (struct frontend_connection *c)
{
  bgap_pool_free (&c->frontend->exchanges, c->exchange);
  c->exchange = BGAP_INVALID_ID;
  _bgap_frontend_release_body (c);
  bgap_http_head_shutdown (&c->head);
  bgap_headers_shutdown (&c->request.headers);
  bgap_buffer_shutdown (&c->body);
  c->in_head = false;
  if (c->close || c->frontend->is_stopping)
    {
      _bgap_frontend_flush (c);
      return;
    }
  c->state = FRONTEND_HEAD;
  _bgap_frontend_arm (c, c->frontend->desc.idle_timeout_ms);
  event_active (&c->wake, EV_TIMEOUT, 1);
}

/* Status and reason with which to refuse a parsed head, or 0.  */
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
  if (!c->frontend->takes_any_path
      && bgap_target_parse (head->target, strlen (head->target),
                            &c->request.parts, &err)
             != BGAP_OK)
    {
      memcpy (message, err.message, sizeof message);
      return 404;
    }
  return 0;
}

/* Counts @size more bytes of bodies; refuses the request if they are too
   many.  */
static bool
_bgap_frontend_reserve (struct frontend_connection *c, size_t size)
{
  struct bgap_frontend *frontend = c->frontend;
  if (size > frontend->desc.bodies_size_max - frontend->bodies_size)
    {
      _bgap_frontend_refuse (c, 503, "too many bodies are being received");
      return false;
    }
  frontend->bodies_size += size;
  c->reserved += size;
  return true;
}

static void
_bgap_frontend_start_body (struct frontend_connection *c)
{
  const struct bgap_http_head *head = &c->head;
  bool expects = bgap_headers_find (&head->headers, "Expect") != NULL;
  c->close = head->close;
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
    _bgap_frontend_arm (c, c->frontend->desc.body_timeout_ms);
}

/* Returns whether to go on reading.  */
static bool
_bgap_frontend_read_head (struct frontend_connection *c)
{
  struct evbuffer *input = bufferevent_get_input (c->bev);
  size_t size;
  if (evbuffer_get_length (input) == 0)
    return false;
  if (!c->in_head)
    {
      c->in_head = true;
      _bgap_frontend_arm (c, c->frontend->desc.head_timeout_ms);
    }
  if (bgap_http_head_find (input, c->frontend->desc.head_size_max, &size)
      != BGAP_OK)
    {
      _bgap_frontend_refuse (c, 431, "the head is too large");
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
    _bgap_frontend_refuse (c, code, reason);
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
      _bgap_frontend_hand_over (c);
      return true;
    }
  if (evbuffer_get_length (input) == 0
      || evbuffer_peek (input, -1, NULL, &piece, 1) < 1)
    return false;
  if (bgap_http_body_next (&c->decoder, piece.iov_base, piece.iov_len, &used,
                           &data, &size)
      != BGAP_OK)
    {
      _bgap_frontend_refuse (c, 400, "the body is malformed");
      return false;
    }
  if (size > c->frontend->desc.body_size_max - c->body.size)
    {
      _bgap_frontend_refuse (c, 413, "the body is too large");
      return false;
    }
  if (c->head.framing == BGAP_HTTP_CHUNKED
      && !_bgap_frontend_reserve (c, size))
    return false;
  if (bgap_buffer_append (&c->body, data, size) != BGAP_OK)
    {
      _bgap_frontend_refuse (c, 503, "out of memory");
      return false;
    }
  evbuffer_drain (input, used);
  return true;
}

/* A request is begun only when the response before it has mostly been sent,
   so that a caller that pipelines without reading is not served further.  */
static void
_bgap_frontend_process (struct frontend_connection *c)
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
}

static void
_bgap_frontend_on_read (struct bufferevent *bev, void *user)
{
  (void)bev;
  _bgap_frontend_process (user);
}

static void
_bgap_frontend_on_wake (evutil_socket_t fd, short events, void *user)
{
  (void)fd;
  (void)events;
  _bgap_frontend_process (user);
}

static void
_bgap_frontend_on_write (struct bufferevent *bev, void *user)
{
  struct frontend_connection *c = user;
  const struct bgap_frontend_ops *ops = &c->frontend->desc.ops;
  size_t size = evbuffer_get_length (bufferevent_get_output (bev));
  if (c->state == FRONTEND_RUNNING && c->is_full
      && size <= c->frontend->desc.buffer_low)
    {
      c->is_full = false;
      if (ops->resume != NULL)
        ops->resume (ops->context, (struct bgap_exchange_id){ c->exchange });
    }
  else if (c->state == FRONTEND_FLUSH && size == 0)
    _bgap_frontend_linger (c);
  else if (c->state == FRONTEND_HEAD)
    _bgap_frontend_process (c);
}

static void
_bgap_frontend_cancel (struct frontend_connection *c)
{
  const struct bgap_frontend_ops *ops = &c->frontend->desc.ops;
  const struct bgap_exchange_id id = { c->exchange };
  bool was_running = c->state == FRONTEND_RUNNING;
  bgap_frontend_connection_close (c, was_running);
  if (!was_running)
    return;
  ++*c->frontend->cancelled_total;
  ops->cancel (ops->context, id);
}

/* A caller that closes its side while its request runs counts as gone. After
   that it still gets what is left of its last response.  */
static void
_bgap_frontend_on_event (struct bufferevent *bev, short events, void *user)
{
  struct frontend_connection *c = user;
  (void)bev;
  bool is_sending = c->state == FRONTEND_FLUSH
                    || (c->state == FRONTEND_HEAD && !c->in_head);
  if ((events & BEV_EVENT_EOF) != 0 && is_sending)
    {
      c->ended = true;
      _bgap_frontend_flush (c);
    }
  else
    _bgap_frontend_cancel (c);
}

static void
_bgap_frontend_on_timer (evutil_socket_t fd, short events, void *user)
{
  struct frontend_connection *c = user;
  (void)fd;
  (void)events;
  if (c->state == FRONTEND_BODY || (c->state == FRONTEND_HEAD && c->in_head))
    _bgap_frontend_refuse (c, 408, "the request was not received in time");
  else
    bgap_frontend_connection_close (c, false);
}

void
bgap_frontend_connection_new (struct bgap_frontend *frontend,
                              evutil_socket_t fd, const struct sockaddr *peer)
{
  struct event_base *base = frontend->desc.base;
  struct frontend_connection *c = calloc (1, sizeof *c);
  if (c != NULL)
    c->bev = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);
  if (c == NULL || c->bev == NULL)
    {
      evutil_closesocket (fd);
      free (c);
      return;
    }
  int on = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  c->frontend = frontend;
  c->state = FRONTEND_HEAD;
  bgap_address_print (peer, c->request.peer);
  event_assign (&c->timer, base, -1, 0, _bgap_frontend_on_timer, c);
  event_assign (&c->wake, base, -1, 0, _bgap_frontend_on_wake, c);
  const struct timeval idle
      = bgap_address_timeval (frontend->desc.idle_timeout_ms);
  size_t read_max = frontend->desc.head_size_max > READ_AHEAD_MAX
                        ? frontend->desc.head_size_max
                        : READ_AHEAD_MAX;
  bufferevent_setwatermark (c->bev, EV_READ, 0, read_max);
  bufferevent_setwatermark (c->bev, EV_WRITE, frontend->desc.buffer_low, 0);
  bufferevent_set_timeouts (c->bev, NULL, &idle);
  bufferevent_setcb (c->bev, _bgap_frontend_on_read, _bgap_frontend_on_write,
                     _bgap_frontend_on_event, c);
  LIST_INSERT_HEAD (&frontend->connections, c, next);
  *frontend->connections_open = ++frontend->connection_count;
  _bgap_frontend_arm (c, frontend->desc.idle_timeout_ms);
  bufferevent_enable (c->bev, EV_READ | EV_WRITE);
}
