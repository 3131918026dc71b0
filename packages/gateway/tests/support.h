#ifndef BANYANGAP_GATEWAY_TESTS_SUPPORT_H
#define BANYANGAP_GATEWAY_TESTS_SUPPORT_H

/* Event loop, raw client and scripted server of the gateway tests.  */

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <stdbool.h>
#include <stdint.h>

#include "banyangap/base/buffer.h"

/* Runs the event loop until *@done is set; fails the test after a minute.  */
void support_run (struct event_base *base, const bool *done);

/* Processes the events that are ready, without waiting.  */
void support_run_ready (struct event_base *base);

/* Runs the event loop for some time.  */
void support_run_for (struct event_base *base, int64_t duration_ms);

/* Frees the loop after pending events, in which libevent frees its objects. */
void support_base_free (struct event_base *base);

/* Client that sends raw bytes and collects the response.  */
struct support_client
{
  struct bufferevent *bev;
  struct bgap_buffer received;
  uint64_t total;
  bool keep; /* store input in @received, else only count it */
  bool closed;
  bool reset;
  const char *expected; /* text after whose arrival @found is set */
  bool found;
};

void support_client_start (struct support_client *client,
                           struct event_base *base, uint16_t port);
void support_client_send (struct support_client *client, const char *text);
/* Waits for @text in the input after the last match.  */
void support_client_expect (struct support_client *client,
                            struct event_base *base, const char *text);
void support_client_stop (struct support_client *client);

/* Server that calls @on_request for each request (head only, without a body).
 */
struct support_server
{
  struct evconnlistener *listener;
  char address[64];
  void (*on_request) (struct support_server *server, struct bufferevent *bev,
                      const char *request);
  uint32_t accepted;
  uint32_t requests;
  struct bufferevent *connections[16];
};

void support_server_start (struct support_server *server,
                           struct event_base *base);
void support_server_stop (struct support_server *server);
/* Sends buffered output, then closes @bev.  */
void support_server_close (struct support_server *server,
                           struct bufferevent *bev);

#endif
