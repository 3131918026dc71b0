#ifndef BANYANGAP_REGISTRY_INSTANCE_SETTINGS_H
#define BANYANGAP_REGISTRY_INSTANCE_SETTINGS_H

/*
 * Settings of an instance that keeps everything that must last in a store.
 */

#include <stdint.h>

#include "banyangap/registry/route_table.h"

/* Size of a numeric address with a port, terminating zero included.  */
#define BGAP_INSTANCE_ADDRESS_SIZE 64

/**
 * struct bgap_instance_settings - plain values, nothing to free
 * @name, @zone: of this instance
 * @callers_address: listens for callers
 * @ready_address: answers whether callers may be sent here
 * @operators_address: serves metrics and dumps; "" for none
 * @peers_address: listens for other instances
 * @store_address: of the store
 * @memory_mb: limit of the process, in MB
 * @heartbeat_ms: how often servers register
 * @drain_ms: after this time a leaving server gets nothing new
 * @grace_ms: from the order to stop to the forced end
 * @lease_max_ms: longest hold of a grant
 * @retry_budget_percent: further attempts per 100 requests, over all instances
 * @retry_budget_min: further attempts that are always allowed, over all
 * instances and @retry_window_ms
 * @retry_budget_window_ms: time over which further attempts are counted
 */
struct bgap_instance_settings
{
  char name[BGAP_REGISTRY_NAME_SIZE];
  char zone[BGAP_REGISTRY_NAME_SIZE];
  char callers_address[BGAP_INSTANCE_ADDRESS_SIZE];
  char ready_address[BGAP_INSTANCE_ADDRESS_SIZE];
  char operators_address[BGAP_INSTANCE_ADDRESS_SIZE];
  char peers_address[BGAP_INSTANCE_ADDRESS_SIZE];
  char store_address[BGAP_INSTANCE_ADDRESS_SIZE];
  uint32_t memory_mb;
  int64_t heartbeat_ms;
  int64_t drain_ms;
  int64_t grace_ms;
  int64_t lease_max_ms;
  uint32_t retry_budget_percent;
  uint32_t retry_budget_min;
  int64_t retry_budget_window_ms;
};

#endif
