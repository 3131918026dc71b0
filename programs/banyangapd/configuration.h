#ifndef BGAPD_CONFIGURATION_H
#define BGAPD_CONFIGURATION_H

/*
 * Configuration of the deployment. Follows the log stream "config", takes the
 * configuration from a peer while the log is unreachable, and keeps recent
 * events for operators' watches.
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

/* Number of events kept for watches.  */
#define BGAP_CONFIGURATION_EVENTS 128

/**
 * struct bgap_configuration_event - an accepted, refused or stale change
 * @offset: of the change's record in the log
 * @operator_name: operator who published the change
 * @findings: why the change was refused
 * @changed: what was accepted in between, if the change is stale
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
 * @applied: called when another configuration has come into force
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
 * bgap_configuration_setup() - start to follow the log
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status
bgap_configuration_setup (const struct bgap_configuration_desc *desc,
                          struct bgap_configuration **out,
                          struct bgap_error *err);

void bgap_configuration_shutdown (struct bgap_configuration *configuration);

/**
 * bgap_configuration_replay() - state replayed from the log
 */
const struct bgap_config *
bgap_configuration_replay (const struct bgap_configuration *configuration);

/**
 * bgap_configuration_set() - resources in force
 */
const struct bgap_resource_set *
bgap_configuration_set (const struct bgap_configuration *configuration);

/**
 * bgap_configuration_event() - event number @index, oldest first
 *
 * Return: the event, or NULL past the last one.
 */
const struct bgap_configuration_event *
bgap_configuration_event (const struct bgap_configuration *configuration,
                          uint32_t index);

/**
 * bgap_configuration_first_offset() - offset before which events are no
 * longer kept
 */
int64_t bgap_configuration_first_offset (
    const struct bgap_configuration *configuration);

/**
 * bgap_configuration_on_request() - send the configuration to a peer that
 * asked for it
 */
void bgap_configuration_on_request (struct bgap_configuration *configuration,
                                    const char *from);

/**
 * bgap_configuration_on_peer() - install the configuration of a peer if it is
 * newer
 */
void bgap_configuration_on_peer (struct bgap_configuration *configuration,
                                 const char *from, const void *bytes,
                                 size_t size);

#endif
