#include "backend_server.h"

#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "backend_private.h"
#include "banyangap/base/clock.h"
#include "banyangap/base/random.h"
#include "standin.h"

/* Exit status of a simulated crash: that of a process killed by SIGABRT.  */
#define CRASH_STATUS 134

int64_t
bgap_backend_server_now_ms (void)
{
  const struct bgap_clock *clock = bgap_clock_system ();
  return clock->now_ms (clock->context);
}

/* Blocks the whole process, which simulates a paused virtual machine.  */
static void
_bgap_backend_freeze (int64_t ms)
{
  const struct timespec pause
      = { .tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000 };
  if (ms > 0)
    nanosleep (&pause, NULL);
}

/* Cancels the request of a closed connection. evhttp frees a request only
   while it belongs to a connection; a detached one is freed here.  */
static void
_bgap_backend_on_close (struct evhttp_connection *http, void *user)
{
  struct connection *connection = user;
  struct bgap_backend_server *server = connection->server;
  struct job *job = connection->job;
  (void)http;
  if (job != NULL)
    {
      if (evhttp_request_get_connection (job->request) == NULL)
        evhttp_request_free (job->request);
      bgap_backend_job_end (job);
    }
  LIST_REMOVE (connection, next);
  server->connection_count--;
  free (connection);
}

/* Finds or creates the state of a connection. Returns NULL if the limit of
   connections is reached.  */
static struct connection *
_bgap_backend_get_connection (struct bgap_backend_server *server,
                              struct evhttp_connection *http)
{
  struct connection *connection;
  LIST_FOREACH (connection, &server->connections, next)
  {
    if (connection->http == http)
      return connection;
  }
  if (server->connection_count >= server->desc.connections)
    return NULL;
  connection = calloc (1, sizeof *connection);
  if (connection == NULL)
    abort ();
  connection->server = server;
  connection->http = http;
  server->connection_count++;
  LIST_INSERT_HEAD (&server->connections, connection, next);
  evhttp_connection_set_closecb (http, _bgap_backend_on_close, connection);
  return connection;
}

/* Returns the value of a one-shot fault and clears it.  */
static int64_t
_bgap_backend_consume_fault (int64_t *fault)
{
  int64_t value = *fault;
  *fault = 0;
  return value;
}

static void
_bgap_backend_on_work (struct bgap_backend_server *server,
                       struct connection *connection,
                       struct evhttp_request *request)
{
  if (_bgap_backend_consume_fault (&server->crash)
      || bgap_standin_query (request, "crash", 0))
    _exit (CRASH_STATUS);
  _bgap_backend_freeze (bgap_standin_query (request, "freeze_ms", 0));
  if (server->draining)
    bgap_backend_server_refuse (server, request, "draining");
  else if (!bgap_backend_server_is_granted (server, request))
    bgap_backend_server_refuse (server, request, "fenced");
  else if (server->in_flight >= server->desc.slots
           && server->queued >= server->desc.queue)
    bgap_backend_server_refuse (server, request, "shed");
  else
    {
      bgap_backend_job_new (connection, request,
                            _bgap_backend_consume_fault (&server->drop),
                            _bgap_backend_consume_fault (&server->late_ms));
    }
}

/* Handles /.bgap/hello and /.bgap/renew.  */
static void
_bgap_backend_on_lease_call (struct bgap_backend_server *server,
                             struct evhttp_request *request, bool is_renew)
{
  struct evbuffer *body = evhttp_request_get_input_buffer (request);
  size_t size = evbuffer_get_length (body);
  const char *text = size ? (const char *)evbuffer_pullup (body, -1) : "";
  struct bgap_buffer reply = { 0 };
  struct bgap_error err = { 0 };
  int64_t in_flight = server->reported_in_flight >= 0
                          ? server->reported_in_flight
                          : server->in_flight;
  bgap_holder_set_load (server->holder, (uint32_t)in_flight,
                        (uint32_t)server->desc.slots,
                        (uint32_t)server->queued);
  bgap_holder_set_draining (server->holder, server->draining != 0);
  enum bgap_status status
      = is_renew ? bgap_holder_on_renew (server->holder, text, size,
                                         bgap_backend_server_now_ms (), &reply,
                                         &err)
                 : bgap_holder_on_hello (
                     server->holder, bgap_backend_server_now_ms (), &reply);
  if (status != BGAP_OK)
    bgap_standin_reply (request, 400,
                        json_pack ("{s:s}", "error", err.message));
  else
    {
      struct evbuffer *out = evbuffer_new ();
      evbuffer_add (out, reply.data, reply.size);
      evhttp_send_reply (request, 200, NULL, out);
      evbuffer_free (out);
    }
  bgap_buffer_shutdown (&reply);
}

static void
_bgap_backend_on_control (struct bgap_backend_server *server,
                          struct evhttp_request *request)
{
  const struct bgap_standin_field fields[] = {
    { .name = "freeze_ms", .number = &server->freeze_ms },
    { .name = "crash", .number = &server->crash },
    { .name = "drop", .number = &server->drop },
    { .name = "late_ms", .number = &server->late_ms },
    { .name = "draining", .number = &server->draining },
    { .name = "in_flight", .number = &server->reported_in_flight },
    { .name = "work_ms", .number = &server->desc.work_ms },
    { 0 },
  };
  if (bgap_standin_control (request, fields) == 0)
    _bgap_backend_freeze (_bgap_backend_consume_fault (&server->freeze_ms));
}

static void
_bgap_backend_on_request (struct evhttp_request *request, void *user)
{
  struct bgap_backend_server *server = user;
  const char *path
      = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));
  bool is_post = evhttp_request_get_command (request) == EVHTTP_REQ_POST;
  struct connection *connection = _bgap_backend_get_connection (
      server, evhttp_request_get_connection (request));
  if (is_post && strcmp (path, "/control") == 0)
    _bgap_backend_on_control (server, request);
  else if (strcmp (path, "/.bgap/runs") == 0)
    bgap_standin_reply (request, 200,
                        json_pack ("{s:s,s:I,s:O}", "name", server->desc.name,
                                   "total", (json_int_t)server->total, "runs",
                                   server->runs));
  else if (connection == NULL)
    bgap_standin_drop (server->desc.base, request);
  else if (is_post && strcmp (path, "/.bgap/hello") == 0)
    _bgap_backend_on_lease_call (server, request, false);
  else if (is_post && strcmp (path, "/.bgap/renew") == 0)
    _bgap_backend_on_lease_call (server, request, true);
  else
    _bgap_backend_on_work (server, connection, request);
}

enum bgap_status
bgap_backend_server_setup (struct bgap_backend_server **server,
                           const struct bgap_backend_server_desc *desc,
                           struct bgap_error *err)
{
  struct bgap_backend_server *s = calloc (1, sizeof *s);
  if (s == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  s->desc = *desc;
  s->desc.slots = desc->slots > 0 ? desc->slots : 4;
  s->desc.queue = desc->queue > 0 ? desc->queue : 2 * s->desc.slots;
  s->desc.connections = desc->connections > 0 ? desc->connections : 110;
  s->started_ms = bgap_backend_server_now_ms ();
  s->reported_in_flight = -1;
  s->runs = json_object ();
  LIST_INIT (&s->connections);
  TAILQ_INIT (&s->queue);
  enum bgap_status status = bgap_holder_setup (
      &s->holder,
      &(struct bgap_holder_desc){ .incarnation = bgap_random_seed () | 1 });
  if (status == BGAP_OK)
    status = bgap_standin_listen (desc->base, desc->address,
                                  _bgap_backend_on_request, s, &s->http,
                                  &s->port, err);
  if (status != BGAP_OK)
    {
      bgap_holder_shutdown (s->holder);
      json_decref (s->runs);
      free (s);
      return status;
    }
  *server = s;
  return BGAP_OK;
}

uint16_t
bgap_backend_server_port (const struct bgap_backend_server *server)
{
  return server->port;
}

void
bgap_backend_server_shutdown (struct bgap_backend_server *server)
{
  if (server == NULL)
    return;
  evhttp_free (server->http);
  bgap_holder_shutdown (server->holder);
  json_decref (server->runs);
  free (server);
}
