#ifndef BANYANGAP_GATEWAY_FRONTEND_H
#define BANYANGAP_GATEWAY_FRONTEND_H

/*
 * HTTP server for callers. ops.request is called when the head and body of a
 * request are complete; the response is streamed.
 *
 *   static void
 *   on_request (void *context, struct bgap_exchange_id id,
 *               const struct bgap_frontend_request *request)
 *   {
 *     bgap_frontend_start (frontend, id, 200, &headers);
 *     bgap_frontend_write (frontend, id, bytes, size);
 *     bgap_frontend_finish (frontend, id);
 *   }
 *
 *   struct bgap_frontend *frontend;
 *   bgap_frontend_setup (&frontend, &(struct bgap_frontend_desc){
 *     .base = base, .address = "127.0.0.1:8080",
 *     .ops = { .request = on_request, .cancel = on_cancel,
 *              .resume = on_resume, .context = daemon } }, &err);
 *   ...
 *   bgap_frontend_stop (frontend);      (ops.stopped follows)
 *   bgap_frontend_shutdown (frontend);
 *
 * An exchange (one request and its response) ends with
 * bgap_frontend_finish(), _abort() or _reply(), or with ops.cancel when the
 * caller disconnects or stops reading. Its id is stale afterwards: calls with
 * a stale id return BGAP_ERR_NOT_FOUND and have no other effect. The request,
 * its headers and its body stay valid until the exchange ends, so that
 * attempts can be retried.
 *
 * Requests that the frontend rejects itself (malformed, too large, too slow)
 * are not passed to ops.request and are answered with "Bgap-Outcome: not-run".
 */

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#include "banyangap/base/counters.h"
#include "banyangap/gateway/headers.h"
#include "banyangap/gateway/target.h"

/**
 * struct bgap_exchange_id - handle of one request and its response
 */
struct bgap_exchange_id
{
  uint32_t id;
};

/**
 * struct bgap_frontend_request - a complete request
 * @method: "GET", "POST" and so on
 * @target: path and query as received, not decoded
 * @parts: owner, service and key of @target
 * @headers: as received, without hop-by-hop fields and Content-Length
 * @body: complete body, or NULL if it is empty
 * @body_size: bytes in @body
 * @peer: numeric address and port of the caller's connection
 */
struct bgap_frontend_request
{
  const char *method;
  const char *target;
  struct bgap_target parts;
  struct bgap_headers headers;
  const void *body;
  size_t body_size;
  char peer[64];
};

/**
 * struct bgap_frontend_ops - callbacks of the frontend
 * @request: a complete request was received
 * @cancel: the caller closed its connection or only its sending side, or did
 *   not read for idle_timeout_ms; the exchange has ended
 * @left: a complete request was received and dropped, because its caller had
 *   closed its connection or its sending side before the request was read;
 *   there is no exchange for it; may be NULL
 * @resume: the response buffer, which had exceeded buffer_high, has fallen to
 *   buffer_low; may be NULL
 * @stopped: the last exchange has ended after bgap_frontend_stop(); may be
 *   NULL
 * @context: first argument of all functions
 */
struct bgap_frontend_ops
{
  void (*request) (void *context, struct bgap_exchange_id id,
                   const struct bgap_frontend_request *request);
  void (*cancel) (void *context, struct bgap_exchange_id id);
  void (*left) (void *context, const struct bgap_frontend_request *request);
  void (*resume) (void *context, struct bgap_exchange_id id);
  void (*stopped) (void *context);
  void *context;
};

/**
 * struct bgap_frontend_desc - options
 * @base: event loop, required
 * @address: numeric address and port to listen on; port 0 picks one; required
 * @ops: request and cancel are required
 * @counters: registry for bgap_frontend_* counters; NULL means none
 * @connections_max: limit of connections; 0 means 1024. When it is reached, a
 *   new one replaces the connection that has been idle for longest, or is
 *   closed if none is idle
 * @head_size_max: limit of request line and headers in bytes; 0 means 16384
 * @body_size_max: limit of a request body in bytes, larger ones get 413; 0
 *   means 1048576
 * @bodies_size_max: limit of all request bodies in memory in bytes, a request
 *   that exceeds it gets 503; 0 means 67108864
 * @head_timeout_ms: time limit from the first byte of a head to its end; 0
 *   means 10000
 * @body_timeout_ms: time limit from the end of a head to the end of its body;
 *   0 means 30000
 * @idle_timeout_ms: time limit for a connection without a request, and for a
 *   response of which the caller reads nothing; 0 means 60000
 * @unsent_size_max: bytes of the buffered responses of all connections above
 *   which bgap_frontend_is_full() is true from the low watermark on; 0 means
 *   33554432
 * @large_size_max: bytes of the buffered responses of all connections at which
 *   those that are marked by bgap_frontend_set_large() may buffer no more than
 *   the low watermark; 0 means @unsent_size_max
 * @any_path: do not parse targets; @parts of a request is not set, and
 *   rejections carry no Bgap-Outcome
 * @buffer_high: high watermark: bytes of buffered response above which
 *   bgap_frontend_is_full() is true; 0 means 262144
 * @buffer_low: low watermark: ops.resume is called when the buffer falls to
 *   it; 0 means 65536
 */
struct bgap_frontend_desc
{
  struct event_base *base;
  const char *address;
  struct bgap_frontend_ops ops;
  struct bgap_counters *counters;
  uint32_t connections_max;
  size_t head_size_max;
  size_t body_size_max;
  size_t bodies_size_max;
  uint32_t head_timeout_ms;
  uint32_t body_timeout_ms;
  uint32_t idle_timeout_ms;
  size_t buffer_high;
  size_t buffer_low;
  size_t unsent_size_max;
  size_t large_size_max;
  bool any_path;
};

/**
 * struct bgap_frontend_limits - limits that can be changed at run time; 0
 * keeps the current value
 * @head_size_max, @body_size_max, @head_timeout_ms, @idle_timeout_ms: as in
 *   struct bgap_frontend_desc
 */
struct bgap_frontend_limits
{
  size_t head_size_max;
  size_t body_size_max;
  uint32_t head_timeout_ms;
  uint32_t idle_timeout_ms;
};

/**
 * struct bgap_frontend_connections - callers' connections
 * @open: connections now
 * @max: connections_max of struct bgap_frontend_desc
 * @idle_closed: idle connections that were closed to make room for new ones
 * @refused: new connections that were closed at once because none was idle
 */
struct bgap_frontend_connections
{
  uint32_t open;
  uint32_t max;
  uint64_t idle_closed;
  uint64_t refused;
};

struct bgap_frontend;

/**
 * bgap_frontend_setup() - create a server and start to listen; ignores SIGPIPE
 * from then on
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID, BGAP_ERR_NO_MEMORY or BGAP_ERR_IO.
 */
enum bgap_status bgap_frontend_setup (struct bgap_frontend **frontend,
                                      const struct bgap_frontend_desc *desc,
                                      struct bgap_error *err);

/**
 * bgap_frontend_port() - port that the frontend listens on
 */
uint16_t bgap_frontend_port (const struct bgap_frontend *frontend);

/**
 * bgap_frontend_request() - request of a running exchange, or NULL
 */
const struct bgap_frontend_request *
bgap_frontend_request (const struct bgap_frontend *frontend,
                       struct bgap_exchange_id id);

/**
 * bgap_frontend_start() - send the response's head
 * @status: HTTP status from 200 to 599
 * @headers: copied without hop-by-hop fields. With a Content-Length the body
 *   must have that size, without one it is sent in chunks. NULL means none
 *
 * Return: BGAP_OK, BGAP_ERR_NOT_FOUND, or BGAP_ERR_INVALID (bad status or
 * length, or already started).
 */
enum bgap_status bgap_frontend_start (struct bgap_frontend *frontend,
                                      struct bgap_exchange_id id, int status,
                                      const struct bgap_headers *headers);

/**
 * bgap_frontend_set_large() - expect a large response and a slow caller
 *
 * The response may buffer as much as is free of large_size_max, within the
 * watermarks, so that the largest buffers are paused first. ops.resume is
 * called after a part of the buffer has been sent, so that the source does not
 * stay paused for long. The socket of the connection gets a small send buffer
 * from now on.
 */
void bgap_frontend_set_large (struct bgap_frontend *frontend,
                              struct bgap_exchange_id id);

/**
 * bgap_frontend_unsent() - bytes in the response buffers of all connections
 */
size_t bgap_frontend_unsent (const struct bgap_frontend *frontend);

/**
 * bgap_frontend_write() - send a part of the body
 *
 * All bytes are buffered, so pause the source while bgap_frontend_is_full() is
 * true. Bytes for a response without a body (HEAD, 204, 304) are discarded.
 *
 * Return: BGAP_OK, BGAP_ERR_NOT_FOUND, BGAP_ERR_NO_MEMORY, or BGAP_ERR_INVALID
 * (not started, or more than Content-Length).
 */
enum bgap_status bgap_frontend_write (struct bgap_frontend *frontend,
                                      struct bgap_exchange_id id,
                                      const void *bytes, size_t size);

/**
 * bgap_frontend_is_full() - whether to pause the source until ops.resume
 */
bool bgap_frontend_is_full (const struct bgap_frontend *frontend,
                            struct bgap_exchange_id id);

/**
 * bgap_frontend_finish() - the body is complete; the exchange ends
 *
 * If the body is shorter than its Content-Length, the connection is reset as
 * in bgap_frontend_abort().
 *
 * Return: BGAP_OK, BGAP_ERR_NOT_FOUND, or BGAP_ERR_INVALID (not started, or
 * the body was too short).
 */
enum bgap_status bgap_frontend_finish (struct bgap_frontend *frontend,
                                       struct bgap_exchange_id id);

/**
 * bgap_frontend_abort() - the body cannot be completed; the exchange ends
 *
 * The connection is reset, so that the caller cannot take the response for a
 * complete one.
 *
 * Return: BGAP_OK or BGAP_ERR_NOT_FOUND.
 */
enum bgap_status bgap_frontend_abort (struct bgap_frontend *frontend,
                                      struct bgap_exchange_id id);

/**
 * bgap_frontend_reply() - send a complete response; the exchange ends
 * @headers: as for bgap_frontend_start(), without Content-Length
 *
 * Return: as for bgap_frontend_start().
 */
enum bgap_status bgap_frontend_reply (struct bgap_frontend *frontend,
                                      struct bgap_exchange_id id, int status,
                                      const struct bgap_headers *headers,
                                      const void *body, size_t size);

/**
 * bgap_frontend_set_limits() - change limits for requests received from now on
 */
void bgap_frontend_set_limits (struct bgap_frontend *frontend,
                               const struct bgap_frontend_limits *limits);

/**
 * bgap_frontend_close_after_response() - close each connection after its next
 * response, but continue to accept connections
 */
void bgap_frontend_close_after_response (struct bgap_frontend *frontend);

/**
 * bgap_frontend_refuse_incomplete() - reject the requests that have not
 * arrived in full with 503, for a process that ends soon
 */
void bgap_frontend_refuse_incomplete (struct bgap_frontend *frontend);

/**
 * bgap_frontend_has_room() - whether a new connection would be kept: the limit
 * is not reached, or a connection is idle. One on which a request arrives or
 * runs, or a response is being sent, is not idle
 */
bool bgap_frontend_has_room (const struct bgap_frontend *frontend);

/**
 * bgap_frontend_connections() - number of connections, and of those that were
 * closed because of their limit
 */
struct bgap_frontend_connections
bgap_frontend_connections (const struct bgap_frontend *frontend);

/**
 * bgap_frontend_exchanges() - number of running exchanges
 */
uint32_t bgap_frontend_exchanges (const struct bgap_frontend *frontend);

/**
 * bgap_frontend_stop() - stop accepting connections and let running requests
 * finish
 *
 * Idle connections are closed, responses carry "Connection: close", and
 * partially received requests are still served. ops.stopped is called from the
 * event loop once no connection is left, even if none was open.
 */
void bgap_frontend_stop (struct bgap_frontend *frontend);

/**
 * bgap_frontend_shutdown() - close all connections, without callbacks; the
 * only callback that may call it is ops.stopped
 * @frontend: NULL is allowed
 */
void bgap_frontend_shutdown (struct bgap_frontend *frontend);

#endif
