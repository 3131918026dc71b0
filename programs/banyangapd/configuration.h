#ifndef BGAPD_CONFIGURATION_H
#define BGAPD_CONFIGURATION_H

/*
 * Configuration of the deployment: replay of the stream "config", with the
 * peers as a second source, and the events for operators' watches.
 *
 *   struct bgap_configuration *configuration;
 *   bgap_configuration_setup (&desc, &configuration, &err);
 *   use (bgap_configuration_set (configuration));
 *   bgap_configuration_shutdown (configuration);
 */

#include <event2/event.h>

#include "banyangap/logservice/log_service.h"
#include "banyangap/resource/config.h"
#include "members.h"

/* Events kept for watches.  */
#define BGAP_CONFIGURATION_EVENTS 128

/**
 * struct bgap_configuration_event - a change that was decided
 */
struct bgap_configuration_event
{
  int64_t offset;
  enum bgap_config_result result;
  char owner[BGAP_RESOURCE_NAME_SIZE];
  char operator_name[BGAP_RESOURCE_NAME_SIZE];
  struct bgap_findings findings;
  struct bgap_buffer changed;
};

/**
 * struct bgap_configuration_desc - options; all are required
 * @applied: called when another configuration came into force
 */
struct bgap_configuration_desc
{
  struct event_base *base;
  const struct bgap_log_ops *log;
  struct bgap_peer *peer;
  struct bgap_members *members;
  void (*applied) (void *context);
  void *context;
};

struct bgap_configuration;

/**
 * bgap_configuration_setup() - start to replay
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status
bgap_configuration_setup (const struct bgap_configuration_desc *desc,
                          struct bgap_configuration **out,
                          struct bgap_error *err);

void bgap_configuration_shutdown (struct bgap_configuration *configuration);

/**
 * bgap_configuration_replay() - the replayed state, read only
 */
const struct bgap_config *
bgap_configuration_replay (const struct bgap_configuration *configuration);

/**
 * bgap_configuration_set() - resources in force
 */
const struct bgap_resource_set *
bgap_configuration_set (const struct bgap_configuration *configuration);

/**
 * bgap_configuration_event() - event number @index, oldest first; NULL past
 * the end
 */
const struct bgap_configuration_event *
bgap_configuration_event (const struct bgap_configuration *configuration,
                          uint32_t index);

/**
 * bgap_configuration_first() - offset before which events are no longer kept
 */
int64_t
bgap_configuration_first (const struct bgap_configuration *configuration);

/**
 * bgap_configuration_on_want() - a peer asks for the configuration
 */
void bgap_configuration_on_want (struct bgap_configuration *configuration,
                                 const char *from);

/**
 * bgap_configuration_on_peer() - a peer sent its configuration
 */
void bgap_configuration_on_peer (struct bgap_configuration *configuration,
                                 const char *from, const void *bytes,
                                 size_t size);

#endif
