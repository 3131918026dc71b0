#include "banyangap/gateway/backend.h"

#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "backend_private.h"

#define DEFAULT_SERVERS_MAX 256
#define DEFAULT_CONNECTIONS_MAX 4096
#define DEFAULT_CONNECT_TIMEOUT_MS 1000
#define DEFAULT_IDLE_TIMEOUT_MS 30000
#define DEFAULT_DEADLINE_MS 30000
#define DEFAULT_HEAD_SIZE_MAX 16384
#define DEFAULT_READ_SIZE 65536

static void
_bgap_backend_set_defaults (struct bgap_backend_desc *desc)
{
  if (desc->servers_max == 0)
    desc->servers_max = DEFAULT_SERVERS_MAX;
  if (desc->connections_max == 0)
    desc->connections_max = DEFAULT_CONNECTIONS_MAX;
  if (desc->connect_timeout_ms == 0)
    desc->connect_timeout_ms = DEFAULT_CONNECT_TIMEOUT_MS;
  if (desc->idle_timeout_ms == 0)
    desc->idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS;
  if (desc->deadline_ms == 0)
    desc->deadline_ms = DEFAULT_DEADLINE_MS;
  if (desc->head_size_max == 0)
    desc->head_size_max = DEFAULT_HEAD_SIZE_MAX;
  if (desc->read_size == 0)
    desc->read_size = DEFAULT_READ_SIZE;
}

static uint64_t *
_bgap_backend_counter (struct bgap_backend *backend, const char *name,
                       const char *label, const char *value)
{
  char labels[BGAP_COUNTER_LABELS_SIZE] = "";
  if (backend->desc.counters == NULL)
    return &backend->unregistered_counter;
  if (label != NULL)
    snprintf (labels, sizeof labels, "%s=\"%s\"", label, value);
  return bgap_counters_get (backend->desc.counters, name, labels);
}

static void
_bgap_backend_setup_counters (struct bgap_backend *b)
{
  b->attempts_total
      = _bgap_backend_counter (b, "bgap_backend_attempts_total", NULL, NULL);
  b->opened_total = _bgap_backend_counter (
      b, "bgap_backend_connections_opened_total", NULL, NULL);
  b->connections_open
      = _bgap_backend_counter (b, "bgap_backend_connections", NULL, NULL);
  for (int i = BGAP_REFUSAL_NONE + 1; i < BGAP_REFUSAL_COUNT; i++)
    b->refusals_total[i]
        = _bgap_backend_counter (b, "bgap_backend_refusals_total", "reason",
                                 bgap_refusal_name ((enum bgap_refusal)i));
  for (int i = 0; i < BGAP_FAILURE_COUNT; i++)
    b->failures_total[i] = _bgap_backend_counter (
        b, "bgap_backend_failures_total", "kind",
        bgap_failure_name ((enum bgap_failure_kind)i));
}

static void
_bgap_backend_on_reap (evutil_socket_t fd, short events, void *user)
{
  (void)fd;
  (void)events;
  bgap_backend_reap (user);
}

enum bgap_status
bgap_backend_setup (struct bgap_backend **backend,
                    const struct bgap_backend_desc *desc,
                    struct bgap_error *err)
{
  if (desc->base == NULL || desc->servers_max > BGAP_POOL_MAX_CAPACITY
      || desc->connections_max > BGAP_POOL_MAX_CAPACITY)
    return bgap_error_set (err, BGAP_ERR_INVALID,
                           "the event loop is missing or a limit is above %u",
                           BGAP_POOL_MAX_CAPACITY);
  struct bgap_backend *b = calloc (1, sizeof *b);
  if (b == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  bgap_address_ignore_sigpipe ();
  b->desc = *desc;
  _bgap_backend_set_defaults (&b->desc);
  enum bgap_status status = bgap_pool_setup (
      &b->servers,
      &(struct bgap_pool_desc){ .item_size = sizeof (struct backend_server),
                                .capacity = b->desc.servers_max });
  if (status == BGAP_OK)
    status = bgap_pool_setup (
        &b->attempts, &(struct bgap_pool_desc){
                          .item_size = sizeof (struct backend_connection *),
                          .capacity = b->desc.connections_max });
  if (status != BGAP_OK)
    {
      bgap_pool_shutdown (&b->servers);
      free (b);
      return bgap_error_set (err, status, "out of memory");
    }
  LIST_INIT (&b->connections);
  LIST_INIT (&b->dead);
  event_assign (&b->reap, desc->base, -1, 0, _bgap_backend_on_reap, b);
  _bgap_backend_setup_counters (b);
  *backend = b;
  return BGAP_OK;
}

void
bgap_backend_shutdown (struct bgap_backend *backend)
{
  if (backend == NULL)
    return;
  struct backend_connection *c = LIST_FIRST (&backend->connections);
  while (c != NULL)
    {
      struct backend_connection *next = LIST_NEXT (c, next);
      bgap_backend_connection_close (c);
      c = next;
    }
  bgap_backend_reap (backend);
  event_del (&backend->reap);
  bgap_pool_shutdown (&backend->servers);
  bgap_pool_shutdown (&backend->attempts);
  free (backend);
}

enum bgap_status
bgap_backend_add_server (struct bgap_backend *backend, const char *address,
                         uint32_t connections,
                         struct bgap_backend_server_id *id,
                         struct bgap_error *err)
{
  struct bgap_address parsed;
  enum bgap_status status = bgap_address_parse (address, &parsed, err);
  if (status != BGAP_OK)
    return status;
  if (connections == 0
      || bgap_address_port ((struct sockaddr *)&parsed.storage) == 0)
    return bgap_error_set (err, BGAP_ERR_INVALID,
                           "server \"%.64s\" has no port or no connections",
                           address);
  uint32_t handle = bgap_pool_alloc (&backend->servers);
  struct backend_server *server = bgap_pool_get (&backend->servers, handle);
  if (server == NULL)
    return bgap_error_set (err, BGAP_ERR_FULL, "there are %u servers already",
                           backend->servers.capacity);
  server->address = parsed;
  server->limit = connections;
  bgap_address_print ((struct sockaddr *)&parsed.storage, server->name);
  LIST_INIT (&server->idle);
  id->id = handle;
  return BGAP_OK;
}

enum bgap_status
bgap_backend_set_limit (struct bgap_backend *backend,
                        struct bgap_backend_server_id id, uint32_t connections)
{
  struct backend_server *server = bgap_pool_get (&backend->servers, id.id);
  if (server == NULL)
    return BGAP_ERR_NOT_FOUND;
  if (connections == 0)
    return BGAP_ERR_INVALID;
  server->limit = connections;
  struct backend_connection *c = LIST_FIRST (&server->idle);
  while (c != NULL && server->open_count > server->limit)
    {
      struct backend_connection *next = LIST_NEXT (c, next_idle);
      bgap_backend_connection_close (c);
      c = next;
    }
  return BGAP_OK;
}

void
bgap_backend_remove_server (struct bgap_backend *backend,
                            struct bgap_backend_server_id id)
{
  struct backend_server *server = bgap_pool_get (&backend->servers, id.id);
  if (server == NULL)
    return;
  struct backend_connection *c = LIST_FIRST (&backend->connections);
  while (c != NULL)
    {
      struct backend_connection *next = LIST_NEXT (c, next);
      if (c->server == server && c->state == BACKEND_IDLE)
        bgap_backend_connection_close (c);
      else if (c->server == server)
        {
          c->server = NULL;
          c->is_server_removed = true;
          event_active (&c->wake, EV_TIMEOUT, 1);
        }
      c = next;
    }
  bgap_pool_free (&backend->servers, id.id);
}

uint32_t
bgap_backend_free_connections (const struct bgap_backend *backend,
                               struct bgap_backend_server_id id)
{
  const struct backend_server *server
      = bgap_pool_get (&backend->servers, id.id);
  if (server == NULL)
    return 0;
  uint32_t addable = server->limit > server->open_count
                         ? server->limit - server->open_count
                         : 0;
  uint32_t left = backend->desc.connections_max - backend->connection_count;
  return server->idle_count + (addable < left ? addable : left);
}

static bool
_bgap_backend_request_is_valid (const struct bgap_backend_request *request)
{
  const char *method = request->method;
  if (method == NULL || request->target == NULL || request->target[0] != '/'
      || request->ops == NULL || (request->body_size > 0 && !request->body))
    return false;
  if (*method == '\0'
      || strspn (method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                         "abcdefghijklmnopqrstuvwxyz-_")
             != strlen (method))
    return false;
  for (const char *c = request->target; *c != '\0'; c++)
    if ((unsigned char)*c <= 0x20 || *c == 0x7f)
      return false;
  return true;
}

static bool
_bgap_backend_method_has_body (const char *method)
{
  return strcmp (method, "POST") == 0 || strcmp (method, "PUT") == 0
         || strcmp (method, "PATCH") == 0;
}

static enum bgap_status
_bgap_backend_print_request (struct evbuffer *out, const char *server,
                             const struct bgap_backend_request *request)
{
  struct bgap_headers headers = { 0 };
  enum bgap_status status = BGAP_OK;
  if (request->headers != NULL)
    status = bgap_headers_copy (&headers, request->headers);
  bgap_headers_remove_hop_by_hop (&headers);
  bgap_headers_remove (&headers, "Content-Length");
  bgap_headers_remove (&headers, "Expect");
  if (status == BGAP_OK && bgap_headers_find (&headers, "Host") == NULL)
    status = bgap_headers_add (&headers, "Host", server);
  if (status == BGAP_OK
      && evbuffer_add_printf (out, "%s %s HTTP/1.1\r\n", request->method,
                              request->target)
             < 0)
    status = BGAP_ERR_NO_MEMORY;
  for (size_t i = 0; i < headers.count && status == BGAP_OK; i++)
    if (evbuffer_add_printf (out, "%s: %s\r\n", headers.items[i].name,
                             headers.items[i].value)
        < 0)
      status = BGAP_ERR_NO_MEMORY;
  bgap_headers_shutdown (&headers);
  if (status == BGAP_OK
      && (request->body_size > 0
          || _bgap_backend_method_has_body (request->method))
      && evbuffer_add_printf (out, "Content-Length: %zu\r\n",
                              request->body_size)
             < 0)
    status = BGAP_ERR_NO_MEMORY;
  if (status == BGAP_OK
      && (evbuffer_add (out, "\r\n", 2) != 0
          || (request->body_size > 0
              && evbuffer_add_reference (out, request->body,
                                         request->body_size, NULL, NULL)
                     != 0)))
    status = BGAP_ERR_NO_MEMORY;
  return status;
}

uint32_t
bgap_backend_idle_connections (const struct bgap_backend *backend,
                               struct bgap_backend_server_id id)
{
  const struct backend_server *server
      = bgap_pool_get (&backend->servers, id.id);
  const struct backend_connection *c;
  uint32_t count = 0;
  if (server == NULL)
    return 0;
  LIST_FOREACH (c, &server->idle, next_idle)
  count += bgap_backend_connection_is_usable (c);
  return count;
}

enum bgap_status
bgap_backend_send (struct bgap_backend *backend,
                   struct bgap_backend_server_id server,
                   const struct bgap_backend_request *request,
                   struct bgap_backend_attempt_id *id)
{
  struct backend_server *target = bgap_pool_get (&backend->servers, server.id);
  if (target == NULL)
    return BGAP_ERR_NOT_FOUND;
  if (!_bgap_backend_request_is_valid (request))
    return BGAP_ERR_INVALID;
  struct backend_connection *c
      = bgap_backend_connection_take_idle (target, request->identity);
  if (c == NULL && target->open_count >= target->limit)
    bgap_backend_connection_close_idle (target);
  if (c == NULL
      && (target->open_count >= target->limit
          || backend->connection_count >= backend->desc.connections_max))
    return BGAP_ERR_FULL;
  if (c == NULL)
    c = bgap_backend_connection_new (backend, target);
  if (c == NULL)
    return BGAP_ERR_NO_MEMORY;
  /* The pool has an item for each connection, so it cannot be full.  */
  c->attempt = bgap_pool_alloc (&backend->attempts);
  *(struct backend_connection **)bgap_pool_get (&backend->attempts, c->attempt)
      = c;
  c->ops = request->ops;
  c->user = request->user;
  c->identity = request->identity;
  c->response_size_max = request->response_size_max;
  bgap_backend_connection_set_receive_size (c, request->receive_size);
  c->is_head_request = strcmp (request->method, "HEAD") == 0;
  enum bgap_status status = _bgap_backend_print_request (
      bufferevent_get_output (c->bev), target->name, request);
  if (status != BGAP_OK)
    {
      bgap_backend_connection_close (c);
      return status;
    }
  ++*backend->attempts_total;
  id->id = c->attempt;
  bgap_backend_connection_start (c, request->deadline_ms
                                        ? request->deadline_ms
                                        : backend->desc.deadline_ms);
  return BGAP_OK;
}

size_t
bgap_backend_unprocessed (const struct bgap_backend *backend)
{
  const struct backend_connection *c;
  size_t size = 0;
  LIST_FOREACH (c, &backend->connections, next)
  size += evbuffer_get_length (bufferevent_get_input (c->bev));
  return size;
}

static struct backend_connection *
_bgap_backend_find (const struct bgap_backend *backend,
                    struct bgap_backend_attempt_id id)
{
  struct backend_connection **item = bgap_pool_get (&backend->attempts, id.id);
  return item ? *item : NULL;
}

enum bgap_status
bgap_backend_cancel (struct bgap_backend *backend,
                     struct bgap_backend_attempt_id id)
{
  struct backend_connection *c = _bgap_backend_find (backend, id);
  if (c == NULL)
    return BGAP_ERR_NOT_FOUND;
  bgap_backend_connection_close (c);
  return BGAP_OK;
}

enum bgap_status
bgap_backend_pause (struct bgap_backend *backend,
                    struct bgap_backend_attempt_id id)
{
  struct backend_connection *c = _bgap_backend_find (backend, id);
  if (c == NULL)
    return BGAP_ERR_NOT_FOUND;
  c->paused = true;
  bufferevent_disable (c->bev, EV_READ);
  return BGAP_OK;
}

enum bgap_status
bgap_backend_resume (struct bgap_backend *backend,
                     struct bgap_backend_attempt_id id)
{
  struct backend_connection *c = _bgap_backend_find (backend, id);
  if (c == NULL)
    return BGAP_ERR_NOT_FOUND;
  if (!c->paused)
    return BGAP_OK;
  c->paused = false;
  bufferevent_enable (c->bev, EV_READ);
  if (c->state == BACKEND_HEAD || c->state == BACKEND_BODY)
    event_active (&c->wake, EV_TIMEOUT, 1);
  return BGAP_OK;
}
