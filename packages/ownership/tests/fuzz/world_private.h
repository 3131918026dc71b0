#ifndef BANYANGAP_OWNERSHIP_WORLD_PRIVATE_H
#define BANYANGAP_OWNERSHIP_WORLD_PRIVATE_H

#include "world.h"

/* Functions shared by the source files of the simulated cell.  */

struct bgap_world_event *
bgap_world_event_copy (const struct bgap_world_event *event);

void bgap_world_schedule (struct bgap_world *w,
                          const struct bgap_world_event *event,
                          int64_t delay_us);
struct bgap_world_event *bgap_world_next_event (struct bgap_world *w,
                                                int64_t until_us);
void bgap_world_event_free (struct bgap_world_event *event);
void bgap_world_inbox_add (struct bgap_world_inbox *inbox,
                           struct bgap_world_event *event);
struct bgap_world_event *
bgap_world_inbox_take (struct bgap_world_inbox *inbox);
void bgap_world_inbox_clear (struct bgap_world_inbox *inbox);
bool bgap_world_send (struct bgap_world *w,
                      const struct bgap_world_event *event);
void bgap_world_history_shutdown (struct bgap_world *w);
void bgap_world_init_clock (struct bgap_world *w,
                            struct bgap_world_clock *clock);

void bgap_world_instance_start (struct bgap_world *w, uint32_t instance);
void bgap_world_instance_event (struct bgap_world *w,
                                struct bgap_world_event *event);
void bgap_world_instance_run_actions (struct bgap_world *w, uint32_t instance);

struct bgap_world_process *bgap_world_server_start (struct bgap_world *w,
                                                    uint32_t server);
struct bgap_world_process *bgap_world_find_server (struct bgap_world *w,
                                                   uint32_t server);
void bgap_world_server_event (struct bgap_world *w,
                              struct bgap_world_event *event);
void bgap_world_server_stop (struct bgap_world_process *process);

void bgap_world_log_event (struct bgap_world *w,
                           struct bgap_world_event *event);
void bgap_world_log_request (struct bgap_world *w, uint32_t instance,
                             const struct bgap_world_event *event);
void bgap_world_log_shutdown (struct bgap_world *w);

#endif
