#ifndef BANYANGAP_BASE_BYTE_ORDER_H
#define BANYANGAP_BASE_BYTE_ORDER_H

/*
 * Numbers in messages: unsigned, of 1 to 8 bytes, the high byte first.
 *
 *   unsigned char bytes[4];
 *   bgap_bytes_put (bytes, age_ms, sizeof bytes);
 *   uint64_t age_ms = bgap_bytes_get (bytes, sizeof bytes);
 */

#include <stddef.h>
#include <stdint.h>

/**
 * bgap_bytes_put() - write a number; higher bytes than @size are dropped
 */
static inline void
bgap_bytes_put (unsigned char *out, uint64_t value, size_t size)
{
  for (size_t i = 0; i < size; i++)
    out[i] = (unsigned char)(value >> (8 * (size - 1 - i)));
}

/**
 * bgap_bytes_get() - read a number
 */
static inline uint64_t
bgap_bytes_get (const unsigned char *in, size_t size)
{
  uint64_t value = 0;
  for (size_t i = 0; i < size; i++)
    value = value << 8 | in[i];
  return value;
}

#endif
