#include "log_answer.h"

#include <stdlib.h>

#include "banyangap/base/json.h"

enum bgap_status
bgap_log_answer_parse_append (const char *body, size_t size,
                              struct bgap_log_answer *answer,
                              struct bgap_error *err)
{
  *answer = (struct bgap_log_answer){ 0 };
  enum bgap_status status = bgap_json_parse (body, size, &answer->json, err);
  if (status == BGAP_OK)
    status = bgap_json_int (answer->json, "offset", &answer->offset, err);
  if (status == BGAP_OK && answer->offset < 1)
    status = bgap_error_set (err, BGAP_ERR_PROTOCOL, "offset %lld is below 1",
                             (long long)answer->offset);
  return status;
}

static enum bgap_status
_bgap_log_answer_read_bounds (struct bgap_log_answer *answer,
                              struct bgap_error *err)
{
  enum bgap_status status
      = bgap_json_int (answer->json, "first", &answer->first, err);
  if (status == BGAP_OK)
    status = bgap_json_int (answer->json, "end", &answer->end, err);
  if (status == BGAP_OK && (answer->first < 1 || answer->end < answer->first))
    status = bgap_error_set (err, BGAP_ERR_PROTOCOL,
                             "first %lld and end %lld are no valid bounds",
                             (long long)answer->first, (long long)answer->end);
  return status;
}

enum bgap_status
bgap_log_answer_parse_bounds (const char *body, size_t size,
                              struct bgap_log_answer *answer,
                              struct bgap_error *err)
{
  *answer = (struct bgap_log_answer){ 0 };
  enum bgap_status status = bgap_json_parse (body, size, &answer->json, err);
  if (status == BGAP_OK)
    status = _bgap_log_answer_read_bounds (answer, err);
  return status;
}

static enum bgap_status
_bgap_log_answer_read_record (const json_t *item, struct bgap_log_record *out,
                              struct bgap_error *err)
{
  enum bgap_status status = bgap_json_int (item, "offset", &out->offset, err);
  if (status == BGAP_OK)
    status = bgap_json_int (item, "time_ms", &out->time_ms, err);
  if (status == BGAP_OK)
    status = bgap_json_string (item, "data", &out->data, err);
  if (status == BGAP_OK)
    out->size = json_string_length (json_object_get (item, "data"));
  return status;
}

enum bgap_status
bgap_log_answer_parse_read (const char *body, size_t size, int64_t from,
                            uint32_t limit, struct bgap_log_answer *answer,
                            struct bgap_error *err)
{
  enum bgap_status status
      = bgap_log_answer_parse_bounds (body, size, answer, err);
  if (status != BGAP_OK)
    return status;
  const json_t *records = json_object_get (answer->json, "records");
  size_t count = json_array_size (records);
  if (!json_is_array (records) || count > limit)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "\"records\" is no array of at most %u items",
                           limit);
  if (count == 0)
    return BGAP_OK;
  answer->records = calloc (count, sizeof *answer->records);
  if (answer->records == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  int64_t lowest = from > answer->first ? from : answer->first;
  for (size_t i = 0; i < count; i++)
    {
      struct bgap_log_record *record = &answer->records[i];
      status = _bgap_log_answer_read_record (json_array_get (records, i),
                                             record, err);
      if (status != BGAP_OK)
        return status;
      if (record->offset < lowest || record->offset >= answer->end)
        return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                               "offset %lld is not in [%lld, %lld)",
                               (long long)record->offset, (long long)lowest,
                               (long long)answer->end);
      lowest = record->offset + 1;
    }
  answer->count = count;
  return BGAP_OK;
}

void
bgap_log_answer_shutdown (struct bgap_log_answer *answer)
{
  free (answer->records);
  json_decref (answer->json);
  *answer = (struct bgap_log_answer){ 0 };
}
