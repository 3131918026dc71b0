#ifndef BANYANGAP_BASE_BUFFER_H
#define BANYANGAP_BASE_BUFFER_H

/*
 * Growable byte buffer that stays zero-terminated.
 *
 *   struct bgap_buffer text = { 0 };
 *   bgap_buffer_printf (&text, "%s=%d\n", "slots", 4);
 *   fputs (text.data, stdout);
 *   bgap_buffer_shutdown (&text);
 */

#include <stddef.h>

#include "banyangap/base/status.h"

/**
 * struct bgap_buffer - byte buffer; empty when zero-initialised
 * @data: NULL or @size bytes and a terminating zero
 * @size: bytes in use
 * @capacity: bytes allocated
 */
struct bgap_buffer
{
  char *data;
  size_t size;
  size_t capacity;
};

/**
 * bgap_buffer_append() - append bytes
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY, which leaves the buffer unchanged.
 */
enum bgap_status bgap_buffer_append (struct bgap_buffer *buffer,
                                     const void *bytes, size_t size);

/**
 * bgap_buffer_printf() - append formatted text
 *
 * Return: BGAP_OK; BGAP_ERR_INVALID if formatting fails; or
 * BGAP_ERR_NO_MEMORY, which leaves the buffer unchanged.
 */
enum bgap_status bgap_buffer_printf (struct bgap_buffer *buffer,
                                     const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/**
 * bgap_buffer_shutdown() - free the memory and reset the buffer to empty
 */
void bgap_buffer_shutdown (struct bgap_buffer *buffer);

#endif
