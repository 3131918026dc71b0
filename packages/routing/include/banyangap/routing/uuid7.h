#ifndef BANYANGAP_ROUTING_UUID7_H
#define BANYANGAP_ROUTING_UUID7_H

/*
 * UUIDs of version 7 (RFC 9562) and their text form of 36 characters.
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
 * struct bgap_uuid7 - the 128 bits in network byte order
 */
struct bgap_uuid7
{
  uint8_t bytes[16];
};

/**
 * bgap_uuid7_parse() - parse the text form in upper or lower case
 *
 * Return: BGAP_OK, or BGAP_ERR_INVALID if the format, version or variant does
 * not match.
 */
enum bgap_status bgap_uuid7_parse (const char *text, size_t size,
                                   struct bgap_uuid7 *uuid);

/**
 * bgap_uuid7_format() - write the text form in lower case, zero-terminated
 */
void bgap_uuid7_format (const struct bgap_uuid7 *uuid,
                        char text[BGAP_UUID7_TEXT_SIZE + 1]);

/**
 * bgap_uuid7_time_ms() - timestamp in milliseconds since 1970-01-01 UTC
 */
int64_t bgap_uuid7_time_ms (const struct bgap_uuid7 *uuid);

#endif
