#ifndef BANYANGAP_GATEWAY_BACKEND_H
#define BANYANGAP_GATEWAY_BACKEND_H

/*
 * HTTP client for backend servers: a pool of connections per server, one
 * attempt at a time on each connection.
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
 * A started attempt ends with exactly one of ops.complete, ops.refused and
 * ops.failed, called from the event loop and never from within
 * bgap_backend_send(), or with bgap_backend_cancel(). Its id is stale
 * afterwards. Callbacks may call every function of this header.
 *
 * A connection is reused only after a complete response; otherwise it is
 * closed, so that a late response cannot reach another attempt. Responses
 * that are delimited only by the end of the connection fail as
 * BGAP_FAILURE_PROTOCOL unless accept_close_delimited is
 * set.
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
 * enum bgap_refusal - why a server did not execute a request
 */
enum bgap_refusal
{
  BGAP_REFUSAL_NONE,
  BGAP_REFUSAL_FENCED,   /* the fencing token is not valid */
  BGAP_REFUSAL_SHED,     /* all slots are busy and the queue is full */
  BGAP_REFUSAL_DRAINING, /* the server is draining */
  BGAP_REFUSAL_COUNT
};

/**
 * enum bgap_head_class - classification of a response by its head
 */
enum bgap_head_class
{
  BGAP_HEAD_RESPONSE, /* the response of this attempt */
  BGAP_HEAD_REFUSAL,  /* the attempt ends with ops.refused */
  BGAP_HEAD_ERROR,    /* the attempt fails as BGAP_FAILURE_ERROR */
  BGAP_HEAD_STALE,    /* of an earlier attempt; skipped, the next is awaited */
  BGAP_HEAD_INVALID   /* the attempt fails as BGAP_FAILURE_PROTOCOL */
};

/**
 * enum bgap_failure_kind - why an attempt has no complete response
 */
enum bgap_failure_kind
{
  BGAP_FAILURE_CONNECT,  /* the connection could not be opened */
  BGAP_FAILURE_DEADLINE, /* the deadline passed */
  BGAP_FAILURE_BROKEN,   /* the connection was reset or closed too early */
  BGAP_FAILURE_PROTOCOL, /* the response is malformed or too large */
  BGAP_FAILURE_ERROR,    /* the head was classified as BGAP_HEAD_ERROR */
  BGAP_FAILURE_REMOVED,  /* the server was removed from the pool */
  BGAP_FAILURE_NOT_SENT, /* ops.may_send returned false */
  BGAP_FAILURE_COUNT
};

/**
 * struct bgap_backend_failure - how an attempt failed
 * @kind: reason
 * @sent: whether a byte of the request may have been sent; if false, the
 *   request was certainly not executed
 * @connection_refused: whether the connection was refused (ECONNREFUSED), that
 *   is no process listens at the address
 * @reused: whether the connection had been used by an earlier attempt
 * @head_reported: whether ops.head has been called
 * @message: human-readable reason
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
 * struct bgap_backend_ops - callbacks of an attempt
 * @may_send: the connection has opened: whether the request may still be
 *   sent, of which no byte has been; not called if the connection was open
 *   before; NULL means always. If not, the attempt fails as
 *   BGAP_FAILURE_NOT_SENT, and the connection stays open for later ones. Must
 *   not end the attempt itself.
 * @classify: classifies a head, and sets @refusal if it returns
 *   BGAP_HEAD_REFUSAL; NULL means that a 409 with a known Bgap-Refused is
 *   BGAP_HEAD_REFUSAL and everything else BGAP_HEAD_RESPONSE
 * @head: the head of the response was received; @headers contains no
 *   hop-by-hop fields and is valid only during the call; Content-Length is
 *   kept if the body has one
 * @body: the next bytes of the body; may be NULL
 * @complete: the response is complete
 * @refused: the head was classified as a refusal; ops.head is not called
 * @failed: the attempt ended without a complete response
 */
struct bgap_backend_ops
{
  bool (*may_send) (void *user, struct bgap_backend_attempt_id id);
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
 * @deadline_ms: time for the whole attempt from now, including connecting and
 *   the body; 0 means the default of the backend
 * @identity: the same number for all attempts whose responses cannot be told
 *   apart, 0 if there are no others. An attempt is not sent on a connection on
 *   which another of them was refused: the server may send the refusal again.
 * @response_size_max: limit of the response's body in bytes; a longer one
 *   makes the attempt fail as BGAP_FAILURE_PROTOCOL; 0 means none
 * @receive_size: bytes of the response that may be read ahead while it is
 *   paused, each by the client, if its head is not larger, and by the kernel;
 *   0 means the read_size of the backend, and as much as the kernel wants
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
  uint64_t identity;
  uint64_t response_size_max;
  uint32_t receive_size;
  const struct bgap_backend_ops *ops;
  void *user;
};

/**
 * struct bgap_backend_desc - options
 * @base: event loop, required
 * @counters: registry for bgap_backend_* counters; NULL means none
 * @servers_max: limit of servers; 0 means 256
 * @connections_max: limit of connections to all servers; 0 means 4096
 * @connect_timeout_ms: time limit for opening a connection; 0 means 1000
 * @idle_timeout_ms: time after which an idle connection is closed; 0 means
 *   30000
 * @deadline_ms: default deadline of an attempt; 0 means 30000
 * @head_size_max: limit of a response head in bytes; 0 means 16384
 * @tcp_user_timeout_ms: TCP_USER_TIMEOUT: a connection breaks if sent bytes
 *   stay unacknowledged for this time; 0 means the system's default
 * @accept_close_delimited: accept responses without a length, which end with
 *   their connection; if the connection is reset, the response is incomplete
 * @read_size: bytes read from a connection at a time, which bounds the memory
 *   for a paused response; 0 means 65536
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
 * bgap_backend_setup() - create a client; ignores SIGPIPE from then on
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_backend_setup (struct bgap_backend **backend,
                                     const struct bgap_backend_desc *desc,
                                     struct bgap_error *err);

/**
 * bgap_backend_shutdown() - close all connections, without callbacks
 * @backend: NULL is allowed
 */
void bgap_backend_shutdown (struct bgap_backend *backend);

/**
 * bgap_backend_add_server() - add a server; the first attempt opens a
 * connection
 * @address: numeric address and port
 * @connections: limit of connections to the server, at least 1
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
 * If the limit is lowered, excess connections are closed when their attempts
 * end.
 *
 * Return: BGAP_OK, BGAP_ERR_NOT_FOUND or BGAP_ERR_INVALID.
 */
enum bgap_status bgap_backend_set_limit (struct bgap_backend *backend,
                                         struct bgap_backend_server_id id,
                                         uint32_t connections);

/**
 * bgap_backend_remove_server() - remove a server and close its connections
 *
 * Running attempts fail as BGAP_FAILURE_REMOVED, from the event loop.
 */
void bgap_backend_remove_server (struct bgap_backend *backend,
                                 struct bgap_backend_server_id id);

/**
 * bgap_backend_free_connections() - number of attempts that can be started
 * now
 */
uint32_t bgap_backend_free_connections (const struct bgap_backend *backend,
                                        struct bgap_backend_server_id id);

/**
 * bgap_backend_idle_connections() - number of open connections without an
 * attempt; the server has answered on each of them, unless ops.may_send held
 * back the first request, and the next attempt uses one
 */
uint32_t bgap_backend_idle_connections (const struct bgap_backend *backend,
                                        struct bgap_backend_server_id id);

/**
 * bgap_backend_send() - start an attempt
 *
 * Return: BGAP_OK, BGAP_ERR_NOT_FOUND (unknown server), BGAP_ERR_FULL (no
 * connection is free), BGAP_ERR_INVALID or BGAP_ERR_NO_MEMORY. On an error
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
 * bgap_backend_pause() - stop reading the response; the deadline still applies
 *
 * Until bgap_backend_resume() only ops.failed may be called.
 *
 * Return: BGAP_OK or BGAP_ERR_NOT_FOUND.
 */
enum bgap_status bgap_backend_pause (struct bgap_backend *backend,
                                     struct bgap_backend_attempt_id id);

/**
 * bgap_backend_resume() - continue reading; callbacks are called from the
 * event loop
 *
 * Return: BGAP_OK or BGAP_ERR_NOT_FOUND.
 */
enum bgap_status bgap_backend_resume (struct bgap_backend *backend,
                                      struct bgap_backend_attempt_id id);

/**
 * bgap_backend_unprocessed() - bytes of responses that were read and not yet
 * passed on, because they are paused or their heads are incomplete
 */
size_t bgap_backend_unprocessed (const struct bgap_backend *backend);

/**
 * bgap_refusal_parse() - parse the value of a Bgap-Refused header
 *
 * Return: the reason, or BGAP_REFUSAL_NONE for any other text. A 409 with such
 * a text does not prove that the request was not executed; it is an ordinary
 * response of the service.
 */
enum bgap_refusal bgap_refusal_parse (const char *text);

/**
 * bgap_refusal_name() - value of the Bgap-Refused header, never NULL
 */
const char *bgap_refusal_name (enum bgap_refusal refusal);

/**
 * bgap_failure_name() - short lower-case name, never NULL
 */
const char *bgap_failure_name (enum bgap_failure_kind kind);

#endif
