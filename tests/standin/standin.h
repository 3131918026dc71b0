#ifndef BANYANGAP_STANDIN_STANDIN_H
#define BANYANGAP_STANDIN_STANDIN_H

/*
 * What the stand-ins share: an HTTP server on evhttp, JSON bodies, broken
 * connections, and a main loop that stops on SIGTERM.
 */

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>
#include <stdint.h>

#include "banyangap/base/status.h"

/**
 * bgap_standin_listen() - HTTP server on a numeric address and port
 * @address: port 0 picks one
 * @port: gets the port
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID, BGAP_ERR_NO_MEMORY or BGAP_ERR_IO.
 */
enum bgap_status
bgap_standin_listen (struct event_base *base, const char *address,
                     void (*handle) (struct evhttp_request *, void *),
                     void *user, struct evhttp **http, uint16_t *port,
                     struct bgap_error *err);

/**
 * bgap_standin_reply() - reply with JSON; takes the reference to @value
 */
void bgap_standin_reply (struct evhttp_request *request, int status,
                         json_t *value);

/**
 * bgap_standin_body() - body as a JSON object, or NULL after a reply with 400
 */
json_t *bgap_standin_body (struct evhttp_request *request);

/**
 * bgap_standin_query() - whole-number query parameter, or @fallback
 */
int64_t bgap_standin_query (struct evhttp_request *request, const char *name,
                            int64_t fallback);

/**
 * struct bgap_standin_field - a value set by an option or by POST /control
 * @name: of the option and of the JSON member
 * @number: whole number or boolean, or NULL
 * @text: for options only, or NULL
 */
struct bgap_standin_field
{
  const char *name;
  const char *doc;
  int64_t *number;
  const char **text;
};

/**
 * bgap_standin_options() - parse the options; exits on a bad one
 * @fields: ends with a zeroed field
 */
void bgap_standin_options (int argc, char **argv, const char *doc,
                           struct bgap_standin_field *fields);

/**
 * bgap_standin_control() - set @fields from the body of a POST /control and
 * reply
 *
 * Return: 0, or -1 after a reply with 400.
 */
int bgap_standin_control (struct evhttp_request *request,
                          const struct bgap_standin_field *fields);

/**
 * bgap_standin_drop() - close the connection of a request without a reply,
 * from the event loop
 */
void bgap_standin_drop (struct event_base *base,
                        struct evhttp_request *request);

/**
 * bgap_standin_run() - run the loop until SIGTERM or SIGINT
 * @status: of the setup; if it failed, @err is printed and the loop not run
 *
 * Return: exit status.
 */
int bgap_standin_run (struct event_base *base, enum bgap_status status,
                      const struct bgap_error *err);

/**
 * bgap_standin_timeval() - milliseconds as struct timeval
 */
struct timeval bgap_standin_timeval (int64_t ms);

#endif
