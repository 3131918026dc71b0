#ifndef BANYANGAP_STORE_DELTA_H
#define BANYANGAP_STORE_DELTA_H

/*
 * A value as its difference to another one.
 *
 *   bgap_delta_pack (&base, &value, &out);
 *   bgap_delta_unpack (&base, &packed, value, value_size);
 */

#include "banyangap/base/buffer.h"

/**
 * struct bgap_bytes - bytes that belong to somebody else
 */
struct bgap_bytes
{
  const void *data;
  size_t size;
};

/**
 * bgap_delta_pack() - append the difference of @value to @base to @out
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_delta_pack (const struct bgap_bytes *base,
                                  const struct bgap_bytes *value,
                                  struct bgap_buffer *out);

/**
 * bgap_delta_unpack() - restore a value of @size bytes
 *
 * Return: BGAP_OK, BGAP_ERR_NO_MEMORY, or BGAP_ERR_PROTOCOL if the difference
 * does not give @size bytes.
 */
enum bgap_status bgap_delta_unpack (const struct bgap_bytes *base,
                                    const struct bgap_bytes *packed,
                                    void *value, size_t size);

#endif
