#ifndef BANYANGAP_GATEWAY_BACKEND_PRIVATE_H
#define BANYANGAP_GATEWAY_BACKEND_PRIVATE_H

/*
 * State shared by backend.c (servers and attempts), backend_connection.c (one
 * connection) and backend_response.c (the response).
 */

#include <event2/bufferevent.h>
#include <event2/event_struct.h>
#include <sys/queue.h>

#include "address.h"
#include "banyangap/base/pool.h"
#include "banyangap/gateway/backend.h"
#include "http_body.h"

/* Number of refused attempts that a connection remembers. With as many it is
   closed, so that none is forgotten.  */
#define BACKEND_REFUSED_MAX 16

/**
 * enum backend_state - state of a connection
 */
enum backend_state
{
  BACKEND_CONNECTING,
  BACKEND_HEAD, /* waiting for the head of a response */
  BACKEND_BODY, /* reading the body of a response */
  BACKEND_IDLE, /* open, without an attempt */
  BACKEND_DEAD  /* closed; will be freed from the event loop */
};

struct backend_connection;
LIST_HEAD (backend_connection_list, backend_connection);

/**
 * struct backend_server - a server and its connections
 * @limit: limit of connections
 * @open_count: connections that are open or being opened
 */
struct backend_server
{
  struct bgap_address address;
  char name[BGAP_ADDRESS_TEXT_SIZE];
  uint32_t limit;
  uint32_t open_count;
  uint32_t idle_count;
  struct backend_connection_list idle;
};

/**
 * struct backend_connection - a connection and the attempt on it
 * @server: NULL after the server was removed
 * @wake: resumes processing of buffered input from the event loop
 * @attempt: handle in the pool of attempts
 * @sent: a byte of the request may have been sent
 * @not_reusable: close the connection after this response
 * @peer_closed: the server has closed or reset the connection; input that was
 *   read before is still processed
 * @peer_closed_cleanly: the server has closed it with a FIN, not a reset
 * @write_failed: part of the request could not be sent. The failed write takes
 *   the pending error from the socket, so that the next read sees an end of
 *   stream even if the connection was reset.
 * @close_delimited: the body ends with the connection
 * @connection_refused: the connection was refused (ECONNREFUSED)
 * @is_server_error: the head was classified as BGAP_HEAD_ERROR; the body is
 *   discarded
 * @is_stale: the response being read belongs to an earlier attempt
 * @idle_limit_ms: how long the connection may stay open without an attempt
 * @idle_until_ms: when that time ends, while it has none
 * @identity: of the attempt, see struct bgap_backend_request
 * @refused: identities of the attempts that were refused on the connection
 * @interim_count: interim (1xx) responses so far
 * @stale_count: responses of earlier requests so far
 * @discarded: bytes of the body that were discarded
 * @passed_on: bytes of the body that were passed to ops.body
 * @response_size_max: limit of @passed_on, 0 if there is none
 * @receive_size: see struct bgap_backend_request
 */
struct backend_connection
{
  LIST_ENTRY (backend_connection) next;
  LIST_ENTRY (backend_connection) next_idle;
  struct bgap_backend *backend;
  struct backend_server *server;
  struct bufferevent *bev;
  struct event timer;
  struct event wake;
  enum backend_state state;
  bool reused;
  bool not_reusable;
  bool peer_closed;
  bool peer_closed_cleanly;
  bool write_failed;
  bool close_delimited;
  bool is_stale;
  bool is_server_error;
  bool connection_refused;
  bool is_server_removed;
  int64_t idle_limit_ms;
  int64_t idle_until_ms;

  uint32_t attempt;
  uint64_t identity;
  uint64_t refused[BACKEND_REFUSED_MAX];
  uint32_t refused_count;
  const struct bgap_backend_ops *ops;
  void *user;
  int64_t deadline_at_ms;
  bool is_head_request;
  bool sent;
  bool paused;
  bool head_reported;
  uint32_t interim_count;
  uint32_t stale_count;
  uint64_t discarded;
  uint64_t passed_on;
  uint64_t response_size_max;
  uint32_t receive_size;
  enum bgap_refusal refusal;
  struct bgap_http_body body;
};

struct bgap_backend
{
  struct bgap_backend_desc desc;
  struct bgap_pool servers;
  struct bgap_pool attempts; /* of pointers to connections */
  struct backend_connection_list connections;
  struct backend_connection_list dead;
  uint32_t connection_count;
  struct event reap;
  uint64_t unregistered_counter;
  uint64_t *attempts_total;
  uint64_t *opened_total;
  uint64_t *connections_open;
  uint64_t *refusals_total[BGAP_REFUSAL_COUNT];
  uint64_t *failures_total[BGAP_FAILURE_COUNT];
};

/**
 * bgap_backend_now_ms() - current time of the clock for deadlines
 */
int64_t bgap_backend_now_ms (void);

/**
 * bgap_backend_connection_new() - open a connection to a server
 *
 * Return: the connection, or NULL if memory is exhausted.
 */
struct backend_connection *
bgap_backend_connection_new (struct bgap_backend *backend,
                             struct backend_server *server);

/**
 * bgap_backend_connection_set_idle() - keep a connection without an attempt
 * for later ones
 */
void bgap_backend_connection_set_idle (struct backend_connection *connection);

/**
 * bgap_backend_connection_is_usable() - whether the server has not closed an
 * idle connection, nor sent anything, and its idle time has not ended
 */
bool bgap_backend_connection_is_usable (
    const struct backend_connection *connection);

/**
 * bgap_backend_connection_take_idle() - take a usable idle connection
 * @identity: of the attempt; none of the same may have been refused on the
 *   connection
 *
 * Return: the connection, or NULL.
 */
struct backend_connection *
bgap_backend_connection_take_idle (struct backend_server *server,
                                   uint64_t identity);

/**
 * bgap_backend_connection_close_idle() - close an idle connection, if there is
 * one, to make room for a new one
 */
void bgap_backend_connection_close_idle (struct backend_server *server);

/**
 * bgap_backend_connection_set_receive_size() - set the limits of what is read
 * ahead; see struct bgap_backend_request
 */
void bgap_backend_connection_set_receive_size (
    struct backend_connection *connection, uint32_t size);

/**
 * bgap_backend_connection_start() - connect if necessary and wait for the
 * response; the request must be in the output buffer
 * @deadline_ms: time for the attempt from now
 */
void bgap_backend_connection_start (struct backend_connection *connection,
                                    uint32_t deadline_ms);

/**
 * bgap_backend_connection_close() - close a connection; the structure is freed
 * later from the event loop
 */
void bgap_backend_connection_close (struct backend_connection *connection);

/**
 * bgap_backend_connection_set_timer() - set the timer that ends the attempt or
 * closes an idle connection
 */
void bgap_backend_connection_set_timer (struct backend_connection *connection,
                                        int64_t ms);

/**
 * bgap_backend_connection_fail() - close the connection and end its attempt
 */
void bgap_backend_connection_fail (struct backend_connection *connection,
                                   enum bgap_failure_kind kind,
                                   const char *message);

/**
 * bgap_backend_connection_check_send() - end the attempt on a connection that
 * has opened if its request may not be sent any more
 */
void
bgap_backend_connection_check_send (struct backend_connection *connection);

/**
 * bgap_backend_connection_process() - process buffered input
 */
void bgap_backend_connection_process (struct backend_connection *connection);

/**
 * bgap_backend_reap() - free closed connections
 */
void bgap_backend_reap (struct bgap_backend *backend);

#endif
