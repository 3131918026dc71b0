#ifndef BANYANGAP_LOGSERVICE_LOG_RESPONSE_H
#define BANYANGAP_LOGSERVICE_LOG_RESPONSE_H

/*
 * Parsers of response bodies of the log service.
 *
 *   struct bgap_log_response response;
 *   if (bgap_log_response_parse_read (body, size, from, limit,
 *                                     &response, &err) == BGAP_OK)
 *     use (response.records, response.count);
 *   bgap_log_response_shutdown (&response);
 */

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "banyangap/base/status.h"
#include "banyangap/logservice/log_service.h"

/**
 * struct bgap_log_response - parsed response body
 * @offset: offset of an appended record
 * @first: oldest retained offset
 * @end: offset that the next record will get
 * @records: @count records, which point into @json
 * @json: private
 */
struct bgap_log_response
{
  int64_t offset;
  int64_t first;
  int64_t end;
  struct bgap_log_record *records;
  size_t count;
  json_t *json;
};

/**
 * bgap_log_response_parse_append() - parse the response to a successful
 * append
 *
 * Return: BGAP_OK or BGAP_ERR_PROTOCOL. Shut @response down in both cases.
 */
enum bgap_status
bgap_log_response_parse_append (const char *body, size_t size,
                                struct bgap_log_response *response,
                                struct bgap_error *err);

/**
 * bgap_log_response_parse_bounds() - parse the bounds of a stream, or a
 * response with status 410
 *
 * Return: as above.
 */
enum bgap_status
bgap_log_response_parse_bounds (const char *body, size_t size,
                                struct bgap_log_response *response,
                                struct bgap_error *err);

/**
 * bgap_log_response_parse_read() - parse the response to a successful read
 * @from: requested offset
 * @limit: requested number of records
 *
 * Return: as above, or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_log_response_parse_read (
    const char *body, size_t size, int64_t from, uint32_t limit,
    struct bgap_log_response *response, struct bgap_error *err);

/**
 * bgap_log_response_shutdown() - free the memory that a parser allocated
 */
void bgap_log_response_shutdown (struct bgap_log_response *response);

#endif
