#include "edge_parts.h"

/* Minimum limit of an instance's connections to a server.  */
#define CONNECTIONS_MIN 4u

/* Requests per slot that all instances together may have at a server, running
   and queued. They are not spread evenly over the instances. Servers accept
   five requests per slot.  */
#define REQUESTS_PER_SLOT 5u

/* Minimum of an instance's share of these requests.  */
#define OWN_REQUESTS_MIN 2u

/* Connections that the granter opens to a server.  */
#define ORDER_CONNECTIONS                                                     \
  (BGAP_EDGE_GRANT_CONNECTIONS + BGAP_EDGE_RELEASE_CONNECTIONS)

uint32_t
bgap_edge_server_connections (const struct bgap_edge *edge,
                              const struct bgap_edge_service *service)
{
  const struct bgap_routed_service *routed
      = edge->table != NULL
            ? bgap_route_table_service (edge->table, service->name)
            : NULL;
  uint32_t instances = bgap_membership_count (edge->membership);
  uint32_t all = routed != NULL ? routed->connections_max : CONNECTIONS_MIN;
  uint32_t share = all > ORDER_CONNECTIONS
                       ? (all - ORDER_CONNECTIONS) / (instances + 1)
                       : 1;
  return share > CONNECTIONS_MIN ? share : CONNECTIONS_MIN;
}

uint32_t
bgap_edge_server_requests_max (const struct bgap_edge *edge,
                               const struct bgap_server_entry *entry)
{
  uint32_t instances = bgap_membership_count (edge->membership);
  uint32_t all = entry->slots * REQUESTS_PER_SLOT;
  uint32_t own = (all + instances - 1) / instances;
  return own > OWN_REQUESTS_MIN ? own : OWN_REQUESTS_MIN;
}
