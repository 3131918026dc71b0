#include "backend_private.h"

#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "banyangap/base/clock.h"
#include "socket_pending.h"

int64_t
bgap_backend_now_ms (void)
{
  const struct bgap_clock *clock = bgap_clock_system ();
  return clock->now_ms (clock->context);
}

void
bgap_backend_connection_set_timer (struct backend_connection *c, int64_t ms)
{
  const struct timeval limit = bgap_address_timeval (
      ms <= 0 ? 0 : (ms < UINT32_MAX ? (uint32_t)ms : UINT32_MAX));
  event_add (&c->timer, &limit);
}

void
bgap_backend_reap (struct bgap_backend *backend)
{
  struct backend_connection *c = LIST_FIRST (&backend->dead);
  LIST_INIT (&backend->dead);
  while (c != NULL)
    {
      struct backend_connection *next = LIST_NEXT (c, next);
      free (c);
      c = next;
    }
}

void
bgap_backend_connection_close (struct backend_connection *c)
{
  struct bgap_backend *backend = c->backend;
  if (c->state == BACKEND_DEAD)
    return;
  if (c->server != NULL)
    {
      c->server->open_count--;
      if (c->state == BACKEND_IDLE)
        {
          LIST_REMOVE (c, next_idle);
          c->server->idle_count--;
        }
    }
  /* An attempt is in progress: reset the connection, so that bytes that are
     still in transit do not arrive later.  */
  if (c->attempt != BGAP_INVALID_ID && bufferevent_getfd (c->bev) >= 0)
    {
      const struct linger linger = { .l_onoff = 1 };
      setsockopt (bufferevent_getfd (c->bev), SOL_SOCKET, SO_LINGER, &linger,
                  sizeof linger);
    }
  bgap_pool_free (&backend->attempts, c->attempt);
  c->state = BACKEND_DEAD;
  event_del (&c->timer);
  event_del (&c->wake);
  /* The output buffer refers to the request's body, which the caller may free
     from now on, so disable writing first.  */
  bufferevent_disable (c->bev, EV_READ | EV_WRITE);
  bufferevent_free (c->bev);
  LIST_REMOVE (c, next);
  LIST_INSERT_HEAD (&backend->dead, c, next);
  backend->connection_count--;
  *backend->connections_open = backend->connection_count;
  event_active (&backend->reap, EV_TIMEOUT, 1);
}

static void
_bgap_backend_on_read (struct bufferevent *bev, void *user)
{
  (void)bev;
  bgap_backend_connection_process (user);
}

static void
_bgap_backend_on_wake (evutil_socket_t fd, short events, void *user)
{
  struct backend_connection *c = user;
  (void)fd;
  (void)events;
  if (c->is_server_removed)
    bgap_backend_connection_fail (c, BGAP_FAILURE_REMOVED,
                                  "the server was removed");
  else if (c->state == BACKEND_CONNECTING)
    bgap_backend_connection_fail (c, BGAP_FAILURE_CONNECT,
                                  "the connection could not be opened");
  else
    bgap_backend_connection_process (c);
}

static void
_bgap_backend_set_receive_buffer (struct backend_connection *c)
{
  const int size = (int)c->receive_size;
  if (size > 0)
    setsockopt (bufferevent_getfd (c->bev), SOL_SOCKET, SO_RCVBUF, &size,
                sizeof size);
}

void
bgap_backend_connection_set_receive_size (struct backend_connection *c,
                                          uint32_t size)
{
  const struct bgap_backend_desc *desc = &c->backend->desc;
  size_t read_max = size > 0 ? size : desc->read_size;
  if (read_max < desc->head_size_max)
    read_max = desc->head_size_max;
  c->receive_size = size;
  bufferevent_setwatermark (c->bev, EV_READ, 0, read_max);
  if (c->state != BACKEND_CONNECTING)
    _bgap_backend_set_receive_buffer (c);
}

static void
_bgap_backend_on_connected (struct backend_connection *c)
{
  int on = 1;
  setsockopt (bufferevent_getfd (c->bev), IPPROTO_TCP, TCP_NODELAY, &on,
              sizeof on);
  unsigned int user_timeout_ms = c->backend->desc.tcp_user_timeout_ms;
  if (user_timeout_ms > 0)
    setsockopt (bufferevent_getfd (c->bev), IPPROTO_TCP, TCP_USER_TIMEOUT,
                &user_timeout_ms, sizeof user_timeout_ms);
  _bgap_backend_set_receive_buffer (c);
  c->state = BACKEND_HEAD;
  bgap_backend_connection_set_timer (c, c->deadline_at_ms
                                            - bgap_backend_now_ms ());
  bgap_backend_connection_check_send (c);
}

static void
_bgap_backend_on_event (struct bufferevent *bev, short events, void *user)
{
  struct backend_connection *c = user;
  (void)bev;
  if ((events & BEV_EVENT_CONNECTED) != 0)
    _bgap_backend_on_connected (c);
  else if (c->state == BACKEND_CONNECTING)
    {
      c->connection_refused = EVUTIL_SOCKET_ERROR () == ECONNREFUSED;
      bgap_backend_connection_fail (c, BGAP_FAILURE_CONNECT,
                                    "the connection could not be opened");
    }
  else if (c->state == BACKEND_IDLE)
    bgap_backend_connection_close (c);
  else if ((events & BEV_EVENT_WRITING) != 0)
    {
      /* The server closed or reset the connection before it read the whole
         request. Its response, for example a refusal, can still be read.  */
      c->not_reusable = true;
      c->write_failed = true;
    }
  else
    {
      c->peer_closed = true;
      c->peer_closed_cleanly
          = (events & BEV_EVENT_EOF) != 0 && !c->write_failed;
      bgap_backend_connection_process (c);
    }
}

static void
_bgap_backend_on_timer (evutil_socket_t fd, short events, void *user)
{
  struct backend_connection *c = user;
  (void)fd;
  (void)events;
  if (c->state == BACKEND_IDLE)
    bgap_backend_connection_close (c);
  else if (c->state == BACKEND_CONNECTING
           && bgap_backend_now_ms () < c->deadline_at_ms)
    bgap_backend_connection_fail (c, BGAP_FAILURE_CONNECT,
                                  "the connection was not opened in time");
  else
    bgap_backend_connection_fail (c, BGAP_FAILURE_DEADLINE,
                                  "the deadline passed");
}

/* Any removal from the output buffer sets "sent", so that it is never false by
   mistake.  */
static void
_bgap_backend_on_output (struct evbuffer *buffer,
                         const struct evbuffer_cb_info *info, void *user)
{
  struct backend_connection *c = user;
  (void)buffer;
  if (info->n_deleted > 0)
    c->sent = true;
}

struct backend_connection *
bgap_backend_connection_new (struct bgap_backend *backend,
                             struct backend_server *server)
{
  struct event_base *base = backend->desc.base;
  struct backend_connection *c = calloc (1, sizeof *c);
  if (c == NULL)
    return NULL;
  c->bev = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
  if (c->bev == NULL)
    {
      free (c);
      return NULL;
    }
  c->backend = backend;
  c->server = server;
  c->state = BACKEND_CONNECTING;
  c->idle_limit_ms = backend->desc.idle_timeout_ms;
  event_assign (&c->timer, base, -1, 0, _bgap_backend_on_timer, c);
  event_assign (&c->wake, base, -1, 0, _bgap_backend_on_wake, c);
  bufferevent_setcb (c->bev, _bgap_backend_on_read, NULL,
                     _bgap_backend_on_event, c);
  evbuffer_add_cb (bufferevent_get_output (c->bev), _bgap_backend_on_output,
                   c);
  bufferevent_enable (c->bev, EV_READ | EV_WRITE);
  LIST_INSERT_HEAD (&backend->connections, c, next);
  server->open_count++;
  ++*backend->opened_total;
  *backend->connections_open = ++backend->connection_count;
  return c;
}

/* A request on a connection that the server has already closed would fail
   after it was sent, although the server never received it. The timer that
   closes the connection at the end of its idle time may be late.  */
bool
bgap_backend_connection_is_usable (const struct backend_connection *c)
{
  return bgap_backend_now_ms () < c->idle_until_ms
         && evbuffer_get_length (bufferevent_get_input (c->bev)) == 0
         && bgap_socket_pending (bufferevent_getfd (c->bev))
                == SOCKET_PENDING_NONE;
}

static bool
_bgap_backend_has_refused (const struct backend_connection *c,
                           uint64_t identity)
{
  for (uint32_t i = 0; identity != 0 && i < c->refused_count; i++)
    if (c->refused[i] == identity)
      return true;
  return false;
}

void
bgap_backend_connection_set_idle (struct backend_connection *c)
{
  c->state = BACKEND_IDLE;
  c->reused = true;
  LIST_INSERT_HEAD (&c->server->idle, c, next_idle);
  c->server->idle_count++;
  c->idle_until_ms = bgap_backend_now_ms () + c->idle_limit_ms;
  bgap_backend_connection_set_timer (c, c->idle_limit_ms);
}

struct backend_connection *
bgap_backend_connection_take_idle (struct backend_server *server,
                                   uint64_t identity)
{
  struct backend_connection *c;
  struct backend_connection *next;
  for (c = LIST_FIRST (&server->idle); c != NULL; c = next)
    {
      next = LIST_NEXT (c, next_idle);
      if (!bgap_backend_connection_is_usable (c))
        {
          bgap_backend_connection_close (c);
          continue;
        }
      if (_bgap_backend_has_refused (c, identity))
        continue;
      LIST_REMOVE (c, next_idle);
      server->idle_count--;
      c->state = BACKEND_HEAD;
      c->sent = false;
      c->paused = false;
      c->head_reported = false;
      c->interim_count = 0;
      c->stale_count = 0;
      c->discarded = 0;
      c->passed_on = 0;
      c->refusal = BGAP_REFUSAL_NONE;
      c->is_stale = false;
      c->is_server_error = false;
      return c;
    }
  return NULL;
}

void
bgap_backend_connection_close_idle (struct backend_server *server)
{
  if (!LIST_EMPTY (&server->idle))
    bgap_backend_connection_close (LIST_FIRST (&server->idle));
}

void
bgap_backend_connection_start (struct backend_connection *c,
                               uint32_t deadline_ms)
{
  uint32_t limit = deadline_ms;
  c->deadline_at_ms = bgap_backend_now_ms () + deadline_ms;
  if (c->state == BACKEND_CONNECTING)
    {
      if (limit > c->backend->desc.connect_timeout_ms)
        limit = c->backend->desc.connect_timeout_ms;
      if (bufferevent_socket_connect (
              c->bev, (struct sockaddr *)&c->server->address.storage,
              (int)c->server->address.size)
          != 0)
        event_active (&c->wake, EV_TIMEOUT, 1);
    }
  bgap_backend_connection_set_timer (c, limit);
}
