#ifndef BANYANGAP_GATEWAY_HTTP_HEAD_H
#define BANYANGAP_GATEWAY_HTTP_HEAD_H

/*
 * Parser of complete HTTP/1 message heads. libevhtp parses the syntax;
 * stricter checks apply to everything that determines where a message ends.
 *
 *   size_t size;
 *   if (bgap_http_head_find (input, limit, &size) == BGAP_OK && size > 0)
 *     bgap_http_head_parse (&head, BGAP_HTTP_REQUEST,
 *                           evbuffer_pullup (input, size), size, &err);
 *   bgap_http_head_shutdown (&head);
 *
 * libevhtp 1.2.18 accepts a message with both Content-Length and
 * Transfer-Encoding, two different lengths, folded fields and field lines
 * without a colon, and its chunk sizes wrap around. All of these could make
 * two parsers disagree on the end of a message (request smuggling) and are
 * rejected here; bodies are decoded by http_body.h.
 */

#include <event2/buffer.h>
#include <stdbool.h>
#include <stdint.h>

#include "banyangap/gateway/headers.h"

/**
 * enum bgap_http_kind - kind of message
 */
enum bgap_http_kind
{
  BGAP_HTTP_REQUEST,
  BGAP_HTTP_RESPONSE
};

/**
 * enum bgap_http_framing - how the end of a body is determined
 */
enum bgap_http_framing
{
  BGAP_HTTP_NO_LENGTH, /* neither field is present */
  BGAP_HTTP_LENGTH,    /* Content-Length */
  BGAP_HTTP_CHUNKED    /* Transfer-Encoding: chunked */
};

/**
 * struct bgap_http_head - a parsed head; zeroed means empty
 * @method: method of a request
 * @target: path and query of a request, not decoded
 * @status: status of a response, 100 to 599
 * @minor: minor version: 0 for HTTP/1.0, 1 for HTTP/1.1
 * @headers: all fields
 * @framing: how the end of the body is determined
 * @length: Content-Length, with BGAP_HTTP_LENGTH
 * @close: whether the connection ends after the exchange
 */
struct bgap_http_head
{
  char *method;
  char *target;
  int status;
  int minor;
  struct bgap_headers headers;
  enum bgap_http_framing framing;
  uint64_t length;
  bool close;
};

/**
 * bgap_http_head_find() - find the end of the head at the start of @input
 * @limit: largest size in bytes
 * @size: receives the size, or 0 if the end has not arrived
 *
 * Return: BGAP_OK, or BGAP_ERR_FULL if the head is larger than @limit.
 */
enum bgap_status bgap_http_head_find (struct evbuffer *input, size_t limit,
                                      size_t *size);

/**
 * bgap_http_head_parse() - parse one complete head
 *
 * Return: BGAP_OK, BGAP_ERR_PROTOCOL, BGAP_ERR_FULL (too many or too large
 * fields) or BGAP_ERR_NO_MEMORY. Call bgap_http_head_shutdown() in all cases.
 */
enum bgap_status bgap_http_head_parse (struct bgap_http_head *head,
                                       enum bgap_http_kind kind,
                                       const char *bytes, size_t size,
                                       struct bgap_error *err);

/**
 * bgap_http_head_shutdown() - free the memory; the head is empty afterwards
 */
void bgap_http_head_shutdown (struct bgap_http_head *head);

/**
 * bgap_http_status_text() - reason phrase of a status, never NULL
 */
const char *bgap_http_status_text (int status);

#endif
