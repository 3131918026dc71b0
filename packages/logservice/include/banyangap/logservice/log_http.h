#ifndef BANYANGAP_LOGSERVICE_LOG_HTTP_H
#define BANYANGAP_LOGSERVICE_LOG_HTTP_H

/*
 * Client of the log service over HTTP (docs/design.md, section 10), based on
 * evhttp.
 *
 *   struct bgap_log_http *http;
 *   enum bgap_status status = bgap_log_http_setup (
 *     &http, &(struct bgap_log_http_desc){
 *       .base = base, .address = "127.0.0.1:7001" }, &err);
 *   struct bgap_log_ops log = bgap_log_http_ops (http);
 *   ...
 *   bgap_log_http_shutdown (http);
 */

#include <event2/event.h>

#include "banyangap/logservice/log_service.h"

/**
 * struct bgap_log_http_desc - options
 * @base: event loop, required
 * @address: numeric address and port ("127.0.0.1:7001", "[::1]:7001"),
 *   required
 * @append_timeout_ms: time limit of one append, queueing excluded; 0 means
 *   2000
 * @read_timeout_ms: time limit of one read in addition to its wait, and of one
 *   call of bounds; 0 means 2000
 * @queue_timeout_ms: an append that has been queued this long behind others of
 *   its stream is refused without being sent; 0 means 5000
 * @calls_max: maximum number of calls in progress, queued appends included; 0
 *   means 256
 * @record_size_max: maximum size of a record in bytes; 0 means 262144
 * @response_size_max: maximum size of a response body in bytes; 0 means
 *   4194304
 */
struct bgap_log_http_desc
{
  struct event_base *base;
  const char *address;
  uint32_t append_timeout_ms;
  uint32_t read_timeout_ms;
  uint32_t queue_timeout_ms;
  uint32_t calls_max;
  size_t record_size_max;
  size_t response_size_max;
};

struct bgap_log_http;

/**
 * bgap_log_http_setup() - create the client
 *
 * The client connects on its first call. Setup makes the process ignore
 * SIGPIPE.
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_log_http_setup (struct bgap_log_http **http,
                                      const struct bgap_log_http_desc *desc,
                                      struct bgap_error *err);

/**
 * bgap_log_http_ops() - get the function table of the client, valid until
 * shutdown
 */
struct bgap_log_ops bgap_log_http_ops (struct bgap_log_http *http);

/**
 * bgap_log_http_shutdown() - cancel all calls without completing them
 * @http: NULL is allowed
 */
void bgap_log_http_shutdown (struct bgap_log_http *http);

#endif
