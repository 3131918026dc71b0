#ifndef BGAPD_REQUESTS_PRIVATE_H
#define BGAPD_REQUESTS_PRIVATE_H

/*
 * Declarations shared by the source files of the request path.
 */

#include <sys/queue.h>
#include <uthash.h>

#include "banyangap/gateway/frontend.h"
#include "banyangap/routing/router.h"
#include "requests.h"

struct bgap_probes;
struct bgap_idempotency_streams;

/**
 * struct bgap_exchange - one request of a caller
 * @id: handle in the frontend, and key in the table of exchanges
 * @requests: request path that the exchange belongs to
 * @handle: handle in the router
 * @attempt: attempt in progress, if @calling
 * @call: handle of the call of that attempt
 * @service: "<owner>.<service>"
 * @server: server of the last attempt
 * @route: route of the key as last looked up
 * @parts: owner, service and key in the target
 * @method: method of the request; it and the next three members are copies,
 *   since a request that runs at most once outlives its caller
 * @target: target of the request
 * @headers: headers of the request
 * @body: body of the request
 * @kept_body: body of the answer, if @keep_body
 * @keep_body: the router stores the answer's body
 * @body_dropped: the body is longer than the router stores, or memory was
 *   exhausted
 * @content_type: content type of the answer
 * @status: HTTP status of the answer
 * @keyed: the service is keyed
 * @forwarded: the attempt goes through another instance
 * @forward_end: enum bgap_call_end of the attempt if that instance got no
 *   answer from the server
 * @leased: the attempt is registered under this instance's lease as @lease
 * @lease: handle of bgap_cells_begin_request()
 * @streaming: the answer's head was sent to the caller
 * @caller_gone: the caller has disconnected
 * @detached: it is in the list of those that run without their caller
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
  struct bgap_buffer kept_body;
  bool keep_body;
  bool body_dropped;
  char content_type[128];
  int status;
  bool keyed;
  bool forwarded;
  bool leased;
  uint32_t lease;
  bool streaming;
  bool caller_gone;
  bool detached;
  int forward_end;
  UT_hash_handle hh;
  LIST_ENTRY (bgap_exchange) next_detached;
};

/**
 * struct bgap_requests - the request path of an instance
 * @exchanges: by frontend handle; without those whose caller has disconnected
 * @services: services in the router, by name
 * @last_request: number in the last request id
 * @request_prefix: random prefix of this process's request ids
 * @running_actions: bgap_requests_run() is active; nested calls return at once
 * @frontend_stopped: the frontend has stopped after bgap_requests_stop()
 */
struct bgap_requests
{
  struct bgap_requests_desc desc;
  struct bgap_router router;
  struct bgap_frontend *frontend;
  struct bgap_exchange *exchanges;
  LIST_HEAD (, bgap_exchange) detached;
  struct bgap_requests_service *services;
  struct bgap_probes *probes;
  struct bgap_idempotency_streams *idempotency_streams;
  struct event *timer;
  uint64_t last_request;
  uint64_t request_prefix;
  bool running_actions;
  bool frontend_stopped;
};

/**
 * bgap_requests_free_services() - free the table of services
 */
void bgap_requests_free_services (struct bgap_requests *requests);

/**
 * bgap_requests_run() - execute the router's pending actions
 */
void bgap_requests_run (struct bgap_requests *requests);

/**
 * bgap_requests_on_request() - handle a complete request from the frontend
 */
void bgap_requests_on_request (void *context, struct bgap_exchange_id id,
                               const struct bgap_frontend_request *request);

/**
 * bgap_exchange_new() - copy a request into a new exchange and add it to the
 * table
 *
 * Return: the exchange, or NULL if memory is exhausted or the service name is
 * too long.
 */
struct bgap_exchange *
bgap_exchange_new (struct bgap_requests *requests, struct bgap_exchange_id id,
                   const struct bgap_frontend_request *request);

/**
 * bgap_exchange_free() - remove an exchange from the table and free it
 */
void bgap_exchange_free (struct bgap_exchange *exchange);

/**
 * bgap_exchange_dispatch() - start the attempt of a dispatch action
 */
void bgap_exchange_dispatch (struct bgap_exchange *exchange,
                             const struct bgap_router_action *action);

/**
 * bgap_exchange_end_lease() - unregister the attempt from this instance's
 * lease, if it is registered
 */
void bgap_exchange_end_lease (struct bgap_exchange *exchange);

/**
 * bgap_exchange_finish() - answer the caller, or break off an answer that has
 * begun, and free the exchange
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
 * bgap_exchange_lookup() - look up the key's holder and store the route
 * @holder: gets the handle of the server, { 0 } if there is none
 *
 * Return: whether the service is keyed.
 */
bool bgap_exchange_lookup (struct bgap_exchange *exchange,
                           struct bgap_server_id *holder);

/* Log streams of idempotency records, one per service with "repeat: never". */
enum bgap_status
bgap_idempotency_streams_setup (struct bgap_requests *requests,
                                struct bgap_idempotency_streams **out);
void
bgap_idempotency_streams_shutdown (struct bgap_idempotency_streams *streams);
void bgap_idempotency_streams_add (struct bgap_idempotency_streams *streams,
                                   const char *service,
                                   struct bgap_service_id id);
void bgap_idempotency_streams_remove (struct bgap_idempotency_streams *streams,
                                      const char *service);
bool
bgap_idempotency_streams_has (const struct bgap_idempotency_streams *streams,
                              struct bgap_service_id id);
void bgap_idempotency_streams_append (struct bgap_idempotency_streams *streams,
                                      const struct bgap_router_action *action);

/* Probes of the backend servers.  */
enum bgap_status bgap_probes_setup (struct bgap_requests *requests,
                                    struct bgap_probes **out);
void bgap_probes_shutdown (struct bgap_probes *probes);

/**
 * bgap_probes_trigger() - probe a server at once after a failed attempt
 */
void bgap_probes_trigger (struct bgap_probes *probes, const char *server);

#endif
