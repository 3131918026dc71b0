#include "backend_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event_struct.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <time.h>
#include <unistd.h>

#include "banyangap/base/clock.h"
#include "banyangap/base/random.h"
#include "banyangap/ownership/holder.h"
#include "standin.h"

#define COLD_FACTOR 4
#define SIZE_MAX_BYTES ((int64_t)256 * 1024 * 1024)
#define PIECE_SIZE 16384
#define KEY_SIZE 1024

/* Distinct entries whose runs are counted.  */
#define RUNS_MAX 100000

/* Exit status of a crash, as of a process that SIGABRT ended.  */
#define CRASH_STATUS 134

enum drop
{
  DROP_NONE,
  DROP_BEFORE_ANSWER,
  DROP_IN_ANSWER
};

/* A connection that has sent a request, and the request in progress.  */
struct connection
{
  LIST_ENTRY (connection) next;
  struct bgap_backend_server *server;
  struct evhttp_connection *http;
  struct job *job;
};

struct job
{
  TAILQ_ENTRY (job) next;
  struct connection *connection;
  struct evhttp_request *request;
  struct event timer;
  bool has_slot;
  bool is_done; /* the work took effect */
  int64_t drop;
  int64_t late_ms;
  int64_t left; /* bytes of the answer's body */
  int64_t chunk_ms;
};

struct bgap_backend_server
{
  struct bgap_backend_server_desc desc;
  struct evhttp *http;
  uint16_t port;
  struct bgap_holder *holder;
  int64_t started_ms;
  int64_t in_flight;
  int64_t queued;
  int64_t connection_count;
  LIST_HEAD (, connection) connections;
  TAILQ_HEAD (job_queue, job) queue;
  json_t *runs;
  int64_t total;
  /* Faults, see docs/standins.md.  */
  int64_t freeze_ms;
  int64_t crash;
  int64_t drop;
  int64_t late_ms;
  int64_t draining;
  int64_t lie_in_flight;
};

static int64_t
_bgap_backend_now_ms (void)
{
  const struct bgap_clock *clock = bgap_clock_system ();
  return clock->now_ms (clock->context);
}

/* Stops the whole process, as a paused virtual machine does.  */
static void
_bgap_backend_freeze (int64_t ms)
{
  const struct timespec pause
      = { .tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000 };
  if (ms > 0)
    nanosleep (&pause, NULL);
}

static void
_bgap_backend_refuse (struct bgap_backend_server *server,
                      struct evhttp_request *request, const char *reason)
{
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Bgap-Refused", reason);
  bgap_standin_reply (
      request, 409,
      json_pack ("{s:s,s:s}", "refused", reason, "server", server->desc.name));
}

/* Path without /<owner>/<service>, if it has them.  */
static const char *
_bgap_backend_rest (const struct bgap_backend_server *server, const char *path)
{
  size_t size = strlen (server->desc.service);
  const char *second = path[0] == '/' ? strchr (path + 1, '/') : NULL;
  if (second != NULL && strncmp (second + 1, server->desc.service, size) == 0
      && second[1 + size] == '/')
    return second + 1 + size;
  return path;
}

static bool
_bgap_backend_is_granted (const struct bgap_backend_server *server,
                          struct evhttp_request *request)
{
  const char *token = evhttp_find_header (
      evhttp_request_get_input_headers (request), "Bgap-Token");
  const char *path
      = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));
  if (server->desc.no_grants)
    return true;
  if (token == NULL)
    return false;
  const char *segment = _bgap_backend_rest (server, path);
  segment += *segment == '/';
  char *text = strndup (segment, strcspn (segment, "/"));
  size_t size = 0;
  char *key = text ? evhttp_uridecode (text, 0, &size) : NULL;
  bool result = key != NULL
                && bgap_holder_check (server->holder, server->desc.service,
                                      key, size, strtoull (token, NULL, 10),
                                      _bgap_backend_now_ms ())
                       == BGAP_HOLDER_OK;
  free (key);
  free (text);
  return result;
}

static void
_bgap_backend_count_run (struct bgap_backend_server *server,
                         struct evhttp_request *request)
{
  const char *entry = evhttp_find_header (
      evhttp_request_get_input_headers (request), "Idempotency-Key");
  if (entry == NULL)
    entry = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));
  server->total++;
  json_int_t count
      = json_integer_value (json_object_get (server->runs, entry));
  if ((count == 0 && json_object_size (server->runs) >= RUNS_MAX)
      || json_object_set_new (server->runs, entry, json_integer (count + 1))
             != 0)
    json_object_set_new (
        server->runs, "other",
        json_integer (
            json_integer_value (json_object_get (server->runs, "other")) + 1));
}

static void
_bgap_backend_job_free (struct job *job)
{
  struct bgap_backend_server *server = job->connection->server;
  event_del (&job->timer);
  if (job->has_slot)
    server->in_flight--;
  else
    {
      server->queued--;
      TAILQ_REMOVE (&server->queue, job, next);
    }
  job->connection->job = NULL;
  free (job);
}

static void
_bgap_backend_wait (struct job *job, int64_t ms)
{
  const struct timeval delay = bgap_standin_timeval (ms > 0 ? ms : 0);
  event_add (&job->timer, &delay);
}

static void
_bgap_backend_start_queued (struct bgap_backend_server *server)
{
  while (server->in_flight < server->desc.slots
         && !TAILQ_EMPTY (&server->queue))
    {
      struct job *job = TAILQ_FIRST (&server->queue);
      bool is_cold = _bgap_backend_now_ms () - server->started_ms
                     < server->desc.cold_ms;
      TAILQ_REMOVE (&server->queue, job, next);
      job->has_slot = true;
      server->queued--;
      server->in_flight++;
      _bgap_backend_wait (job,
                          server->desc.work_ms * (is_cold ? COLD_FACTOR : 1));
    }
}

static void
_bgap_backend_end (struct job *job)
{
  struct bgap_backend_server *server = job->connection->server;
  _bgap_backend_job_free (job);
  _bgap_backend_start_queued (server);
}

static void
_bgap_backend_drop_job (struct job *job)
{
  bgap_standin_drop (job->connection->server->desc.base, job->request);
}

static void
_bgap_backend_answer_head (struct job *job)
{
  struct bgap_backend_server *server = job->connection->server;
  struct evkeyvalq *headers = evhttp_request_get_output_headers (job->request);
  const char *key = evhttp_find_header (
      evhttp_request_get_input_headers (job->request), "Idempotency-Key");
  char length[32];
  job->left = bgap_standin_query (job->request, "size", 0);
  if (job->left < 0 || job->left > SIZE_MAX_BYTES)
    job->left = 0;
  struct evbuffer *body = evbuffer_new ();
  evbuffer_add_printf (body, "%s %s\n", server->desc.name, key ? key : "");
  evutil_snprintf (length, sizeof length, "%lld",
                   (long long)job->left
                       + (long long)evbuffer_get_length (body));
  evhttp_add_header (headers, "Content-Length", length);
  evhttp_add_header (headers, "Content-Type", "text/plain");
  evhttp_send_reply_start (job->request, 200, "OK");
  evhttp_send_reply_chunk (job->request, body);
  evbuffer_free (body);
}

static void
_bgap_backend_on_sent (struct evhttp_connection *http, void *user)
{
  (void)http;
  _bgap_backend_wait (user, ((struct job *)user)->chunk_ms);
}

/* Sends the next piece of the body; the one after it follows once this one is
   written.  */
static void
_bgap_backend_answer_piece (struct job *job)
{
  static const char filler[PIECE_SIZE] = { 0 };
  size_t size = job->left < PIECE_SIZE ? (size_t)job->left : PIECE_SIZE;
  if (job->left == 0 && job->drop != DROP_IN_ANSWER)
    {
      evhttp_send_reply_end (job->request);
      _bgap_backend_end (job);
      return;
    }
  if (job->drop == DROP_IN_ANSWER && job->left <= PIECE_SIZE)
    {
      _bgap_backend_drop_job (job);
      return;
    }
  struct evbuffer *piece = evbuffer_new ();
  evbuffer_add_reference (piece, filler, size, NULL, NULL);
  job->left -= (int64_t)size;
  evhttp_send_reply_chunk_with_cb (job->request, piece, _bgap_backend_on_sent,
                                   job);
  evbuffer_free (piece);
}

static void
_bgap_backend_on_timer (evutil_socket_t fd, short events, void *user)
{
  struct job *job = user;
  struct bgap_backend_server *server = job->connection->server;
  (void)fd;
  (void)events;
  if (job->is_done)
    {
      if (job->drop == DROP_BEFORE_ANSWER)
        _bgap_backend_drop_job (job);
      else if (job->late_ms >= 0)
        {
          job->late_ms = -1;
          _bgap_backend_answer_head (job);
          _bgap_backend_wait (job, job->chunk_ms);
        }
      else
        _bgap_backend_answer_piece (job);
      return;
    }
  /* The lease may have ended while the work was prepared.  */
  if (!_bgap_backend_is_granted (server, job->request))
    {
      _bgap_backend_refuse (server, job->request, "fenced");
      _bgap_backend_end (job);
      return;
    }
  _bgap_backend_count_run (server, job->request);
  job->is_done = true;
  _bgap_backend_wait (job, job->late_ms);
}

/* A closed connection cancels its request. evhttp frees the request only if
   it still belongs to the connection.  */
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
      _bgap_backend_end (job);
    }
  LIST_REMOVE (connection, next);
  server->connection_count--;
  free (connection);
}

static struct connection *
_bgap_backend_connection (struct bgap_backend_server *server,
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

static int64_t
_bgap_backend_take (int64_t *fault)
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
  if (_bgap_backend_take (&server->crash)
      || bgap_standin_query (request, "crash", 0))
    _exit (CRASH_STATUS);
  _bgap_backend_freeze (bgap_standin_query (request, "freeze_ms", 0));
  if (server->draining)
    _bgap_backend_refuse (server, request, "draining");
  else if (!_bgap_backend_is_granted (server, request))
    _bgap_backend_refuse (server, request, "fenced");
  else if (server->in_flight >= server->desc.slots
           && server->queued >= server->desc.queue)
    _bgap_backend_refuse (server, request, "shed");
  else
    {
      struct job *job = calloc (1, sizeof *job);
      if (job == NULL)
        abort ();
      job->connection = connection;
      job->request = request;
      job->drop = bgap_standin_query (request, "drop",
                                      _bgap_backend_take (&server->drop));
      job->late_ms = bgap_standin_query (
          request, "late_ms", _bgap_backend_take (&server->late_ms));
      job->chunk_ms = bgap_standin_query (request, "chunk_ms", 0);
      event_assign (&job->timer, server->desc.base, -1, 0,
                    _bgap_backend_on_timer, job);
      connection->job = job;
      server->queued++;
      TAILQ_INSERT_TAIL (&server->queue, job, next);
      /* evhttp does not read while a request is handled and would notice a
         closed connection only when it answers.  */
      bufferevent_enable (evhttp_connection_get_bufferevent (connection->http),
                          EV_READ);
      _bgap_backend_start_queued (server);
    }
}

static void
_bgap_backend_on_lease (struct bgap_backend_server *server,
                        struct evhttp_request *request, bool is_renew)
{
  struct evbuffer *body = evhttp_request_get_input_buffer (request);
  size_t size = evbuffer_get_length (body);
  const char *text = size ? (const char *)evbuffer_pullup (body, -1) : "";
  struct bgap_buffer reply = { 0 };
  struct bgap_error err = { 0 };
  int64_t in_flight
      = server->lie_in_flight >= 0 ? server->lie_in_flight : server->in_flight;
  bgap_holder_set_load (server->holder, (uint32_t)in_flight,
                        (uint32_t)server->desc.slots,
                        (uint32_t)server->queued);
  bgap_holder_set_draining (server->holder, server->draining != 0);
  enum bgap_status status
      = is_renew ? bgap_holder_on_renew (server->holder, text, size,
                                         _bgap_backend_now_ms (), &reply, &err)
                 : bgap_holder_on_hello (server->holder,
                                         _bgap_backend_now_ms (), &reply);
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
    { .name = "in_flight", .number = &server->lie_in_flight },
    { .name = "work_ms", .number = &server->desc.work_ms },
    { 0 },
  };
  if (bgap_standin_control (request, fields) == 0)
    _bgap_backend_freeze (_bgap_backend_take (&server->freeze_ms));
}

static void
_bgap_backend_on_request (struct evhttp_request *request, void *user)
{
  struct bgap_backend_server *server = user;
  const char *path
      = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));
  bool is_post = evhttp_request_get_command (request) == EVHTTP_REQ_POST;
  struct connection *connection = _bgap_backend_connection (
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
    _bgap_backend_on_lease (server, request, false);
  else if (is_post && strcmp (path, "/.bgap/renew") == 0)
    _bgap_backend_on_lease (server, request, true);
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
  s->started_ms = _bgap_backend_now_ms ();
  s->lie_in_flight = -1;
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
