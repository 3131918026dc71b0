#ifndef BANYANGAP_STANDIN_STANDIN_H
#define BANYANGAP_STANDIN_STANDIN_H

/*
 * Functions shared by the stand-ins: an HTTP server on evhttp, JSON bodies,
 * command-line options, closing a connection without a response, and a main
 * loop that stops on SIGTERM or SIGINT.
 */

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>
#include <stdint.h>

#include "banyangap/base/status.h"

/**
 * bgap_standin_listen() - start an HTTP server
 * @address: numeric IPv4 address and port; port 0 picks a free one
 * @handle: called with @user for each request
 * @http: set to the server
 * @port: set to the port that the server listens on
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID, BGAP_ERR_NO_MEMORY or BGAP_ERR_IO.
 */
enum bgap_status
bgap_standin_listen (struct event_base *base, const char *address,
                     void (*handle) (struct evhttp_request *, void *),
                     void *user, struct evhttp **http, uint16_t *port,
                     struct bgap_error *err);

/**
 * bgap_standin_reply() - reply with JSON
 * @value: its reference is taken over
 */
void bgap_standin_reply (struct evhttp_request *request, int status,
                         json_t *value);

/**
 * bgap_standin_body() - parse the body of a request as a JSON object
 *
 * Return: a new reference, or NULL after a reply with 400.
 */
json_t *bgap_standin_body (struct evhttp_request *request);

/**
 * bgap_standin_query() - integer value of a query parameter
 * @fallback: returned if the parameter is missing
 */
int64_t bgap_standin_query (struct evhttp_request *request, const char *name,
                            int64_t fallback);

/**
 * struct bgap_standin_field - a setting with the variable that stores it
 * @name: name of the command-line option or of the member of POST /control
 * @doc: help text of the option
 * @number: variable of an integer or boolean setting, or NULL
 * @text: variable of a text setting, or NULL; POST /control ignores it
 */
struct bgap_standin_field
{
  const char *name;
  const char *doc;
  int64_t *number;
  const char **text;
};

/**
 * bgap_standin_options() - parse the command line; exits on an unknown option
 * @doc: summary of the program for --help
 * @fields: at most 16, followed by a zeroed field
 */
void bgap_standin_options (int argc, char **argv, const char *doc,
                           struct bgap_standin_field *fields);

/**
 * bgap_standin_control() - set @fields from the body of POST /control and
 * reply
 * @fields: followed by a zeroed field; those without a member in the body keep
 * their value
 *
 * Return: 0, or -1 after a reply with 400.
 */
int bgap_standin_control (struct evhttp_request *request,
                          const struct bgap_standin_field *fields);

/**
 * bgap_standin_drop() - close the connection of a request without a reply
 *
 * The connection is closed later, from the event loop, so that a request
 * handler may call this.
 */
void bgap_standin_drop (struct event_base *base,
                        struct evhttp_request *request);

/**
 * bgap_standin_run() - run the event loop until SIGTERM or SIGINT
 * @status: result of the setup; on failure @err is printed and the loop is not
 * run
 *
 * Return: the exit status for main().
 */
int bgap_standin_run (struct event_base *base, enum bgap_status status,
                      const struct bgap_error *err);

/**
 * bgap_standin_timeval() - convert milliseconds to struct timeval
 */
struct timeval bgap_standin_timeval (int64_t ms);

#endif
