#ifndef BANYANGAP_STANDIN_BACKEND_SERVER_H
#define BANYANGAP_STANDIN_BACKEND_SERVER_H

/*
 * Stand-in for one backend server. docs/standins.md describes its requests and
 * faults.
 *
 *   struct bgap_backend_server *server;
 *   bgap_backend_server_setup (&server, &(struct bgap_backend_server_desc){
 *     .base = base, .address = "127.0.0.1:0", .name = "listing-1",
 *     .service = "listing" }, &err);
 *   bgap_backend_server_shutdown (server);
 */

#include <event2/event.h>
#include <stdint.h>

#include "banyangap/base/status.h"

/**
 * struct bgap_backend_server_desc - options
 * @address: numeric address and port to listen on; port 0 picks a free one
 * @slots: maximum number of requests executed concurrently; 0 means 4
 * @queue: maximum number of requests waiting for a slot; 0 means 2 x slots
 * @connections: maximum number of connections that may send requests; 0 means
 * 110
 * @no_grants: whether requests execute without a check of their fencing token
 * @work_ms: time for which a request occupies its slot before it takes effect
 * @cold_ms: duration of the cold phase after the start, in which requests
 * take four times as long
 */
struct bgap_backend_server_desc
{
  struct event_base *base;
  const char *address;
  const char *name;
  const char *service;
  int64_t slots;
  int64_t queue;
  int64_t connections;
  int64_t no_grants;
  int64_t work_ms;
  int64_t cold_ms;
};

struct bgap_backend_server;

enum bgap_status
bgap_backend_server_setup (struct bgap_backend_server **server,
                           const struct bgap_backend_server_desc *desc,
                           struct bgap_error *err);
uint16_t bgap_backend_server_port (const struct bgap_backend_server *server);
void bgap_backend_server_shutdown (struct bgap_backend_server *server);

#endif
