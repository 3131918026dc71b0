#ifndef BANYANGAP_ROUTING_ACTION_H
#define BANYANGAP_ROUTING_ACTION_H

/*
 * Actions that the router requests from the I/O layer. Take them one at a
 * time:
 *
 *   struct bgap_router_action action;
 *   while (bgap_router_next_action (&router, &action))
 *     switch (action.kind)
 *       {
 *       case BGAP_ROUTER_ACTION_DISPATCH: ...
 *       }
 *
 * Pointers in an action are valid until the next call to
 * bgap_router_next_action or bgap_router_shutdown. Other functions of the
 * router may be called while an action is carried out.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "banyangap/routing/types.h"

/**
 * enum bgap_router_action_kind - kinds of actions
 */
enum bgap_router_action_kind
{
  /* Send @request to @server as @attempt and report its events with
     bgap_router_on_attempt. Uses token, deadline_ms, keep_body.  */
  BGAP_ROUTER_ACTION_DISPATCH,
  /* Close the connection of @attempt and report no event for it.  */
  BGAP_ROUTER_ACTION_CANCEL_ATTEMPT,
  /* End @request and answer its caller. The handle is stale afterwards.  */
  BGAP_ROUTER_ACTION_FINISH,
  /* Look up the holder of the key again and report it with
     bgap_router_resolved, at once or later.  */
  BGAP_ROUTER_ACTION_RESOLVE,
  /* Append @bytes to the stream once.<service> and report the result with
     bgap_router_on_append_done.  */
  BGAP_ROUTER_ACTION_APPEND,
  /* Send @bytes to all other instances of the zone as a message of kind
     @peer_kind; one of kind BGAP_ROUTING_MESSAGE_RATE_LIMITS to all that share
     the servers.  */
  BGAP_ROUTER_ACTION_SEND_PEER,
  /* Send @bytes to @instance as a message of kind @peer_kind. It may get
     lost.  */
  BGAP_ROUTER_ACTION_SEND_INSTANCE,
  /* Send a health check to @server and report its result with
     bgap_router_server_checked, later. Only after bgap_router_set_view_time.
   */
  BGAP_ROUTER_ACTION_CHECK_SERVER,
  BGAP_ROUTER_ACTION_KIND_COUNT
};

/**
 * enum bgap_reason - why a request ended, for metrics, logs and error bodies;
 * with the status code of the answer
 */
enum bgap_reason
{
  BGAP_REASON_ANSWERED,       /* a server's answer, forwarded */
  BGAP_REASON_STORED,         /* answer from an idempotency record */
  BGAP_REASON_STORED_DROPPED, /* it ran; its answer was not kept: 410 */
  BGAP_REASON_QUEUE_FULL,     /* 503 */
  BGAP_REASON_DEADLINE,       /* passed, or cannot be met */
  BGAP_REASON_NO_SERVER,      /* no server, or no holder of the key: 503 */
  BGAP_REASON_REFUSED,        /* servers refused it: 503 */
  BGAP_REASON_RETRY_BUDGET,   /* retry budget is used up: 429 */
  BGAP_REASON_BROKEN,         /* connection lost: 502 */
  BGAP_REASON_FAILED,         /* servers answered with errors: 502 */
  BGAP_REASON_CRASH_SUSPECT,  /* in flight when servers died: 502 */
  BGAP_REASON_QUARANTINED,    /* 422 */
  BGAP_REASON_KEY_MISSING,    /* no valid Idempotency-Key: 400 */
  BGAP_REASON_KEY_EXPIRED,    /* older than the window: 409 */
  BGAP_REASON_KEY_FUTURE,     /* dated ahead of the clock: 409 */
  BGAP_REASON_KEY_REUSED,     /* used for another request: 422 */
  BGAP_REASON_IDEMPOTENCY_NOT_READY,   /* replay not done: 503 */
  BGAP_REASON_IDEMPOTENCY_FULL,        /* too many keys: 503 */
  BGAP_REASON_IDEMPOTENCY_NO_RECORD,   /* intent not recorded: 503 */
  BGAP_REASON_IDEMPOTENCY_WINNER_LOST, /* the request that won the key
                                          has no known outcome: 504 */
  BGAP_REASON_PAUSED,                  /* servers asked for a pause: 503 */
  BGAP_REASON_EVACUATED,               /* all zones are evacuated: 503 */
  BGAP_REASON_REMOVED,                 /* the service was removed: 503 */
  BGAP_REASON_SHUTDOWN,                /* the instance shuts down: 503 */
  BGAP_REASON_COUNT
};

/**
 * bgap_reason_name() - short lower-case text, never NULL
 */
const char *bgap_reason_name (enum bgap_reason reason);

/**
 * struct bgap_router_action - an action; unused fields are zero
 * @request: DISPATCH, FINISH, RESOLVE
 * @context: context of the request, as passed to bgap_router_request
 * @attempt: DISPATCH, CANCEL_ATTEMPT
 * @service: all kinds except SEND_PEER and SEND_INSTANCE
 * @server: DISPATCH, CANCEL_ATTEMPT, CHECK_SERVER
 * @token: DISPATCH, fencing token of a keyed request
 * @deadline_ms: DISPATCH, milliseconds left for the answer (more than 0);
 *   report TIMEOUT when they have passed
 * @cost_ms: DISPATCH, FINISH, expected cost of the request, 0 if not known
 * @work_ms: DISPATCH, work that the server still had to do before, expected
 * @keep_body: DISPATCH, keep up to BGAP_IDEMPOTENCY_BODY_MAX bytes of the
 * answer for the result COMPLETE
 * @outcome: FINISH
 * @reason: FINISH
 * @http_status: FINISH, status code for the caller
 * @retry_after_s: FINISH, header Retry-After in seconds, 0 for none
 * @retry_after_ms: FINISH, wait before a retry in milliseconds, estimated from
 *   the queue; 0 for none
 * @expected_ms: FINISH: the time that its answer was expected to take, if the
 *   request was refused because of that or compared with the end of the
 *   process, see bgap_router_begin_stop(); 0 otherwise
 * @streamed: FINISH, a part of the answer may have reached the caller already:
 *   with ANSWERED it is complete, otherwise close the caller's connection
 * @append_id: APPEND, for bgap_router_on_append_done
 * @instance: SEND_INSTANCE, name of the recipient
 * @peer_kind: SEND_PEER, SEND_INSTANCE, enum bgap_routing_message
 * @bytes: APPEND: the record; SEND_PEER, SEND_INSTANCE: the message; FINISH
 * with reason STORED: the body
 * @size: size of @bytes in bytes
 * @content_type: FINISH with reason STORED, "" if not known
 */
struct bgap_router_action
{
  enum bgap_router_action_kind kind;
  struct bgap_request_id request;
  void *context;
  struct bgap_attempt_id attempt;
  struct bgap_service_id service;
  struct bgap_server_id server;
  uint64_t token;
  int64_t deadline_ms;
  int64_t cost_ms;
  int64_t work_ms;
  bool keep_body;
  enum bgap_outcome outcome;
  enum bgap_reason reason;
  int http_status;
  int retry_after_s;
  int64_t retry_after_ms;
  int64_t expected_ms;
  bool streamed;
  uint32_t append_id;
  const char *instance;
  int peer_kind;
  const void *bytes;
  size_t size;
  const char *content_type;
};

#endif
