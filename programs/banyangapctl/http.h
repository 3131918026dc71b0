#ifndef BANYANGAPCTL_HTTP_H
#define BANYANGAPCTL_HTTP_H

/*
 * One request at a time to an instance; blocks until the answer.
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
 * @body: sent with POST; NULL means GET
 * @wait_ms: how long the instance may take on purpose, besides the usual
 * @reply: json is a new reference on success
 *
 * Prints a message if there is no answer, or one that is none of the
 * protocol's.
 *
 * Return: BGAP_CTL_OK, BGAP_CTL_USAGE (no or a wrong address) or
 * BGAP_CTL_UNREACHABLE.
 */
enum bgap_ctl_exit bgap_ctl_request (const struct bgap_ctl_options *options,
                                     const char *path, const char *body,
                                     int64_t wait_ms,
                                     struct bgap_ctl_reply *reply);

/**
 * bgap_ctl_get() - GET that must be answered with 200
 *
 * Prints the error of any other status.
 *
 * Return: as above, or BGAP_CTL_REFUSED.
 */
enum bgap_ctl_exit bgap_ctl_get (const struct bgap_ctl_options *options,
                                 const char *path, json_t **json);

/**
 * bgap_ctl_owner() - owner that a command is about, from its argument or the
 * option; NULL if neither is given
 */
const char *bgap_ctl_owner (const struct bgap_ctl_options *options);

/**
 * bgap_ctl_get_by_owner() - GET @path of the command's owner
 * @command: name of the command, for the message when no owner is given
 *
 * Return: as above, or BGAP_CTL_USAGE.
 */
enum bgap_ctl_exit
bgap_ctl_get_by_owner (const struct bgap_ctl_options *options,
                       const char *command, const char *path, json_t **json);

/**
 * bgap_ctl_print_error() - print the error of an answer and release it
 *
 * Return: BGAP_CTL_UNREACHABLE for 503, else BGAP_CTL_REFUSED.
 */
enum bgap_ctl_exit bgap_ctl_print_error (struct bgap_ctl_reply *reply);

/**
 * bgap_ctl_append_encoded() - append @text percent-encoded
 */
void bgap_ctl_append_encoded (struct bgap_buffer *path, const char *text);

#endif
