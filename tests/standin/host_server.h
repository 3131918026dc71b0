#ifndef BANYANGAP_STANDIN_HOST_SERVER_H
#define BANYANGAP_STANDIN_HOST_SERVER_H

/*
 * Stand-in for the platform's host list. docs/standins.md describes its
 * requests and faults.
 *
 *   struct bgap_host_server *server;
 *   bgap_host_server_setup (&server, base, "127.0.0.1:0", &err);
 *   bgap_host_server_put (server, json);
 *   bgap_host_server_shutdown (server);
 */

#include <event2/event.h>
#include <jansson.h>
#include <stdint.h>

#include "banyangap/base/status.h"

/**
 * struct bgap_host_control - injected faults, also set by POST /control
 * @lag_ms: time until a new list becomes visible
 * @outage: whether GET /hosts is answered with 503
 */
struct bgap_host_control
{
  int64_t lag_ms;
  int64_t outage;
};

struct bgap_host_server;

enum bgap_status bgap_host_server_setup (struct bgap_host_server **server,
                                         struct event_base *base,
                                         const char *address,
                                         struct bgap_error *err);
uint16_t bgap_host_server_port (const struct bgap_host_server *server);
struct bgap_host_control *
bgap_host_server_control (struct bgap_host_server *server);

/**
 * bgap_host_server_put() - replace the list; it becomes visible after the lag
 * @hosts: body of GET /hosts, an object with the member "hosts"; its reference
 * is taken over
 */
void bgap_host_server_put (struct bgap_host_server *server, json_t *hosts);

void bgap_host_server_shutdown (struct bgap_host_server *server);

#endif
