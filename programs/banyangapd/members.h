#ifndef BGAPD_MEMBERS_H
#define BGAPD_MEMBERS_H

/*
 * Hosts of the deployment: the host list of the platform, combined with the
 * status messages that instances send each other.
 *
 *   struct bgap_members *members;
 *   bgap_members_setup (&desc, &members, &err);
 *   for (uint32_t i = 0; i < bgap_members_count (members); i++)
 *     use (bgap_members_at (members, i));
 *   bgap_members_shutdown (members);
 */

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#include "banyangap/logservice/host_list.h"
#include "banyangap/peer/peer.h"
#include "banyangap/resource/settings.h"

/* Size of names and addresses in bytes, terminating zero included.  */
#define BGAP_MEMBER_TEXT_SIZE 64

/* An instance counts as lost after this time without a status message.  */
#define BGAP_MEMBER_LOST_MS 3000

/**
 * struct bgap_member - one host
 * @address: address for requests
 * @peer_address: address for messages of other instances (entry hosts)
 * @leaving: the host list marks the host as leaving
 * @listed: the host is in the newest host list
 * @seen_ms: time of its last status message, 0 if none (entry hosts)
 * @config_version: configuration version in that message
 */
struct bgap_member
{
  char name[BGAP_MEMBER_TEXT_SIZE];
  char zone[BGAP_MEMBER_TEXT_SIZE];
  char address[BGAP_MEMBER_TEXT_SIZE];
  char peer_address[BGAP_MEMBER_TEXT_SIZE];
  enum bgap_host_role role;
  bool leaving;
  bool listed;
  int64_t seen_ms;
  int64_t config_version;
};

/**
 * struct bgap_members_desc - options; all are required
 * @changed: called after hosts were added, removed or changed
 * @lost: called when an instance counts as lost
 */
struct bgap_members_desc
{
  struct event_base *base;
  const struct bgap_settings *settings;
  const struct bgap_host_list_ops *hosts;
  struct bgap_peer *peer;
  void (*changed) (void *context);
  void (*lost) (void *context, const char *name);
  void *context;
};

struct bgap_members;

/**
 * bgap_members_setup() - start to fetch the list and to send status messages
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_members_setup (const struct bgap_members_desc *desc,
                                     struct bgap_members **out,
                                     struct bgap_error *err);

void bgap_members_shutdown (struct bgap_members *members);

uint32_t bgap_members_count (const struct bgap_members *members);

const struct bgap_member *bgap_members_at (const struct bgap_members *members,
                                           uint32_t index);

/**
 * bgap_members_server_leaving() - whether the host list says that the backend
 * server at @address is leaving
 */
bool bgap_members_server_leaving (const struct bgap_members *members,
                                  const char *address);

/**
 * bgap_members_on_status() - handle a status message of the instance @from
 */
void bgap_members_on_status (struct bgap_members *members, const char *from,
                             const void *bytes, size_t size);

/**
 * bgap_members_set_config() - set the configuration version that this instance
 * reports in its status messages
 */
void bgap_members_set_config (struct bgap_members *members, int64_t version);

/**
 * bgap_members_count_in_force() - count the live instances that have a
 * configuration version in force
 * @instances: gets the number of live instances, including this one
 *
 * Return: how many of them report @version or a later one.
 */
uint32_t bgap_members_count_in_force (const struct bgap_members *members,
                                      int64_t version, uint32_t *instances);

/**
 * bgap_members_newest() - find the live instance with the newest configuration
 *
 * Return: the instance, or NULL if none has a newer configuration than this
 * instance.
 */
const struct bgap_member *
bgap_members_newest (const struct bgap_members *members);

/**
 * bgap_members_is_responsible() - whether this instance has to do a task that
 * one instance does for all: it has the highest rendezvous weight for @task
 * among the live instances
 */
bool bgap_members_is_responsible (const struct bgap_members *members,
                                  const char *task);

#endif
