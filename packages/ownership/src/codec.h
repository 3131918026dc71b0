#ifndef BGAP_OWNERSHIP_CODEC_H
#define BGAP_OWNERSHIP_CODEC_H

/*
 * Pieces shared by the JSON codecs of records and renewals.
 */

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "banyangap/base/buffer.h"
#include "banyangap/base/status.h"

/**
 * bgap_codec_load() - parse a JSON object; unlike bgap_json_parse() it tells
 * lack of memory from malformed text
 */
enum bgap_status bgap_codec_load (const void *bytes, size_t size,
                                  json_t **object, struct bgap_error *err);

/**
 * bgap_codec_number() - required integer member within [@low, @high]
 */
enum bgap_status bgap_codec_number (const json_t *object, const char *name,
                                    int64_t low, int64_t high, int64_t *value,
                                    struct bgap_error *err);

/**
 * bgap_codec_offset() - required non-negative integer member
 */
enum bgap_status bgap_codec_offset (const json_t *object, const char *name,
                                    uint64_t *value, struct bgap_error *err);

/**
 * bgap_codec_name() - required name, copied to @size bytes at @value
 */
enum bgap_status bgap_codec_name (const json_t *object, const char *name,
                                  char *value, size_t size,
                                  struct bgap_error *err);

/**
 * bgap_codec_word() - required member of 16 hexadecimal digits
 */
enum bgap_status bgap_codec_word (const json_t *object, const char *name,
                                  uint64_t *value, struct bgap_error *err);

/**
 * bgap_codec_blob() - required member of hexadecimal bytes
 * @data: gets allocated memory, also if @size is 0
 */
enum bgap_status bgap_codec_blob (const json_t *object, const char *name,
                                  size_t max, unsigned char **data,
                                  size_t *size, struct bgap_error *err);

/**
 * bgap_codec_print_blob() - append hexadecimal digits
 */
enum bgap_status bgap_codec_print_blob (struct bgap_buffer *out,
                                        const void *data, size_t size);

/**
 * bgap_codec_print_string() - append a JSON string with its quotes
 */
enum bgap_status bgap_codec_print_string (struct bgap_buffer *out,
                                          const char *text);

#endif
