#include "http.h"
#include "output.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Timeout of an answer, in addition to the wait that the request asks for.  */
#define TIMEOUT_MS 5000

/* Largest size of an answer in bytes; a dump of a large instance must fit.  */
#define BODY_MAX (64L * 1024 * 1024)

#define HOST_SIZE 64

static void
_bgap_ctl_on_response (struct evhttp_request *request, void *context)
{
  struct bgap_ctl_reply *reply = context;
  if (request == NULL || evhttp_request_get_response_code (request) == 0)
    return;
  reply->status = evhttp_request_get_response_code (request);
  struct evbuffer *body = evhttp_request_get_input_buffer (request);
  const size_t size = evbuffer_get_length (body);
  if (size > 0)
    reply->json = json_loadb ((const char *)evbuffer_pullup (body, -1), size,
                              JSON_DECODE_ANY, NULL);
}

/* Splits an address such as "10.0.0.1:80" or "[::1]:80".  */
static bool
_bgap_ctl_split_address (const char *address, char *host, unsigned short *port)
{
  struct sockaddr_storage parsed;
  int size = sizeof parsed;
  const char *colon = strrchr (address, ':');
  if (colon == NULL || strlen (address) >= HOST_SIZE
      || evutil_parse_sockaddr_port (address, (struct sockaddr *)&parsed,
                                     &size)
             != 0)
    return false;
  const bool v6 = address[0] == '[';
  snprintf (host, HOST_SIZE, "%.*s", (int)(colon - address) - 2 * v6,
            address + v6);
  *port = (unsigned short)strtoul (colon + 1, NULL, 10);
  return *port > 0;
}

static struct evhttp_request *
_bgap_ctl_new_request (const struct bgap_ctl_options *options,
                       const char *body, struct bgap_ctl_reply *reply)
{
  struct evhttp_request *request
      = evhttp_request_new (_bgap_ctl_on_response, reply);
  if (request == NULL)
    return NULL;
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  evhttp_add_header (headers, "Host", options->address);
  evhttp_add_header (headers, "Connection", "close");
  if (options->token != NULL)
    {
      struct bgap_buffer value = { 0 };
      bgap_buffer_printf (&value, "Bearer %s", options->token);
      evhttp_add_header (headers, "Authorization", value.data);
      bgap_buffer_shutdown (&value);
    }
  if (body != NULL)
    {
      evhttp_add_header (headers, "Content-Type", "application/json");
      evbuffer_add (evhttp_request_get_output_buffer (request), body,
                    strlen (body));
    }
  return request;
}

static void
_bgap_ctl_exchange (const struct bgap_ctl_options *options, const char *host,
                    unsigned short port, const char *path, const char *body,
                    int64_t wait_ms, struct bgap_ctl_reply *reply)
{
  struct event_base *base = event_base_new ();
  if (base == NULL)
    return;
  struct evhttp_connection *connection
      = evhttp_connection_base_new (base, NULL, host, port);
  struct evhttp_request *request
      = connection ? _bgap_ctl_new_request (options, body, reply) : NULL;
  if (request != NULL)
    {
      const int64_t limit_ms = wait_ms + TIMEOUT_MS;
      const struct timeval limit
          = { .tv_sec = limit_ms / 1000, .tv_usec = limit_ms % 1000 * 1000 };
      evhttp_connection_set_timeout_tv (connection, &limit);
      evhttp_connection_set_max_body_size (connection, BODY_MAX);
      if (evhttp_make_request (connection, request,
                               body ? EVHTTP_REQ_POST : EVHTTP_REQ_GET, path)
          == 0)
        event_base_dispatch (base);
    }
  if (connection != NULL)
    evhttp_connection_free (connection);
  event_base_free (base);
}

enum bgap_ctl_exit
bgap_ctl_request (const struct bgap_ctl_options *options, const char *path,
                  const char *body, int64_t wait_ms,
                  struct bgap_ctl_reply *reply)
{
  char host[HOST_SIZE];
  unsigned short port;
  *reply = (struct bgap_ctl_reply){ 0 };
  if (options->address == NULL)
    {
      fprintf (stderr, "banyangapctl: no address; use --address or "
                       "BANYANGAP_ADDRESS\n");
      return BGAP_CTL_USAGE;
    }
  if (!_bgap_ctl_split_address (options->address, host, &port))
    {
      fprintf (stderr,
               "banyangapctl: \"%s\" is not a numeric IP address with "
               "port\n",
               options->address);
      return BGAP_CTL_USAGE;
    }
  _bgap_ctl_exchange (options, host, port, path, body, wait_ms, reply);
  if (reply->status == 0)
    {
      fprintf (stderr, "banyangapctl: no answer from %s\n", options->address);
      return BGAP_CTL_UNREACHABLE;
    }
  if (reply->status < 300 && reply->json == NULL)
    {
      fprintf (stderr, "banyangapctl: the answer from %s is not JSON\n",
               options->address);
      return BGAP_CTL_UNREACHABLE;
    }
  return BGAP_CTL_OK;
}

enum bgap_ctl_exit
bgap_ctl_print_error (struct bgap_ctl_reply *reply)
{
  const char *error
      = json_string_value (json_object_get (reply->json, "error"));
  fprintf (stderr, "banyangapctl: the instance answered %d: %s\n",
           reply->status, error ? error : "no reason given");
  const enum bgap_ctl_exit status
      = reply->status == 503 ? BGAP_CTL_UNREACHABLE : BGAP_CTL_REFUSED;
  json_decref (reply->json);
  reply->json = NULL;
  return status;
}

enum bgap_ctl_exit
bgap_ctl_get (const struct bgap_ctl_options *options, const char *path,
              json_t **json)
{
  struct bgap_ctl_reply reply;
  const enum bgap_ctl_exit status
      = bgap_ctl_request (options, path, NULL, 0, &reply);
  *json = NULL;
  if (status != BGAP_CTL_OK)
    return status;
  if (reply.status != 200)
    return bgap_ctl_print_error (&reply);
  *json = reply.json;
  return BGAP_CTL_OK;
}

void
bgap_ctl_append_encoded (struct bgap_buffer *path, const char *text)
{
  char *encoded = evhttp_uriencode (text, -1, 0);
  bgap_buffer_printf (path, "%s", encoded ? encoded : "");
  free (encoded);
}

const char *
bgap_ctl_owner (const struct bgap_ctl_options *options)
{
  return options->arg_count > 0 ? options->args[0] : options->owner;
}

enum bgap_ctl_exit
bgap_ctl_get_by_owner (const struct bgap_ctl_options *options,
                       const char *command, const char *path, json_t **json)
{
  const char *owner = bgap_ctl_owner (options);
  struct bgap_buffer text = { 0 };
  if (owner == NULL)
    {
      bgap_buffer_printf (&text, "%s needs an owner", command);
      const enum bgap_ctl_exit usage = bgap_ctl_usage (text.data);
      bgap_buffer_shutdown (&text);
      return usage;
    }
  bgap_buffer_printf (&text, "%s?owner=", path);
  bgap_ctl_append_encoded (&text, owner);
  const enum bgap_ctl_exit status = bgap_ctl_get (options, text.data, json);
  bgap_buffer_shutdown (&text);
  return status;
}
