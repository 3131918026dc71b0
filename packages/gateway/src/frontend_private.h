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
 * enum frontend_state - what a connection is doing
 */
enum frontend_state
{
  FRONTEND_HEAD,    /* waits for a head or receives it */
  FRONTEND_BODY,    /* receives a body */
  FRONTEND_RUNNING, /* the request was handed over */
  FRONTEND_FLUSH,   /* the last response is being sent */
  FRONTEND_LINGER,  /* all is sent; waits for the caller to close */
  FRONTEND_DEAD     /* closed; freed from the event loop */
};

/**
 * struct frontend_connection - a caller's connection and its exchange
 * @wake: continues with what has been read, from the event loop
 * @head_started: a byte of the head has arrived
 * @peer_closed: the caller will send nothing more
 * @exchange: handle in the pool of exchanges while RUNNING
 * @body_reserved: bytes of the body counted in bodies_size
 * @close_after_response: the connection ends after the exchange
 * @response_started: the head of the response was sent
 * @is_full: the response buffer was above its limit
 * @body_remaining: bytes of the response's body still to come, with has_length
 */
struct frontend_connection
{
  LIST_ENTRY (frontend_connection) next;
  struct bgap_frontend *frontend;
  struct bufferevent *bev;
  struct event timer;
  struct event wake;
  enum frontend_state state;
  bool head_started;
  bool peer_closed;
  struct bgap_http_head head;
  struct bgap_http_body decoder;
  struct bgap_buffer body;
  size_t body_reserved;
  struct bgap_frontend_request request;

  uint32_t exchange;
  bool close_after_response;
  bool response_started;
  bool is_full;
  bool has_no_body;
  bool has_length;
  bool is_chunked;
  uint64_t body_remaining;
};

LIST_HEAD (frontend_connection_list, frontend_connection);

struct bgap_frontend
{
  struct bgap_frontend_desc desc;
  struct evconnlistener *listener;
  uint16_t port;
  struct bgap_pool exchanges; /* of pointers to connections */
  struct frontend_connection_list connections;
  struct frontend_connection_list dead;
  uint32_t connection_count;
  size_t bodies_size;
  bool is_stopping;
  bool closes_after_response;
  struct event reap;
  struct event accept_resume;
  struct event stopped;
  uint64_t unregistered_counter;
  uint64_t *connections_open;
  uint64_t *requests_total;
  uint64_t *refused_total;
  uint64_t *cancelled_total;
  uint64_t *broken_total;
};

/**
 * bgap_frontend_connection_new() - serve an accepted socket; owns @fd
 */
void bgap_frontend_connection_new (struct bgap_frontend *frontend,
                                   evutil_socket_t fd,
                                   const struct sockaddr *peer);

/**
 * bgap_frontend_connection_close() - close; the structure lives until the
 * event loop runs
 * @reset: discard what has not been sent and reset the connection
 */
void bgap_frontend_connection_close (struct frontend_connection *connection,
                                     bool reset);

/**
 * bgap_frontend_connection_is_idle() - whether no request has begun
 */
bool bgap_frontend_connection_is_idle (
    const struct frontend_connection *connection);

/**
 * bgap_frontend_connection_end_exchange() - the response is complete: go on
 * with the next request or close
 */
void
bgap_frontend_connection_end_exchange (struct frontend_connection *connection);

/**
 * bgap_frontend_connection_set_timer() - set the timer
 */
void
bgap_frontend_connection_set_timer (struct frontend_connection *connection,
                                    uint32_t ms);

/**
 * bgap_frontend_connection_flush() - send what is left, then close
 */
void bgap_frontend_connection_flush (struct frontend_connection *connection);

/**
 * bgap_frontend_connection_release_body() - end the count of a body
 */
void
bgap_frontend_connection_release_body (struct frontend_connection *connection);

/**
 * bgap_frontend_connection_refuse() - answer a request that the daemon never
 * sees, and close
 */
void bgap_frontend_connection_refuse (struct frontend_connection *connection,
                                      int status, const char *message);

/**
 * bgap_frontend_connection_process() - use what has been read
 */
void bgap_frontend_connection_process (struct frontend_connection *connection);

/**
 * bgap_frontend_reap() - free closed connections
 */
void bgap_frontend_reap (struct bgap_frontend *frontend);

/**
 * bgap_frontend_check_stopped() - schedule ops.stopped if nothing is left
 */
void bgap_frontend_check_stopped (struct bgap_frontend *frontend);

#endif
