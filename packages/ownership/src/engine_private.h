#ifndef BGAP_OWNERSHIP_ENGINE_PRIVATE_H
#define BGAP_OWNERSHIP_ENGINE_PRIVATE_H

/*
 * Functions shared by the files engine_*.c.
 */

#include "engine_state.h"

/* engine_actions.c: data is copied; an action is dropped if the queue is full.
 */
enum bgap_status bgap_actions_setup (struct bgap_actions *actions,
                                     uint32_t capacity, size_t bytes_max);
void bgap_actions_shutdown (struct bgap_actions *actions);
void bgap_engine_push_action (struct bgap_engine *engine,
                              enum bgap_engine_action_kind kind,
                              const char *target, const void *data,
                              size_t size);
uint64_t bgap_engine_push_append (struct bgap_engine *engine,
                                  const struct bgap_buffer *text);
void bgap_engine_push_read (struct bgap_engine *engine, uint64_t from);
void bgap_engine_send (struct bgap_engine *engine, const char *target,
                       const struct bgap_message *message);
void bgap_engine_log (struct bgap_engine *engine, bool warning,
                      const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* engine_record_cache.c */
enum bgap_status bgap_record_cache_setup (struct bgap_record_cache *cache,
                                          size_t bytes_max);
void bgap_record_cache_shutdown (struct bgap_record_cache *cache);
void bgap_record_cache_clear (struct bgap_record_cache *cache);
void bgap_record_cache_add (struct bgap_record_cache *cache, uint64_t offset,
                            const void *bytes, size_t size);
const struct bgap_buffer *
bgap_record_cache_find (const struct bgap_record_cache *cache,
                        uint64_t offset);

/* engine.c: sets the engine's time; an earlier time than before is ignored. */
void bgap_engine_update_time (struct bgap_engine *engine, int64_t now_ms);
uint64_t bgap_engine_new_nonce (struct bgap_engine *engine);

/* engine_members.c */
struct bgap_member_state *bgap_engine_find_member (struct bgap_engine *engine,
                                                   const char *name);
void bgap_engine_on_heartbeat (struct bgap_engine *engine,
                               struct bgap_member_state *member,
                               const struct bgap_message *message);
void bgap_engine_tick_members (struct bgap_engine *engine);
void bgap_engine_update_roles (struct bgap_engine *engine);

/* engine_targets.c */
void bgap_engine_rebuild_targets (struct bgap_engine *engine);
struct bgap_renew_target *bgap_engine_find_target (struct bgap_engine *engine,
                                                   const char *name);
void bgap_engine_observe (struct bgap_engine *engine,
                          struct bgap_renew_target *target,
                          const struct bgap_renewal_reply *reply);
void bgap_engine_on_server_report (struct bgap_engine *engine,
                                   const struct bgap_message *message);
void bgap_engine_tick_reports (struct bgap_engine *engine);
bool bgap_target_lost (const struct bgap_engine *engine,
                       const struct bgap_renew_target *target);
bool bgap_target_usable (const struct bgap_engine *engine,
                         const struct bgap_renew_target *target);

/* engine_quorum.c: witness sets of which a majority is required. Index 0 is
   the newest set, or NULL if there is none; index 1 is the previous set until
   the newest is in force, else NULL.  */
void bgap_engine_required_sets (const struct bgap_engine *engine,
                                const struct bgap_witness_set *sets[]);
int bgap_witness_index (const struct bgap_witness_set *set, const char *name);
bool bgap_engine_has_quorum (const struct bgap_engine *engine,
                             const uint8_t votes[]);
void bgap_engine_add_vote (const struct bgap_engine *engine, const char *name,
                           uint8_t votes[]);
bool bgap_engine_is_witness (const struct bgap_engine *engine,
                             const char *name);
bool bgap_engine_witnesses_live (const struct bgap_engine *engine);

/* engine_log_reader.c */
void bgap_engine_tick_log_reader (struct bgap_engine *engine);
bool bgap_engine_apply (struct bgap_engine *engine, uint64_t offset,
                        const void *bytes, size_t size);
bool bgap_engine_adopt_snapshot (struct bgap_engine *engine,
                                 struct bgap_snapshot *snapshot);

/* engine_catchup.c */
void bgap_engine_tick_catchup (struct bgap_engine *engine);
void bgap_engine_fetch_records (struct bgap_engine *engine, const char *peer);
void bgap_engine_on_fetch (struct bgap_engine *engine, const char *from,
                           const struct bgap_message *message);
void bgap_engine_on_records (struct bgap_engine *engine, const char *from,
                             const struct bgap_message *message);
void bgap_engine_on_snapshot_chunk (struct bgap_engine *engine,
                                    const char *from,
                                    const struct bgap_message *message);

/* engine_witness.c */
void bgap_engine_on_check (struct bgap_engine *engine, const char *from,
                           const struct bgap_message *message);
void bgap_engine_on_replayed_query (struct bgap_engine *engine,
                                    const char *from,
                                    const struct bgap_message *message);
void bgap_engine_tick_recovery (struct bgap_engine *engine);
void bgap_engine_on_recovery_reply (struct bgap_engine *engine,
                                    struct bgap_member_state *member,
                                    const struct bgap_message *message);

/* engine_renew.c */
void bgap_engine_tick_renew (struct bgap_engine *engine);
void bgap_engine_on_check_reply (struct bgap_engine *engine, const char *from,
                                 const struct bgap_message *message);

/* engine_confirm.c */
void bgap_engine_tick_confirm (struct bgap_engine *engine);
void bgap_engine_on_replayed_reply (struct bgap_engine *engine,
                                    const char *from,
                                    const struct bgap_message *message);
int64_t bgap_engine_wait_start (const struct bgap_engine *engine,
                                uint64_t offset);

/* engine_propose.c, engine_plan.c. bgap_engine_lease_ended() tells whether an
   entry has no holder and no lease for it can still be valid.  */
void bgap_engine_tick_propose (struct bgap_engine *engine);
bool bgap_engine_may_propose (struct bgap_engine *engine,
                              struct bgap_proposal *proposal, uint64_t basis);
void bgap_engine_propose (struct bgap_engine *engine,
                          struct bgap_proposal *proposal,
                          const struct bgap_record *record);
bool bgap_engine_lease_ended (const struct bgap_engine *engine,
                              const struct bgap_holding *holding);
const struct bgap_renew_target *
bgap_engine_holder_target (const struct bgap_engine *engine,
                           const struct bgap_holding *holding);
bool bgap_service_foreign (const struct bgap_service *service, uint32_t slice);
bool bgap_engine_grantable (const struct bgap_engine *engine,
                            const struct bgap_service *service, uint32_t slice,
                            const struct bgap_holding *holding);

/* engine_release.c, engine_plan.c, engine_requests.c: return true if no
   other record may be proposed for the service now.  */
bool bgap_engine_tick_release (struct bgap_engine *engine,
                               struct bgap_service *service,
                               const struct bgap_scope *scope);
bool bgap_engine_plan (struct bgap_engine *engine,
                       struct bgap_service *service,
                       const struct bgap_scope *scope);
bool bgap_engine_tick_requests (struct bgap_engine *engine,
                                struct bgap_service *service,
                                const struct bgap_scope *scope);

/* engine_witness_set.c */
void bgap_engine_tick_witness_set (struct bgap_engine *engine);

/* engine_snapshot.c */
void bgap_engine_tick_snapshot (struct bgap_engine *engine);
void bgap_engine_on_snapshot_record (struct bgap_engine *engine,
                                     const struct bgap_record *record);

/* engine_load.c */
void bgap_engine_tick_load (struct bgap_engine *engine);
void bgap_engine_on_load (struct bgap_engine *engine,
                          const struct bgap_message *message);
double bgap_service_rate (const struct bgap_service *service, uint32_t entry);
void bgap_service_shutdown (struct bgap_service *service);

/* engine_proxy.c: leases that this instance holds on behalf of unfenced
   servers.  */
void bgap_engine_on_proxy_message (struct bgap_engine *engine,
                                   const char *from,
                                   const struct bgap_message *message);
/* Sends a message to the instance @member, or handles it here if that is this
   instance.  */
void bgap_engine_proxy_send (struct bgap_engine *engine, int32_t member,
                             const struct bgap_message *message);
void bgap_engine_proxy_shutdown (struct bgap_engine *engine);

#endif
