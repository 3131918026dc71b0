#include "banyangap/gateway/frontend.h"

#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/base/log.h"
#include "frontend_private.h"

#define DEFAULT_CONNECTIONS_MAX 1024
#define DEFAULT_HEAD_SIZE_MAX 16384
#define DEFAULT_BODY_SIZE_MAX 1048576
#define DEFAULT_BODIES_SIZE_MAX 67108864
#define DEFAULT_HEAD_TIMEOUT_MS 10000
#define DEFAULT_BODY_TIMEOUT_MS 30000
#define DEFAULT_IDLE_TIMEOUT_MS 60000
#define DEFAULT_BUFFER_HIGH 262144
#define DEFAULT_BUFFER_LOW 65536
#define DEFAULT_UNSENT_SIZE_MAX 33554432

/* Length of the queue of connections to be accepted.  */
#define BACKLOG 1024

/* Pause after a failed accept, for example if no file descriptor is free. The
   listening socket stays readable, so without a pause the event loop would
   spin.  */
#define ACCEPT_PAUSE_MS 100

static void
_bgap_frontend_set_defaults (struct bgap_frontend_desc *desc)
{
  if (desc->connections_max == 0)
    desc->connections_max = DEFAULT_CONNECTIONS_MAX;
  if (desc->head_size_max == 0)
    desc->head_size_max = DEFAULT_HEAD_SIZE_MAX;
  if (desc->body_size_max == 0)
    desc->body_size_max = DEFAULT_BODY_SIZE_MAX;
  if (desc->bodies_size_max == 0)
    desc->bodies_size_max = DEFAULT_BODIES_SIZE_MAX;
  if (desc->head_timeout_ms == 0)
    desc->head_timeout_ms = DEFAULT_HEAD_TIMEOUT_MS;
  if (desc->body_timeout_ms == 0)
    desc->body_timeout_ms = DEFAULT_BODY_TIMEOUT_MS;
  if (desc->idle_timeout_ms == 0)
    desc->idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS;
  if (desc->buffer_high == 0)
    desc->buffer_high = DEFAULT_BUFFER_HIGH;
  if (desc->buffer_low == 0)
    desc->buffer_low = DEFAULT_BUFFER_LOW;
  if (desc->unsent_size_max == 0)
    desc->unsent_size_max = DEFAULT_UNSENT_SIZE_MAX;
  if (desc->large_size_max == 0)
    desc->large_size_max = desc->unsent_size_max;
  if (desc->buffer_low > desc->buffer_high)
    desc->buffer_low = desc->buffer_high;
}

static uint64_t *
_bgap_frontend_counter (struct bgap_frontend *frontend, const char *name)
{
  if (frontend->desc.counters == NULL)
    return &frontend->unregistered_counter;
  return bgap_counters_get (frontend->desc.counters, name, "");
}

static void
_bgap_frontend_on_accept (struct evconnlistener *listener, evutil_socket_t fd,
                          struct sockaddr *peer, int size, void *user)
{
  struct bgap_frontend *frontend = user;
  (void)listener;
  (void)size;
  if (bgap_frontend_make_room (frontend))
    {
      bgap_frontend_connection_new (frontend, fd, peer);
      return;
    }
  *frontend->connections_refused_total = ++frontend->connections_refused;
  evutil_closesocket (fd);
}

static void
_bgap_frontend_on_accept_error (struct evconnlistener *listener, void *user)
{
  struct bgap_frontend *frontend = user;
  const struct timeval pause = bgap_address_timeval (ACCEPT_PAUSE_MS);
  bgap_log_warn ("frontend", "cannot accept a connection; reason=%s",
                 evutil_socket_error_to_string (EVUTIL_SOCKET_ERROR ()));
  evconnlistener_disable (listener);
  event_add (&frontend->accept_resume, &pause);
}

static void
_bgap_frontend_on_accept_resume (evutil_socket_t fd, short events, void *user)
{
  struct bgap_frontend *frontend = user;
  (void)fd;
  (void)events;
  if (frontend->listener != NULL)
    evconnlistener_enable (frontend->listener);
}

static void
_bgap_frontend_on_reap (evutil_socket_t fd, short events, void *user)
{
  (void)fd;
  (void)events;
  bgap_frontend_reap (user);
}

/* The frontend must not be used after the call, because the daemon may shut it
   down in ops.stopped.  */
static void
_bgap_frontend_on_stopped (evutil_socket_t fd, short events, void *user)
{
  struct bgap_frontend *frontend = user;
  (void)fd;
  (void)events;
  frontend->desc.ops.stopped (frontend->desc.ops.context);
}

static enum bgap_status
_bgap_frontend_listen (struct bgap_frontend *frontend,
                       const struct bgap_address *address,
                       struct bgap_error *err)
{
  frontend->listener = evconnlistener_new_bind (
      frontend->desc.base, _bgap_frontend_on_accept, frontend,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      BACKLOG, (const struct sockaddr *)&address->storage, (int)address->size);
  if (frontend->listener == NULL)
    return bgap_error_set (
        err, BGAP_ERR_IO, "cannot listen on \"%.64s\": %s",
        frontend->desc.address,
        evutil_socket_error_to_string (EVUTIL_SOCKET_ERROR ()));
  evconnlistener_set_error_cb (frontend->listener,
                               _bgap_frontend_on_accept_error);
  frontend->port
      = bgap_address_local_port (evconnlistener_get_fd (frontend->listener));
  return BGAP_OK;
}

static void
_bgap_frontend_setup_counters (struct bgap_frontend *f)
{
  f->connections_open
      = _bgap_frontend_counter (f, "bgap_frontend_connections");
  f->requests_total
      = _bgap_frontend_counter (f, "bgap_frontend_requests_total");
  f->refused_total = _bgap_frontend_counter (f, "bgap_frontend_refused_total");
  f->idle_closed_total
      = _bgap_frontend_counter (f, "bgap_frontend_idle_closed_total");
  f->connections_refused_total
      = _bgap_frontend_counter (f, "bgap_frontend_connections_refused_total");
  f->cancelled_total
      = _bgap_frontend_counter (f, "bgap_frontend_cancelled_total");
  f->left_total = _bgap_frontend_counter (f, "bgap_frontend_left_total");
  f->broken_total = _bgap_frontend_counter (f, "bgap_frontend_broken_total");
}

enum bgap_status
bgap_frontend_setup (struct bgap_frontend **frontend,
                     const struct bgap_frontend_desc *desc,
                     struct bgap_error *err)
{
  struct bgap_address address;
  enum bgap_status status = bgap_address_parse (desc->address, &address, err);
  if (status != BGAP_OK)
    return status;
  if (desc->base == NULL || desc->ops.request == NULL
      || desc->ops.cancel == NULL
      || desc->connections_max > BGAP_POOL_MAX_CAPACITY)
    return bgap_error_set (err, BGAP_ERR_INVALID,
                           "the event loop or an operation is missing, or "
                           "there are more than %u connections",
                           BGAP_POOL_MAX_CAPACITY);
  struct bgap_frontend *f = calloc (1, sizeof *f);
  if (f == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  bgap_address_ignore_sigpipe ();
  f->desc = *desc;
  _bgap_frontend_set_defaults (&f->desc);
  const struct bgap_pool_desc pool = {
    .item_size = sizeof (struct frontend_connection *),
    .capacity = f->desc.connections_max,
  };
  status = bgap_pool_setup (&f->exchanges, &pool);
  if (status == BGAP_OK)
    status = _bgap_frontend_listen (f, &address, err);
  if (status != BGAP_OK)
    {
      bgap_pool_shutdown (&f->exchanges);
      free (f);
      return status;
    }
  LIST_INIT (&f->connections);
  LIST_INIT (&f->dead);
  TAILQ_INIT (&f->idle);
  event_assign (&f->reap, desc->base, -1, 0, _bgap_frontend_on_reap, f);
  event_assign (&f->accept_resume, desc->base, -1, 0,
                _bgap_frontend_on_accept_resume, f);
  event_assign (&f->stopped, desc->base, -1, 0, _bgap_frontend_on_stopped, f);
  _bgap_frontend_setup_counters (f);
  *frontend = f;
  return BGAP_OK;
}

void
bgap_frontend_set_limits (struct bgap_frontend *frontend,
                          const struct bgap_frontend_limits *limits)
{
  struct bgap_frontend_desc *desc = &frontend->desc;
  if (limits->head_size_max > 0)
    desc->head_size_max = limits->head_size_max;
  if (limits->body_size_max > 0)
    desc->body_size_max = limits->body_size_max;
  if (limits->head_timeout_ms > 0)
    desc->head_timeout_ms = limits->head_timeout_ms;
  if (limits->idle_timeout_ms > 0)
    desc->idle_timeout_ms = limits->idle_timeout_ms;
}

void
bgap_frontend_close_after_response (struct bgap_frontend *frontend)
{
  frontend->closes_after_response = true;
}

uint16_t
bgap_frontend_port (const struct bgap_frontend *frontend)
{
  return frontend->port;
}

uint32_t
bgap_frontend_exchanges (const struct bgap_frontend *frontend)
{
  return frontend->exchanges.used;
}

bool
bgap_frontend_has_room (const struct bgap_frontend *frontend)
{
  return frontend->connection_count < frontend->desc.connections_max
         || !TAILQ_EMPTY (&frontend->idle);
}

struct bgap_frontend_connections
bgap_frontend_connections (const struct bgap_frontend *frontend)
{
  return (struct bgap_frontend_connections){
    .open = frontend->connection_count,
    .max = frontend->desc.connections_max,
    .idle_closed = frontend->idle_closed,
    .refused = frontend->connections_refused,
  };
}

size_t
bgap_frontend_unsent (const struct bgap_frontend *frontend)
{
  return frontend->unsent_size;
}

void
bgap_frontend_check_stopped (struct bgap_frontend *frontend)
{
  if (frontend->is_stopping && frontend->connection_count == 0
      && frontend->desc.ops.stopped != NULL)
    event_active (&frontend->stopped, EV_TIMEOUT, 1);
}

void
bgap_frontend_stop (struct bgap_frontend *frontend)
{
  if (frontend->is_stopping)
    return;
  evconnlistener_free (frontend->listener);
  frontend->listener = NULL;
  struct frontend_connection *c = LIST_FIRST (&frontend->connections);
  while (c != NULL)
    {
      struct frontend_connection *next = LIST_NEXT (c, next);
      if (bgap_frontend_connection_is_idle (c))
        bgap_frontend_connection_close (c, false);
      c = next;
    }
  frontend->is_stopping = true;
  bgap_frontend_check_stopped (frontend);
}

void
bgap_frontend_refuse_incomplete (struct bgap_frontend *frontend)
{
  struct frontend_connection *c = LIST_FIRST (&frontend->connections);
  while (c != NULL)
    {
      struct frontend_connection *next = LIST_NEXT (c, next);
      if (c->state == FRONTEND_BODY
          || (c->state == FRONTEND_HEAD && c->head_started))
        bgap_frontend_connection_reject (c, 503, "the instance leaves");
      c = next;
    }
}

/* Closes a connection at the end of the process. A response that is not
   complete must not look like it; one that is on its way must not be lost by a
   reset.  */
static void
_bgap_frontend_end_connection (struct frontend_connection *c)
{
  bool is_complete
      = c->state != FRONTEND_RUNNING
        && evbuffer_get_length (bufferevent_get_output (c->bev)) == 0;
  bgap_frontend_connection_close (c, !is_complete);
}

void
bgap_frontend_shutdown (struct bgap_frontend *frontend)
{
  if (frontend == NULL)
    return;
  frontend->is_stopping = false;
  if (frontend->listener != NULL)
    evconnlistener_free (frontend->listener);
  struct frontend_connection *c = LIST_FIRST (&frontend->connections);
  while (c != NULL)
    {
      struct frontend_connection *next = LIST_NEXT (c, next);
      _bgap_frontend_end_connection (c);
      c = next;
    }
  bgap_frontend_reap (frontend);
  event_del (&frontend->reap);
  event_del (&frontend->accept_resume);
  event_del (&frontend->stopped);
  bgap_pool_shutdown (&frontend->exchanges);
  free (frontend);
}
