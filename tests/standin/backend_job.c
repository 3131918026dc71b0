#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdlib.h>
#include <string.h>

#include "backend_private.h"
#include "standin.h"

#define COLD_FACTOR 4
#define SIZE_MAX_BYTES ((int64_t)256 * 1024 * 1024)
#define PIECE_SIZE 16384

/* Distinct entries whose runs are counted.  */
#define RUNS_MAX 100000

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
  const char *segment = _bgap_backend_rest (server, path);
  segment += *segment == '/';
  char *text = strndup (segment, strcspn (segment, "/"));
  size_t size = 0;
  char *key = text ? evhttp_uridecode (text, 0, &size) : NULL;
  bool result = key != NULL
                && bgap_holder_check (server->holder, server->desc.service,
                                      key, size, strtoull (token, NULL, 10),
                                      bgap_backend_server_now_ms ())
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
      bool is_cold = bgap_backend_server_now_ms () - server->started_ms
                     < server->desc.cold_ms;
      TAILQ_REMOVE (&server->queue, job, next);
      job->has_slot = true;
      server->queued--;
      server->in_flight++;
      _bgap_backend_wait (job,
                          server->desc.work_ms * (is_cold ? COLD_FACTOR : 1));
    }
}

void
bgap_backend_job_end (struct job *job)
{
  struct bgap_backend_server *server = job->connection->server;
  _bgap_backend_job_free (job);
  _bgap_backend_start_queued (server);
}

/* Closes the connection, which ends the job. Only for the job's timer: within
   a callback of evhttp the connection is still in use.  */
static void
_bgap_backend_drop_job (struct job *job)
{
  evhttp_connection_free (evhttp_request_get_connection (job->request));
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
  if (job->drop == DROP_IN_ANSWER && job->left == 0)
    job->left = 1;
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
      bgap_backend_job_end (job);
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
  if (!bgap_backend_server_is_granted (server, job->request))
    {
      bgap_backend_server_refuse (server, job->request, "fenced");
      bgap_backend_job_end (job);
      return;
    }
  _bgap_backend_count_run (server, job->request);
  job->is_done = true;
  _bgap_backend_wait (job, job->late_ms);
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
  /* evhttp does not read while a request is handled and would notice a
     closed connection only when it answers.  */
  bufferevent_enable (evhttp_connection_get_bufferevent (connection->http),
                      EV_READ);
  _bgap_backend_start_queued (server);
}
