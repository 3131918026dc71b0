#ifndef BANYANGAPCTL_HTTP_H
#define BANYANGAPCTL_HTTP_H

/*
 * Blocking HTTP requests to an instance.
 */

#include <jansson.h>

#include "banyangap/base/buffer.h"
#include "options.h"

/**
 * struct bgap_ctl_reply - answer of an instance
 * @status: HTTP status
 * @json: body, NULL if it is not JSON
 */
struct bgap_ctl_reply
{
  int status;
  json_t *json;
};

/**
 * bgap_ctl_request() - send a request
 * @path: path and query
 * @body: body of a POST request; NULL means GET
 * @wait_ms: wait that the request asks for; extends the timeout
 * @reply: gets the answer; on success its json is a new reference
 *
 * Prints a message if there is no answer, or if an answer with a status below
 * 300 is not JSON.
 *
 * Return: BGAP_CTL_OK, BGAP_CTL_USAGE (missing or malformed address) or
 * BGAP_CTL_UNREACHABLE.
 */
enum bgap_ctl_exit bgap_ctl_request (const struct bgap_ctl_options *options,
                                     const char *path, const char *body,
                                     int64_t wait_ms,
                                     struct bgap_ctl_reply *reply);

/**
 * bgap_ctl_get() - send a GET request that must be answered with 200
 * @json: gets a new reference to the body
 *
 * Prints the error of an answer with another status.
 *
 * Return: as bgap_ctl_request(), or BGAP_CTL_REFUSED.
 */
enum bgap_ctl_exit bgap_ctl_get (const struct bgap_ctl_options *options,
                                 const char *path, json_t **json);

/**
 * bgap_ctl_owner() - owner given by a command's argument or else by the
 * option; NULL if neither is given
 */
const char *bgap_ctl_owner (const struct bgap_ctl_options *options);

/**
 * bgap_ctl_get_by_owner() - send a GET request for @path with the command's
 * owner as parameter
 * @command: name of the command, for the message if no owner is given
 *
 * Return: as bgap_ctl_get(); BGAP_CTL_USAGE also if no owner is given.
 */
enum bgap_ctl_exit
bgap_ctl_get_by_owner (const struct bgap_ctl_options *options,
                       const char *command, const char *path, json_t **json);

/**
 * bgap_ctl_print_error() - print the error of an answer and release its json
 *
 * Return: BGAP_CTL_UNREACHABLE for 503, else BGAP_CTL_REFUSED.
 */
enum bgap_ctl_exit bgap_ctl_print_error (struct bgap_ctl_reply *reply);

/**
 * bgap_ctl_append_encoded() - append @text to @path, percent-encoded
 */
void bgap_ctl_append_encoded (struct bgap_buffer *path, const char *text);

#endif
