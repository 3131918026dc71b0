#ifndef BANYANGAP_STORE_DELTA_H
#define BANYANGAP_STORE_DELTA_H

/*
 * Delta compression of a value against a base value.
 *
 *   bgap_delta_encode (&base, &value, &out);
 *   bgap_delta_decode (&base, &delta, value, value_size);
 */

#include <stdbool.h>

#include "banyangap/base/buffer.h"

/**
 * struct bgap_bytes - a range of bytes that it does not own
 */
struct bgap_bytes
{
  const void *data;
  size_t size;
};

/**
 * bgap_delta_encode() - append the delta from @base to @value to @out
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_delta_encode (const struct bgap_bytes *base,
                                    const struct bgap_bytes *value,
                                    struct bgap_buffer *out);

/**
 * bgap_delta_decode() - restore a value of @size bytes from @base and @delta
 *
 * Return: BGAP_OK, BGAP_ERR_NO_MEMORY, or BGAP_ERR_PROTOCOL if the delta does
 * not decode to @size bytes.
 */
enum bgap_status bgap_delta_decode (const struct bgap_bytes *base,
                                    const struct bgap_bytes *delta,
                                    void *value, size_t size);

#endif
