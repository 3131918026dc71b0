#ifndef BANYANGAP_LOGSERVICE_HOST_RESPONSE_H
#define BANYANGAP_LOGSERVICE_HOST_RESPONSE_H

/*
 * Parser of response bodies of the host list.
 *
 *   struct bgap_host_response response;
 *   if (bgap_host_response_parse (body, size, 4096, &response, &err)
 *       == BGAP_OK)
 *     use (response.hosts, response.count);
 *   bgap_host_response_shutdown (&response);
 */

#include <jansson.h>
#include <stddef.h>

#include "banyangap/base/status.h"
#include "banyangap/logservice/host_list.h"

/**
 * struct bgap_host_response - parsed response body
 * @hosts: @count hosts, which point into @json
 * @json: private
 */
struct bgap_host_response
{
  struct bgap_host *hosts;
  size_t count;
  json_t *json;
};

/**
 * bgap_host_response_parse() - parse a response body
 * @hosts_max: maximum number of hosts; a longer list is malformed
 *
 * Return: BGAP_OK, BGAP_ERR_PROTOCOL or BGAP_ERR_NO_MEMORY. Shut @response
 * down in all cases.
 */
enum bgap_status bgap_host_response_parse (const char *body, size_t size,
                                           size_t hosts_max,
                                           struct bgap_host_response *response,
                                           struct bgap_error *err);

/**
 * bgap_host_response_shutdown() - free what the parser allocated
 */
void bgap_host_response_shutdown (struct bgap_host_response *response);

#endif
