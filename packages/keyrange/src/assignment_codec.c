#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "banyangap/base/json.h"
#include "banyangap/keyrange/assignment.h"

#define SCHEMA 2

/* Far above the time for which a granter waits for earlier ones. A larger
   value must be an error, and would stop all moves.  */
#define FORMER_LEASES_MAX_MS 60000

/* Elements of a range: first, last, server, start, token, flags.  */
#define RANGE_FIELDS 6

/* Flags of a range.  */
#define FLAG_MOVING 1
#define FLAG_UNCONFIRMED 2

enum bgap_status
bgap_assignment_encode (const struct bgap_assignment *assignment,
                        struct bgap_buffer *out)
{
  enum bgap_status status = bgap_buffer_printf (
      out,
      "{\"schema\":%d,\"granter\":\"%s\",\"life\":\"%016" PRIx64
      "\",\"released\":%s,\"foreign_ms\":%" PRId64 ",\"fence\":%" PRIu64
      ",\"timeline\":%" PRIu64 ",\"lease_ms\":%" PRId64
      ",\"unconfirmed_ms\":%" PRId64 ",\"ranges\":[",
      SCHEMA, assignment->granter, assignment->incarnation,
      assignment->released ? "true" : "false", assignment->former_leases_ms,
      assignment->token, assignment->timeline, assignment->lease_ms,
      assignment->unconfirmed_ms);
  for (uint32_t i = 0; i < assignment->count && status == BGAP_OK; i++)
    {
      const struct bgap_key_range *range = &assignment->ranges[i];
      status = bgap_buffer_printf (
          out, "%s[%u,%u,\"%s\",%" PRId64 ",%" PRIu64 ",%d]", i > 0 ? "," : "",
          range->first, range->last, range->server, range->started_ms,
          range->token,
          (range->moving ? FLAG_MOVING : 0)
              | (range->unconfirmed ? FLAG_UNCONFIRMED : 0));
    }
  return status == BGAP_OK ? bgap_buffer_printf (out, "]}") : status;
}

/* Names are written without JSON escapes, so they must not need any.  */
static bool
_bgap_assignment_copy_name (char *out, const char *text)
{
  size_t size = strlen (text);
  if (size >= BGAP_KEYRANGE_NAME_SIZE || strpbrk (text, "\"\\") != NULL)
    return false;
  memcpy (out, text, size + 1);
  return true;
}

static enum bgap_status
_bgap_assignment_decode_range (const json_t *item, uint32_t next,
                               uint64_t token_max,
                               struct bgap_key_range *range,
                               struct bgap_error *err)
{
  if (!json_is_array (item) || json_array_size (item) != RANGE_FIELDS)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "a key range is not an array of 6 elements");
  for (size_t i = 0; i < RANGE_FIELDS; i++)
    if (i == 2 ? !json_is_string (json_array_get (item, i))
               : !json_is_integer (json_array_get (item, i)))
      return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                             "an element of a key range has the wrong type");
  json_int_t first = json_integer_value (json_array_get (item, 0));
  json_int_t last = json_integer_value (json_array_get (item, 1));
  json_int_t token = json_integer_value (json_array_get (item, 4));
  json_int_t flags = json_integer_value (json_array_get (item, 5));
  if (first != next || last < first || last >= BGAP_KEY_COUNT || token < 0
      || (uint64_t)token > token_max)
    return bgap_error_set (
        err, BGAP_ERR_PROTOCOL,
        "a key range is out of order or has an invalid token");
  *range = (struct bgap_key_range){
    .first = (uint32_t)first,
    .last = (uint32_t)last,
    .started_ms = json_integer_value (json_array_get (item, 3)),
    .token = (uint64_t)token,
    .moving = (flags & FLAG_MOVING) != 0,
    .unconfirmed = (flags & FLAG_UNCONFIRMED) != 0,
  };
  if (!_bgap_assignment_copy_name (
          range->server, json_string_value (json_array_get (item, 2))))
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "a key range has an invalid server name");
  return BGAP_OK;
}

static enum bgap_status
_bgap_assignment_decode_ranges (struct bgap_assignment *out,
                                const json_t *ranges, struct bgap_error *err)
{
  uint32_t next = 0;
  size_t count = json_array_size (ranges);
  if (count == 0 || count > BGAP_KEY_RANGES_MAX)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "the number of key ranges is invalid: %zu", count);
  for (size_t i = 0; i < count; i++)
    {
      struct bgap_key_range range = { 0 };
      enum bgap_status status = _bgap_assignment_decode_range (
          json_array_get (ranges, i), next, out->token, &range, err);
      if (status == BGAP_OK)
        status = bgap_assignment_set (out, range.first, range.last, &range);
      if (status != BGAP_OK)
        return status;
      next = range.last + 1;
    }
  if (next != BGAP_KEY_COUNT)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "the key ranges do not cover all keys");
  return BGAP_OK;
}

/* Reads a member that records of earlier versions do not have.  */
static enum bgap_status
_bgap_assignment_decode_optional (const json_t *root, const char *name,
                                  int64_t *value, struct bgap_error *err)
{
  *value = 0;
  if (json_object_get (root, name) == NULL)
    return BGAP_OK;
  enum bgap_status status = bgap_json_int (root, name, value, err);
  if (status == BGAP_OK && *value < 0)
    status = bgap_error_set (err, BGAP_ERR_PROTOCOL, "%s is negative", name);
  return status;
}

static enum bgap_status
_bgap_assignment_decode_head (struct bgap_assignment *out, const json_t *root,
                              struct bgap_error *err)
{
  int64_t schema = 0;
  int64_t token = 0;
  int64_t former_leases_ms = 0;
  int64_t timeline = 0;
  int64_t lease_ms = 0;
  int64_t unconfirmed_ms = 0;
  const char *granter = "";
  const char *incarnation = "";
  enum bgap_status status = bgap_json_int (root, "schema", &schema, err);
  if (status == BGAP_OK && schema != SCHEMA)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL, "unsupported schema %lld",
                           (long long)schema);
  if (status == BGAP_OK)
    status = bgap_json_int (root, "fence", &token, err);
  if (status == BGAP_OK)
    status = bgap_json_int (root, "foreign_ms", &former_leases_ms, err);
  if (status == BGAP_OK)
    status
        = _bgap_assignment_decode_optional (root, "timeline", &timeline, err);
  if (status == BGAP_OK)
    status
        = _bgap_assignment_decode_optional (root, "lease_ms", &lease_ms, err);
  if (status == BGAP_OK)
    status = _bgap_assignment_decode_optional (root, "unconfirmed_ms",
                                               &unconfirmed_ms, err);
  if (status == BGAP_OK)
    status = bgap_json_string (root, "granter", &granter, err);
  if (status == BGAP_OK)
    status = bgap_json_string (root, "life", &incarnation, err);
  if (status != BGAP_OK)
    return status;
  if (!json_is_array (json_object_get (root, "ranges")) || token < 0
      || lease_ms > FORMER_LEASES_MAX_MS
      || unconfirmed_ms > FORMER_LEASES_MAX_MS || former_leases_ms < 0
      || former_leases_ms > FORMER_LEASES_MAX_MS
      || sscanf (incarnation, "%" SCNx64, &out->incarnation) != 1
      || !_bgap_assignment_copy_name (out->granter, granter))
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "a field of the assignment is malformed");
  out->token = (uint64_t)token;
  out->timeline = (uint64_t)timeline;
  out->lease_ms = lease_ms;
  out->unconfirmed_ms = unconfirmed_ms;
  out->former_leases_ms = former_leases_ms;
  out->released = json_is_true (json_object_get (root, "released"));
  return BGAP_OK;
}

enum bgap_status
bgap_assignment_decode (struct bgap_assignment *assignment, const void *bytes,
                        size_t size, struct bgap_error *err)
{
  json_t *root = NULL;
  struct bgap_assignment decoded;
  if (bgap_assignment_setup (&decoded) != BGAP_OK)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  enum bgap_status status = bgap_json_parse (bytes, size, &root, err);
  if (status == BGAP_OK)
    status = _bgap_assignment_decode_head (&decoded, root, err);
  if (status == BGAP_OK)
    status = _bgap_assignment_decode_ranges (
        &decoded, json_object_get (root, "ranges"), err);
  json_decref (root);
  if (status != BGAP_OK)
    {
      bgap_assignment_shutdown (&decoded);
      return status;
    }
  bgap_assignment_shutdown (assignment);
  *assignment = decoded;
  return BGAP_OK;
}
