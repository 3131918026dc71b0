#ifndef BANYANGAP_GATEWAY_FRONTEND_PRIVATE_H
#define BANYANGAP_GATEWAY_FRONTEND_PRIVATE_H

/*
 * State shared by frontend.c (listener), frontend_connection.c (connections),
 * frontend_request.c (requests) and frontend_response.c (responses).
 */

#include <event2/bufferevent.h>
#include <event2/event_struct.h>
#include <event2/listener.h>
#include <sys/queue.h>

#include "address.h"
#include "banyangap/base/buffer.h"
#include "banyangap/base/pool.h"
#include "banyangap/gateway/frontend.h"
#include "http_body.h"

/**
 * enum frontend_state - state of a connection
 */
enum frontend_state
{
  FRONTEND_HEAD,    /* waiting for a head or receiving it */
  FRONTEND_BODY,    /* receiving a body */
  FRONTEND_RUNNING, /* the request was passed to ops.request */
  FRONTEND_FLUSH,   /* sending the rest of the last response */
  FRONTEND_LINGER,  /* everything is sent; waiting for the caller to close */
  FRONTEND_DEAD     /* closed; will be freed from the event loop */
};

/**
 * struct frontend_connection - a caller's connection and its exchange
 * @next_idle: entry in the list of idle connections, if in_idle_list is set
 * @wake: resumes processing of buffered input from the event loop
 * @head_started: a byte of the head has arrived
 * @peer_closed: the caller has closed its sending side
 * @exchange: handle in the pool of exchanges while RUNNING
 * @body_reserved: bytes of the body counted in bodies_size
 * @close_after_response: close the connection after the exchange
 * @response_started: the head of the response was sent
 * @is_full: the response buffer has exceeded buffer_high, or its part of
 *   unsent_size_max, and not yet fallen to buffer_low
 * @is_large: see bgap_frontend_set_large()
 * @body_remaining: bytes of the response's body still to be written, if
 *   has_length is set
 */
struct frontend_connection
{
  LIST_ENTRY (frontend_connection) next;
  TAILQ_ENTRY (frontend_connection) next_idle;
  struct bgap_frontend *frontend;
  struct bufferevent *bev;
  struct event timer;
  struct event wake;
  enum frontend_state state;
  bool head_started;
  bool peer_closed;
  bool in_idle_list;
  struct bgap_http_head head;
  struct bgap_http_body decoder;
  struct bgap_buffer body;
  size_t body_reserved;
  struct bgap_frontend_request request;

  uint32_t exchange;
  bool close_after_response;
  bool response_started;
  bool is_full;
  bool is_large;
  bool has_no_body;
  bool has_length;
  bool is_chunked;
  uint64_t body_remaining;
};

LIST_HEAD (frontend_connection_list, frontend_connection);
TAILQ_HEAD (frontend_connection_queue, frontend_connection);

/**
 * struct bgap_frontend - the server
 * @idle: idle connections, the one that has been idle for longest first
 * @idle_closed, @connections_refused: connections closed because of their
 *   limit
 * @bodies_size: bytes of the requests' bodies in memory
 * @unsent_size: bytes in the output buffers of all connections
 */
struct bgap_frontend
{
  struct bgap_frontend_desc desc;
  struct evconnlistener *listener;
  uint16_t port;
  struct bgap_pool exchanges; /* of pointers to connections */
  struct frontend_connection_list connections;
  struct frontend_connection_list dead;
  struct frontend_connection_queue idle;
  uint32_t connection_count;
  uint64_t idle_closed;
  uint64_t connections_refused;
  size_t bodies_size;
  size_t unsent_size;
  bool is_stopping;
  bool closes_after_response;
  struct event reap;
  struct event accept_resume;
  struct event stopped;
  uint64_t unregistered_counter;
  uint64_t *connections_open;
  uint64_t *requests_total;
  uint64_t *refused_total;
  uint64_t *idle_closed_total;
  uint64_t *connections_refused_total;
  uint64_t *cancelled_total;
  uint64_t *left_total;
  uint64_t *broken_total;
};

/**
 * bgap_frontend_connection_new() - serve an accepted socket; owns @fd
 */
void bgap_frontend_connection_new (struct bgap_frontend *frontend,
                                   evutil_socket_t fd,
                                   const struct sockaddr *peer);

/**
 * bgap_frontend_connection_close() - close a connection; the structure is
 * freed later from the event loop
 * @reset: discard unsent bytes and reset the connection
 */
void bgap_frontend_connection_close (struct frontend_connection *connection,
                                     bool reset);

/**
 * bgap_frontend_connection_is_idle() - whether no request has started and no
 * response is being sent
 */
bool bgap_frontend_connection_is_idle (
    const struct frontend_connection *connection);

/**
 * bgap_frontend_connection_update_idle() - put a connection at the end of the
 * list of idle ones and begin its idle time when it has become idle, and take
 * it off the list when it no longer is
 */
void
bgap_frontend_connection_update_idle (struct frontend_connection *connection);

/**
 * bgap_frontend_make_room() - close the connection that has been idle for
 * longest if the limit of connections is reached
 *
 * Return: whether one more connection is within the limit.
 */
bool bgap_frontend_make_room (struct bgap_frontend *frontend);

/**
 * bgap_frontend_connection_end_exchange() - end an exchange whose response is
 * complete, then continue with the next request or close the connection
 */
void
bgap_frontend_connection_end_exchange (struct frontend_connection *connection);

/**
 * bgap_frontend_connection_limit() - bytes that the response may buffer now
 */
size_t
bgap_frontend_connection_limit (const struct frontend_connection *connection);

/**
 * bgap_frontend_connection_set_resume() - check after the next part of the
 * response buffer was sent whether the source can resume
 */
void
bgap_frontend_connection_set_resume (struct frontend_connection *connection);

/**
 * bgap_frontend_connection_set_timer() - set the timer for the current state
 */
void
bgap_frontend_connection_set_timer (struct frontend_connection *connection,
                                    uint32_t ms);

/**
 * bgap_frontend_connection_flush() - send buffered output, then close
 */
void bgap_frontend_connection_flush (struct frontend_connection *connection);

/**
 * bgap_frontend_connection_release_body() - subtract the request's body from
 * bodies_size
 */
void
bgap_frontend_connection_release_body (struct frontend_connection *connection);

/**
 * bgap_frontend_connection_reject() - reject a request before it reaches
 * ops.request, and close the connection
 */
void bgap_frontend_connection_reject (struct frontend_connection *connection,
                                      int status, const char *message);

/**
 * bgap_frontend_connection_process() - process buffered input
 */
void bgap_frontend_connection_process (struct frontend_connection *connection);

/**
 * bgap_frontend_reap() - free closed connections
 */
void bgap_frontend_reap (struct bgap_frontend *frontend);

/**
 * bgap_frontend_check_stopped() - schedule ops.stopped if the frontend is
 * stopping and no connection is left
 */
void bgap_frontend_check_stopped (struct bgap_frontend *frontend);

#endif
