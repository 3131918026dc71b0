#ifndef BANYANGAP_LOGSERVICE_HTTP_CLIENT_H
#define BANYANGAP_LOGSERVICE_HTTP_CLIENT_H

/*
 * HTTP client for one address, with limits on time and response size, based on
 * evhttp.
 *
 *   bgap_http_client_setup (&client, base, "127.0.0.1:7001", limit, &err);
 *   bgap_http_client_start (client, &(struct bgap_http_call_desc){
 *     .method = EVHTTP_REQ_GET, .path = "/hosts", .timeout_ms = 2000,
 *     .done = on_done, .user = user });
 *   bgap_http_client_shutdown (client);
 *
 * Each call uses a connection exclusively while it runs. A call that returns
 * BGAP_OK is completed once from the event loop, unless the client is shut
 * down first; the completion function may shut it down.
 */

#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "banyangap/base/status.h"

struct evkeyvalq;

/**
 * struct bgap_http_response - outcome of a call
 * @status: HTTP status, or 0 if there is no complete response
 * @sent: whether any byte of the request may have been sent
 * @too_large: the body exceeded the limit of the client; @status is 0
 * @headers: its fields, valid during the completion function; NULL if @status
 *   is 0
 * @body: @size bytes, valid during the completion function
 * @message: human-readable reason if @status is 0
 */
struct bgap_http_response
{
  int status;
  bool sent;
  bool too_large;
  const struct evkeyvalq *headers;
  const char *body;
  size_t size;
  const char *message;
};

/**
 * struct bgap_http_call_desc - one call
 * @method: EVHTTP_REQ_GET or EVHTTP_REQ_POST
 * @path: path and query
 * @body: copied
 * @timeout_ms: time limit of the whole call, connecting included
 */
struct bgap_http_call_desc
{
  enum evhttp_cmd_type method;
  const char *path;
  const void *body;
  size_t body_size;
  uint32_t timeout_ms;
  void (*done) (void *user, const struct bgap_http_response *response);
  void *user;
};

struct bgap_http_client;

/**
 * bgap_http_client_setup() - create the client
 * @body_size_max: maximum size of a response body in bytes
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID (address) or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_http_client_setup (struct bgap_http_client **client,
                                         struct event_base *base,
                                         const char *address,
                                         size_t body_size_max,
                                         struct bgap_error *err);

/**
 * bgap_http_client_start() - start a call
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status
bgap_http_client_start (struct bgap_http_client *client,
                        const struct bgap_http_call_desc *desc);

/**
 * bgap_http_client_shutdown() - cancel all calls without completing them
 * @client: NULL is allowed
 */
void bgap_http_client_shutdown (struct bgap_http_client *client);

#endif
