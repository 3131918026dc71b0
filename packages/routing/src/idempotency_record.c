#include "banyangap/routing/idempotency_record.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/base/base64.h"
#include "banyangap/base/json.h"

#define ATTEMPT_DIGITS 32
#define DIGEST_DIGITS 16
#define BASE64_BODY_MAX ((size_t)(BGAP_IDEMPOTENCY_BODY_MAX + 2) / 3 * 4)
#define HTTP_STATUS_MIN 100
#define HTTP_STATUS_MAX 999

/* Parsing.  */

static enum bgap_status
_bgap_idempotency_record_parse_hex (const char *text, size_t digits,
                                    uint64_t *value)
{
  *value = 0;
  for (size_t i = 0; i < digits; i++)
    {
      char c = text[i];
      int digit;
      if (c >= '0' && c <= '9')
        digit = c - '0';
      else if (c >= 'a' && c <= 'f')
        digit = c - 'a' + 10;
      else
        return BGAP_ERR_PROTOCOL;
      *value = *value << 4 | (uint64_t)digit;
    }
  return BGAP_OK;
}

/* Whether the text is valid as the value of an HTTP header and needs no escape
   in JSON.  */
static bool
_bgap_idempotency_record_header_valid (const char *text)
{
  if (strlen (text) >= BGAP_IDEMPOTENCY_CONTENT_TYPE_SIZE)
    return false;
  for (; *text != '\0'; text++)
    if (*text < ' ' || *text > '~' || *text == '"' || *text == '\\')
      return false;
  return true;
}

static enum bgap_status
_bgap_idempotency_record_parse_outcome (const json_t *object,
                                        struct bgap_idempotency_item *item,
                                        const char **body)
{
  const char *result = NULL;
  if (bgap_json_string (object, "result", &result, NULL) != BGAP_OK)
    return BGAP_ERR_PROTOCOL;
  if (strcmp (result, "not-run") == 0)
    item->outcome = BGAP_OUTCOME_NOT_RUN;
  else if (strcmp (result, "unknown") == 0)
    item->outcome = BGAP_OUTCOME_UNKNOWN;
  else if (strcmp (result, "answered") != 0)
    return BGAP_ERR_PROTOCOL;
  else
    item->outcome = BGAP_OUTCOME_ANSWERED;
  if (item->outcome != BGAP_OUTCOME_ANSWERED)
    return BGAP_OK;
  int64_t status = 0;
  const char *type = NULL;
  if (bgap_json_int (object, "status", &status, NULL) != BGAP_OK
      || status < HTTP_STATUS_MIN || status > HTTP_STATUS_MAX
      || bgap_json_string (object, "type", &type, NULL) != BGAP_OK
      || !_bgap_idempotency_record_header_valid (type))
    return BGAP_ERR_PROTOCOL;
  item->http_status = (int)status;
  snprintf (item->content_type, sizeof item->content_type, "%s", type);
  const json_t *member = json_object_get (object, "body");
  item->body_dropped = member == NULL;
  if (member == NULL)
    return BGAP_OK;
  if (!json_is_string (member)
      || json_string_length (member) > BASE64_BODY_MAX)
    return BGAP_ERR_PROTOCOL;
  *body = json_string_value (member);
  return BGAP_OK;
}

static enum bgap_status
_bgap_idempotency_record_parse_item (const json_t *object,
                                     struct bgap_idempotency_item *item,
                                     const char **body)
{
  *item = (struct bgap_idempotency_item){ 0 };
  *body = NULL;
  if (!json_is_object (object))
    return BGAP_ERR_PROTOCOL;
  const char *key = NULL;
  const char *attempt = NULL;
  item->is_outcome = json_object_get (object, "outcome") != NULL;
  if (bgap_json_string (object, item->is_outcome ? "outcome" : "intent", &key,
                        NULL)
          != BGAP_OK
      || bgap_uuid7_parse (key, strlen (key), &item->key) != BGAP_OK
      || bgap_json_string (object, "attempt", &attempt, NULL) != BGAP_OK
      || strlen (attempt) != ATTEMPT_DIGITS
      || _bgap_idempotency_record_parse_hex (attempt, DIGEST_DIGITS,
                                             &item->attempt.incarnation)
             != BGAP_OK
      || _bgap_idempotency_record_parse_hex (
             attempt + DIGEST_DIGITS, DIGEST_DIGITS, &item->attempt.sequence)
             != BGAP_OK)
    return BGAP_ERR_PROTOCOL;
  if (item->is_outcome)
    return _bgap_idempotency_record_parse_outcome (object, item, body);
  const char *digest = NULL;
  if (json_object_get (object, "result") != NULL
      || bgap_json_string (object, "digest", &digest, NULL) != BGAP_OK
      || strlen (digest) != DIGEST_DIGITS)
    return BGAP_ERR_PROTOCOL;
  return _bgap_idempotency_record_parse_hex (digest, DIGEST_DIGITS,
                                             &item->digest);
}

static enum bgap_status
_bgap_idempotency_record_decode_body (struct bgap_idempotency_record *record,
                                      struct bgap_idempotency_item *item,
                                      const char *body)
{
  if (body == NULL)
    return BGAP_OK;
  item->body = record->body;
  if (bgap_base64_decode (body, strlen (body), record->body, &item->body_size)
      != BGAP_OK)
    return BGAP_ERR_PROTOCOL;
  return item->body_size <= BGAP_IDEMPOTENCY_BODY_MAX ? BGAP_OK
                                                      : BGAP_ERR_PROTOCOL;
}

static enum bgap_status
_bgap_idempotency_record_validate (struct bgap_idempotency_record *record,
                                   struct bgap_error *err)
{
  const char *type = NULL;
  const char *instance = NULL;
  int64_t schema = 0;
  if (bgap_json_string (record->object, "type", &type, err) != BGAP_OK
      || bgap_json_int (record->object, "schema", &schema, err) != BGAP_OK)
    return BGAP_ERR_PROTOCOL;
  if (strcmp (type, "once") != 0 || schema < 1)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "record type is not \"once\" or schema is below 1");
  if (schema > BGAP_IDEMPOTENCY_SCHEMA)
    return bgap_error_set (err, BGAP_ERR_UNAVAILABLE,
                           "schema %" PRId64
                           " is not supported, highest is %d",
                           schema, BGAP_IDEMPOTENCY_SCHEMA);
  if (bgap_json_string (record->object, "instance", &instance, err) != BGAP_OK)
    return BGAP_ERR_PROTOCOL;
  record->items = json_object_get (record->object, "items");
  if (instance[0] == '\0' || strlen (instance) >= sizeof record->instance
      || !json_is_array (record->items)
      || json_array_size (record->items) > BGAP_IDEMPOTENCY_ITEMS_MAX)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "instance or items are invalid or too long");
  snprintf (record->instance, sizeof record->instance, "%s", instance);
  struct bgap_idempotency_item item;
  const char *body = NULL;
  for (size_t i = 0; i < json_array_size (record->items); i++)
    if (_bgap_idempotency_record_parse_item (json_array_get (record->items, i),
                                             &item, &body)
            != BGAP_OK
        || _bgap_idempotency_record_decode_body (record, &item, body)
               != BGAP_OK)
      return bgap_error_set (err, BGAP_ERR_PROTOCOL, "item %zu is malformed",
                             i);
  return BGAP_OK;
}

enum bgap_status
bgap_idempotency_record_parse (struct bgap_idempotency_record *record,
                               const void *bytes, size_t size,
                               struct bgap_error *err)
{
  *record = (struct bgap_idempotency_record){ 0 };
  enum bgap_status status
      = bgap_json_parse (bytes, size, &record->object, err);
  if (status != BGAP_OK)
    return status;
  record->body = malloc (BGAP_IDEMPOTENCY_BODY_MAX + 3);
  if (record->body == NULL)
    status = bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  else
    status = _bgap_idempotency_record_validate (record, err);
  if (status != BGAP_OK)
    bgap_idempotency_record_shutdown (record);
  return status;
}

bool
bgap_idempotency_record_next (struct bgap_idempotency_record *record,
                              struct bgap_idempotency_item *item)
{
  if (record->next >= json_array_size (record->items))
    return false;
  const char *body = NULL;
  _bgap_idempotency_record_parse_item (
      json_array_get (record->items, record->next++), item, &body);
  _bgap_idempotency_record_decode_body (record, item, body);
  return true;
}

void
bgap_idempotency_record_shutdown (struct bgap_idempotency_record *record)
{
  json_decref (record->object);
  free (record->body);
  *record = (struct bgap_idempotency_record){ 0 };
}

/* Writing.  */

enum bgap_status
bgap_idempotency_record_begin (struct bgap_buffer *out, const char *instance)
{
  return bgap_buffer_printf (out,
                             "{\"type\":\"once\",\"schema\":%d,"
                             "\"instance\":\"%s\",\"items\":[",
                             BGAP_IDEMPOTENCY_SCHEMA, instance);
}

enum bgap_status
bgap_idempotency_record_add (struct bgap_buffer *out,
                             const struct bgap_idempotency_item *item,
                             bool first)
{
  char key[BGAP_UUID7_TEXT_SIZE + 1];
  bgap_uuid7_format (&item->key, key);
  enum bgap_status status = bgap_buffer_printf (
      out, "%s{\"%s\":\"%s\",\"attempt\":\"%016" PRIx64 "%016" PRIx64 "\"",
      first ? "" : ",", item->is_outcome ? "outcome" : "intent", key,
      item->attempt.incarnation, item->attempt.sequence);
  if (status == BGAP_OK && !item->is_outcome)
    status = bgap_buffer_printf (out, ",\"digest\":\"%016" PRIx64 "\"",
                                 item->digest);
  if (status == BGAP_OK && item->is_outcome)
    status = bgap_buffer_printf (out, ",\"result\":\"%s\"",
                                 bgap_outcome_name (item->outcome));
  if (status == BGAP_OK && item->outcome == BGAP_OUTCOME_ANSWERED)
    status = bgap_buffer_printf (
        out, ",\"status\":%d,\"type\":\"%s\"", item->http_status,
        _bgap_idempotency_record_header_valid (item->content_type)
            ? item->content_type
            : "");
  if (status == BGAP_OK && item->outcome == BGAP_OUTCOME_ANSWERED
      && !item->body_dropped)
    {
      status = bgap_buffer_printf (out, ",\"body\":\"");
      if (status == BGAP_OK)
        status = bgap_base64_encode (out, item->body, item->body_size);
      if (status == BGAP_OK)
        status = bgap_buffer_printf (out, "\"");
    }
  return status == BGAP_OK ? bgap_buffer_printf (out, "}") : status;
}

enum bgap_status
bgap_idempotency_record_end (struct bgap_buffer *out)
{
  return bgap_buffer_printf (out, "]}");
}
