#include "frontend_private.h"

#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "socket_pending.h"

/* Limit of pipelined input in bytes that is read while a request runs.  */
#define READ_AHEAD_MAX 65536

/* How long a connection stays open after its last response, while the caller
   may still be sending. Closing it at once would reset it, and the caller
   could lose the response before reading it.  */
#define LINGER_MS 2000

/* Part of the buffer of a large response, in bytes, that is sent before the
   source resumes. Servers give up a response that they cannot send for some
   seconds; with a caller that reads 8 KB/s the source resumes every 2 s.  */
#define RESUME_STEP 16384

void
bgap_frontend_connection_set_timer (struct frontend_connection *c, uint32_t ms)
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

void
bgap_frontend_connection_release_body (struct frontend_connection *c)
{
  c->frontend->bodies_size -= c->body_reserved;
  c->body_reserved = 0;
}

size_t
bgap_frontend_connection_limit (const struct frontend_connection *c)
{
  const struct bgap_frontend *frontend = c->frontend;
  const struct bgap_frontend_desc *desc = &frontend->desc;
  if (!c->is_large)
    return frontend->unsent_size > desc->unsent_size_max ? desc->buffer_low
                                                         : desc->buffer_high;
  size_t spare = frontend->unsent_size < desc->large_size_max
                     ? desc->large_size_max - frontend->unsent_size
                     : 0;
  if (spare > desc->buffer_high)
    return desc->buffer_high;
  return spare > desc->buffer_low ? spare : desc->buffer_low;
}

void
bgap_frontend_connection_set_resume (struct frontend_connection *c)
{
  size_t size = evbuffer_get_length (bufferevent_get_output (c->bev));
  size_t low = c->frontend->desc.buffer_low;
  if (c->is_large && size > low + RESUME_STEP)
    low = size - RESUME_STEP;
  bufferevent_setwatermark (c->bev, EV_WRITE, low, 0);
}

static void
_bgap_frontend_on_output (struct evbuffer *buffer,
                          const struct evbuffer_cb_info *info, void *user)
{
  struct bgap_frontend *frontend = user;
  (void)buffer;
  frontend->unsent_size += info->n_added;
  frontend->unsent_size -= info->n_deleted;
}

/* Bytes that are freed with the connection are not reported as deleted.  */
static void
_bgap_frontend_forget_output (struct frontend_connection *c)
{
  struct evbuffer *output = bufferevent_get_output (c->bev);
  evbuffer_remove_cb (output, _bgap_frontend_on_output, c->frontend);
  c->frontend->unsent_size -= evbuffer_get_length (output);
}

void
bgap_frontend_connection_close (struct frontend_connection *c, bool reset)
{
  struct bgap_frontend *frontend = c->frontend;
  if (c->state == FRONTEND_DEAD)
    return;
  c->state = FRONTEND_DEAD;
  bgap_frontend_connection_update_idle (c);
  bgap_pool_free (&frontend->exchanges, c->exchange);
  bgap_frontend_connection_release_body (c);
  if (reset)
    {
      const struct linger linger = { .l_onoff = 1 };
      setsockopt (bufferevent_getfd (c->bev), SOL_SOCKET, SO_LINGER, &linger,
                  sizeof linger);
    }
  event_del (&c->timer);
  event_del (&c->wake);
  bufferevent_disable (c->bev, EV_READ | EV_WRITE);
  _bgap_frontend_forget_output (c);
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
  return c->state == FRONTEND_HEAD && !c->head_started
         && evbuffer_get_length (bufferevent_get_input (c->bev)) == 0
         && evbuffer_get_length (bufferevent_get_output (c->bev)) == 0;
}

void
bgap_frontend_connection_update_idle (struct frontend_connection *c)
{
  struct frontend_connection_queue *idle = &c->frontend->idle;
  bool is_idle = bgap_frontend_connection_is_idle (c);
  if (is_idle == c->in_idle_list)
    return;
  c->in_idle_list = is_idle;
  if (!is_idle)
    {
      TAILQ_REMOVE (idle, c, next_idle);
      return;
    }
  TAILQ_INSERT_TAIL (idle, c, next_idle);
  bgap_frontend_connection_set_timer (c, c->frontend->desc.idle_timeout_ms);
}

/* A connection with unread bytes leaves the list, as its request is about to
   be read, so that each one is looked at once per request.  */
bool
bgap_frontend_make_room (struct bgap_frontend *frontend)
{
  struct frontend_connection *c;
  if (frontend->connection_count < frontend->desc.connections_max)
    return true;
  while ((c = TAILQ_FIRST (&frontend->idle)) != NULL)
    {
      if (bgap_socket_pending (bufferevent_getfd (c->bev))
          != SOCKET_PENDING_BYTES)
        {
          *frontend->idle_closed_total = ++frontend->idle_closed;
          bgap_frontend_connection_close (c, false);
          return true;
        }
      TAILQ_REMOVE (&frontend->idle, c, next_idle);
      c->in_idle_list = false;
    }
  return false;
}

static void
_bgap_frontend_linger (struct frontend_connection *c)
{
  if (c->peer_closed)
    {
      bgap_frontend_connection_close (c, false);
      return;
    }
  c->state = FRONTEND_LINGER;
  shutdown (bufferevent_getfd (c->bev), SHUT_WR);
  bgap_frontend_connection_set_timer (c, LINGER_MS);
}

void
bgap_frontend_connection_flush (struct frontend_connection *c)
{
  c->state = FRONTEND_FLUSH;
  event_del (&c->timer);
  if (evbuffer_get_length (bufferevent_get_output (c->bev)) == 0)
    _bgap_frontend_linger (c);
}

void
bgap_frontend_connection_end_exchange (struct frontend_connection *c)
{
  bgap_pool_free (&c->frontend->exchanges, c->exchange);
  c->exchange = BGAP_INVALID_ID;
  bgap_frontend_connection_release_body (c);
  bgap_http_head_shutdown (&c->head);
  bgap_headers_shutdown (&c->request.headers);
  bgap_buffer_shutdown (&c->body);
  c->head_started = false;
  c->is_large = false;
  bgap_frontend_connection_set_resume (c);
  if (c->close_after_response || c->frontend->is_stopping)
    {
      bgap_frontend_connection_flush (c);
      return;
    }
  c->state = FRONTEND_HEAD;
  event_active (&c->wake, EV_TIMEOUT, 1);
}

static void
_bgap_frontend_on_read (struct bufferevent *bev, void *user)
{
  (void)bev;
  bgap_frontend_connection_process (user);
}

static void
_bgap_frontend_on_wake (evutil_socket_t fd, short events, void *user)
{
  (void)fd;
  (void)events;
  bgap_frontend_connection_process (user);
}

/* A large response that still exceeds its limit goes on at the low watermark
   only, like the others.  */
static bool
_bgap_frontend_may_resume (const struct frontend_connection *c, size_t size)
{
  return size <= c->frontend->desc.buffer_low
         || (c->is_large
             && size + RESUME_STEP <= bgap_frontend_connection_limit (c));
}

static void
_bgap_frontend_on_write (struct bufferevent *bev, void *user)
{
  struct frontend_connection *c = user;
  const struct bgap_frontend_ops *ops = &c->frontend->desc.ops;
  size_t size = evbuffer_get_length (bufferevent_get_output (bev));
  if (c->state == FRONTEND_RUNNING && c->is_full)
    {
      if (!_bgap_frontend_may_resume (c, size))
        {
          bgap_frontend_connection_set_resume (c);
          return;
        }
      c->is_full = false;
      if (ops->resume != NULL)
        ops->resume (ops->context, (struct bgap_exchange_id){ c->exchange });
    }
  else if (c->state == FRONTEND_FLUSH && size == 0)
    _bgap_frontend_linger (c);
  else if (c->frontend->is_stopping && bgap_frontend_connection_is_idle (c))
    bgap_frontend_connection_close (c, false);
  else if (c->state == FRONTEND_HEAD)
    bgap_frontend_connection_process (c);
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

/* If a caller closes its sending side while its request runs, the request is
   cancelled. If it does so later, it still gets the rest of its response.  */
static void
_bgap_frontend_on_event (struct bufferevent *bev, short events, void *user)
{
  struct frontend_connection *c = user;
  (void)bev;
  bool is_sending = c->state == FRONTEND_FLUSH
                    || (c->state == FRONTEND_HEAD && !c->head_started);
  if ((events & BEV_EVENT_EOF) != 0 && is_sending)
    {
      c->peer_closed = true;
      bgap_frontend_connection_flush (c);
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
  if (c->state == FRONTEND_BODY
      || (c->state == FRONTEND_HEAD && c->head_started))
    bgap_frontend_connection_reject (c, 408,
                                     "the request was not received in time");
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
  evbuffer_add_cb (bufferevent_get_output (c->bev), _bgap_frontend_on_output,
                   frontend);
  LIST_INSERT_HEAD (&frontend->connections, c, next);
  *frontend->connections_open = ++frontend->connection_count;
  bgap_frontend_connection_update_idle (c);
  bufferevent_enable (c->bev, EV_READ | EV_WRITE);
}
