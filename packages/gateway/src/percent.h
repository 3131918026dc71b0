#ifndef BANYANGAP_GATEWAY_PERCENT_H
#define BANYANGAP_GATEWAY_PERCENT_H

/*
 * Percent-decoding of URLs.
 */

#include <stddef.h>

#include "banyangap/base/status.h"

/**
 * bgap_percent_decode() - decode @size bytes of @text
 * @out: receives at most @capacity bytes, possibly including zeros
 * @used: receives the number of bytes in @out
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID (a '%' without two hexadecimal digits) or
 * BGAP_ERR_FULL.
 */
enum bgap_status bgap_percent_decode (const char *text, size_t size,
                                      unsigned char *out, size_t capacity,
                                      size_t *used);

#endif
