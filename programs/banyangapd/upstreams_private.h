#ifndef BGAPD_UPSTREAMS_PRIVATE_H
#define BGAPD_UPSTREAMS_PRIVATE_H

/*
 * Declarations shared by the table of servers and the calls to them.
 */

#include <sys/queue.h>

#include "banyangap/gateway/backend.h"
#include "upstreams.h"

/* A call in progress: the callbacks for an attempt of the backend.  */
struct bgap_upstream_attempt
{
  uint32_t id;
  struct bgap_upstreams *upstreams;
  const struct bgap_call_ops *ops;
  void *user;
  UT_hash_handle hh;
};

/* An instance that forwards requests, with the connection pool to it.  */
struct bgap_forwarder
{
  char name[BGAP_UPSTREAM_NAME_SIZE];
  char address[BGAP_RESOURCE_ADDRESS_SIZE];
  struct bgap_backend_server_id pool;
  UT_hash_handle hh;
};

LIST_HEAD (bgap_control_call_list, bgap_control_call);

/* @control_calls: the hellos and renewals in progress.  */
struct bgap_upstreams
{
  struct bgap_upstreams_desc desc;
  struct bgap_backend *backend;
  struct bgap_upstream *table;
  struct bgap_upstream_attempt *attempts;
  struct bgap_forwarder *forwarders;
  struct bgap_control_call_list control_calls;
};

#endif
