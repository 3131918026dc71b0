#include "support.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define WATCHDOG_SECONDS 60

struct support_canned
{
  struct evconnlistener *listener;
  const char *bytes;
};

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

static void
_support_on_written (struct bufferevent *bev, void *user)
{
  (void)user;
  bufferevent_free (bev);
}

static void
_support_on_event (struct bufferevent *bev, short events, void *user)
{
  (void)events;
  (void)user;
  bufferevent_free (bev);
}

/* Responds on the first readable event, because the requests of the tests are
   small and their body follows at once.  */
static void
_support_on_readable (struct bufferevent *bev, void *user)
{
  struct support_canned *canned = user;
  if (canned->bytes[0] == '\0')
    {
      bufferevent_free (bev);
      return;
    }
  bufferevent_disable (bev, EV_READ);
  bufferevent_setcb (bev, NULL, _support_on_written, _support_on_event, NULL);
  bufferevent_write (bev, canned->bytes, strlen (canned->bytes));
}

static void
_support_on_accept (struct evconnlistener *listener, evutil_socket_t fd,
                    struct sockaddr *address, int size, void *user)
{
  (void)address;
  (void)size;
  struct bufferevent *bev = bufferevent_socket_new (
      evconnlistener_get_base (listener), fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (bev, _support_on_readable, NULL, _support_on_event, user);
  bufferevent_enable (bev, EV_READ | EV_WRITE);
}

struct support_canned *
support_canned_new (struct event_base *base, const char *bytes, char *address,
                    size_t address_size)
{
  struct support_canned *canned = calloc (1, sizeof *canned);
  struct sockaddr_in in = { .sin_family = AF_INET };
  in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  canned->bytes = bytes;
  canned->listener = evconnlistener_new_bind (
      base, _support_on_accept, canned, LEV_OPT_CLOSE_ON_FREE, -1,
      (struct sockaddr *)&in, sizeof in);
  assert_non_null (canned->listener);
  socklen_t size = sizeof in;
  getsockname (evconnlistener_get_fd (canned->listener),
               (struct sockaddr *)&in, &size);
  snprintf (address, address_size, "127.0.0.1:%u", ntohs (in.sin_port));
  return canned;
}

void
support_canned_free (struct support_canned *canned)
{
  evconnlistener_free (canned->listener);
  free (canned);
}

void
support_base_free (struct event_base *base)
{
  for (int i = 0; i < 4; i++)
    event_base_loop (base, EVLOOP_NONBLOCK);
  event_base_free (base);
}

void
support_closed_address (char *address, size_t address_size)
{
  struct sockaddr_in in = { .sin_family = AF_INET };
  in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  socklen_t size = sizeof in;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (bind (fd, (struct sockaddr *)&in, sizeof in), 0);
  getsockname (fd, (struct sockaddr *)&in, &size);
  close (fd);
  snprintf (address, address_size, "127.0.0.1:%u", ntohs (in.sin_port));
}
