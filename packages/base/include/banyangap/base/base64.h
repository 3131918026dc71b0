#ifndef BANYANGAP_BASE_BASE64_H
#define BANYANGAP_BASE_BASE64_H

/*
 * Base64 with padding (RFC 4648, section 4).
 *
 *   bgap_base64_encode (&buffer, bytes, size);
 *   bgap_base64_decode (text, text_size, bytes, &size);
 */

#include <stddef.h>

#include "banyangap/base/buffer.h"
#include "banyangap/base/status.h"

/**
 * bgap_base64_encode() - append @size bytes as Base64 text to @out
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_base64_encode (struct bgap_buffer *out,
                                     const void *bytes, size_t size);

/**
 * bgap_base64_decode() - decode Base64 text into @bytes
 * @bytes: output buffer with space for 3 bytes per 4 characters
 * @size: receives the number of decoded bytes
 *
 * Return: BGAP_OK, or BGAP_ERR_PROTOCOL if the text is malformed.
 */
enum bgap_status bgap_base64_decode (const char *text, size_t text_size,
                                     void *bytes, size_t *size);

#endif
