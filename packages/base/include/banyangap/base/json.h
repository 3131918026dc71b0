#ifndef BANYANGAP_BASE_JSON_H
#define BANYANGAP_BASE_JSON_H

/*
 * Typed access to members of JSON objects (jansson), with error messages.
 *
 *   int64_t basis;
 *   if (bgap_json_int (object, "basis", &basis, &err) != BGAP_OK)
 *     return err.status;
 */

#include <jansson.h>
#include <stdint.h>

#include "banyangap/base/status.h"

/**
 * bgap_json_int() - get a required integer member
 *
 * Return: BGAP_OK, or BGAP_ERR_PROTOCOL if it is missing or of another type.
 */
enum bgap_status bgap_json_int (const json_t *object, const char *name,
                                int64_t *value, struct bgap_error *err);

/**
 * bgap_json_string() - get a required string member
 * @value: receives the string, which @object owns
 *
 * Return: BGAP_OK, or BGAP_ERR_PROTOCOL if it is missing or of another type.
 */
enum bgap_status bgap_json_string (const json_t *object, const char *name,
                                   const char **value, struct bgap_error *err);

/**
 * bgap_json_parse() - parse one JSON object
 * @object: receives a new reference on success
 *
 * Return: BGAP_OK, or BGAP_ERR_PROTOCOL with line and column in the message.
 */
enum bgap_status bgap_json_parse (const char *bytes, size_t size,
                                  json_t **object, struct bgap_error *err);

#endif
