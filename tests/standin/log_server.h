#ifndef BANYANGAP_STANDIN_LOG_SERVER_H
#define BANYANGAP_STANDIN_LOG_SERVER_H

/*
 * Stand-in for the platform's log service. docs/standins.md describes its
 * requests and faults.
 *
 *   struct bgap_log_server *server;
 *   bgap_log_server_setup (&server, base, "127.0.0.1:0", &err);
 *   uint16_t port = bgap_log_server_port (server);
 *   bgap_log_server_control (server)->outage = 1;
 *   bgap_log_server_shutdown (server);
 */

#include <event2/event.h>
#include <stdint.h>

#include "banyangap/base/status.h"

/**
 * struct bgap_log_control - injected faults, also set by POST /control
 * @outage: whether every call, also a waiting read, is answered with 503
 * @delay_ms: delay of each response; the call itself takes effect at once
 * @lose_answers: number of further appends that take effect but whose
 * connection is closed without a response
 * @retention: number of newest records kept per stream
 * @reject_appends: whether appends are answered with 503 and have no effect
 */
struct bgap_log_control
{
  int64_t outage;
  int64_t delay_ms;
  int64_t lose_answers;
  int64_t retention;
  int64_t reject_appends;
};

struct bgap_log_server;

enum bgap_status bgap_log_server_setup (struct bgap_log_server **server,
                                        struct event_base *base,
                                        const char *address,
                                        struct bgap_error *err);
uint16_t bgap_log_server_port (const struct bgap_log_server *server);
struct bgap_log_control *
bgap_log_server_control (struct bgap_log_server *server);
void bgap_log_server_shutdown (struct bgap_log_server *server);

#endif
