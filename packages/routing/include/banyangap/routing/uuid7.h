#ifndef BANYANGAP_ROUTING_UUID7_H
#define BANYANGAP_ROUTING_UUID7_H

/*
 * UUIDs of version 7 (RFC 9562) in their text form of 36 characters.
 *
 *   struct bgap_uuid7 key;
 *   if (bgap_uuid7_parse (text, size, &key) != BGAP_OK)
 *     return 400;
 */

#include <stddef.h>
#include <stdint.h>

#include "banyangap/base/status.h"

/* Characters of the text form, without a terminating zero.  */
#define BGAP_UUID7_TEXT_SIZE 36

/**
 * struct bgap_uuid7 - the 128 bits, most significant first
 */
struct bgap_uuid7
{
  uint8_t bytes[16];
};

/**
 * bgap_uuid7_parse() - read the text form; either case is accepted
 *
 * Return: BGAP_OK, or BGAP_ERR_INVALID for another form, version or variant.
 */
enum bgap_status bgap_uuid7_parse (const char *text, size_t size,
                                   struct bgap_uuid7 *uuid);

/**
 * bgap_uuid7_format() - write the text form in lower case, with a zero
 */
void bgap_uuid7_format (const struct bgap_uuid7 *uuid,
                        char text[BGAP_UUID7_TEXT_SIZE + 1]);

/**
 * bgap_uuid7_time_ms() - its timestamp, milliseconds since 1970 UTC
 */
int64_t bgap_uuid7_time_ms (const struct bgap_uuid7 *uuid);

#endif
