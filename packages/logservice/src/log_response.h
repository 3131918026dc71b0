#ifndef BANYANGAP_LOGSERVICE_LOG_ANSWER_H
#define BANYANGAP_LOGSERVICE_LOG_ANSWER_H

/*
 * Parsers of the log service's response bodies.
 *
 *   struct bgap_log_answer answer;
 *   if (bgap_log_answer_parse_read (body, size, from, limit, &answer, &err)
 *       == BGAP_OK)
 *     use (answer.records, answer.count);
 *   bgap_log_answer_shutdown (&answer);
 */

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "banyangap/base/status.h"
#include "banyangap/logservice/log_service.h"

/**
 * struct bgap_log_answer - a parsed body
 * @offset: of an append
 * @first: oldest offset kept
 * @end: offset that the next record will get
 * @records: @count records, which point into @json
 * @json: private
 */
struct bgap_log_answer
{
  int64_t offset;
  int64_t first;
  int64_t end;
  struct bgap_log_record *records;
  size_t count;
  json_t *json;
};

/**
 * bgap_log_answer_parse_append() - body of a successful append
 *
 * Return: BGAP_OK or BGAP_ERR_PROTOCOL. Shut @answer down in both cases.
 */
enum bgap_status bgap_log_answer_parse_append (const char *body, size_t size,
                                               struct bgap_log_answer *answer,
                                               struct bgap_error *err);

/**
 * bgap_log_answer_parse_bounds() - body of an end, or of a 410
 *
 * Return: as above.
 */
enum bgap_status bgap_log_answer_parse_bounds (const char *body, size_t size,
                                               struct bgap_log_answer *answer,
                                               struct bgap_error *err);

/**
 * bgap_log_answer_parse_read() - body of a successful read
 * @from: offset asked for
 * @limit: number of records asked for
 *
 * Return: as above, or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_log_answer_parse_read (const char *body, size_t size,
                                             int64_t from, uint32_t limit,
                                             struct bgap_log_answer *answer,
                                             struct bgap_error *err);

/**
 * bgap_log_answer_shutdown() - free what a parser allocated
 */
void bgap_log_answer_shutdown (struct bgap_log_answer *answer);

#endif
