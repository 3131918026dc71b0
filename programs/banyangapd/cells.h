#ifndef BGAPD_CELLS_H
#define BGAPD_CELLS_H

/*
 * The ownership engines of all cells of the deployment and the I/O that they
 * ask for.
 *
 *   struct bgap_cells *cells;
 *   bgap_cells_setup (&desc, &cells, &err);
 *   bgap_cells_sync (cells, set);
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
 * struct bgap_cell_route - where a key is served
 * @server: name of the backend server
 * @via: instance that must send the request, empty for any
 * @cell: name of the home cell
 * @entry: for bgap_cells_count()
 * @token: fencing token
 * @held: false if nobody holds the key at present; then only @slice and @cell
 *   are set
 * @hot: the key is an entry of its own
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
 * bgap_cells_sync() - apply configuration and members
 */
void bgap_cells_sync (struct bgap_cells *cells,
                      const struct bgap_resource_set *set, int64_t version);

/**
 * bgap_cells_on_peer() - a message of another instance for one of the cells
 */
void bgap_cells_on_peer (struct bgap_cells *cells, const char *from,
                         const void *bytes, size_t size);

/**
 * bgap_cells_lookup() - route of a key
 *
 * Return: false if the service is not known or not divided by key.
 */
bool bgap_cells_lookup (struct bgap_cells *cells, const char *service,
                        const void *key, size_t size,
                        struct bgap_cell_route *route);

/**
 * bgap_cells_count() - count a request for placement
 * @route: from bgap_cells_lookup() for the same key, without calls in between
 */
void bgap_cells_count (struct bgap_cells *cells,
                       const struct bgap_cell_route *route,
                       const char *service, const void *key, size_t size);

/* Longest deadline of a request to a server that does not check grants: a move
   without an acknowledgement waits this long.  */
#define BGAP_CELLS_DEADLINE_MAX_MS 30000

/**
 * bgap_cells_begin() - check a request to a server that does not check grants,
 * whose lease this instance holds, and note that it runs
 * @request: handle for bgap_cells_end()
 *
 * Call it immediately before sending.
 *
 * Return: false if the request must not be sent.
 */
bool bgap_cells_begin (struct bgap_cells *cells,
                       const struct bgap_cell_route *route,
                       const char *service, const void *key, size_t size,
                       uint32_t *request);

/**
 * bgap_cells_end() - such a request has ended
 */
void bgap_cells_end (struct bgap_cells *cells,
                     const struct bgap_cell_route *route, uint32_t request);

/**
 * bgap_cells_leave() - announce the shutdown of this instance
 */
void bgap_cells_leave (struct bgap_cells *cells);

/**
 * bgap_cells_left() - no role depends on this instance any more
 */
bool bgap_cells_left (const struct bgap_cells *cells);

/**
 * bgap_cells_dump() - state of all engines as a JSON object
 */
json_t *bgap_cells_dump (const struct bgap_cells *cells);

#endif
