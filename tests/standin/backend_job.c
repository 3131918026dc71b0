#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdlib.h>
#include <string.h>

#include "backend_private.h"
#include "standin.h"

/* Factor on the work time of requests that start during the cold phase.  */
#define COLD_FACTOR 4

/* Largest accepted value of the query parameter "size".  */
#define RESPONSE_SIZE_MAX ((int64_t)256 * 1024 * 1024)

/* Bytes of the response body that are sent at a time.  */
#define CHUNK_SIZE 16384

/* Idempotency keys or paths whose executions are counted separately; those
   beyond are counted as "other".  */
#define RUN_KEYS_MAX 100000

void
bgap_backend_server_refuse (struct bgap_backend_server *server,
                            struct evhttp_request *request, const char *reason)
{
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Bgap-Refused", reason);
  bgap_standin_reply (
      request, 409,
      json_pack ("{s:s,s:s}", "refused", reason, "server", server->desc.name));
}

/* Strips a leading /<owner>/<service> from the path. Returns other paths
   unchanged.  */
static const char *
_bgap_backend_strip_prefix (const struct bgap_backend_server *server,
                            const char *path)
{
  size_t service_size = strlen (server->desc.service);
  const char *second_slash = path[0] == '/' ? strchr (path + 1, '/') : NULL;
  if (second_slash != NULL
      && strncmp (second_slash + 1, server->desc.service, service_size) == 0
      && second_slash[1 + service_size] == '/')
    return second_slash + 1 + service_size;
  return path;
}

bool
bgap_backend_server_is_granted (const struct bgap_backend_server *server,
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
  const char *segment = _bgap_backend_strip_prefix (server, path);
  segment += *segment == '/';
  char *encoded = strndup (segment, strcspn (segment, "/"));
  size_t size = 0;
  char *key = encoded ? evhttp_uridecode (encoded, 0, &size) : NULL;
  bool result = key != NULL
                && bgap_holder_check (server->holder, server->desc.service,
                                      key, size, strtoull (token, NULL, 10),
                                      bgap_backend_server_now_ms ())
                       == BGAP_HOLDER_OK;
  free (key);
  free (encoded);
  return result;
}

static void
_bgap_backend_count_execution (struct bgap_backend_server *server,
                               struct evhttp_request *request)
{
  const char *key = evhttp_find_header (
      evhttp_request_get_input_headers (request), "Idempotency-Key");
  if (key == NULL)
    key = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));
  server->total++;
  json_int_t count = json_integer_value (json_object_get (server->runs, key));
  if ((count == 0 && json_object_size (server->runs) >= RUN_KEYS_MAX)
      || json_object_set_new (server->runs, key, json_integer (count + 1))
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
_bgap_backend_set_timer (struct job *job, int64_t ms)
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
      bool is_cold = bgap_backend_server_now_ms () - server->started_ms
                     < server->desc.cold_ms;
      TAILQ_REMOVE (&server->queue, job, next);
      job->has_slot = true;
      server->queued--;
      server->in_flight++;
      _bgap_backend_set_timer (job, server->desc.work_ms
                                        * (is_cold ? COLD_FACTOR : 1));
    }
}

void
bgap_backend_job_end (struct job *job)
{
  struct bgap_backend_server *server = job->connection->server;
  _bgap_backend_job_free (job);
  _bgap_backend_start_queued (server);
}

/* Closes the connection, which frees the job. Call it only from the job's
   timer: evhttp still uses the connection while it runs its callbacks.  */
static void
_bgap_backend_close_connection (struct job *job)
{
  evhttp_connection_free (evhttp_request_get_connection (job->request));
}

static void
_bgap_backend_send_head (struct job *job)
{
  struct bgap_backend_server *server = job->connection->server;
  struct evkeyvalq *headers = evhttp_request_get_output_headers (job->request);
  const char *key = evhttp_find_header (
      evhttp_request_get_input_headers (job->request), "Idempotency-Key");
  char length[32];
  job->remaining = bgap_standin_query (job->request, "size", 0);
  if (job->remaining < 0 || job->remaining > RESPONSE_SIZE_MAX)
    job->remaining = 0;
  if (job->drop == DROP_MID_RESPONSE && job->remaining == 0)
    job->remaining = 1;
  struct evbuffer *body = evbuffer_new ();
  evbuffer_add_printf (body, "%s %s\n", server->desc.name, key ? key : "");
  evutil_snprintf (length, sizeof length, "%lld",
                   (long long)job->remaining
                       + (long long)evbuffer_get_length (body));
  evhttp_add_header (headers, "Content-Length", length);
  evhttp_add_header (headers, "Content-Type", "text/plain");
  evhttp_send_reply_start (job->request, 200, "OK");
  evhttp_send_reply_chunk (job->request, body);
  evbuffer_free (body);
}

static void
_bgap_backend_on_chunk_written (struct evhttp_connection *http, void *user)
{
  (void)http;
  _bgap_backend_set_timer (user, ((struct job *)user)->chunk_ms);
}

/* Sends the next chunk of the body. The following chunk is scheduled when
   this one has been written to the socket.  */
static void
_bgap_backend_send_chunk (struct job *job)
{
  static const char filler[CHUNK_SIZE] = { 0 };
  size_t size
      = job->remaining < CHUNK_SIZE ? (size_t)job->remaining : CHUNK_SIZE;
  if (job->remaining == 0 && job->drop != DROP_MID_RESPONSE)
    {
      evhttp_send_reply_end (job->request);
      bgap_backend_job_end (job);
      return;
    }
  if (job->drop == DROP_MID_RESPONSE && job->remaining <= CHUNK_SIZE)
    {
      _bgap_backend_close_connection (job);
      return;
    }
  struct evbuffer *chunk = evbuffer_new ();
  evbuffer_add_reference (chunk, filler, size, NULL, NULL);
  job->remaining -= (int64_t)size;
  evhttp_send_reply_chunk_with_cb (job->request, chunk,
                                   _bgap_backend_on_chunk_written, job);
  evbuffer_free (chunk);
}

static void
_bgap_backend_on_timer (evutil_socket_t fd, short events, void *user)
{
  struct job *job = user;
  struct bgap_backend_server *server = job->connection->server;
  (void)fd;
  (void)events;
  if (job->is_executed)
    {
      if (job->drop == DROP_BEFORE_RESPONSE)
        _bgap_backend_close_connection (job);
      else if (job->late_ms >= 0)
        {
          job->late_ms = -1;
          _bgap_backend_send_head (job);
          _bgap_backend_set_timer (job, job->chunk_ms);
        }
      else
        _bgap_backend_send_chunk (job);
      return;
    }
  /* The lease may have expired while the request was queued or worked on, so
     the token is checked again.  */
  if (!bgap_backend_server_is_granted (server, job->request))
    {
      bgap_backend_server_refuse (server, job->request, "fenced");
      bgap_backend_job_end (job);
      return;
    }
  _bgap_backend_count_execution (server, job->request);
  job->is_executed = true;
  _bgap_backend_set_timer (job, job->late_ms);
}

void
bgap_backend_job_new (struct connection *connection,
                      struct evhttp_request *request, int64_t drop,
                      int64_t late_ms)
{
  struct bgap_backend_server *server = connection->server;
  struct job *job = calloc (1, sizeof *job);
  if (job == NULL)
    abort ();
  job->connection = connection;
  job->request = request;
  job->drop = bgap_standin_query (request, "drop", drop);
  job->late_ms = bgap_standin_query (request, "late_ms", late_ms);
  job->chunk_ms = bgap_standin_query (request, "chunk_ms", 0);
  event_assign (&job->timer, server->desc.base, -1, 0, _bgap_backend_on_timer,
                job);
  connection->job = job;
  server->queued++;
  TAILQ_INSERT_TAIL (&server->queue, job, next);
  /* evhttp does not read from the socket while a request is handled, so that
     without this it would notice that the client closed the connection only
     when it sends the response.  */
  bufferevent_enable (evhttp_connection_get_bufferevent (connection->http),
                      EV_READ);
  _bgap_backend_start_queued (server);
}
