#ifndef BGAPD_OPERATORS_PRIVATE_H
#define BGAPD_OPERATORS_PRIVATE_H

#include "banyangap/gateway/admin.h"
#include "operators.h"

/* Watches that wait at the same time.  */
#define BGAP_OPERATORS_WATCHES 16

/**
 * struct bgap_operators_watch - a watch that waits for events
 * @used: the entry is in use
 * @until_ms: answer it at this time at the latest
 * @in_force: number of instances that had the newest event in force
 */
struct bgap_operators_watch
{
  bool used;
  struct bgap_admin_id id;
  char owner[BGAP_RESOURCE_NAME_SIZE];
  int64_t from;
  int64_t until_ms;
  uint32_t in_force;
};

/**
 * struct bgap_operators - the interface
 */
struct bgap_operators
{
  struct bgap_operators_desc desc;
  struct bgap_admin *admin;
  struct event *timer;
  struct bgap_operators_watch watches[BGAP_OPERATORS_WATCHES];
  bool ready;
};

/**
 * bgap_operators_allowed() - check the operators' token; replies 401 if it is
 * wrong
 */
bool bgap_operators_allowed (struct bgap_operators *operators,
                             struct bgap_admin_id id,
                             const struct bgap_admin_request *request);

/**
 * bgap_operators_reply() - reply and drop the reference to @value
 */
void bgap_operators_reply (struct bgap_operators *operators,
                           struct bgap_admin_id id, int status, json_t *value);

/**
 * bgap_operators_reply_error() - reply with {"error": message}
 */
void bgap_operators_reply_error (struct bgap_operators *operators,
                                 struct bgap_admin_id id, int status,
                                 const char *message);

/**
 * bgap_operators_parameter() - required query parameter; replies 400 if it is
 * missing
 */
bool bgap_operators_parameter (struct bgap_operators *operators,
                               struct bgap_admin_id id,
                               const struct bgap_admin_request *request,
                               const char *name, char *value, size_t size);

/* Routes of the configuration.  */
void bgap_operators_post_config (void *context, struct bgap_admin_id id,
                                 const struct bgap_admin_request *request);
void bgap_operators_get_config (void *context, struct bgap_admin_id id,
                                const struct bgap_admin_request *request);
void bgap_operators_watch_config (void *context, struct bgap_admin_id id,
                                  const struct bgap_admin_request *request);

/**
 * bgap_operators_check_watches() - answer the watches that have events or
 * whose time is over
 */
void bgap_operators_check_watches (struct bgap_operators *operators);

#endif
