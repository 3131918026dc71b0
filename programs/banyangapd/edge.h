#ifndef BGAPD_EDGE_H
#define BGAPD_EDGE_H

/*
 * An instance in platform mode. Everything persistent is in the platform's
 * store: the configuration, the registrations of backend servers and the
 * assignment of keys.
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
 * struct bgap_edge_topics - names of topics and keys in the store
 * @operators: topic of the configuration
 * @config_key: key of the configuration in @operators
 * @evacuate_prefix: prefix of the keys in @operators by which zones are
 *   evacuated; the rest of a key is the name of the zone
 * @servers: topic of the registrations
 * @internal: topic that the instances write themselves: assignments of keys
 *   and messages of their routers
 */
struct bgap_edge_topics
{
  const char *operators;
  const char *config_key;
  const char *evacuate_prefix;
  const char *servers;
  const char *internal;
};

/**
 * struct bgap_edge_desc - options; all are required
 * @base: event loop
 * @settings: copied
 * @store: client of the store; must stay valid
 * @wire: field names and formats of the platform; must stay valid
 * @ready_path: path of the load balancer's readiness probes
 * @reload: reads the settings again if they have changed or with @forced;
 *   returns false if it did not read them or they are invalid
 * @context: passed to @reload
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
 * bgap_edge_setup() - open the addresses and start following the store
 * @out: initialize it to NULL; it may be set on an error, too, and must be
 *   passed to bgap_edge_shutdown() in any case
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID, BGAP_ERR_IO or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_edge_setup (const struct bgap_edge_desc *desc,
                                  struct bgap_edge **out,
                                  struct bgap_error *err);

/**
 * bgap_edge_run() - serve until SIGTERM or SIGINT; SIGHUP reloads the settings
 */
void bgap_edge_run (struct bgap_edge *edge);

/**
 * bgap_edge_shutdown() - free everything; the store's client must have been
 * shut down before, so that its pending calls are dropped. NULL is allowed
 */
void bgap_edge_shutdown (struct bgap_edge *edge);

#endif
