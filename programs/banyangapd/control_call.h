#ifndef BGAPD_CONTROL_CALL_H
#define BGAPD_CONTROL_CALL_H

/*
 * POST of a small JSON body to a backend server, with the whole answer
 * collected: hellos and renewals.
 *
 *   bgap_control_call (upstreams, upstream, "/.bgap/hello", "{}", 2, done,
 *                      context);
 */

#include "upstreams.h"

/**
 * struct bgap_control_result - how a control call ended
 * @upstream: name of the server
 * @end: COMPLETE also for statuses other than 200
 * @status: HTTP status, 0 unless @end is COMPLETE
 * @body: answer, zero-terminated, or NULL
 */
struct bgap_control_result
{
  const char *upstream;
  enum bgap_call_end end;
  int status;
  const char *body;
  size_t body_size;
};

/**
 * bgap_control_call() - start a call; the bytes are copied
 *
 * Return: BGAP_OK, or an error, after which @done is not called.
 */
enum bgap_status bgap_control_call (
    struct bgap_upstreams *upstreams, const struct bgap_upstream *upstream,
    const char *target, const void *bytes, size_t size,
    void (*done) (void *context, const struct bgap_control_result *result),
    void *context);

#endif
