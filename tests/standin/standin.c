#include "standin.h"

#include <argp.h>
#include <arpa/inet.h>
#include <errno.h>
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/base/json.h"

/* Largest request body in bytes.  */
#define BODY_SIZE_MAX 4194304

/* Keys of the options start above all character codes, so that argp defines no
   short options for them.  */
#define OPTION_KEY_BASE 1000
#define OPTIONS_MAX 16

/* Seconds after which evhttp closes an idle connection.  */
#define IDLE_TIMEOUT_S 600

struct timeval
bgap_standin_timeval (int64_t ms)
{
  return (struct timeval){ .tv_sec = ms / 1000,
                           .tv_usec = (suseconds_t)(ms % 1000) * 1000 };
}

static enum bgap_status
_bgap_standin_bind (struct evhttp *http, const char *address, uint16_t *port)
{
  struct sockaddr_storage storage = { 0 };
  int size = sizeof storage;
  char host[INET6_ADDRSTRLEN + 8];
  /* evutil_parse_sockaddr_port rejects port 0, but accepts an address without
     a port and then sets port 0.  */
  size_t text_size = strlen (address);
  if (text_size > 2 && strcmp (address + text_size - 2, ":0") == 0)
    text_size -= 2;
  snprintf (host, sizeof host, "%.*s", (int)text_size, address);
  if (evutil_parse_sockaddr_port (host, (struct sockaddr *)&storage, &size)
          != 0
      || storage.ss_family != AF_INET)
    return BGAP_ERR_INVALID;
  const struct sockaddr_in *in = (struct sockaddr_in *)&storage;
  inet_ntop (AF_INET, &in->sin_addr, host, sizeof host);
  struct evhttp_bound_socket *bound
      = evhttp_bind_socket_with_handle (http, host, ntohs (in->sin_port));
  if (bound == NULL)
    return BGAP_ERR_IO;
  struct sockaddr_in name = { 0 };
  socklen_t name_size = sizeof name;
  if (getsockname (evhttp_bound_socket_get_fd (bound),
                   (struct sockaddr *)&name, &name_size)
      != 0)
    return BGAP_ERR_IO;
  *port = ntohs (name.sin_port);
  return BGAP_OK;
}

enum bgap_status
bgap_standin_listen (struct event_base *base, const char *address,
                     void (*handle) (struct evhttp_request *, void *),
                     void *user, struct evhttp **http, uint16_t *port,
                     struct bgap_error *err)
{
  struct evhttp *h = evhttp_new (base);
  if (h == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  evhttp_set_gencb (h, handle, user);
  evhttp_set_max_body_size (h, BODY_SIZE_MAX);
  evhttp_set_timeout (h, IDLE_TIMEOUT_S);
  evhttp_set_allowed_methods (h, EVHTTP_REQ_GET | EVHTTP_REQ_POST
                                     | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT
                                     | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH);
  enum bgap_status status = _bgap_standin_bind (h, address, port);
  if (status != BGAP_OK)
    {
      evhttp_free (h);
      return bgap_error_set (err, status, "cannot listen on \"%s\"", address);
    }
  *http = h;
  return BGAP_OK;
}

void
bgap_standin_reply (struct evhttp_request *request, int status, json_t *value)
{
  struct evbuffer *body = evbuffer_new ();
  char *text = json_dumps (value, JSON_COMPACT);
  json_decref (value);
  if (body == NULL || text == NULL)
    abort ();
  evbuffer_add (body, text, strlen (text));
  free (text);
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Content-Type", "application/json");
  evhttp_send_reply (request, status, NULL, body);
  evbuffer_free (body);
}

json_t *
bgap_standin_body (struct evhttp_request *request)
{
  struct evbuffer *body = evhttp_request_get_input_buffer (request);
  size_t size = evbuffer_get_length (body);
  const char *text = size ? (const char *)evbuffer_pullup (body, -1) : "";
  struct bgap_error err = { 0 };
  json_t *object = NULL;
  if (bgap_json_parse (text, size, &object, &err) != BGAP_OK)
    bgap_standin_reply (request, 400,
                        json_pack ("{s:s}", "error", err.message));
  return object;
}

int64_t
bgap_standin_query (struct evhttp_request *request, const char *name,
                    int64_t fallback)
{
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (request);
  const char *query = evhttp_uri_get_query (uri);
  struct evkeyvalq values;
  if (query == NULL || evhttp_parse_query_str (query, &values) != 0)
    return fallback;
  const char *text = evhttp_find_header (&values, name);
  int64_t value = text ? strtoll (text, NULL, 10) : fallback;
  evhttp_clear_headers (&values);
  return value;
}

int
bgap_standin_control (struct evhttp_request *request,
                      const struct bgap_standin_field *fields)
{
  json_t *body = bgap_standin_body (request);
  if (body == NULL)
    return -1;
  for (; fields->name != NULL; fields++)
    {
      const json_t *member = json_object_get (body, fields->name);
      if (fields->number != NULL && json_is_integer (member))
        *fields->number = json_integer_value (member);
      else if (fields->number != NULL && json_is_boolean (member))
        *fields->number = json_is_true (member);
    }
  json_decref (body);
  bgap_standin_reply (request, 200, json_object ());
  return 0;
}

static error_t
_bgap_standin_parse_option (int key, char *arg, struct argp_state *state)
{
  const struct bgap_standin_field *fields = state->input;
  if (key < OPTION_KEY_BASE || key >= OPTION_KEY_BASE + OPTIONS_MAX)
    return ARGP_ERR_UNKNOWN;
  const struct bgap_standin_field *field = &fields[key - OPTION_KEY_BASE];
  if (field->text != NULL)
    *field->text = arg;
  else
    *field->number = arg ? strtoll (arg, NULL, 10) : 1;
  return 0;
}

void
bgap_standin_options (int argc, char **argv, const char *doc,
                      struct bgap_standin_field *fields)
{
  struct argp_option options[OPTIONS_MAX + 1] = { 0 };
  const struct argp argp = { .options = options,
                             .parser = _bgap_standin_parse_option,
                             .doc = doc };
  for (int i = 0; i < OPTIONS_MAX && fields[i].name != NULL; i++)
    options[i] = (struct argp_option){
      .name = fields[i].name,
      .key = OPTION_KEY_BASE + i,
      .arg = "VALUE",
      .flags = fields[i].number ? OPTION_ARG_OPTIONAL : 0,
      .doc = fields[i].doc,
    };
  argp_parse (&argp, argc, argv, 0, NULL, fields);
}

/* Runs from the event loop, because evhttp still uses the connection while it
   calls the request handler.  */
static void
_bgap_standin_on_drop (evutil_socket_t fd, short events, void *user)
{
  struct evhttp_request *request = user;
  (void)fd;
  (void)events;
  struct evhttp_connection *connection
      = evhttp_request_get_connection (request);
  if (connection != NULL)
    evhttp_connection_free (connection);
  else
    evhttp_request_free (request);
}

void
bgap_standin_drop (struct event_base *base, struct evhttp_request *request)
{
  const struct timeval now = { 0 };
  event_base_once (base, -1, EV_TIMEOUT, _bgap_standin_on_drop, request, &now);
}

static void
_bgap_standin_on_signal (evutil_socket_t fd, short events, void *user)
{
  (void)fd;
  (void)events;
  event_base_loopexit (user, NULL);
}

int
bgap_standin_run (struct event_base *base, enum bgap_status status,
                  const struct bgap_error *err)
{
  if (status != BGAP_OK)
    {
      fprintf (stderr, "%s: %s\n", program_invocation_short_name,
               err->message);
      return 1;
    }
  signal (SIGPIPE, SIG_IGN);
  struct event *term
      = evsignal_new (base, SIGTERM, _bgap_standin_on_signal, base);
  struct event *intr
      = evsignal_new (base, SIGINT, _bgap_standin_on_signal, base);
  evsignal_add (term, NULL);
  evsignal_add (intr, NULL);
  int result = event_base_dispatch (base);
  event_free (term);
  event_free (intr);
  return result < 0 ? 1 : 0;
}
