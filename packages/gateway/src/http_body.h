#ifndef BANYANGAP_GATEWAY_HTTP_BODY_H
#define BANYANGAP_GATEWAY_HTTP_BODY_H

/*
 * Incremental decoder of HTTP/1 message bodies.
 *
 *   struct bgap_http_body body;
 *   bgap_http_body_start (&body, framing, length);
 *   while (!body.done)
 *     {
 *       enum bgap_status status = bgap_http_body_next (
 *         &body, bytes, size, &used, &data, &data_size);
 *       ...
 *     }
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "http_head.h"

/**
 * struct bgap_http_body - state of the decoder; only @done is public
 * @done: whether the end of the body has been read
 */
struct bgap_http_body
{
  bool done;
  bool is_chunked;
  int state;
  uint64_t remaining;
  uint32_t line_size;
};

/**
 * bgap_http_body_start() - start to decode a body; with BGAP_HTTP_NO_LENGTH it
 * is empty
 */
void bgap_http_body_start (struct bgap_http_body *body,
                           enum bgap_http_framing framing, uint64_t length);

/**
 * bgap_http_body_next() - decode the next bytes of a body
 * @used: receives the number of bytes consumed, at least 1 unless @size is 0
 *   or the body has ended
 * @data: receives the start of decoded content within @bytes
 * @data_size: receives the number of bytes of content, possibly 0
 *
 * Return: BGAP_OK or BGAP_ERR_PROTOCOL.
 */
enum bgap_status bgap_http_body_next (struct bgap_http_body *body,
                                      const char *bytes, size_t size,
                                      size_t *used, const char **data,
                                      size_t *data_size);

#endif
