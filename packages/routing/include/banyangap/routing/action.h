#ifndef BANYANGAP_ROUTING_ACTION_H
#define BANYANGAP_ROUTING_ACTION_H

/*
 * What the router asks the I/O layer to do. Taken one at a time:
 *
 *   struct bgap_router_action action;
 *   while (bgap_router_next_action (&router, &action))
 *     switch (action.kind)
 *       {
 *       case BGAP_ROUTER_ACTION_DISPATCH: ...
 *       }
 *
 * Pointers in an action are valid until the next call to
 * bgap_router_next_action or bgap_router_shutdown. Calling other functions of
 * the router while an action is carried out is allowed.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "banyangap/routing/types.h"

/**
 * enum bgap_router_action_kind - kind of an action
 */
enum bgap_router_action_kind
{
  /* Send @request to @server as @attempt; report with
     bgap_router_on_attempt. Uses token, deadline_ms, keep_body.  */
  BGAP_ROUTER_ACTION_DISPATCH,
  /* Close the connection of @attempt. Nothing is reported for it.  */
  BGAP_ROUTER_ACTION_CANCEL_ATTEMPT,
  /* End @request towards its caller. The handle is stale afterwards.  */
  BGAP_ROUTER_ACTION_FINISH,
  /* Look up the holder of the key again and answer with
     bgap_router_resolved; at once or later.  */
  BGAP_ROUTER_ACTION_RESOLVE,
  /* Append bytes to the stream once.<service> and report with
     bgap_router_on_append_done.  */
  BGAP_ROUTER_ACTION_APPEND,
  /* Send bytes to all other instances of the zone as message kind
     peer_kind.  */
  BGAP_ROUTER_ACTION_SEND_PEER,
  BGAP_ROUTER_ACTION_KIND_COUNT
};

/**
 * enum bgap_reason - why a request ended, for metrics, logs and bodies
 */
enum bgap_reason
{
  BGAP_REASON_ANSWERED,         /* answer of a server, forwarded */
  BGAP_REASON_STORED,           /* answer from the once stream */
  BGAP_REASON_STORED_DROPPED,   /* it ran; its answer was not kept: 410 */
  BGAP_REASON_QUEUE_FULL,       /* 503 */
  BGAP_REASON_DEADLINE,         /* cannot meet, or has passed */
  BGAP_REASON_NO_SERVER,        /* no server, or no holder of the key: 503 */
  BGAP_REASON_REFUSED,          /* servers refused it: 503 */
  BGAP_REASON_BUDGET,           /* retry budget is used up: 429 */
  BGAP_REASON_BROKEN,           /* connection lost: 502 */
  BGAP_REASON_FAILED,           /* servers answered with errors: 502 */
  BGAP_REASON_CRASH_SUSPECT,    /* in flight when servers died: 502 */
  BGAP_REASON_QUARANTINED,      /* 422 */
  BGAP_REASON_KEY_MISSING,      /* no valid Idempotency-Key: 400 */
  BGAP_REASON_KEY_EXPIRED,      /* older than the window: 409 */
  BGAP_REASON_KEY_FUTURE,       /* dated ahead of the clock: 409 */
  BGAP_REASON_DIGEST,           /* another request has the key: 422 */
  BGAP_REASON_ONCE_NOT_READY,   /* the stream is not replayed yet: 503 */
  BGAP_REASON_ONCE_FULL,        /* table of keys is full: 503 */
  BGAP_REASON_ONCE_NO_RECORD,   /* the intent could not be recorded: 503 */
  BGAP_REASON_ONCE_WINNER_LOST, /* another attempt has no known outcome: 504 */
  BGAP_REASON_REMOVED,          /* the service was removed: 503 */
  BGAP_REASON_SHUTDOWN,         /* the instance leaves: 503 */
  BGAP_REASON_COUNT
};

/**
 * bgap_reason_name() - short lower-case name, never NULL
 */
const char *bgap_reason_name (enum bgap_reason reason);

/**
 * struct bgap_router_action - an action; unused fields are zero
 * @request: DISPATCH, FINISH, RESOLVE
 * @context: of the request, as given to bgap_router_request
 * @attempt: DISPATCH, CANCEL_ATTEMPT
 * @service: all but SEND_PEER
 * @server: DISPATCH, CANCEL_ATTEMPT
 * @token: DISPATCH, fencing token of a keyed request
 * @deadline_ms: DISPATCH, milliseconds left for the answer (more than 0);
 *   report TIMEOUT after it
 * @keep_body: DISPATCH, keep up to BGAP_IDEMPOTENCY_BODY_MAX bytes of the
 * answer for the result COMPLETE
 * @outcome: FINISH
 * @reason: FINISH
 * @http_status: FINISH, status code for the caller
 * @retry_after_s: FINISH, header Retry-After in seconds, 0 for none
 * @retry_after_ms: FINISH, the same in milliseconds, estimated from the queue
 * @streamed: FINISH, the answer has started to reach the caller: with
 *   ANSWERED it is complete, otherwise break the caller's connection
 * @append_id: APPEND, for bgap_router_on_append_done
 * @peer_kind: SEND_PEER, enum bgap_routing_message
 * @bytes: APPEND: the record; SEND_PEER: the message; FINISH with reason
 *   STORED: the body
 * @size: bytes at @bytes
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
  bool keep_body;
  enum bgap_outcome outcome;
  enum bgap_reason reason;
  int http_status;
  int retry_after_s;
  int64_t retry_after_ms;
  bool streamed;
  uint32_t append_id;
  int peer_kind;
  const void *bytes;
  size_t size;
  const char *content_type;
};

#endif
