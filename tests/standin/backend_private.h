#ifndef BANYANGAP_STANDIN_BACKEND_PRIVATE_H
#define BANYANGAP_STANDIN_BACKEND_PRIVATE_H

/*
 * Internal state of the backend server's stand-in, shared by backend_server.c
 * (connections, leases, injected faults) and backend_job.c (execution of
 * requests).
 */

#include <event2/event_struct.h>
#include <event2/http.h>
#include <jansson.h>
#include <stdbool.h>
#include <sys/queue.h>

#include "backend_server.h"
#include "banyangap/ownership/holder.h"

/* When the connection is closed instead of a complete response; values of the
   query parameter and the control member "drop".  */
enum drop_mode
{
  DROP_NONE,
  DROP_BEFORE_RESPONSE,
  DROP_MID_RESPONSE
};

/* A connection that has sent at least one request. @job is the request in
   progress, or NULL.  */
struct connection
{
  LIST_ENTRY (connection) next;
  struct bgap_backend_server *server;
  struct evhttp_connection *http;
  struct job *job;
};

/* A request that is queued, holds a slot, or is being answered.  */
struct job
{
  TAILQ_ENTRY (job) next;
  struct connection *connection;
  struct evhttp_request *request;
  struct event timer;
  bool has_slot;
  bool is_executed;  /* the work took effect and was counted */
  int64_t drop;      /* enum drop_mode */
  int64_t late_ms;   /* delay of the response; -1 once its head is sent */
  int64_t remaining; /* filler bytes of the response body still to send */
  int64_t chunk_ms;  /* pause before each chunk */
};

struct bgap_backend_server
{
  struct bgap_backend_server_desc desc;
  struct evhttp *http;
  uint16_t port;
  struct bgap_holder *holder;
  int64_t started_ms;
  int64_t in_flight;
  int64_t queued;
  int64_t connection_count;
  LIST_HEAD (, connection) connections;
  TAILQ_HEAD (job_queue, job) queue;
  json_t *runs;  /* executions by idempotency key or path */
  int64_t total; /* executions of all requests */
  /* Injected faults, see docs/standins.md.  */
  int64_t freeze_ms;
  int64_t crash;
  int64_t drop;
  int64_t late_ms;
  int64_t draining;
  int64_t reported_in_flight;
};

/**
 * bgap_backend_server_now_ms() - current time on the clock of the leases
 */
int64_t bgap_backend_server_now_ms (void);

/**
 * bgap_backend_job_new() - queue a request and start it if a slot is free
 * @drop: used if the request has no query parameter "drop"
 * @late_ms: used if the request has no query parameter "late_ms"
 *
 * The caller has checked that a slot or a place in the queue is free.
 */
void bgap_backend_job_new (struct connection *connection,
                           struct evhttp_request *request, int64_t drop,
                           int64_t late_ms);

/**
 * bgap_backend_job_end() - free a job and start queued ones in free slots
 */
void bgap_backend_job_end (struct job *job);

/**
 * bgap_backend_server_refuse() - reply with 409 and @reason in Bgap-Refused
 */
void bgap_backend_server_refuse (struct bgap_backend_server *server,
                                 struct evhttp_request *request,
                                 const char *reason);

/**
 * bgap_backend_server_is_granted() - whether the request may execute now
 *
 * Return: true if its token is valid for its key under a current lease, or if
 * the server runs without grants.
 */
bool bgap_backend_server_is_granted (const struct bgap_backend_server *server,
                                     struct evhttp_request *request);

#endif
