#ifndef BANYANGAP_GATEWAY_BACKEND_H
#define BANYANGAP_GATEWAY_BACKEND_H

/*
 * HTTP client for backend servers: a pool of connections per server and one
 * attempt at a time on each.
 *
 *   struct bgap_backend *backend;
 *   bgap_backend_setup (&backend, &(struct bgap_backend_desc){ .base = base },
 *                       &err);
 *   struct bgap_backend_server_id server;
 *   bgap_backend_add_server (backend, "127.0.0.1:9001", 9, &server, &err);
 *
 *   struct bgap_backend_attempt_id attempt;
 *   enum bgap_status status = bgap_backend_send (backend, server,
 *     &(struct bgap_backend_request){
 *       .method = "GET", .target = "/a%2Fb", .headers = &headers,
 *       .deadline_ms = 500, .ops = &ops, .user = request }, &attempt);
 *
 * An attempt that was started ends with exactly one of ops.complete,
 * ops.refused and ops.failed, called from the event loop and never from within
 * bgap_backend_send(), or with bgap_backend_cancel(). Its id is stale from the
 * end on. Within a callback every function of this header may be called.
 *
 * A connection is reused only after a complete response; otherwise it is
 * closed, so that a late response cannot reach another attempt. Responses
 * whose end is marked only by the end of the connection fail as
 * BGAP_FAILURE_PROTOCOL unless accept_unframed is set.
 */

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#include "banyangap/base/counters.h"
#include "banyangap/gateway/headers.h"

/**
 * struct bgap_backend_server_id - handle of a server
 */
struct bgap_backend_server_id
{
  uint32_t id;
};

/**
 * struct bgap_backend_attempt_id - handle of an attempt
 */
struct bgap_backend_attempt_id
{
  uint32_t id;
};

/**
 * enum bgap_refusal - why a server did not run a request
 */
enum bgap_refusal
{
  BGAP_REFUSAL_NONE,
  BGAP_REFUSAL_FENCED,   /* the token is not valid */
  BGAP_REFUSAL_SHED,     /* no slot and no place in the queue */
  BGAP_REFUSAL_DRAINING, /* the server is leaving */
  BGAP_REFUSAL_COUNT
};

/**
 * enum bgap_head_class - what the head of a response is taken for
 */
enum bgap_head_class
{
  BGAP_HEAD_RESPONSE, /* the response of this attempt */
  BGAP_HEAD_REFUSAL,  /* the attempt ends with ops.refused */
  BGAP_HEAD_ERROR,    /* the attempt fails as BGAP_FAILURE_ERROR */
  BGAP_HEAD_STALE, /* belongs to an earlier attempt; the next one is awaited */
  BGAP_HEAD_INVALID /* the attempt fails as BGAP_FAILURE_PROTOCOL */
};

/**
 * enum bgap_failure_kind - why an attempt has no complete response
 */
enum bgap_failure_kind
{
  BGAP_FAILURE_CONNECT,  /* the connection could not be opened */
  BGAP_FAILURE_DEADLINE, /* the deadline passed */
  BGAP_FAILURE_BROKEN,   /* the connection broke */
  BGAP_FAILURE_PROTOCOL, /* the response is malformed or too large */
  BGAP_FAILURE_ERROR,    /* the server answered with an error of its own */
  BGAP_FAILURE_REMOVED,  /* the server was removed from the pool */
  BGAP_FAILURE_COUNT
};

/**
 * struct bgap_backend_failure - how an attempt failed
 * @kind: reason
 * @sent: whether a byte of the request may have been sent; if false, the
 *   request certainly did not run
 * @connection_refused: whether no process listens at the address
 * @reused: whether the connection had carried an earlier attempt
 * @head_reported: whether ops.head had been called
 * @message: reason for people
 */
struct bgap_backend_failure
{
  enum bgap_failure_kind kind;
  bool sent;
  bool connection_refused;
  bool reused;
  bool head_reported;
  const char *message;
};

/**
 * struct bgap_backend_ops - progress of an attempt
 * @classify: decides what a head is taken for, and sets @refusal with
 *   BGAP_HEAD_REFUSAL; NULL means that 409 with a known Bgap-Refused is a
 *   refusal and everything else the answer
 * @head: head of the response; @headers are without hop-by-hop fields and
 *   valid only during the call; Content-Length is kept if the body has one
 * @body: next bytes of the body; may be NULL
 * @complete: the response is complete
 * @refused: the head was judged a refusal; ops.head is not called
 * @failed: no complete response
 */
struct bgap_backend_ops
{
  enum bgap_head_class (*classify) (void *user, int status,
                                    const struct bgap_headers *headers,
                                    enum bgap_refusal *refusal);
  void (*head) (void *user, struct bgap_backend_attempt_id id, int status,
                const struct bgap_headers *headers);
  void (*body) (void *user, struct bgap_backend_attempt_id id,
                const void *bytes, size_t size);
  void (*complete) (void *user, struct bgap_backend_attempt_id id);
  void (*refused) (void *user, struct bgap_backend_attempt_id id,
                   enum bgap_refusal refusal);
  void (*failed) (void *user, struct bgap_backend_attempt_id id,
                  const struct bgap_backend_failure *failure);
};

/**
 * struct bgap_backend_request - one attempt
 * @method: HTTP method
 * @target: path and query, not empty
 * @headers: copied; hop-by-hop fields and Content-Length are replaced; NULL
 *   means none
 * @body: not copied; must stay valid until the attempt ends
 * @body_size: bytes in @body
 * @deadline_ms: time for the whole attempt, connecting and body included; 0
 *   means the default of the backend
 * @ops: must stay valid until the attempt ends
 * @user: first argument of the functions in @ops
 */
struct bgap_backend_request
{
  const char *method;
  const char *target;
  const struct bgap_headers *headers;
  const void *body;
  size_t body_size;
  uint32_t deadline_ms;
  const struct bgap_backend_ops *ops;
  void *user;
};

/**
 * struct bgap_backend_desc - options
 * @base: event loop, required
 * @counters: registry for bgap_backend_* counters; NULL means none
 * @servers_max: servers at a time; 0 means 256
 * @connections_max: connections of all servers; 0 means 4096
 * @connect_timeout_ms: limit for opening a connection; 0 means 1000
 * @idle_timeout_ms: an unused connection is closed after it; 0 means 30000
 * @deadline_ms: default deadline of an attempt; 0 means 30000
 * @head_size_max: bytes of a response's head; 0 means 16384
 * @tcp_user_timeout_ms: a connection on which sent bytes are not acknowledged
 * for so long is broken; 0 means the system's default
 * @accept_close_delimited: a response without a length ends with its
 * connection; one that is reset is still incomplete
 * @read_size: bytes read from a connection at a time, which bounds what is
 *   held of a paused response; 0 means 65536
 */
struct bgap_backend_desc
{
  struct event_base *base;
  struct bgap_counters *counters;
  uint32_t servers_max;
  uint32_t connections_max;
  uint32_t connect_timeout_ms;
  uint32_t idle_timeout_ms;
  uint32_t deadline_ms;
  size_t head_size_max;
  size_t read_size;
  uint32_t tcp_user_timeout_ms;
  bool accept_close_delimited;
};

struct bgap_backend;

/**
 * bgap_backend_setup() - create the pools; SIGPIPE is ignored from then on
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_backend_setup (struct bgap_backend **backend,
                                     const struct bgap_backend_desc *desc,
                                     struct bgap_error *err);

/**
 * bgap_backend_shutdown() - close everything, without callbacks
 * @backend: NULL is allowed
 */
void bgap_backend_shutdown (struct bgap_backend *backend);

/**
 * bgap_backend_add_server() - add a server; connects on the first attempt
 * @address: numeric address and port
 * @connections: limit of connections to it, at least 1
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID or BGAP_ERR_FULL.
 */
enum bgap_status bgap_backend_add_server (struct bgap_backend *backend,
                                          const char *address,
                                          uint32_t connections,
                                          struct bgap_backend_server_id *id,
                                          struct bgap_error *err);

/**
 * bgap_backend_set_limit() - change a server's limit of connections
 *
 * Connections above a lower limit are closed when their attempt ends.
 *
 * Return: BGAP_OK, BGAP_ERR_NOT_FOUND or BGAP_ERR_INVALID.
 */
enum bgap_status bgap_backend_set_limit (struct bgap_backend *backend,
                                         struct bgap_backend_server_id id,
                                         uint32_t connections);

/**
 * bgap_backend_remove_server() - close its connections
 *
 * Running attempts fail as BGAP_FAILURE_REMOVED, from the event loop.
 */
void bgap_backend_remove_server (struct bgap_backend *backend,
                                 struct bgap_backend_server_id id);

/**
 * bgap_backend_free_connections() - attempts that can be started now
 */
uint32_t bgap_backend_free_connections (const struct bgap_backend *backend,
                                        struct bgap_backend_server_id id);

/**
 * bgap_backend_send() - start an attempt
 *
 * Return: BGAP_OK, BGAP_ERR_NOT_FOUND (server), BGAP_ERR_FULL (no connection
 * is free), BGAP_ERR_INVALID or BGAP_ERR_NO_MEMORY. Unless it is BGAP_OK,
 * nothing was sent and no callback follows.
 */
enum bgap_status bgap_backend_send (struct bgap_backend *backend,
                                    struct bgap_backend_server_id server,
                                    const struct bgap_backend_request *request,
                                    struct bgap_backend_attempt_id *id);

/**
 * bgap_backend_cancel() - end an attempt without further callbacks and close
 * its connection, which tells the server to stop
 *
 * Return: BGAP_OK, or BGAP_ERR_NOT_FOUND if it has ended already.
 */
enum bgap_status bgap_backend_cancel (struct bgap_backend *backend,
                                      struct bgap_backend_attempt_id id);

/**
 * bgap_backend_pause() - stop reading the response; the deadline still counts
 *
 * No callback but ops.failed follows until bgap_backend_resume().
 *
 * Return: BGAP_OK or BGAP_ERR_NOT_FOUND.
 */
enum bgap_status bgap_backend_pause (struct bgap_backend *backend,
                                     struct bgap_backend_attempt_id id);

/**
 * bgap_backend_resume() - continue reading; callbacks come from the event loop
 *
 * Return: BGAP_OK or BGAP_ERR_NOT_FOUND.
 */
enum bgap_status bgap_backend_resume (struct bgap_backend *backend,
                                      struct bgap_backend_attempt_id id);

/**
 * bgap_refusal_parse() - reason named by a Bgap-Refused header
 *
 * Return: the reason, or BGAP_REFUSAL_NONE for any other text. Then the 409
 * proves nothing and is an ordinary answer of the service.
 */
enum bgap_refusal bgap_refusal_parse (const char *text);

/**
 * bgap_refusal_name() - text of a Bgap-Refused header, never NULL
 */
const char *bgap_refusal_name (enum bgap_refusal refusal);

/**
 * bgap_failure_name() - short lower-case name, never NULL
 */
const char *bgap_failure_name (enum bgap_failure_kind kind);

#endif
