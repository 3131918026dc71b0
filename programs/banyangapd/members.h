#ifndef BGAPD_MEMBERS_H
#define BGAPD_MEMBERS_H

/*
 * Hosts of the deployment: the platform's list, joined with the status
 * messages that instances send each other.
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

/* An instance without a status message for so long counts as lost.  */
#define BGAP_MEMBER_LOST_MS 3000

/**
 * struct bgap_member - one host
 * @leaving: the host list says so
 * @listed: it is in the newest host list
 * @seen_ms: time of its last status message, 0 if none (entry hosts)
 * @config_version: from that message
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
 * @lost: called when status messages of an instance cease
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
 * bgap_members_on_status() - a status message of the instance @from
 */
void bgap_members_on_status (struct bgap_members *members, const char *from,
                             const void *bytes, size_t size);

/**
 * bgap_members_set_config() - version to report to the others
 */
void bgap_members_set_config (struct bgap_members *members, int64_t version);

/**
 * bgap_members_in_force() - instances that have a version in force
 * @instances: live instances, this one included
 *
 * Return: how many of them report @version or a later one.
 */
uint32_t bgap_members_in_force (const struct bgap_members *members,
                                int64_t version, uint32_t *instances);

/**
 * bgap_members_newest() - live instance with the newest configuration
 *
 * Return: NULL if none has a newer one than this instance.
 */
const struct bgap_member *
bgap_members_newest (const struct bgap_members *members);

/**
 * bgap_members_is_first() - whether this instance is the first of the live
 * ones in the rendezvous order for @task
 */
bool bgap_members_is_first (const struct bgap_members *members,
                            const char *task);

#endif
