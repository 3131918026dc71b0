#ifndef BANYANGAP_LOGSERVICE_HOST_LIST_HTTP_H
#define BANYANGAP_LOGSERVICE_HOST_LIST_HTTP_H

/*
 * Client of the host list over HTTP (docs/design.md, section 10), based on
 * evhttp.
 *
 *   struct bgap_host_list_http *http;
 *   enum bgap_status status = bgap_host_list_http_setup (
 *     &http, &(struct bgap_host_list_http_desc){
 *       .base = base, .address = "127.0.0.1:7002" }, &err);
 *   struct bgap_host_list_ops hosts = bgap_host_list_http_ops (http);
 *   ...
 *   bgap_host_list_http_shutdown (http);
 */

#include <event2/event.h>
#include <stdint.h>

#include "banyangap/logservice/host_list.h"

/**
 * struct bgap_host_list_http_desc - options
 * @base: event loop, required
 * @address: numeric address and port, required
 * @timeout_ms: time limit of one fetch; 0 means 2000
 * @calls_max: maximum number of fetches in progress; 0 means 4
 * @hosts_max: maximum number of hosts; a longer list is treated as malformed;
 *   0 means 4096
 * @response_size_max: maximum size of a response body in bytes; 0 means
 *   2097152
 */
struct bgap_host_list_http_desc
{
  struct event_base *base;
  const char *address;
  uint32_t timeout_ms;
  uint32_t calls_max;
  uint32_t hosts_max;
  size_t response_size_max;
};

struct bgap_host_list_http;

/**
 * bgap_host_list_http_setup() - create the client
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status
bgap_host_list_http_setup (struct bgap_host_list_http **http,
                           const struct bgap_host_list_http_desc *desc,
                           struct bgap_error *err);

/**
 * bgap_host_list_http_ops() - get the function table of the client, valid
 * until shutdown
 */
struct bgap_host_list_ops
bgap_host_list_http_ops (struct bgap_host_list_http *http);

/**
 * bgap_host_list_http_shutdown() - cancel all calls without completing them
 * @http: NULL is allowed
 */
void bgap_host_list_http_shutdown (struct bgap_host_list_http *http);

#endif
