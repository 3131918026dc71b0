#ifndef BGAPD_EDGE_ZONES_H
#define BGAPD_EDGE_ZONES_H

/*
 * Evacuated zones: passes the operator's records to the view of the zones, and
 * its changes to the router and the granters.
 *
 *   bgap_edge_open_zones (edge, &err);
 *   if (bgap_edge_on_zone_record (edge, record))
 *     return;
 *   bgap_edge_update_evacuation (edge, server, entry);
 */

#include "edge_state.h"

/**
 * bgap_edge_open_zones() - create the view of the evacuated zones
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_edge_open_zones (struct bgap_edge *edge,
                                       struct bgap_error *err);

/**
 * bgap_edge_on_zone_record() - handle a record of the operator's topic that
 * evacuates a zone, or its removal
 *
 * Return: false if it is another kind of record.
 */
bool bgap_edge_on_zone_record (struct bgap_edge *edge,
                               const struct bgap_store_record *record);

/**
 * bgap_edge_is_evacuated() - whether the zone of a server is evacuated
 */
bool bgap_edge_is_evacuated (const struct bgap_edge *edge,
                             const struct bgap_server_entry *entry);

/**
 * bgap_edge_describe_evacuation() - set what the router has to know of the
 * evacuation of a server's zone before it sends it requests
 */
void bgap_edge_describe_evacuation (const struct bgap_edge *edge,
                                    const struct bgap_server_entry *entry,
                                    struct bgap_server_desc *desc);

/**
 * bgap_edge_update_evacuation() - tell the router whether the server's zone is
 * evacuated, after the server was added or its registration has changed
 */
void bgap_edge_update_evacuation (struct bgap_edge *edge,
                                  const struct bgap_edge_server *server,
                                  const struct bgap_server_entry *entry);

/**
 * bgap_edge_evacuated_running() - number of requests of this instance that
 * still run in evacuated zones
 */
uint32_t bgap_edge_evacuated_running (const struct bgap_edge *edge);

/**
 * bgap_edge_dump_zones() - append a line for each evacuated zone
 */
void bgap_edge_dump_zones (const struct bgap_edge *edge,
                           struct bgap_buffer *out);

#endif
