#ifndef BGAPD_CELLS_H
#define BGAPD_CELLS_H

/*
 * Runs the ownership engines of all cells of the deployment and finds the
 * server of a key.
 *
 *   struct bgap_cells *cells;
 *   bgap_cells_setup (&desc, &cells, &err);
 *   bgap_cells_sync (cells, set, version);
 *   struct bgap_cell_route route;
 *   if (bgap_cells_lookup (cells, "styrelsen.mosearkiv", key, size, &route))
 *     send_to (route.server, route.token);
 *   bgap_cells_shutdown (cells);
 */

#include <event2/event.h>
#include <jansson.h>

#include "banyangap/logservice/log_service.h"
#include "members.h"
#include "upstreams.h"

/**
 * struct bgap_cells_desc - options; all are required
 */
struct bgap_cells_desc
{
  struct event_base *base;
  const struct bgap_settings *settings;
  const struct bgap_log_ops *log;
  struct bgap_peer *peer;
  struct bgap_members *members;
  struct bgap_upstreams *upstreams;
};

/**
 * struct bgap_cell_route - server of a key
 * @server: name of the backend server
 * @via: instance that must send the request; empty if any instance may
 * @cell: name of the home cell
 * @slice: slice of the key
 * @entry: for bgap_cells_count_request()
 * @token: fencing token
 * @held: false if the key has no holder at present; then only @slice and @cell
 *   are set
 * @hot: the key was split from its slice and has an entry of its own
 */
struct bgap_cell_route
{
  char server[BGAP_UPSTREAM_NAME_SIZE];
  char via[BGAP_UPSTREAM_NAME_SIZE];
  char cell[BGAP_UPSTREAM_NAME_SIZE];
  uint32_t slice;
  uint32_t entry;
  uint64_t token;
  bool held;
  bool hot;
};

struct bgap_cells;

enum bgap_status bgap_cells_setup (const struct bgap_cells_desc *desc,
                                   struct bgap_cells **out,
                                   struct bgap_error *err);

void bgap_cells_shutdown (struct bgap_cells *cells);

/**
 * bgap_cells_sync() - apply the configuration, the members and the servers
 * @version: of the configuration
 */
void bgap_cells_sync (struct bgap_cells *cells,
                      const struct bgap_resource_set *set, int64_t version);

/**
 * bgap_cells_on_peer() - handle a message of another instance to one of the
 * cells
 */
void bgap_cells_on_peer (struct bgap_cells *cells, const char *from,
                         const void *bytes, size_t size);

/**
 * bgap_cells_lookup() - find the server of a key
 * @service: "<owner>.<service>"
 *
 * Return: false if the service is unknown or not keyed.
 */
bool bgap_cells_lookup (struct bgap_cells *cells, const char *service,
                        const void *key, size_t size,
                        struct bgap_cell_route *route);

/**
 * bgap_cells_count_request() - count a request for placement
 * @route: from bgap_cells_lookup() for the same key, with no other call in
 *   between
 */
void bgap_cells_count_request (struct bgap_cells *cells,
                               const struct bgap_cell_route *route,
                               const char *service, const void *key,
                               size_t size);

/* Longest deadline of a request to a server that does not check grants. A move
   of a key whose old holder does not acknowledge waits this long, so that no
   request is still running.  */
#define BGAP_CELLS_DEADLINE_MAX_MS 30000

/**
 * bgap_cells_begin_request() - register a request to a server that does not
 * check grants, after checking the lease that this instance holds for it
 * @request: gets the handle for bgap_cells_end_request()
 *
 * Call it immediately before the request is sent.
 *
 * Return: false if the request must not be sent.
 */
bool bgap_cells_begin_request (struct bgap_cells *cells,
                               const struct bgap_cell_route *route,
                               const char *service, const void *key,
                               size_t size, uint32_t *request);

/**
 * bgap_cells_end_request() - unregister a request that has ended
 */
void bgap_cells_end_request (struct bgap_cells *cells,
                             const struct bgap_cell_route *route,
                             uint32_t request);

/**
 * bgap_cells_leave() - start to hand over this instance's roles before its
 * shutdown
 */
void bgap_cells_leave (struct bgap_cells *cells);

/**
 * bgap_cells_may_exit() - whether no role depends on this instance any more
 */
bool bgap_cells_may_exit (const struct bgap_cells *cells);

/**
 * bgap_cells_dump() - state of all engines as a JSON object
 */
json_t *bgap_cells_dump (const struct bgap_cells *cells);

#endif
