#ifndef BGAPD_EDGE_H
#define BGAPD_EDGE_H

/*
 * An instance on a platform that keeps everything that must last in a store:
 * configuration, registrations of backend servers and the assignment of keys.
 *
 *   struct bgap_edge *edge;
 *   if (bgap_edge_setup (&desc, &edge, &err) == BGAP_OK)
 *     bgap_edge_run (edge);
 *   bgap_edge_shutdown (edge);
 */

#include <event2/event.h>

#include "banyangap/registry/instance_settings.h"
#include "banyangap/registry/wire.h"
#include "banyangap/store/store.h"

/**
 * struct bgap_edge_topics - names in the store
 * @operators, @config_key: topic and key of the configuration
 * @servers: topic of the registrations
 * @own: topic of the system's own records
 */
struct bgap_edge_topics
{
  const char *operators;
  const char *config_key;
  const char *servers;
  const char *own;
};

/**
 * struct bgap_edge_desc - options; all are required
 * @base: event loop
 * @settings: copied
 * @store: calls to the store; stays valid
 * @wire: names and formats
 * @ready_path: where the balancer asks
 * @reload: read the settings again; false if they are wrong
 */
struct bgap_edge_desc
{
  struct event_base *base;
  const struct bgap_instance_settings *settings;
  const struct bgap_store_ops *store;
  const struct bgap_wire_ops *wire;
  struct bgap_edge_topics topics;
  const char *ready_path;
  bool (*reload) (void *context, struct bgap_instance_settings *settings,
                  bool forced);
  void *context;
};

struct bgap_edge;

/**
 * bgap_edge_setup() - listen and follow the store
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID, BGAP_ERR_IO or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_edge_setup (const struct bgap_edge_desc *desc,
                                  struct bgap_edge **out,
                                  struct bgap_error *err);

/**
 * bgap_edge_run() - serve until the process is told to stop
 */
void bgap_edge_run (struct bgap_edge *edge);

/**
 * bgap_edge_shutdown() - free everything; the store's client must have dropped
 * its calls. NULL is allowed
 */
void bgap_edge_shutdown (struct bgap_edge *edge);

#endif
