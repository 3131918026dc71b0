#ifndef BGAPD_UPSTREAMS_PRIVATE_H
#define BGAPD_UPSTREAMS_PRIVATE_H

/*
 * Parts shared by the table of servers and the calls to them.
 */

#include "banyangap/gateway/backend.h"
#include "upstreams.h"

/* User's part of an attempt.  */
struct bgap_upstream_attempt
{
  uint32_t id;
  struct bgap_upstreams *upstreams;
  const struct bgap_call_ops *ops;
  void *user;
  UT_hash_handle hh;
};

/* An instance that forwards requests.  */
struct bgap_relay
{
  char name[BGAP_UPSTREAM_NAME_SIZE];
  char address[BGAP_RESOURCE_ADDRESS_SIZE];
  struct bgap_backend_server_id pool;
  UT_hash_handle hh;
};

struct bgap_upstreams
{
  struct bgap_upstreams_desc desc;
  struct bgap_backend *backend;
  struct bgap_upstream *table;
  struct bgap_upstream_attempt *attempts;
  struct bgap_relay *relays;
};

#endif
