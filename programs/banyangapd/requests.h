#ifndef BGAPD_REQUESTS_H
#define BGAPD_REQUESTS_H

/*
 * Request path: passes callers' requests from the frontend through the router
 * to the backend servers, and the answers back.
 *
 *   bgap_requests_setup (&desc, &requests, &err);
 *   bgap_requests_sync (requests, set);
 *   ...
 *   bgap_requests_stop (requests);
 *   while (!bgap_requests_stopped (requests))
 *     run the event loop
 *   bgap_requests_shutdown (requests);
 */

#include "banyangap/base/buffer.h"
#include "cells.h"
#include "faults.h"

/**
 * struct bgap_requests_desc - options; all are required
 * @server_changed: called when a backend server is lost or reachable again
 */
struct bgap_requests_desc
{
  struct event_base *base;
  const struct bgap_settings *settings;
  const struct bgap_log_ops *log;
  struct bgap_counters *counters;
  struct bgap_peer *peer;
  struct bgap_members *members;
  struct bgap_upstreams *upstreams;
  struct bgap_cells *cells;
  struct bgap_faults *faults;
  void (*server_changed) (void *context);
  void *context;
};

struct bgap_requests;

enum bgap_status bgap_requests_setup (const struct bgap_requests_desc *desc,
                                      struct bgap_requests **out,
                                      struct bgap_error *err);

void bgap_requests_shutdown (struct bgap_requests *requests);

/**
 * bgap_requests_sync_services() - apply the services of a configuration; must
 * be called before the servers are added
 */
void bgap_requests_sync_services (struct bgap_requests *requests,
                                  const struct bgap_resource_set *set);

/**
 * bgap_requests_server_added() - add a server to the router, or apply its
 * changed resource
 */
void bgap_requests_server_added (struct bgap_requests *requests,
                                 struct bgap_upstream *upstream);

/**
 * bgap_requests_server_removed() - remove a server from the router
 */
void bgap_requests_server_removed (struct bgap_requests *requests,
                                   struct bgap_upstream *upstream);

/**
 * bgap_requests_sync_hosts() - apply the drain signals of backend servers and
 * the addresses of instances from the host list
 */
void bgap_requests_sync_hosts (struct bgap_requests *requests);

/**
 * bgap_requests_on_peer() - handle a message of another instance's router
 */
void bgap_requests_on_peer (struct bgap_requests *requests, const char *from,
                            const void *bytes, size_t size);

/**
 * bgap_requests_peer_lost() - handle the loss of an instance
 */
void bgap_requests_peer_lost (struct bgap_requests *requests,
                              const char *name);

/**
 * bgap_requests_stop() - accept no new requests; running ones continue
 */
void bgap_requests_stop (struct bgap_requests *requests);

/**
 * bgap_requests_abort() - answer all callers whose response has not begun, for
 * a process that ends soon
 */
void bgap_requests_abort (struct bgap_requests *requests);

/**
 * bgap_requests_stopped() - whether all requests have ended after
 * bgap_requests_stop()
 */
bool bgap_requests_stopped (const struct bgap_requests *requests);

/**
 * bgap_requests_dump() - append the router's state as text
 */
void bgap_requests_dump (const struct bgap_requests *requests,
                         struct bgap_buffer *out);

/**
 * bgap_requests_update_counters() - copy the router's totals to the counters
 */
void bgap_requests_update_counters (struct bgap_requests *requests);

#endif
