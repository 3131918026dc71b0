#include "log_server.h"

#include <event2/buffer.h>
#include <event2/event_struct.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "log_stream.h"
#include "standin.h"

#define DEFAULT_RETENTION 100000
#define STREAMS_MAX 4096

/* Largest accepted value of the query parameter "limit".  */
#define READ_LIMIT_MAX 10000

/* Bytes of record data after which a response is cut short: the record that
   reaches this size is its last.  */
#define READ_SIZE_MAX 1048576

/* A request that is answered later: either a read that waits for a record of
   @stream, or a delayed response (@status, @value).  */
struct pending
{
  LIST_ENTRY (pending) next;
  struct bgap_log_server *server;
  struct evhttp_request *request;
  struct event timer;
  struct stream *stream;
  int64_t from;
  int64_t limit;
  int status;
  json_t *value;
};

struct bgap_log_server
{
  struct event_base *base;
  struct evhttp *http;
  uint16_t port;
  struct bgap_log_control control;
  uint32_t stream_count;
  LIST_HEAD (, stream) streams;
  LIST_HEAD (, pending) pending;
};

static struct pending *
_bgap_log_pending_new (struct bgap_log_server *server,
                       struct evhttp_request *request,
                       event_callback_fn on_timer, int64_t ms)
{
  struct pending *pending = calloc (1, sizeof *pending);
  if (pending == NULL)
    abort ();
  pending->server = server;
  pending->request = request;
  event_assign (&pending->timer, server->base, -1, 0, on_timer, pending);
  const struct timeval delay = bgap_standin_timeval (ms);
  event_add (&pending->timer, &delay);
  LIST_INSERT_HEAD (&server->pending, pending, next);
  return pending;
}

static void
_bgap_log_pending_free (struct pending *pending)
{
  event_del (&pending->timer);
  LIST_REMOVE (pending, next);
  json_decref (pending->value);
  free (pending);
}

static void
_bgap_log_on_reply_due (evutil_socket_t fd, short events, void *user)
{
  struct pending *pending = user;
  (void)fd;
  (void)events;
  bgap_standin_reply (pending->request, pending->status,
                      json_incref (pending->value));
  _bgap_log_pending_free (pending);
}

static void
_bgap_log_reply (struct bgap_log_server *server,
                 struct evhttp_request *request, int status, json_t *value)
{
  if (server->control.delay_ms <= 0)
    {
      bgap_standin_reply (request, status, value);
      return;
    }
  struct pending *pending = _bgap_log_pending_new (
      server, request, _bgap_log_on_reply_due, server->control.delay_ms);
  pending->status = status;
  pending->value = value;
}

static void
_bgap_log_reply_error (struct bgap_log_server *server,
                       struct evhttp_request *request, int status,
                       const char *message)
{
  _bgap_log_reply (server, request, status,
                   json_pack ("{s:s}", "error", message));
}

/* Finds or creates a stream. Returns NULL if there are too many.  */
static struct stream *
_bgap_log_get_stream (struct bgap_log_server *server, const char *name,
                      size_t size)
{
  struct stream *stream;
  LIST_FOREACH (stream, &server->streams, next)
  {
    if (strncmp (stream->name, name, size) == 0 && stream->name[size] == '\0')
      return stream;
  }
  if (server->stream_count >= STREAMS_MAX)
    return NULL;
  stream = calloc (1, sizeof *stream);
  if (stream == NULL || (stream->name = strndup (name, size)) == NULL)
    abort ();
  stream->first = 1;
  stream->end = 1;
  server->stream_count++;
  LIST_INSERT_HEAD (&server->streams, stream, next);
  return stream;
}

/* Replies with the records from @from on, or with 410 if retention has removed
   that record.  */
static void
_bgap_log_reply_records (struct bgap_log_server *server,
                         struct evhttp_request *request, struct stream *stream,
                         int64_t from, int64_t limit)
{
  if (from < stream->first)
    {
      _bgap_log_reply (server, request, 410,
                       json_pack ("{s:I,s:I}", "first",
                                  (json_int_t)stream->first, "end",
                                  (json_int_t)stream->end));
      return;
    }
  json_t *records = json_array ();
  size_t size = 0;
  for (int64_t offset = from; stream->records != NULL && offset < stream->end
                              && offset < from + limit && size < READ_SIZE_MAX;
       offset++)
    {
      const struct record *record = &stream->records[offset - stream->first];
      size += json_string_length (record->data);
      json_array_append_new (records, json_pack ("{s:I,s:I,s:O}", "offset",
                                                 (json_int_t)offset, "time_ms",
                                                 (json_int_t)record->time_ms,
                                                 "data", record->data));
    }
  _bgap_log_reply (server, request, 200,
                   json_pack ("{s:I,s:I,s:o}", "first",
                              (json_int_t)stream->first, "end",
                              (json_int_t)stream->end, "records", records));
}

/* Ends a waiting read: a record arrived, its time is over, or an outage
   began.  */
static void
_bgap_log_on_read_due (evutil_socket_t fd, short events, void *user)
{
  struct pending *pending = user;
  (void)fd;
  (void)events;
  if (pending->server->control.outage)
    _bgap_log_reply_error (pending->server, pending->request, 503, "outage");
  else
    _bgap_log_reply_records (pending->server, pending->request,
                             pending->stream, pending->from, pending->limit);
  _bgap_log_pending_free (pending);
}

/* Ends the reads that wait for a record which the stream now has.  */
static void
_bgap_log_resume_reads (struct bgap_log_server *server,
                        const struct stream *stream)
{
  struct pending *pending = LIST_FIRST (&server->pending);
  while (pending != NULL)
    {
      struct pending *next = LIST_NEXT (pending, next);
      if (pending->stream == stream && pending->from < stream->end)
        event_active (&pending->timer, EV_TIMEOUT, 1);
      pending = next;
    }
}

static void
_bgap_log_append (struct bgap_log_server *server,
                  struct evhttp_request *request, struct stream *stream)
{
  struct evbuffer *body = evhttp_request_get_input_buffer (request);
  size_t size = evbuffer_get_length (body);
  const char *text = size ? (const char *)evbuffer_pullup (body, -1) : "";
  json_t *data = json_stringn (text, size);
  if (server->control.reject_appends || data == NULL || size == 0)
    {
      json_decref (data);
      _bgap_log_reply_error (server, request,
                             server->control.reject_appends ? 503 : 400,
                             "the record is not taken");
      return;
    }
  bgap_log_stream_append (stream, data);
  int64_t offset = stream->end - 1;
  bgap_log_stream_trim (stream, server->control.retention);
  _bgap_log_resume_reads (server, stream);
  if (server->control.lose_answers > 0)
    {
      server->control.lose_answers--;
      bgap_standin_drop (server->base, request);
      return;
    }
  _bgap_log_reply (server, request, 200,
                   json_pack ("{s:I}", "offset", (json_int_t)offset));
}

static void
_bgap_log_read (struct bgap_log_server *server, struct evhttp_request *request,
                struct stream *stream)
{
  int64_t from = bgap_standin_query (request, "from", 0);
  int64_t limit = bgap_standin_query (request, "limit", 100);
  int64_t wait_ms = bgap_standin_query (request, "wait_ms", 0);
  if (from < 1 || limit < 1 || limit > READ_LIMIT_MAX || wait_ms < 0)
    _bgap_log_reply_error (server, request, 400, "bad from, limit or wait_ms");
  else if (from >= stream->end && wait_ms > 0)
    {
      struct pending *pending = _bgap_log_pending_new (
          server, request, _bgap_log_on_read_due, wait_ms);
      pending->stream = stream;
      pending->from = from;
      pending->limit = limit;
    }
  else
    _bgap_log_reply_records (server, request, stream, from, limit);
}

static void
_bgap_log_set_control (struct bgap_log_server *server,
                       struct evhttp_request *request)
{
  struct bgap_log_control *control = &server->control;
  const struct bgap_standin_field fields[] = {
    { .name = "outage", .number = &control->outage },
    { .name = "delay_ms", .number = &control->delay_ms },
    { .name = "lose_answers", .number = &control->lose_answers },
    { .name = "retention", .number = &control->retention },
    { .name = "reject_appends", .number = &control->reject_appends },
    { 0 },
  };
  if (bgap_standin_control (request, fields) != 0)
    return;
  struct stream *stream;
  LIST_FOREACH (stream, &server->streams, next)
  {
    bgap_log_stream_trim (stream, control->retention);
  }
  struct pending *pending;
  LIST_FOREACH (pending, &server->pending, next)
  {
    if (control->outage && pending->stream != NULL)
      event_active (&pending->timer, EV_TIMEOUT, 1);
  }
}

static void
_bgap_log_on_request (struct evhttp_request *request, void *user)
{
  static const char prefix[] = "/streams/";
  struct bgap_log_server *server = user;
  const char *path
      = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));
  bool is_post = evhttp_request_get_command (request) == EVHTTP_REQ_POST;
  if (is_post && strcmp (path, "/control") == 0)
    {
      _bgap_log_set_control (server, request);
      return;
    }
  if (strncmp (path, prefix, sizeof prefix - 1) != 0)
    {
      _bgap_log_reply_error (server, request, 404, "no such path");
      return;
    }
  if (server->control.outage)
    {
      _bgap_log_reply_error (server, request, 503, "outage");
      return;
    }
  const char *name = path + sizeof prefix - 1;
  size_t size = strcspn (name, "/");
  struct stream *stream
      = size > 0 ? _bgap_log_get_stream (server, name, size) : NULL;
  if (stream == NULL)
    _bgap_log_reply_error (server, request, 404, "no such stream");
  else if (is_post && name[size] == '\0')
    _bgap_log_append (server, request, stream);
  else if (!is_post && name[size] == '\0')
    _bgap_log_read (server, request, stream);
  else if (!is_post && strcmp (name + size, "/end") == 0)
    _bgap_log_reply (server, request, 200,
                     json_pack ("{s:I,s:I}", "first",
                                (json_int_t)stream->first, "end",
                                (json_int_t)stream->end));
  else
    _bgap_log_reply_error (server, request, 404, "no such path");
}

enum bgap_status
bgap_log_server_setup (struct bgap_log_server **server,
                       struct event_base *base, const char *address,
                       struct bgap_error *err)
{
  struct bgap_log_server *s = calloc (1, sizeof *s);
  if (s == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  s->base = base;
  s->control.retention = DEFAULT_RETENTION;
  LIST_INIT (&s->streams);
  LIST_INIT (&s->pending);
  enum bgap_status status = bgap_standin_listen (
      base, address, _bgap_log_on_request, s, &s->http, &s->port, err);
  if (status != BGAP_OK)
    free (s);
  else
    *server = s;
  return status;
}

uint16_t
bgap_log_server_port (const struct bgap_log_server *server)
{
  return server->port;
}

struct bgap_log_control *
bgap_log_server_control (struct bgap_log_server *server)
{
  return &server->control;
}

void
bgap_log_server_shutdown (struct bgap_log_server *server)
{
  if (server == NULL)
    return;
  struct pending *pending = LIST_FIRST (&server->pending);
  while (pending != NULL)
    {
      struct pending *next = LIST_NEXT (pending, next);
      if (evhttp_request_get_connection (pending->request) == NULL)
        evhttp_request_free (pending->request);
      _bgap_log_pending_free (pending);
      pending = next;
    }
  evhttp_free (server->http);
  struct stream *stream = LIST_FIRST (&server->streams);
  while (stream != NULL)
    {
      struct stream *next = LIST_NEXT (stream, next);
      bgap_log_stream_trim (stream, 0);
      free (stream->records);
      free (stream->name);
      free (stream);
      stream = next;
    }
  free (server);
}
