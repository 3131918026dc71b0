#include "support.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WATCHDOG_SECONDS 60

static void
_support_on_watchdog (evutil_socket_t fd, short events, void *user)
{
  (void)fd;
  (void)events;
  *(bool *)user = true;
}

void
support_run (struct event_base *base, const bool *done)
{
  bool expired = false;
  struct event *watchdog = evtimer_new (base, _support_on_watchdog, &expired);
  const struct timeval limit = { .tv_sec = WATCHDOG_SECONDS };
  event_add (watchdog, &limit);
  while (!*done && !expired)
    event_base_loop (base, EVLOOP_ONCE);
  event_free (watchdog);
  assert_false (expired);
}

void
support_run_ready (struct event_base *base)
{
  for (int i = 0; i < 20; i++)
    event_base_loop (base, EVLOOP_NONBLOCK);
}

void
support_run_for (struct event_base *base, int64_t duration_ms)
{
  const struct timeval duration
      = { .tv_sec = duration_ms / 1000, .tv_usec = duration_ms % 1000 * 1000 };
  event_base_loopexit (base, &duration);
  event_base_dispatch (base);
}

void
support_base_free (struct event_base *base)
{
  support_run_ready (base);
  event_base_free (base);
}

static void
_support_client_search (struct support_client *client)
{
  if (client->expected == NULL || client->received.data == NULL)
    return;
  char *match = memmem (client->received.data, client->received.size,
                        client->expected, strlen (client->expected));
  if (match == NULL)
    return;
  size_t used
      = (size_t)(match - client->received.data) + strlen (client->expected);
  memmove (client->received.data, client->received.data + used,
           client->received.size - used + 1);
  client->received.size -= used;
  client->expected = NULL;
  client->found = true;
}

static void
_support_client_on_read (struct bufferevent *bev, void *user)
{
  struct support_client *client = user;
  char bytes[65536];
  size_t size;
  while ((size = bufferevent_read (bev, bytes, sizeof bytes)) > 0)
    {
      client->total += size;
      if (client->keep)
        bgap_buffer_append (&client->received, bytes, size);
    }
  _support_client_search (client);
}

static void
_support_client_on_event (struct bufferevent *bev, short events, void *user)
{
  struct support_client *client = user;
  if ((events & BEV_EVENT_CONNECTED) != 0)
    return;
  _support_client_on_read (bev, user);
  client->closed = true;
  client->reset = (events & BEV_EVENT_ERROR) != 0;
  client->found = true;
}

void
support_client_start (struct support_client *client, struct event_base *base,
                      uint16_t port)
{
  struct sockaddr_in in = { .sin_family = AF_INET, .sin_port = htons (port) };
  in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  *client = (struct support_client){ .keep = true };
  client->bev = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (client->bev, _support_client_on_read, NULL,
                     _support_client_on_event, client);
  bufferevent_enable (client->bev, EV_READ | EV_WRITE);
  assert_int_equal (bufferevent_socket_connect (
                        client->bev, (struct sockaddr *)&in, sizeof in),
                    0);
}

void
support_client_send (struct support_client *client, const char *text)
{
  bufferevent_write (client->bev, text, strlen (text));
}

void
support_client_expect (struct support_client *client, struct event_base *base,
                       const char *text)
{
  client->expected = text;
  client->found = false;
  _support_client_search (client);
  support_run (base, &client->found);
  if (client->expected != NULL)
    print_message ("expected \"%s\", received \"%s\"\n", text,
                   client->received.data ? client->received.data : "");
  assert_null (client->expected);
}

void
support_client_stop (struct support_client *client)
{
  bufferevent_free (client->bev);
  bgap_buffer_shutdown (&client->received);
}

static void
_support_server_drop (struct support_server *server, struct bufferevent *bev)
{
  for (size_t i = 0; i < 16; i++)
    if (server->connections[i] == bev)
      server->connections[i] = NULL;
  bufferevent_free (bev);
}

static void
_support_server_on_read (struct bufferevent *bev, void *user)
{
  struct support_server *server = user;
  struct evbuffer *input = bufferevent_get_input (bev);
  struct evbuffer_ptr end = evbuffer_search (input, "\r\n\r\n", 4, NULL);
  if (end.pos < 0)
    return;
  char request[8192] = "";
  evbuffer_remove (input, request, sizeof request - 1);
  evbuffer_drain (input, evbuffer_get_length (input));
  server->requests++;
  server->on_request (server, bev, request);
}

static void
_support_server_on_event (struct bufferevent *bev, short events, void *user)
{
  (void)events;
  _support_server_drop (user, bev);
}

static void
_support_server_on_written (struct bufferevent *bev, void *user)
{
  _support_server_drop (user, bev);
}

void
support_server_close (struct support_server *server, struct bufferevent *bev)
{
  if (evbuffer_get_length (bufferevent_get_output (bev)) == 0)
    _support_server_drop (server, bev);
  else
    bufferevent_setcb (bev, NULL, _support_server_on_written,
                       _support_server_on_event, server);
}

static void
_support_server_on_accept (struct evconnlistener *listener, evutil_socket_t fd,
                           struct sockaddr *address, int size, void *user)
{
  struct support_server *server = user;
  (void)address;
  (void)size;
  struct bufferevent *bev = bufferevent_socket_new (
      evconnlistener_get_base (listener), fd, BEV_OPT_CLOSE_ON_FREE);
  size_t i = 0;
  while (server->connections[i] != NULL)
    assert_true (++i < 16);
  server->connections[i] = bev;
  server->accepted++;
  bufferevent_setcb (bev, _support_server_on_read, NULL,
                     _support_server_on_event, server);
  bufferevent_enable (bev, EV_READ | EV_WRITE);
}

void
support_server_start (struct support_server *server, struct event_base *base)
{
  struct sockaddr_in in = { .sin_family = AF_INET };
  socklen_t size = sizeof in;
  in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  server->listener = evconnlistener_new_bind (
      base, _support_server_on_accept, server, LEV_OPT_CLOSE_ON_FREE, -1,
      (struct sockaddr *)&in, sizeof in);
  assert_non_null (server->listener);
  getsockname (evconnlistener_get_fd (server->listener),
               (struct sockaddr *)&in, &size);
  snprintf (server->address, sizeof server->address, "127.0.0.1:%u",
            ntohs (in.sin_port));
}

void
support_server_stop (struct support_server *server)
{
  for (size_t i = 0; i < 16; i++)
    if (server->connections[i] != NULL)
      _support_server_drop (server, server->connections[i]);
  evconnlistener_free (server->listener);
}
