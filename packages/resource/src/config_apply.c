#include <string.h>

#include "banyangap/base/json.h"
#include "config_state.h"
#include "text.h"

/* Upper bound of a record's bytes other than its documents.  */
#define RECORD_OVERHEAD ((size_t)64 * 1024)

/* Largest growth of documents by JSON escapes: one byte can become \u0001.  */
#define ESCAPE_GROWTH 6

/**
 * struct bgap_config_record - members of a "config" record, owned by its JSON
 */
struct bgap_config_record
{
  const char *owner;
  const char *operator_name;
  const char *documents;
  int64_t based_on;
};

/* Yields NULL for malformed text, which every instance ignores. A failed
   allocation is reported apart from that: if one instance ignored a record
   that the others apply, their states would differ.  */
static enum bgap_status
_bgap_config_json (const struct bgap_config *config, const char *bytes,
                   size_t size, json_t **object)
{
  json_error_t reason;
  *object = NULL;
  if (size > config->limits.documents_max * ESCAPE_GROWTH + RECORD_OVERHEAD)
    return BGAP_OK;
  json_t *parsed = json_loadb (bytes, size, JSON_REJECT_DUPLICATES, &reason);
  if (parsed == NULL && json_error_code (&reason) == json_error_out_of_memory)
    return BGAP_ERR_NO_MEMORY;
  if (json_is_object (parsed))
    *object = parsed;
  else
    json_decref (parsed);
  return BGAP_OK;
}

static bool
_bgap_config_record (const json_t *object, struct bgap_config_record *record)
{
  record->operator_name
      = json_string_value (json_object_get (object, "operator"));
  if (record->operator_name == NULL)
    record->operator_name = "";
  return bgap_json_string (object, "owner", &record->owner, NULL) == BGAP_OK
         && bgap_text_is_name (record->owner)
         && bgap_json_string (object, "documents", &record->documents, NULL)
                == BGAP_OK
         && bgap_json_int (object, "based_on", &record->based_on, NULL)
                == BGAP_OK;
}

static enum bgap_status
_bgap_config_change (struct bgap_config *config,
                     const struct bgap_config_record *record,
                     struct bgap_config_event *event)
{
  bgap_text_copy (event->owner, sizeof event->owner, record->owner);
  bgap_text_copy (event->operator, sizeof event->operator,
                  record->operator_name);
  bgap_text_clean (event->operator);
  event->based_on = record->based_on;
  struct bgap_config_update update = { 0 };
  enum bgap_status status
      = bgap_config_evaluate (config, record->documents, event, &update);
  if (status == BGAP_OK && event->result == BGAP_CONFIG_ACCEPTED)
    {
      status = bgap_config_commit (config, record->documents, event, &update);
      event->version = event->offset;
    }
  bgap_config_update_free (&update);
  return status;
}

static enum bgap_status
_bgap_config_dispatch (struct bgap_config *config, const json_t *object,
                       struct bgap_config_event *event)
{
  int64_t schema;
  const char *type;
  event->result = BGAP_CONFIG_IGNORED;
  if (bgap_json_int (object, "schema", &schema, NULL) != BGAP_OK || schema < 1)
    return BGAP_OK;
  if (schema > BGAP_CONFIG_SCHEMA)
    {
      config->blocked = true;
      event->result = BGAP_CONFIG_BLOCKED;
      return BGAP_OK;
    }
  if (bgap_json_string (object, "type", &type, NULL) != BGAP_OK)
    return BGAP_OK;
  if (strcmp (type, "snapshot") == 0)
    return bgap_config_apply_part (config, event->offset, object,
                                   &event->result);
  struct bgap_config_record record;
  if (strcmp (type, "config") != 0 || !bgap_config_complete (config)
      || !_bgap_config_record (object, &record))
    return BGAP_OK;
  return _bgap_config_change (config, &record, event);
}

/* Advances the offset, unless an installed snapshot has set it.  */
static void
_bgap_config_advance (struct bgap_config *config,
                      const struct bgap_config_event *event)
{
  if (event->result == BGAP_CONFIG_INSTALLED)
    return;
  if (bgap_config_complete (config))
    config->applied = event->offset;
  else
    config->search_next = event->offset + 1;
}

enum bgap_status
bgap_config_apply (struct bgap_config *config, int64_t offset,
                   const char *bytes, size_t size,
                   struct bgap_config_event *event)
{
  const int64_t next = bgap_config_next (config);
  event->offset = offset;
  if (offset != next)
    {
      event->result = offset < next ? BGAP_CONFIG_DUPLICATE : BGAP_CONFIG_GAP;
      return BGAP_OK;
    }
  if (config->blocked)
    {
      event->result = BGAP_CONFIG_BLOCKED;
      return BGAP_OK;
    }
  json_t *object;
  enum bgap_status status = _bgap_config_json (config, bytes, size, &object);
  if (status != BGAP_OK)
    return status;
  status = _bgap_config_dispatch (config, object, event);
  json_decref (object);
  if (status == BGAP_OK && event->result != BGAP_CONFIG_BLOCKED)
    _bgap_config_advance (config, event);
  return status;
}

enum bgap_status
bgap_config_check (const struct bgap_config *config, const char *owner,
                   int64_t based_on, const char *documents,
                   struct bgap_config_event *event)
{
  if (!bgap_text_is_name (owner))
    {
      const struct bgap_finding finding = {
        .path = "owner",
        .message = "the owner is not a valid name",
        .remedy = "use 1 to 63 of a-z, 0-9 and '-', not starting with '-'",
      };
      event->result = BGAP_CONFIG_REFUSED;
      bgap_findings_add (&event->findings, &finding);
      return BGAP_OK;
    }
  bgap_text_copy (event->owner, sizeof event->owner, owner);
  event->based_on = based_on;
  struct bgap_config_update update = { 0 };
  enum bgap_status status
      = bgap_config_evaluate (config, documents, event, &update);
  bgap_config_update_free (&update);
  return status;
}
