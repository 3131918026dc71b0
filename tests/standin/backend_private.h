#ifndef BANYANGAP_STANDIN_BACKEND_PRIVATE_H
#define BANYANGAP_STANDIN_BACKEND_PRIVATE_H

/*
 * State shared by backend_server.c (connections, leases, faults) and
 * backend_job.c (requests).
 */

#include <event2/event_struct.h>
#include <event2/http.h>
#include <jansson.h>
#include <stdbool.h>
#include <sys/queue.h>

#include "backend_server.h"
#include "banyangap/ownership/holder.h"

enum drop
{
  DROP_NONE,
  DROP_BEFORE_ANSWER,
  DROP_IN_ANSWER
};

/* A connection that has sent a request, and the request in progress.  */
struct connection
{
  LIST_ENTRY (connection) next;
  struct bgap_backend_server *server;
  struct evhttp_connection *http;
  struct job *job;
};

struct job
{
  TAILQ_ENTRY (job) next;
  struct connection *connection;
  struct evhttp_request *request;
  struct event timer;
  bool has_slot;
  bool is_done; /* the work took effect */
  int64_t drop;
  int64_t late_ms;
  int64_t left; /* bytes of the answer's body */
  int64_t chunk_ms;
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
  json_t *runs;
  int64_t total;
  /* Faults, see docs/standins.md.  */
  int64_t freeze_ms;
  int64_t crash;
  int64_t drop;
  int64_t late_ms;
  int64_t draining;
  int64_t lie_in_flight;
};

/**
 * bgap_backend_server_now_ms() - clock of the leases
 */
int64_t bgap_backend_server_now_ms (void);

/**
 * bgap_backend_job_new() - queue a request, which must be within the limits
 * @drop: default of the query parameter of this name
 * @late_ms: likewise
 */
void bgap_backend_job_new (struct connection *connection,
                           struct evhttp_request *request, int64_t drop,
                           int64_t late_ms);

/**
 * bgap_backend_job_end() - free a job and start the next one
 */
void bgap_backend_job_end (struct job *job);

/**
 * bgap_backend_server_refuse() - reply with 409 and Bgap-Refused
 */
void bgap_backend_server_refuse (struct bgap_backend_server *server,
                                 struct evhttp_request *request,
                                 const char *reason);

/**
 * bgap_backend_server_is_granted() - whether the request may run now
 */
bool bgap_backend_server_is_granted (const struct bgap_backend_server *server,
                                     struct evhttp_request *request);

#endif
