#ifndef BANYANGAP_REGISTRY_INSTANCE_SETTINGS_H
#define BANYANGAP_REGISTRY_INSTANCE_SETTINGS_H

/*
 * Settings of an instance that keeps all durable state in a store.
 */

#include <stdbool.h>
#include <stdint.h>

#include "banyangap/registry/route_table.h"

/* Size of a numeric address with a port, terminating zero included.  */
#define BGAP_INSTANCE_ADDRESS_SIZE 64

/**
 * struct bgap_instance_settings - plain values, nothing to free
 * @name, @zone: name and availability zone of this instance
 * @callers_address: address on which callers are accepted
 * @ready_address: address of the readiness check, which tells whether callers
 *   may be sent here
 * @operators_address: address for metrics and dumps; "" for none
 * @peers_address: address on which other instances are accepted
 * @store_address: address of the store
 * @memory_mb: memory limit of the process, in MB
 * @heartbeat_ms: interval at which servers register
 * @drain_ms: time after which a draining server gets no new requests
 * @evacuate_ms: time after the order to evacuate a zone from which its servers
 *   get no requests
 * @grace_ms: time from the order to stop to the forced end
 * @lease_max_ms: longest lease of a grant
 * @retry_budget_percent: retries per 100 requests, over all instances
 * @retry_budget_min: retries that are always allowed, over all instances and
 *   @retry_budget_window_ms
 * @retry_budget_window_ms: time over which retries are counted
 * @cold_overage, @cold_slack: a cold server receives, in any second, at most
 *   @cold_overage times the requests that its service states, plus @cold_slack
 * @place_by_cost: select servers by expected cost, otherwise by the number of
 *   requests
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
  int64_t evacuate_ms;
  int64_t grace_ms;
  int64_t lease_max_ms;
  uint32_t retry_budget_percent;
  uint32_t retry_budget_min;
  int64_t retry_budget_window_ms;
  double cold_overage;
  double cold_slack;
  bool place_by_cost;
};

#endif
