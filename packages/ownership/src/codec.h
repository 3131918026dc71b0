#ifndef BGAP_OWNERSHIP_CODEC_H
#define BGAP_OWNERSHIP_CODEC_H

/*
 * Helpers of the JSON codecs for records and renewals. The readers set @err
 * and return BGAP_ERR_PROTOCOL if a member is missing or invalid.
 */

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "banyangap/base/buffer.h"
#include "banyangap/base/status.h"

/**
 * bgap_codec_parse_object() - parse text that contains one JSON object
 *
 * Unlike bgap_json_parse(), it distinguishes lack of memory
 * (BGAP_ERR_NO_MEMORY) from malformed text (BGAP_ERR_PROTOCOL).
 */
enum bgap_status bgap_codec_parse_object (const void *bytes, size_t size,
                                          json_t **object,
                                          struct bgap_error *err);

/**
 * bgap_codec_int() - read a required integer member within [@low, @high]
 */
enum bgap_status bgap_codec_int (const json_t *object, const char *name,
                                 int64_t low, int64_t high, int64_t *value,
                                 struct bgap_error *err);

/**
 * bgap_codec_offset() - read a required non-negative integer member
 */
enum bgap_status bgap_codec_offset (const json_t *object, const char *name,
                                    uint64_t *value, struct bgap_error *err);

/**
 * bgap_codec_name() - read a required name member
 * @value: buffer of @size bytes that receives the name
 */
enum bgap_status bgap_codec_name (const json_t *object, const char *name,
                                  char *value, size_t size,
                                  struct bgap_error *err);

/**
 * bgap_codec_hex64() - read a required string member of 16 hexadecimal digits
 */
enum bgap_status bgap_codec_hex64 (const json_t *object, const char *name,
                                   uint64_t *value, struct bgap_error *err);

/**
 * bgap_codec_hex_bytes() - read a required member of hexadecimal bytes
 * @max: maximum number of bytes
 * @data: set to allocated memory, also if @size is set to 0
 */
enum bgap_status bgap_codec_hex_bytes (const json_t *object, const char *name,
                                       size_t max, unsigned char **data,
                                       size_t *size, struct bgap_error *err);

/**
 * bgap_codec_print_hex() - append bytes as hexadecimal digits
 */
enum bgap_status bgap_codec_print_hex (struct bgap_buffer *out,
                                       const void *data, size_t size);

/**
 * bgap_codec_print_string() - append a JSON string with its quotes
 */
enum bgap_status bgap_codec_print_string (struct bgap_buffer *out,
                                          const char *text);

#endif
