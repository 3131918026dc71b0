#include "host_server.h"

#include <event2/event_struct.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

struct bgap_host_server
{
  struct event_base *base;
  struct evhttp *http;
  uint16_t port;
  struct bgap_host_control control;
  struct event timer;
  json_t *visible; /* what GET /hosts returns */
  json_t *pending; /* becomes visible when the timer expires, or NULL */
};

/* Makes the pending list visible. Lists that were replaced during the lag are
   never seen.  */
static void
_bgap_host_on_publish (evutil_socket_t fd, short events, void *user)
{
  struct bgap_host_server *server = user;
  (void)fd;
  (void)events;
  json_decref (server->visible);
  server->visible = server->pending;
  server->pending = NULL;
}

void
bgap_host_server_put (struct bgap_host_server *server, json_t *hosts)
{
  json_decref (server->pending);
  server->pending = hosts;
  if (server->control.lag_ms <= 0)
    {
      event_del (&server->timer);
      _bgap_host_on_publish (-1, 0, server);
      return;
    }
  const struct timeval lag = bgap_standin_timeval (server->control.lag_ms);
  if (!evtimer_pending (&server->timer, NULL))
    event_add (&server->timer, &lag);
}

static void
_bgap_host_on_put (struct bgap_host_server *server,
                   struct evhttp_request *request)
{
  json_t *body = bgap_standin_body (request);
  if (body == NULL)
    return;
  if (!json_is_array (json_object_get (body, "hosts")))
    {
      json_decref (body);
      bgap_standin_reply (request, 400,
                          json_pack ("{s:s}", "error", "no hosts"));
      return;
    }
  bgap_host_server_put (server, body);
  bgap_standin_reply (request, 200, json_object ());
}

static void
_bgap_host_on_request (struct evhttp_request *request, void *user)
{
  struct bgap_host_server *server = user;
  const char *path
      = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));
  enum evhttp_cmd_type command = evhttp_request_get_command (request);
  if (command == EVHTTP_REQ_POST && strcmp (path, "/control") == 0)
    {
      const struct bgap_standin_field fields[] = {
        { .name = "lag_ms", .number = &server->control.lag_ms },
        { .name = "outage", .number = &server->control.outage },
        { 0 },
      };
      bgap_standin_control (request, fields);
    }
  else if (command == EVHTTP_REQ_PUT && strcmp (path, "/hosts") == 0)
    _bgap_host_on_put (server, request);
  else if (command != EVHTTP_REQ_GET || strcmp (path, "/hosts") != 0)
    bgap_standin_reply (request, 404,
                        json_pack ("{s:s}", "error", "no such path"));
  else if (server->control.outage)
    bgap_standin_reply (request, 503, json_pack ("{s:s}", "error", "outage"));
  else
    bgap_standin_reply (request, 200, json_incref (server->visible));
}

enum bgap_status
bgap_host_server_setup (struct bgap_host_server **server,
                        struct event_base *base, const char *address,
                        struct bgap_error *err)
{
  struct bgap_host_server *s = calloc (1, sizeof *s);
  if (s == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  s->base = base;
  s->visible = json_pack ("{s:[]}", "hosts");
  event_assign (&s->timer, base, -1, 0, _bgap_host_on_publish, s);
  enum bgap_status status = bgap_standin_listen (
      base, address, _bgap_host_on_request, s, &s->http, &s->port, err);
  if (status != BGAP_OK)
    {
      json_decref (s->visible);
      free (s);
    }
  else
    *server = s;
  return status;
}

uint16_t
bgap_host_server_port (const struct bgap_host_server *server)
{
  return server->port;
}

struct bgap_host_control *
bgap_host_server_control (struct bgap_host_server *server)
{
  return &server->control;
}

void
bgap_host_server_shutdown (struct bgap_host_server *server)
{
  if (server == NULL)
    return;
  event_del (&server->timer);
  evhttp_free (server->http);
  json_decref (server->visible);
  json_decref (server->pending);
  free (server);
}
