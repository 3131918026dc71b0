#ifndef BANYANGAP_GATEWAY_ADMIN_H
#define BANYANGAP_GATEWAY_ADMIN_H

/*
 * HTTP server for operators: dispatches requests by a table of routes and
 * sends complete, unstreamed responses.
 *
 *   static void
 *   on_ready (void *context, struct bgap_admin_id id,
 *             const struct bgap_admin_request *request)
 *   {
 *     bgap_admin_reply_text (admin, id, 200, "ready\n", 6);
 *   }
 *
 *   static const struct bgap_admin_route routes[] = {
 *     { .method = "GET", .path = "/readyz", .handle = on_ready },
 *   };
 *   struct bgap_admin *admin;
 *   bgap_admin_setup (&admin, &(struct bgap_admin_desc){
 *     .base = base, .address = "127.0.0.1:8081", .routes = routes,
 *     .route_count = 1, .context = daemon }, &err);
 *
 * A handler may reply before it returns or later; the id stays valid until the
 * reply. If the operator disconnects or deferred_ms passes first, the id
 * becomes stale and a reply to it returns BGAP_ERR_NOT_FOUND.
 */

#include <event2/event.h>
#include <jansson.h>
#include <stdint.h>

#include "banyangap/base/status.h"

/**
 * struct bgap_admin_id - handle of one request
 */
struct bgap_admin_id
{
  uint32_t id;
};

/**
 * struct bgap_admin_request - passed to a handler and valid only during its
 * call
 * @method: "GET", "POST" and so on
 * @path: path without the query, not decoded
 * @query: text after '?', not decoded, empty if there is none
 * @token: token of "Authorization: Bearer <token>", or NULL; not verified
 * @body: complete body, zero-terminated
 * @body_size: bytes in @body
 */
struct bgap_admin_request
{
  const char *method;
  const char *path;
  const char *query;
  const char *token;
  const char *body;
  size_t body_size;
};

/**
 * struct bgap_admin_route - entry of the route table
 * @method: HTTP method
 * @path: exact path; if it ends with '/', matches every path with this prefix
 * @handle: replies at once, or stores @id and replies later
 */
struct bgap_admin_route
{
  const char *method;
  const char *path;
  void (*handle) (void *context, struct bgap_admin_id id,
                  const struct bgap_admin_request *request);
};

/**
 * struct bgap_admin_desc - options
 * @base: event loop, required
 * @address: numeric address and port to listen on; port 0 picks one; required
 * @routes: @route_count routes, the first match is used; must stay valid until
 *   shutdown
 * @route_count: number of @routes
 * @context: first argument of the handlers
 * @requests_max: limit of requests in progress, further ones get 503; 0 means
 *   64
 * @body_size_max: limit of a request body in bytes, larger ones get 413; 0
 *   means 1048576
 * @timeout_ms: time limit for receiving a request, and for an idle connection;
 *   0 means 10000
 * @deferred_ms: time limit for a reply, then the request gets 503; 0 means
 *   60000
 */
struct bgap_admin_desc
{
  struct event_base *base;
  const char *address;
  const struct bgap_admin_route *routes;
  size_t route_count;
  void *context;
  uint32_t requests_max;
  size_t body_size_max;
  uint32_t timeout_ms;
  uint32_t deferred_ms;
};

struct bgap_admin;

/**
 * bgap_admin_setup() - create a server and start to listen
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID, BGAP_ERR_NO_MEMORY or BGAP_ERR_IO.
 */
enum bgap_status bgap_admin_setup (struct bgap_admin **admin,
                                   const struct bgap_admin_desc *desc,
                                   struct bgap_error *err);

/**
 * bgap_admin_port() - port that the server listens on
 */
uint16_t bgap_admin_port (const struct bgap_admin *admin);

/**
 * bgap_admin_query() - decoded value of a query parameter
 * @query: query of the request
 * @name: name of the parameter
 * @value: receives the zero-terminated value of the first such parameter
 * @capacity: bytes at @value
 *
 * Return: BGAP_OK, BGAP_ERR_NOT_FOUND, BGAP_ERR_FULL (does not fit) or
 * BGAP_ERR_INVALID (bad percent-encoding or an encoded NUL).
 */
enum bgap_status bgap_admin_query (const char *query, const char *name,
                                   char *value, size_t capacity);

/**
 * bgap_admin_reply_text() - reply with plain text
 *
 * Return: BGAP_OK, BGAP_ERR_NOT_FOUND or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_admin_reply_text (struct bgap_admin *admin,
                                        struct bgap_admin_id id, int status,
                                        const char *text, size_t size);

/**
 * bgap_admin_reply_json() - reply with JSON
 * @value: not modified; the caller keeps its reference
 *
 * Return: as above.
 */
enum bgap_status bgap_admin_reply_json (struct bgap_admin *admin,
                                        struct bgap_admin_id id, int status,
                                        const json_t *value);

/**
 * bgap_admin_shutdown() - close all connections; pending ids become stale
 * @admin: NULL is allowed
 */
void bgap_admin_shutdown (struct bgap_admin *admin);

#endif
