#ifndef BANYANGAP_RESOURCE_TYPES_H
#define BANYANGAP_RESOURCE_TYPES_H

/*
 * Typed structs of the resource kinds. docs/resources.md describes each field.
 */

#include <stdbool.h>
#include <stdint.h>

/* Sizes in bytes, terminating zero included.  */
#define BGAP_RESOURCE_NAME_SIZE 64
#define BGAP_RESOURCE_ADDRESS_SIZE 56 /* "[IPv6]:port" */
#define BGAP_RESOURCE_DIGEST_SIZE 65  /* SHA-256 as hexadecimal text */

/**
 * enum bgap_resource_kind - kinds of resources, in the order of the arrays of
 * struct bgap_resource_set
 */
enum bgap_resource_kind
{
  BGAP_RESOURCE_OWNER,
  BGAP_RESOURCE_ZONE,
  BGAP_RESOURCE_POLICY,
  BGAP_RESOURCE_SERVICE,
  BGAP_RESOURCE_SERVERS,
  BGAP_RESOURCE_KIND_COUNT
};

/**
 * enum bgap_resource_repeat - whether a request may run more than once
 */
enum bgap_resource_repeat
{
  BGAP_RESOURCE_REPEAT_IDEMPOTENT,
  BGAP_RESOURCE_REPEAT_NEVER
};

/**
 * enum bgap_resource_class - priority classes in queues, highest first
 */
enum bgap_resource_class
{
  BGAP_RESOURCE_CLASS_URGENT,
  BGAP_RESOURCE_CLASS_NORMAL,
  BGAP_RESOURCE_CLASS_BULK
};

/**
 * enum bgap_resource_witnesses - whether a cell is one zone or a whole region
 */
enum bgap_resource_witnesses
{
  BGAP_RESOURCE_WITNESSES_ZONE,
  BGAP_RESOURCE_WITNESSES_REGION
};

/**
 * struct bgap_resource_owner - a customer
 * @owner: equal to @name
 * @entry_hosts_max: number of instances by which the connections of a server
 * are divided
 * @token_sha256: digest of the token for the owner's reports; "" means none
 */
struct bgap_resource_owner
{
  char name[BGAP_RESOURCE_NAME_SIZE];
  char owner[BGAP_RESOURCE_NAME_SIZE];
  uint32_t entry_hosts_max;
  char token_sha256[BGAP_RESOURCE_DIGEST_SIZE];
};

/**
 * struct bgap_resource_zone - an availability zone
 */
struct bgap_resource_zone
{
  char name[BGAP_RESOURCE_NAME_SIZE];
  char owner[BGAP_RESOURCE_NAME_SIZE];
  char region[BGAP_RESOURCE_NAME_SIZE];
};

/**
 * struct bgap_resource_weights - weights of the placement objective
 */
struct bgap_resource_weights
{
  uint32_t imbalance;
  uint32_t unavailable;
  uint32_t churn;
};

/**
 * struct bgap_resource_policy - an ownership policy
 * @moves_per_minute: moves of slices allowed per service and cell
 */
struct bgap_resource_policy
{
  char name[BGAP_RESOURCE_NAME_SIZE];
  char owner[BGAP_RESOURCE_NAME_SIZE];
  enum bgap_resource_witnesses witnesses;
  struct bgap_resource_weights weights;
  uint32_t moves_per_minute;
};

/**
 * struct bgap_resource_service - a service
 * @keyed: whether requests are divided among servers by key
 * @slices: power of two; 0 if derived and not yet resolved, or not keyed
 * @deadline_ms: deadline of a request that does not state one
 * @retry_budget_percent: retry budget, in retries per 100 requests
 * @queue_limit: queued requests per instance; 0 if derived and not yet
 * resolved
 * @repeat_window_s: idempotency window: age up to which a repeated request is
 * recognised (repeat: never)
 * @ownership_policy: name of the policy; "" if not keyed
 */
struct bgap_resource_service
{
  char name[BGAP_RESOURCE_NAME_SIZE];
  char owner[BGAP_RESOURCE_NAME_SIZE];
  bool keyed;
  uint32_t slices;
  enum bgap_resource_repeat repeat;
  enum bgap_resource_class class;
  uint32_t deadline_ms;
  uint32_t retry_budget_percent;
  uint32_t queue_limit;
  uint32_t repeat_window_s;
  char ownership_policy[BGAP_RESOURCE_NAME_SIZE];
};

/**
 * struct bgap_resource_server - one backend server
 * @address: numeric IP address and port
 * @slots: requests that the server runs concurrently
 * @connections: connections that it accepts from all instances together
 * @checks_grants: whether the server itself refuses work without a valid grant
 * @draining: whether the server gets no new work
 */
struct bgap_resource_server
{
  char name[BGAP_RESOURCE_NAME_SIZE];
  char zone[BGAP_RESOURCE_NAME_SIZE];
  char address[BGAP_RESOURCE_ADDRESS_SIZE];
  uint32_t slots;
  uint32_t connections;
  bool checks_grants;
  bool draining;
};

/**
 * struct bgap_resource_servers - backend servers of a service
 *
 * A service may have several of these, for example one per zone.
 */
struct bgap_resource_servers
{
  char name[BGAP_RESOURCE_NAME_SIZE];
  char owner[BGAP_RESOURCE_NAME_SIZE];
  char service[BGAP_RESOURCE_NAME_SIZE];
  struct bgap_resource_server *servers;
  uint32_t server_count;
};

#endif
