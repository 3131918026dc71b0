#ifndef BANYANGAP_ROUTING_ATTEMPT_H
#define BANYANGAP_ROUTING_ATTEMPT_H

/*
 * Events of an attempt, which the I/O layer reports to the router.
 *
 *   struct bgap_attempt_result result = {
 *     .kind = BGAP_RESULT_COMPLETE, .http_status = 200,
 *     .body = body, .body_size = size };
 *   bgap_router_on_attempt (&router, now_ms, attempt, &result);
 */

#include <stdbool.h>
#include <stddef.h>

/**
 * enum bgap_result_kind - kinds of events of an attempt
 *
 * STARTED is followed by exactly one of COMPLETE, BROKEN or TIMEOUT. All other
 * kinds end the attempt.
 */
enum bgap_result_kind
{
  BGAP_RESULT_STARTED,    /* status line received; the answer is streamed */
  BGAP_RESULT_COMPLETE,   /* the whole answer was received */
  BGAP_RESULT_FENCED,     /* 409, Bgap-Refused: fenced */
  BGAP_RESULT_SHED,       /* 409, Bgap-Refused: shed */
  BGAP_RESULT_DRAINING,   /* 409, Bgap-Refused: draining */
  BGAP_RESULT_NO_CONNECT, /* failed before any byte was sent */
  BGAP_RESULT_NOT_SENT,   /* as bgap_router_may_send() demanded */
  BGAP_RESULT_BROKEN,     /* connection lost after bytes were sent */
  BGAP_RESULT_FAILED,     /* the server answered with an error */
  BGAP_RESULT_TIMEOUT,    /* no answer in time; the connection is closed */
  BGAP_RESULT_COUNT
};

/**
 * struct bgap_attempt_result - event of an attempt
 * @http_status: status code of the answer, with STARTED and COMPLETE
 * @body: with COMPLETE, the whole answer body, or NULL if it was not kept
 * @body_size: size of @body in bytes
 * @body_dropped: the answer has a body that is not at @body, because it is
 *   longer than BGAP_IDEMPOTENCY_BODY_MAX or was not kept
 * @content_type: with COMPLETE, may be NULL
 *
 * A body is only needed if the action DISPATCH had keep_body set. The router
 * copies what it keeps.
 */
struct bgap_attempt_result
{
  enum bgap_result_kind kind;
  int http_status;
  const void *body;
  size_t body_size;
  bool body_dropped;
  const char *content_type;
};

/**
 * bgap_result_proves_not_run() - whether the server certainly did not run the
 * request
 */
bool bgap_result_proves_not_run (enum bgap_result_kind kind);

#endif
