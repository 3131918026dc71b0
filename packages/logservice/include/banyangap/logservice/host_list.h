#ifndef BANYANGAP_LOGSERVICE_HOST_LIST_H
#define BANYANGAP_LOGSERVICE_HOST_LIST_H

/*
 * The platform's list of hosts as a function table. The list is eventually
 * consistent: it lags behind the actual state of the hosts.
 *
 *   static void
 *   on_hosts (void *user, const struct bgap_host_list_result *result)
 *   {
 *     for (size_t i = 0; i < result->count; i++)
 *       use (&result->hosts[i]);
 *   }
 *
 *   hosts.fetch (hosts.context, on_hosts, user);
 *
 * A call that returns BGAP_OK is completed exactly once from the event loop,
 * unless the implementation is shut down first. The result and the data it
 * points to are valid only during the completion function.
 */

#include <stddef.h>

#include "banyangap/base/status.h"
#include "banyangap/logservice/answer.h"

/**
 * enum bgap_host_role - what runs on a host
 */
enum bgap_host_role
{
  BGAP_HOST_ENTRY,
  BGAP_HOST_BACKEND
};

/**
 * enum bgap_host_state - state as the platform reports it
 */
enum bgap_host_state
{
  BGAP_HOST_LIVE,
  BGAP_HOST_LEAVING
};

/**
 * struct bgap_host - one host
 * @name: unique name
 * @zone: availability zone
 * @role: entry or backend
 * @state: live or leaving
 * @address: numeric address and port of its HTTP server
 * @peer_address: numeric address and port for other instances; empty for a
 *   backend server
 */
struct bgap_host
{
  const char *name;
  const char *zone;
  enum bgap_host_role role;
  enum bgap_host_state state;
  const char *address;
  const char *peer_address;
};

/**
 * struct bgap_host_list_result - outcome of a fetch
 * @answer: OK, REFUSED or UNKNOWN
 * @hosts: @count hosts with unique names
 * @count: number of @hosts, 0 unless @answer is OK
 * @message: human-readable reason, empty if @answer is OK
 */
struct bgap_host_list_result
{
  enum bgap_answer answer;
  const struct bgap_host *hosts;
  size_t count;
  const char *message;
};

/**
 * struct bgap_host_list_ops - operations of a host list
 * @fetch: read the whole list
 * @context: first argument of all functions
 *
 * @fetch returns BGAP_OK, BGAP_ERR_FULL (too many calls in progress) or
 * BGAP_ERR_NO_MEMORY.
 */
struct bgap_host_list_ops
{
  enum bgap_status (*fetch) (
      void *context,
      void (*done) (void *user, const struct bgap_host_list_result *result),
      void *user);
  void *context;
};

#endif
