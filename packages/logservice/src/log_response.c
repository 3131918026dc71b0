#include "log_response.h"

#include <stdlib.h>

#include "banyangap/base/json.h"

enum bgap_status
bgap_log_response_parse_append (const char *body, size_t size,
                                struct bgap_log_response *response,
                                struct bgap_error *err)
{
  *response = (struct bgap_log_response){ 0 };
  enum bgap_status status = bgap_json_parse (body, size, &response->json, err);
  if (status == BGAP_OK)
    status = bgap_json_int (response->json, "offset", &response->offset, err);
  if (status == BGAP_OK && response->offset < 1)
    status = bgap_error_set (err, BGAP_ERR_PROTOCOL, "offset %lld is below 1",
                             (long long)response->offset);
  return status;
}

static enum bgap_status
_bgap_log_response_read_bounds (struct bgap_log_response *response,
                                struct bgap_error *err)
{
  enum bgap_status status
      = bgap_json_int (response->json, "first", &response->first, err);
  if (status == BGAP_OK)
    status = bgap_json_int (response->json, "end", &response->end, err);
  if (status == BGAP_OK
      && (response->first < 1 || response->end < response->first))
    status = bgap_error_set (
        err, BGAP_ERR_PROTOCOL, "first %lld and end %lld are not valid bounds",
        (long long)response->first, (long long)response->end);
  return status;
}

enum bgap_status
bgap_log_response_parse_bounds (const char *body, size_t size,
                                struct bgap_log_response *response,
                                struct bgap_error *err)
{
  *response = (struct bgap_log_response){ 0 };
  enum bgap_status status = bgap_json_parse (body, size, &response->json, err);
  if (status == BGAP_OK)
    status = _bgap_log_response_read_bounds (response, err);
  return status;
}

static enum bgap_status
_bgap_log_response_read_record (const json_t *item,
                                struct bgap_log_record *out,
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
bgap_log_response_parse_read (const char *body, size_t size, int64_t from,
                              uint32_t limit,
                              struct bgap_log_response *response,
                              struct bgap_error *err)
{
  enum bgap_status status
      = bgap_log_response_parse_bounds (body, size, response, err);
  if (status != BGAP_OK)
    return status;
  const json_t *records = json_object_get (response->json, "records");
  size_t count = json_array_size (records);
  if (!json_is_array (records) || count > limit)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "\"records\" is not an array of at most %u items",
                           limit);
  if (count == 0)
    return BGAP_OK;
  response->records = calloc (count, sizeof *response->records);
  if (response->records == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  int64_t min_offset = from > response->first ? from : response->first;
  for (size_t i = 0; i < count; i++)
    {
      struct bgap_log_record *record = &response->records[i];
      status = _bgap_log_response_read_record (json_array_get (records, i),
                                               record, err);
      if (status != BGAP_OK)
        return status;
      if (record->offset < min_offset || record->offset >= response->end)
        return bgap_error_set (
            err, BGAP_ERR_PROTOCOL, "offset %lld is outside [%lld, %lld)",
            (long long)record->offset, (long long)min_offset,
            (long long)response->end);
      min_offset = record->offset + 1;
    }
  response->count = count;
  return BGAP_OK;
}

void
bgap_log_response_shutdown (struct bgap_log_response *response)
{
  free (response->records);
  json_decref (response->json);
  *response = (struct bgap_log_response){ 0 };
}
