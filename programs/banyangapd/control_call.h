#ifndef BGAPD_CONTROL_CALL_H
#define BGAPD_CONTROL_CALL_H

/*
 * Hellos and lease renewals: POST of a small JSON body to a backend server,
 * with one callback for the whole answer.
 *
 *   bgap_control_call (upstreams, upstream, "/.bgap/hello", "{}", 2, done,
 *                      context);
 */

#include "upstreams.h"

/**
 * struct bgap_control_result - result of a control call
 * @upstream: name of the server
 * @end: BGAP_CALL_COMPLETE also for HTTP statuses other than 200
 * @status: HTTP status, 0 unless @end is BGAP_CALL_COMPLETE
 * @body: zero-terminated body of the answer, or NULL if it is empty
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
 * bgap_control_call() - start a call
 * @target: path of the request
 * @bytes: body of the request; copied
 * @done: called once, when the call has ended; not if @upstreams are shut
 *   down before
 *
 * Return: BGAP_OK, or an error, after which @done is not called.
 */
enum bgap_status bgap_control_call (
    struct bgap_upstreams *upstreams, const struct bgap_upstream *upstream,
    const char *target, const void *bytes, size_t size,
    void (*done) (void *context, const struct bgap_control_result *result),
    void *context);

/**
 * bgap_control_calls_shutdown() - free the calls in progress, after the client
 * that carries them out was shut down
 */
void bgap_control_calls_shutdown (struct bgap_upstreams *upstreams);

#endif
