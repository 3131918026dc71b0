#ifndef BANYANGAP_LOGSERVICE_HOST_ANSWER_H
#define BANYANGAP_LOGSERVICE_HOST_ANSWER_H

/*
 * Parser of the host list's response body.
 *
 *   struct bgap_host_answer answer;
 *   if (bgap_host_answer_parse (body, size, 4096, &answer, &err) == BGAP_OK)
 *     use (answer.hosts, answer.count);
 *   bgap_host_answer_shutdown (&answer);
 */

#include <jansson.h>
#include <stddef.h>

#include "banyangap/base/status.h"
#include "banyangap/logservice/host_list.h"

/**
 * struct bgap_host_answer - a parsed body
 * @hosts: @count hosts, which point into @json
 * @json: private
 */
struct bgap_host_answer
{
  struct bgap_host *hosts;
  size_t count;
  json_t *json;
};

/**
 * bgap_host_answer_parse() - parse a body
 * @hosts_max: a longer list is malformed
 *
 * Return: BGAP_OK, BGAP_ERR_PROTOCOL or BGAP_ERR_NO_MEMORY. Shut @answer down
 * in all cases.
 */
enum bgap_status bgap_host_answer_parse (const char *body, size_t size,
                                         size_t hosts_max,
                                         struct bgap_host_answer *answer,
                                         struct bgap_error *err);

/**
 * bgap_host_answer_shutdown() - free what the parser allocated
 */
void bgap_host_answer_shutdown (struct bgap_host_answer *answer);

#endif
