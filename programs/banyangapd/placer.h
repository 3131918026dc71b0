#ifndef BGAPD_PLACER_H
#define BGAPD_PLACER_H

/*
 * Placement for the engine of one cell. Plans moves, splits and merges from
 * the engine's view, the weights of the ownership policy and a sketch of the
 * most frequent keys.
 *
 *   struct bgap_placer *placer = bgap_placer_new ();
 *   bgap_placer_set_service (placer, "zafu.listing", &weights, 60);
 *   engine_desc.placement = bgap_placer_ops (placer);
 *   bgap_placer_count_request (placer, "zafu.listing", now_ms, key, size);
 *   bgap_placer_apply (placer, engine, now_ms);
 *   bgap_placer_free (placer);
 */

#include "banyangap/ownership/engine.h"
#include "banyangap/ownership/placement.h"

struct bgap_placer;

/**
 * bgap_placer_new() - create a placer without services
 *
 * Return: the placer, or NULL if memory is exhausted.
 */
struct bgap_placer *bgap_placer_new (void);

void bgap_placer_free (struct bgap_placer *placer);

/**
 * bgap_placer_ops() - operations for the engine's description
 */
const struct bgap_placement_ops *
bgap_placer_ops (const struct bgap_placer *placer);

/**
 * bgap_placer_set_service() - add a service or change its policy
 * @moves_per_minute: maximum rate of moves
 */
void bgap_placer_set_service (struct bgap_placer *placer, const char *service,
                              const struct bgap_placement_weights *weights,
                              uint32_t moves_per_minute);

/**
 * bgap_placer_count_request() - count a request for a key
 */
void bgap_placer_count_request (struct bgap_placer *placer,
                                const char *service, int64_t now_ms,
                                const void *key, size_t size);

/**
 * bgap_placer_apply() - request the planned splits and merges from the engine
 */
void bgap_placer_apply (struct bgap_placer *placer, struct bgap_engine *engine,
                        int64_t now_ms);

#endif
