#ifndef BGAPD_OPERATORS_PRIVATE_H
#define BGAPD_OPERATORS_PRIVATE_H

/*
 * Declarations shared by the source files of the operators' interface.
 */

#include <sys/queue.h>

#include "banyangap/gateway/admin.h"
#include "operators.h"

/* Largest number of watches that wait at the same time.  */
#define BGAP_OPERATORS_WATCHES 16

/**
 * struct bgap_operators_watch - a watch request that waits for events
 * @used: this element of the array is in use
 * @id: handle of the request
 * @owner: owner whose events are watched
 * @from: offset of the first event to show
 * @deadline_ms: time of the answer if there are no events before
 * @in_force: number of instances that had the newest event in force when the
 *   watch began
 */
struct bgap_operators_watch
{
  bool used;
  struct bgap_admin_id id;
  char owner[BGAP_RESOURCE_NAME_SIZE];
  int64_t from;
  int64_t deadline_ms;
  uint32_t in_force;
};

LIST_HEAD (bgap_operators_append_list, bgap_operators_append);

/**
 * struct bgap_operators - the operators' interface of an instance
 * @appends: changes that the log has not confirmed yet
 */
struct bgap_operators
{
  struct bgap_operators_desc desc;
  struct bgap_admin *admin;
  struct event *timer;
  struct bgap_operators_watch watches[BGAP_OPERATORS_WATCHES];
  struct bgap_operators_append_list appends;
  bool ready;
};

/**
 * bgap_operators_allowed() - check the operators' access token; replies 401 if
 * it is missing or wrong
 *
 * Return: whether the request may be handled.
 */
bool bgap_operators_allowed (struct bgap_operators *operators,
                             struct bgap_admin_id id,
                             const struct bgap_admin_request *request);

/**
 * bgap_operators_reply() - reply with @value and release the reference to it
 */
void bgap_operators_reply (struct bgap_operators *operators,
                           struct bgap_admin_id id, int status, json_t *value);

/**
 * bgap_operators_reply_error() - reply with {"error": @message}
 */
void bgap_operators_reply_error (struct bgap_operators *operators,
                                 struct bgap_admin_id id, int status,
                                 const char *message);

/**
 * bgap_operators_parameter() - copy a required query parameter to @value;
 * replies 400 if it is missing or malformed
 *
 * Return: whether the request may be handled.
 */
bool bgap_operators_parameter (struct bgap_operators *operators,
                               struct bgap_admin_id id,
                               const struct bgap_admin_request *request,
                               const char *name, char *value, size_t size);

/* Handlers of the routes below /config.  */
void bgap_operators_post_config (void *context, struct bgap_admin_id id,
                                 const struct bgap_admin_request *request);
void bgap_operators_get_config (void *context, struct bgap_admin_id id,
                                const struct bgap_admin_request *request);
void bgap_operators_watch_config (void *context, struct bgap_admin_id id,
                                  const struct bgap_admin_request *request);

/**
 * bgap_operators_drop_appends() - free the changes that the log has not
 * confirmed, after its client was shut down
 */
void bgap_operators_drop_appends (struct bgap_operators *operators);

/**
 * bgap_operators_check_watches() - answer the watches that have new events or
 * whose deadline has passed
 */
void bgap_operators_check_watches (struct bgap_operators *operators);

#endif
