#include "banyangap/gateway/admin.h"

#include <event2/event_struct.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "frontend_private.h"

#define DEFAULT_REQUESTS_MAX 64
#define DEFAULT_BODY_SIZE_MAX 1048576
#define DEFAULT_TIMEOUT_MS 10000
#define DEFAULT_DEFERRED_MS 60000

/* Connections without a request that are allowed in addition to
   requests_max.  */
#define IDLE_CONNECTIONS_MAX 16

/* A request without a reply yet.  */
struct pending
{
  struct bgap_admin *admin;
  struct bgap_exchange_id exchange;
  struct event timer;
};

struct bgap_admin
{
  struct bgap_admin_desc desc;
  struct bgap_frontend *frontend;
  struct bgap_pool pending;
};

static void
_bgap_admin_remove_pending (struct bgap_admin *admin, uint32_t id)
{
  struct pending *pending = bgap_pool_get (&admin->pending, id);
  event_del (&pending->timer);
  bgap_pool_free (&admin->pending, id);
}

static enum bgap_status
_bgap_admin_send (struct bgap_admin *admin, struct bgap_exchange_id exchange,
                  int status, const char *type, const void *body, size_t size)
{
  struct bgap_headers headers = { 0 };
  enum bgap_status result = bgap_headers_add (&headers, "Content-Type", type);
  if (result == BGAP_OK && status == 401)
    result = bgap_headers_add (&headers, "WWW-Authenticate", "Bearer");
  if (result == BGAP_OK)
    result = bgap_frontend_reply (admin->frontend, exchange, status, &headers,
                                  body, size);
  bgap_headers_shutdown (&headers);
  return result;
}

static enum bgap_status
_bgap_admin_reply (struct bgap_admin *admin, struct bgap_admin_id id,
                   int status, const char *type, const void *body, size_t size)
{
  struct pending *pending = bgap_pool_get (&admin->pending, id.id);
  if (pending == NULL)
    return BGAP_ERR_NOT_FOUND;
  struct bgap_exchange_id exchange = pending->exchange;
  _bgap_admin_remove_pending (admin, id.id);
  return _bgap_admin_send (admin, exchange, status, type, body, size);
}

enum bgap_status
bgap_admin_reply_text (struct bgap_admin *admin, struct bgap_admin_id id,
                       int status, const char *text, size_t size)
{
  return _bgap_admin_reply (admin, id, status, "text/plain; charset=utf-8",
                            text, size);
}

enum bgap_status
bgap_admin_reply_json (struct bgap_admin *admin, struct bgap_admin_id id,
                       int status, const json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY);
  if (text == NULL)
    return BGAP_ERR_NO_MEMORY;
  enum bgap_status result = _bgap_admin_reply (
      admin, id, status, "application/json", text, strlen (text));
  free (text);
  return result;
}

static void
_bgap_admin_on_reply_timeout (evutil_socket_t fd, short events, void *user)
{
  static const char text[] = "no reply in time\n";
  struct pending *pending = user;
  struct bgap_admin *admin = pending->admin;
  struct bgap_exchange_id exchange = pending->exchange;
  (void)fd;
  (void)events;
  for (uint32_t id = bgap_pool_next (&admin->pending, BGAP_INVALID_ID);
       id != BGAP_INVALID_ID; id = bgap_pool_next (&admin->pending, id))
    if (bgap_pool_get (&admin->pending, id) == pending)
      {
        _bgap_admin_remove_pending (admin, id);
        break;
      }
  _bgap_admin_send (admin, exchange, 503, "text/plain", text, sizeof text - 1);
}

static const char *
_bgap_admin_token (const struct bgap_headers *headers)
{
  const char *value = bgap_headers_find (headers, "Authorization");
  if (value == NULL || strncasecmp (value, "Bearer ", 7) != 0)
    return NULL;
  value += 7;
  return value + strspn (value, " ");
}

/* Returns the first matching route, or NULL with 404 or 405 in @status.  */
static const struct bgap_admin_route *
_bgap_admin_find_route (const struct bgap_admin *admin, const char *method,
                        const char *path, int *status)
{
  *status = 404;
  for (size_t i = 0; i < admin->desc.route_count; i++)
    {
      const struct bgap_admin_route *route = &admin->desc.routes[i];
      size_t size = strlen (route->path);
      bool is_prefix = size > 1 && route->path[size - 1] == '/';
      if (is_prefix ? strncmp (path, route->path, size) != 0
                    : strcmp (path, route->path) != 0)
        continue;
      if (strcmp (method, route->method) == 0)
        return route;
      *status = 405;
    }
  return NULL;
}

static void
_bgap_admin_dispatch (struct bgap_admin *admin,
                      struct bgap_exchange_id exchange, const char *path,
                      const char *query,
                      const struct bgap_frontend_request *request)
{
  int status;
  const struct bgap_admin_route *route
      = _bgap_admin_find_route (admin, request->method, path, &status);
  if (route == NULL)
    {
      const char *text = bgap_http_status_text (status);
      _bgap_admin_send (admin, exchange, status, "text/plain", text,
                        strlen (text));
      return;
    }
  uint32_t id = bgap_pool_alloc (&admin->pending);
  struct pending *pending = bgap_pool_get (&admin->pending, id);
  if (pending == NULL)
    {
      static const char text[] = "too many requests in progress\n";
      _bgap_admin_send (admin, exchange, 503, "text/plain", text,
                        sizeof text - 1);
      return;
    }
  const struct timeval limit = bgap_address_timeval (admin->desc.deferred_ms);
  pending->admin = admin;
  pending->exchange = exchange;
  event_assign (&pending->timer, admin->desc.base, -1, 0,
                _bgap_admin_on_reply_timeout, pending);
  event_add (&pending->timer, &limit);
  const struct bgap_admin_request call = {
    .method = request->method,
    .path = path,
    .query = query,
    .token = _bgap_admin_token (&request->headers),
    .body = request->body ? request->body : "",
    .body_size = request->body_size,
  };
  route->handle (admin->desc.context, (struct bgap_admin_id){ id }, &call);
}

static void
_bgap_admin_on_request (void *context, struct bgap_exchange_id exchange,
                        const struct bgap_frontend_request *request)
{
  struct bgap_admin *admin = context;
  char *path = strdup (request->target);
  if (path == NULL)
    {
      bgap_frontend_abort (admin->frontend, exchange);
      return;
    }
  char *query = strchr (path, '?');
  if (query != NULL)
    *query++ = '\0';
  _bgap_admin_dispatch (admin, exchange, path, query ? query : "", request);
  free (path);
}

static void
_bgap_admin_on_cancel (void *context, struct bgap_exchange_id exchange)
{
  struct bgap_admin *admin = context;
  for (uint32_t id = bgap_pool_next (&admin->pending, BGAP_INVALID_ID);
       id != BGAP_INVALID_ID; id = bgap_pool_next (&admin->pending, id))
    {
      const struct pending *pending = bgap_pool_get (&admin->pending, id);
      if (pending->exchange.id != exchange.id)
        continue;
      _bgap_admin_remove_pending (admin, id);
      return;
    }
}

enum bgap_status
bgap_admin_setup (struct bgap_admin **admin,
                  const struct bgap_admin_desc *desc, struct bgap_error *err)
{
  struct bgap_admin *a = calloc (1, sizeof *a);
  if (a == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  a->desc = *desc;
  if (a->desc.requests_max == 0)
    a->desc.requests_max = DEFAULT_REQUESTS_MAX;
  if (a->desc.body_size_max == 0)
    a->desc.body_size_max = DEFAULT_BODY_SIZE_MAX;
  if (a->desc.timeout_ms == 0)
    a->desc.timeout_ms = DEFAULT_TIMEOUT_MS;
  if (a->desc.deferred_ms == 0)
    a->desc.deferred_ms = DEFAULT_DEFERRED_MS;
  enum bgap_status status = bgap_pool_setup (
      &a->pending,
      &(struct bgap_pool_desc){ .item_size = sizeof (struct pending),
                                .capacity = a->desc.requests_max });
  const struct bgap_frontend_desc frontend = {
    .base = desc->base,
    .address = desc->address,
    .ops = { .request = _bgap_admin_on_request,
             .cancel = _bgap_admin_on_cancel,
             .context = a },
    .connections_max = a->desc.requests_max + IDLE_CONNECTIONS_MAX,
    .body_size_max = a->desc.body_size_max,
    .head_timeout_ms = a->desc.timeout_ms,
    .body_timeout_ms = a->desc.timeout_ms,
    .idle_timeout_ms = a->desc.timeout_ms,
    .any_path = true,
  };
  if (status == BGAP_OK)
    status = bgap_frontend_setup (&a->frontend, &frontend, err);
  if (status != BGAP_OK)
    {
      bgap_pool_shutdown (&a->pending);
      free (a);
      return status;
    }
  *admin = a;
  return BGAP_OK;
}

uint16_t
bgap_admin_port (const struct bgap_admin *admin)
{
  return bgap_frontend_port (admin->frontend);
}

void
bgap_admin_shutdown (struct bgap_admin *admin)
{
  if (admin == NULL)
    return;
  uint32_t id;
  while ((id = bgap_pool_next (&admin->pending, BGAP_INVALID_ID))
         != BGAP_INVALID_ID)
    _bgap_admin_remove_pending (admin, id);
  bgap_frontend_shutdown (admin->frontend);
  bgap_pool_shutdown (&admin->pending);
  free (admin);
}
