#ifndef BANYANGAP_GATEWAY_BACKEND_PRIVATE_H
#define BANYANGAP_GATEWAY_BACKEND_PRIVATE_H

/*
 * State shared by backend.c (servers and attempts), backend_connection.c (one
 * connection) and backend_response.c (the response on it).
 */

#include <event2/bufferevent.h>
#include <event2/event_struct.h>
#include <sys/queue.h>

#include "address.h"
#include "banyangap/base/pool.h"
#include "banyangap/gateway/backend.h"
#include "http_body.h"

/**
 * enum backend_state - what a connection is doing
 */
enum backend_state
{
  BACKEND_CONNECTING,
  BACKEND_HEAD, /* waits for the head of a response */
  BACKEND_BODY, /* reads the body of a response */
  BACKEND_IDLE, /* open, without an attempt */
  BACKEND_DEAD  /* closed; freed from the event loop */
};

struct backend_connection;
LIST_HEAD (backend_connection_list, backend_connection);

/**
 * struct backend_server - one server
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
 * @server: NULL once the server was removed
 * @wake: continues with what has been read, from the event loop
 * @attempt: handle in the pool of attempts
 * @sent: a byte of the request may have been sent
 * @not_reusable: the connection cannot be reused
 * @peer_closed: the other side has closed; what was read before still counts
 * @peer_closed_cleanly: it has closed in order, without a reset
 * @close_delimited: the body ends with the connection
 * @connection_refused: no process listens at the address
 * @is_server_error: the response is an error of the server that is not passed
 * on
 * @is_stale: the response being read belongs to an earlier attempt
 * @idle_limit_ms: how long it may stay open without an attempt
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
  bool close_delimited;
  bool is_stale;
  bool is_server_error;
  bool connection_refused;
  bool is_server_removed;
  int64_t idle_limit_ms;

  uint32_t attempt;
  const struct bgap_backend_ops *ops;
  void *user;
  int64_t deadline_at_ms;
  bool is_head_request;
  bool sent;
  bool paused;
  bool head_reported;
  uint32_t interim_count;
  uint64_t discarded;
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
 * bgap_backend_now_ms() - time that deadlines refer to
 */
int64_t bgap_backend_now_ms (void);

/**
 * bgap_backend_connection_new() - open a connection to a server
 *
 * Return: NULL if memory is short.
 */
struct backend_connection *
bgap_backend_connection_new (struct bgap_backend *backend,
                             struct backend_server *server);

/**
 * bgap_backend_connection_take_idle() - an open connection that the server has
 * not closed, or NULL
 */
struct backend_connection *
bgap_backend_connection_take_idle (struct backend_server *server);

/**
 * bgap_backend_connection_start() - wait for the response; the request is in
 * the output buffer
 */
void bgap_backend_connection_start (struct backend_connection *connection,
                                    uint32_t deadline_ms);

/**
 * bgap_backend_connection_close() - close; the structure lives until the event
 * loop runs
 */
void bgap_backend_connection_close (struct backend_connection *connection);

/**
 * bgap_backend_connection_set_timer() - set the timer
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
 * bgap_backend_connection_process() - use what has been read
 */
void bgap_backend_connection_process (struct backend_connection *connection);

/**
 * bgap_backend_reap() - free closed connections
 */
void bgap_backend_reap (struct bgap_backend *backend);

#endif
