#ifndef BGAPD_REQUESTS_PRIVATE_H
#define BGAPD_REQUESTS_PRIVATE_H

/*
 * Parts shared by the files of the request path.
 */

#include <uthash.h>

#include "banyangap/gateway/frontend.h"
#include "banyangap/routing/router.h"
#include "requests.h"

struct bgap_probes;
struct bgap_once_streams;

/**
 * struct bgap_exchange - one request of a caller
 * @id: handle in the frontend, key of the table
 * @requests: owner
 * @handle: handle in the router
 * @attempt: attempt in progress, if @calling
 * @call: its call
 * @service: "<owner>.<service>"
 * @route: last route of the key
 * @parts: owner, service, key
 * @method, @target, @headers, @body: copy of the request, since a request that
 *   runs at most once outlives its caller
 * @kept: body of the answer, if the router wants it
 * @keep: the router wants the body
 * @kept_dropped: the body is longer than the router keeps
 * @content_type: of the answer
 * @status: HTTP status of the answer
 * @relayed: the attempt goes through another instance
 * @relay_end: how the attempt ends if that instance did not get an answer
 * @leased: the attempt runs under the lease with handle @lease
 * @streaming: the answer's head was sent to the caller
 * @gone: the caller has gone
 */
struct bgap_exchange
{
  uint32_t id;
  struct bgap_requests *requests;
  struct bgap_request_id handle;
  struct bgap_attempt_id attempt;
  uint32_t call;
  bool calling;
  char service[BGAP_UPSTREAM_NAME_SIZE];
  char server[BGAP_UPSTREAM_NAME_SIZE];
  struct bgap_cell_route route;
  struct bgap_target parts;
  char method[16];
  char *target;
  struct bgap_headers headers;
  struct bgap_buffer body;
  struct bgap_buffer kept;
  bool keep;
  bool kept_dropped;
  char content_type[128];
  int status;
  bool keyed;
  bool relayed;
  bool leased;
  uint32_t lease;
  bool streaming;
  bool gone;
  int relay_end;
  UT_hash_handle hh;
};

/**
 * struct bgap_requests - the request path of an instance
 * @exchanges: by frontend handle; those whose caller has gone are not in it
 * @services: services in the router, by name
 */
struct bgap_requests
{
  struct bgap_requests_desc desc;
  struct bgap_router router;
  struct bgap_frontend *frontend;
  struct bgap_exchange *exchanges;
  struct bgap_requests_service *services;
  struct bgap_probes *probes;
  struct bgap_once_streams *once;
  struct event *timer;
  uint64_t next_request;
  uint64_t request_prefix;
  bool running_actions;
  bool frontend_stopped;
};

/**
 * bgap_requests_free_services() - free the table of services
 */
void bgap_requests_free_services (struct bgap_requests *requests);

/**
 * bgap_requests_run() - carry out the router's pending actions
 */
void bgap_requests_run (struct bgap_requests *requests);

/**
 * bgap_requests_on_request() - a complete request from the frontend
 */
void bgap_requests_on_request (void *context, struct bgap_exchange_id id,
                               const struct bgap_frontend_request *request);

/**
 * bgap_exchange_new() - copy a request into a new exchange
 *
 * Return: the exchange, in the table, or NULL without memory.
 */
struct bgap_exchange *
bgap_exchange_new (struct bgap_requests *requests, struct bgap_exchange_id id,
                   const struct bgap_frontend_request *request);

/**
 * bgap_exchange_free() - remove from the table and free
 */
void bgap_exchange_free (struct bgap_exchange *exchange);

/**
 * bgap_exchange_dispatch() - start an attempt
 */
void bgap_exchange_dispatch (struct bgap_exchange *exchange,
                             const struct bgap_router_action *action);

/**
 * bgap_exchange_end_lease() - the attempt no longer runs under this instance's
 * lease
 */
void bgap_exchange_end_lease (struct bgap_exchange *exchange);

/**
 * bgap_exchange_finish() - end the exchange towards its caller and free it
 */
void bgap_exchange_finish (struct bgap_exchange *exchange,
                           const struct bgap_router_action *action);

/**
 * bgap_exchange_reply_error() - answer a request that was not accepted
 */
void bgap_exchange_reply_error (struct bgap_frontend *frontend,
                                struct bgap_exchange_id id, int status,
                                enum bgap_outcome outcome, const char *reason,
                                int retry_after_s);

/**
 * bgap_exchange_lookup() - look up the key's holder and keep the route
 * @holder: handle of the holder's server, { 0 } if there is none
 *
 * Return: whether the service is divided by key.
 */
bool bgap_exchange_lookup (struct bgap_exchange *exchange,
                           struct bgap_server_id *holder);

/* At-most-once streams.  */
enum bgap_status bgap_once_streams_setup (struct bgap_requests *requests,
                                          struct bgap_once_streams **out);
void bgap_once_streams_shutdown (struct bgap_once_streams *streams);
void bgap_once_streams_add (struct bgap_once_streams *streams,
                            const char *service, struct bgap_service_id id);
void bgap_once_streams_remove (struct bgap_once_streams *streams,
                               const char *service);
bool bgap_once_streams_has (const struct bgap_once_streams *streams,
                            struct bgap_service_id id);
void bgap_once_streams_append (struct bgap_once_streams *streams,
                               const struct bgap_router_action *action);

/* Probes of the backend servers.  */
enum bgap_status bgap_probes_setup (struct bgap_requests *requests,
                                    struct bgap_probes **out);
void bgap_probes_shutdown (struct bgap_probes *probes);

/**
 * bgap_probes_now() - probe a server at once, because an attempt broke
 */
void bgap_probes_now (struct bgap_probes *probes, const char *server);

#endif
