#include "banyangap/logservice/http_client.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event_struct.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "status_line.h"

/* Maximum number of idle connections kept open for reuse.  */
#define IDLE_MAX 4

/* Maximum size of all response headers in bytes.  */
#define HEADERS_SIZE_MAX 16384

/* A response may have this percentage more bytes than its body's limit, for
   the sizes of its chunks, besides its headers.  */
#define CHUNK_OVERHEAD_PERCENT 25

/* Seconds by which the timeout of evhttp exceeds the time limit of the call,
   so that the timer of the call always expires first.  */
#define EVHTTP_EXTRA_SECONDS 5

/* During a long call a connection can fail without a reset. TCP keepalive
   probes it after KEEPALIVE_IDLE_S without traffic, and closes it after
   KEEPALIVE_COUNT unacknowledged probes, KEEPALIVE_INTERVAL_S apart.  */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_COUNT 2

/* Time after which unacknowledged data closes a connection.  */
#define USER_TIMEOUT_MS 1500u

/* Connection to the server; in use by @call, or idle if that is NULL.  */
struct link
{
  LIST_ENTRY (link) next;
  bool options_set;
  struct evhttp_connection *connection;
  struct call *call;
};

/**
 * struct call - a call in progress
 * @received: bytes received, heads and framing included
 * @status_line: check of the bytes received
 */
struct call
{
  LIST_ENTRY (call) next;
  struct bgap_http_client *client;
  struct link *link;
  struct evhttp_request *request;
  struct event timer;
  struct event finish;
  bool sent;
  size_t received;
  struct bgap_status_line status_line;
  const char *failure;
  bool too_large;
  void (*done) (void *user, const struct bgap_http_response *response);
  void *user;
};

LIST_HEAD (link_list, link);
LIST_HEAD (call_list, call);

struct bgap_http_client
{
  struct event_base *base;
  char host[INET6_ADDRSTRLEN];
  char host_header[INET6_ADDRSTRLEN + 16];
  uint16_t port;
  size_t body_size_max;
  struct link_list idle;
  uint32_t idle_count;
  struct call_list calls;
};

static enum bgap_status
_bgap_http_parse_address (struct bgap_http_client *client, const char *address)
{
  struct sockaddr_storage storage;
  int size = sizeof storage;
  if (evutil_parse_sockaddr_port (address, (struct sockaddr *)&storage, &size)
      != 0)
    return BGAP_ERR_INVALID;
  const void *ip;
  if (storage.ss_family == AF_INET6)
    {
      const struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)&storage;
      ip = &in6->sin6_addr;
      client->port = ntohs (in6->sin6_port);
    }
  else
    {
      const struct sockaddr_in *in = (struct sockaddr_in *)&storage;
      ip = &in->sin_addr;
      client->port = ntohs (in->sin_port);
    }
  if (client->port == 0
      || inet_ntop (storage.ss_family, ip, client->host, sizeof client->host)
             == NULL)
    return BGAP_ERR_INVALID;
  const char *format = storage.ss_family == AF_INET6 ? "[%s]:%u" : "%s:%u";
  snprintf (client->host_header, sizeof client->host_header, format,
            client->host, client->port);
  return BGAP_OK;
}

enum bgap_status
bgap_http_client_setup (struct bgap_http_client **client,
                        struct event_base *base, const char *address,
                        size_t body_size_max, struct bgap_error *err)
{
  struct bgap_http_client *c = calloc (1, sizeof *c);
  if (c == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  if (address == NULL || _bgap_http_parse_address (c, address) != BGAP_OK)
    {
      free (c);
      return bgap_error_set (err, BGAP_ERR_INVALID,
                             "\"%s\" is not a numeric address and port",
                             address ? address : "");
    }
  /* Writing to a connection that the server has closed must not terminate the
     process.  */
  signal (SIGPIPE, SIG_IGN);
  c->base = base;
  c->body_size_max = body_size_max;
  LIST_INIT (&c->idle);
  LIST_INIT (&c->calls);
  *client = c;
  return BGAP_OK;
}

static void
_bgap_http_link_free (struct link *link)
{
  evhttp_connection_free (link->connection);
  free (link);
}

static void
_bgap_http_link_set_options (struct link *link)
{
  evutil_socket_t fd = bufferevent_getfd (
      evhttp_connection_get_bufferevent (link->connection));
  const int on = 1;
  const int idle_s = KEEPALIVE_IDLE_S;
  const int interval_s = KEEPALIVE_INTERVAL_S;
  const int count = KEEPALIVE_COUNT;
  const unsigned int timeout_ms = USER_TIMEOUT_MS;
  if (link->options_set || fd < 0)
    return;
  link->options_set = true;
  /* Without these options a dead connection is only detected by the time limit
     of the call.  */
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof interval_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof count);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
              sizeof timeout_ms);
}

/* Bytes removed from the output buffer count as sent, even if evhttp discards
   them on a failure. The error is on the safe side: it can only turn "not
   sent" into "unknown".  */
static void
_bgap_http_on_output (struct evbuffer *buffer,
                      const struct evbuffer_cb_info *info, void *user)
{
  struct link *link = user;
  (void)buffer;
  if (info->n_deleted > 0 && link->call != NULL)
    {
      link->call->sent = true;
      _bgap_http_link_set_options (link);
    }
}

static size_t
_bgap_http_response_size_max (const struct bgap_http_client *client)
{
  return client->body_size_max
         + client->body_size_max / 100 * CHUNK_OVERHEAD_PERCENT
         + HEADERS_SIZE_MAX;
}

/* Ends a call whose response is not acceptable. It ends in its timer, since
   evhttp still uses the connection here.  */
static void
_bgap_http_call_fail (struct call *call, const char *failure)
{
  call->failure = failure;
  event_active (&call->timer, EV_TIMEOUT, 1);
}

/* evhttp bounds the body and each head, but neither the line with the size of
   a chunk nor the number of interim responses, and accepts malformed status
   lines.  */
static void
_bgap_http_on_input (struct evbuffer *buffer,
                     const struct evbuffer_cb_info *info, void *user)
{
  struct link *link = user;
  struct call *call = link->call;
  if (call == NULL || call->failure != NULL)
    return;
  call->received += info->n_added;
  call->too_large
      = call->received > _bgap_http_response_size_max (call->client);
  if (call->too_large)
    _bgap_http_call_fail (call, "the response is too large");
  else if (!bgap_status_line_check (&call->status_line, buffer, info->n_added))
    _bgap_http_call_fail (call, "the status line is malformed");
}

static struct link *
_bgap_http_link_new (struct bgap_http_client *client)
{
  struct link *link = calloc (1, sizeof *link);
  if (link == NULL)
    return NULL;
  link->connection = evhttp_connection_base_bufferevent_new (
      client->base, NULL, NULL, client->host, client->port);
  if (link->connection == NULL)
    {
      free (link);
      return NULL;
    }
  evhttp_connection_set_max_body_size (link->connection,
                                       (ev_ssize_t)client->body_size_max);
  evhttp_connection_set_max_headers_size (link->connection, HEADERS_SIZE_MAX);
  struct bufferevent *bev
      = evhttp_connection_get_bufferevent (link->connection);
  if (evbuffer_add_cb (bufferevent_get_output (bev), _bgap_http_on_output,
                       link)
          == NULL
      || evbuffer_add_cb (bufferevent_get_input (bev), _bgap_http_on_input,
                          link)
             == NULL)
    {
      _bgap_http_link_free (link);
      return NULL;
    }
  return link;
}

/* Returns whether an idle connection can be reused. An append on a connection
   that the log has already closed would be reported as unknown although the
   log never received it. evhttp reconnects connections whose close it has
   noticed; this detects a close that it has not read yet.  */
static bool
_bgap_http_link_is_usable (const struct link *link)
{
  evutil_socket_t fd = bufferevent_getfd (
      evhttp_connection_get_bufferevent (link->connection));
  char byte;
  if (fd < 0)
    return true;
  return recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
         && (errno == EAGAIN || errno == EWOULDBLOCK);
}

static struct link *
_bgap_http_link_acquire (struct bgap_http_client *client)
{
  struct link *link;
  while ((link = LIST_FIRST (&client->idle)) != NULL)
    {
      LIST_REMOVE (link, next);
      client->idle_count--;
      if (_bgap_http_link_is_usable (link))
        return link;
      _bgap_http_link_free (link);
    }
  return _bgap_http_link_new (client);
}

static void
_bgap_http_link_release (struct bgap_http_client *client, struct link *link,
                         bool reusable)
{
  link->call = NULL;
  if (!reusable || client->idle_count >= IDLE_MAX)
    {
      _bgap_http_link_free (link);
      return;
    }
  LIST_INSERT_HEAD (&client->idle, link, next);
  client->idle_count++;
}

static void
_bgap_http_call_free (struct call *call, bool reusable)
{
  LIST_REMOVE (call, next);
  event_del (&call->timer);
  event_del (&call->finish);
  if (call->link != NULL)
    _bgap_http_link_release (call->client, call->link, reusable);
  if (call->request != NULL)
    evhttp_request_free (call->request);
  free (call);
}

/* Runs as an event of its own, not within a callback of evhttp, which would
   still use the connection that is freed here.  */
static void
_bgap_http_on_finish (evutil_socket_t fd, short events, void *user)
{
  struct call *call = user;
  (void)fd;
  (void)events;
  struct bgap_http_response response
      = { .sent = call->sent, .too_large = call->too_large, .body = "" };
  int status = evhttp_request_get_response_code (call->request);
  struct evbuffer *body = evhttp_request_get_input_buffer (call->request);
  response.size = evbuffer_get_length (body);
  if (call->failure == NULL && status != 0 && response.size > 0)
    {
      const char *bytes = (const char *)evbuffer_pullup (body, -1);
      if (bytes == NULL)
        call->failure = "out of memory";
      else
        response.body = bytes;
    }
  if (call->failure == NULL && status == 0)
    call->failure = "the connection could not be opened";
  if (call->failure != NULL)
    response.size = 0;
  else
    {
      response.status = status;
      response.headers = evhttp_request_get_input_headers (call->request);
    }
  response.message = call->failure;

  /* The request owns the body, so it is freed after the completion
     function.  */
  void (*done) (void *, const struct bgap_http_response *) = call->done;
  void *done_user = call->user;
  struct evhttp_request *request = call->request;
  call->request = NULL;
  _bgap_http_call_free (call, response.status != 0);
  done (done_user, &response);
  evhttp_request_free (request);
}

static void
_bgap_http_on_response (struct evhttp_request *request, void *user)
{
  struct call *call = user;
  if (request == NULL && call->failure == NULL)
    call->failure = "the connection was lost before the response was complete";
  event_del (&call->timer);
  event_active (&call->finish, EV_TIMEOUT, 1);
}

static void
_bgap_http_on_error (enum evhttp_request_error error, void *user)
{
  struct call *call = user;
  switch (error)
    {
    case EVREQ_HTTP_TIMEOUT:
      call->failure = "no complete response within the time limit";
      break;
    case EVREQ_HTTP_INVALID_HEADER:
      call->failure = "the response is malformed";
      break;
    case EVREQ_HTTP_DATA_TOO_LONG:
      call->failure = "the response is too large";
      call->too_large = true;
      break;
    default:
      call->failure
          = "the connection was lost before the response was complete";
      break;
    }
}

static void
_bgap_http_on_timer (evutil_socket_t fd, short events, void *user)
{
  struct call *call = user;
  (void)fd;
  (void)events;
  if (call->link == NULL)
    return;
  if (call->failure == NULL)
    call->failure = "no complete response within the time limit";
  _bgap_http_link_free (call->link);
  call->link = NULL;
  event_active (&call->finish, EV_TIMEOUT, 1);
}

static enum bgap_status
_bgap_http_request_new (struct call *call,
                        const struct bgap_http_call_desc *desc)
{
  call->request = evhttp_request_new (_bgap_http_on_response, call);
  if (call->request == NULL)
    return BGAP_ERR_NO_MEMORY;
  evhttp_request_own (call->request);
  evhttp_request_set_error_cb (call->request, _bgap_http_on_error);
  struct evkeyvalq *headers
      = evhttp_request_get_output_headers (call->request);
  if (evhttp_add_header (headers, "Host", call->client->host_header) != 0)
    return BGAP_ERR_NO_MEMORY;
  if (desc->body_size == 0)
    return BGAP_OK;
  struct evbuffer *body = evhttp_request_get_output_buffer (call->request);
  if (evhttp_add_header (headers, "Content-Type", "application/json") != 0
      || evbuffer_add (body, desc->body, desc->body_size) != 0)
    return BGAP_ERR_NO_MEMORY;
  return BGAP_OK;
}

enum bgap_status
bgap_http_client_start (struct bgap_http_client *client,
                        const struct bgap_http_call_desc *desc)
{
  struct call *call = calloc (1, sizeof *call);
  if (call == NULL)
    return BGAP_ERR_NO_MEMORY;
  call->client = client;
  call->done = desc->done;
  call->user = desc->user;
  event_assign (&call->timer, client->base, -1, 0, _bgap_http_on_timer, call);
  event_assign (&call->finish, client->base, -1, 0, _bgap_http_on_finish,
                call);
  LIST_INSERT_HEAD (&client->calls, call, next);
  call->link = _bgap_http_link_acquire (client);
  if (call->link == NULL || _bgap_http_request_new (call, desc) != BGAP_OK)
    {
      _bgap_http_call_free (call, true);
      return BGAP_ERR_NO_MEMORY;
    }
  call->link->call = call;
  evhttp_connection_set_timeout (call->link->connection,
                                 (int)(desc->timeout_ms / 1000)
                                     + EVHTTP_EXTRA_SECONDS);
  const struct timeval limit = {
    .tv_sec = desc->timeout_ms / 1000,
    .tv_usec = (suseconds_t)(desc->timeout_ms % 1000) * 1000,
  };
  event_add (&call->timer, &limit);
  if (evhttp_make_request (call->link->connection, call->request, desc->method,
                           desc->path)
      != 0)
    {
      call->failure = "the connection could not be opened";
      event_active (&call->finish, EV_TIMEOUT, 1);
    }
  return BGAP_OK;
}

void
bgap_http_client_shutdown (struct bgap_http_client *client)
{
  if (client == NULL)
    return;
  struct call *call = LIST_FIRST (&client->calls);
  while (call != NULL)
    {
      struct call *next = LIST_NEXT (call, next);
      _bgap_http_call_free (call, false);
      call = next;
    }
  struct link *link = LIST_FIRST (&client->idle);
  while (link != NULL)
    {
      struct link *next = LIST_NEXT (link, next);
      _bgap_http_link_free (link);
      link = next;
    }
  free (client);
}
