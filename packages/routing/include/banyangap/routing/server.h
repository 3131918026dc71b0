#ifndef BANYANGAP_ROUTING_SERVER_H
#define BANYANGAP_ROUTING_SERVER_H

/*
 * State of one backend server from the point of view of this instance.
 *
 *   struct bgap_server server;
 *   bgap_server_setup (&server, now_ms, &desc);
 *   if (bgap_server_eligible (&server, now_ms)
 *       && server.in_flight < bgap_server_limit (&server, now_ms))
 *     bgap_server_on_dispatch (&server);
 *   bgap_server_on_result (&server, now_ms, BGAP_RESULT_COMPLETE);
 */

#include <stdbool.h>
#include <stdint.h>

#include "banyangap/routing/attempt.h"
#include "banyangap/routing/outstanding.h"
#include "banyangap/routing/rate_limit.h"
#include "banyangap/routing/response_time.h"
#include "banyangap/routing/service.h"
#include "banyangap/routing/warm_check.h"
#include "banyangap/routing/window_count.h"

/* Duration of the slow start: a new server process reaches its full limit
   after this time.  */
#define BGAP_SLOW_START_MS 10000

/* Consecutive failures after which a server is ejected.  */
#define BGAP_EJECT_FAILURES 5

/* Initial and maximum duration of an ejection; it doubles with each.  */
#define BGAP_EJECT_MS 5000
#define BGAP_EJECT_MAX_MS 30000

/* Half-life of a load report.  */
#define BGAP_LOAD_HALF_LIFE_MS 2000

/* For this long after the start of its drain, the holder of a key still gets
   the requests for it, while its slices move.  */
#define BGAP_DRAIN_GRACE_MS 3000

/* Longest pause between requests that a server can ask for.  */
#define BGAP_SERVER_PAUSE_MAX_MS 60000

/**
 * struct bgap_server - a backend server; fields are private to the package
 * @hash: XXH3 hash of @name
 * @hash_full: XXH3 hash of "<service>/<server>", as in struct
 *   bgap_routing_load
 * @shared: other instances use its slots too; see struct bgap_service_desc
 * @drain_grace_ms: see struct bgap_service_desc; 0 for the default
 * @queue_allowance: requests that may wait in its queue, if @shared
 * @quota: connections that this instance may open to it
 * @others_in_flight: requests of other instances, from its last load report
 * @others_half_life_ms: half-life of @others_in_flight
 * @latency_ms: smoothed response time of requests that did not wait for a
 *   slot, for the mean cost if costs are learned; 0 if unknown
 * @joined: see struct bgap_server_desc
 * @free_times: recent ones of them
 * @wait_times: recent times for which requests waited for a slot
 * @all_times: recent response times with the wait, for a cost of
 *   BGAP_ROUTER_COST_UNIT_MS
 * @cold_until_ms: end of its warm-up, during which it is slow
 * @work: work that it still has to do, and its speed
 * @in_flight: attempts of this instance
 * @in_flight_peers: attempts of other instances, as they reported
 * @bytes_max: see struct bgap_server_desc
 * @bytes_in_flight: bytes of the bodies of @in_flight
 * @suspects: attempts in flight whose request is a quarantine suspect
 * @sheds: number of consecutive requests that it shed
 * @backoff_until_ms: it gets no requests before, because it shed one
 * @paused_until_ms: it has asked for no requests of this instance before
 * @window: limit for @in_flight in sixteenths of an attempt; lowered when the
 *   server sheds
 * @drain_signals: bit set of enum bgap_drain_signal
 * @drain_since_ms: when the first of them came on, without BGAP_DRAIN_ZONE
 * @evacuated_ms: with BGAP_DRAIN_ZONE, from when on it gets no requests for
 *   its keys either
 * @rate_limit: limit that all instances share, with the permits of this one
 * @warm_check: whether it is known to be warm
 * @check_weight: rendezvous weight of this instance for it, see
 *   router_warm_check.c
 * @own_permit_slot: time slot of the last permit that this instance gave
 * itself, see cold_limit.h
 * @dispatched: recent attempts of this instance
 * @removed: no longer configured; freed after its last attempt
 */
struct bgap_server
{
  char name[BGAP_ROUTING_NAME_SIZE];
  char zone[BGAP_ROUTING_NAME_SIZE];
  uint64_t hash;
  uint64_t hash_full;
  struct bgap_service_id service;
  uint32_t slots;
  uint32_t slots_reported;
  uint32_t quota;
  int64_t others_half_life_ms;
  uint32_t in_flight;
  uint32_t in_flight_peers;
  uint32_t suspects;
  uint32_t window;
  uint32_t failures;
  uint32_t sheds;
  uint32_t ejections;
  uint32_t drain_signals;
  uint32_t load_percent;
  uint32_t others_in_flight;
  double latency_ms;
  bool joined;
  struct bgap_recent_times free_times;
  struct bgap_recent_times wait_times;
  struct bgap_recent_mean all_times;
  struct bgap_outstanding work;
  int64_t cold_until_ms;
  int64_t load_at_ms;
  int64_t started_ms;
  int64_t ejected_until_ms;
  int64_t backoff_until_ms;
  int64_t paused_until_ms;
  int64_t drain_since_ms;
  int64_t evacuated_ms;
  uint64_t incarnation;
  bool shared;
  uint32_t queue_allowance;
  int64_t drain_grace_ms;
  uint64_t bytes_max;
  uint64_t bytes_in_flight;
  struct bgap_rate_limit rate_limit;
  struct bgap_warm_check warm_check;
  uint64_t check_weight;
  int64_t own_permit_slot;
  struct bgap_window_count dispatched;
  bool local;
  bool lost;
  bool removed;
  bool has_load;
  bool has_incarnation;
};

/**
 * bgap_server_setup() - initialise
 * @desc: must have passed bgap_server_desc_valid()
 */
void bgap_server_setup (struct bgap_server *server, int64_t now_ms,
                        const struct bgap_server_desc *desc);

/**
 * bgap_server_desc_valid() - whether the names and the slots are in range
 */
bool bgap_server_desc_valid (const struct bgap_server_desc *desc);

/**
 * bgap_server_update() - change slots, connections and zone
 */
void bgap_server_update (struct bgap_server *server,
                         const struct bgap_server_desc *desc);

/**
 * bgap_server_draining() - whether at least one drain signal is on
 */
bool bgap_server_draining (const struct bgap_server *server);

/**
 * bgap_server_set_drain() - set or clear a drain signal
 */
void bgap_server_set_drain (struct bgap_server *server, int64_t now_ms,
                            enum bgap_drain_signal signal, bool on);

/**
 * bgap_server_evacuate() - set or clear the signal BGAP_DRAIN_ZONE
 * @grace_ms: time from now on for which it still gets requests for its keys;
 *   with bgap_server_set_drain() there is none
 */
void bgap_server_evacuate (struct bgap_server *server, int64_t now_ms, bool on,
                           int64_t grace_ms);

/**
 * bgap_server_ejected() - whether the server is ejected at this time
 */
bool bgap_server_ejected (const struct bgap_server *server, int64_t now_ms);

/**
 * bgap_server_eligible() - whether it may get requests that any server can run
 */
bool bgap_server_eligible (const struct bgap_server *server, int64_t now_ms);

/**
 * bgap_server_holder_eligible() - whether it may get requests for the keys of
 * which it is the holder
 *
 * Ejection does not apply, because no other server may run them.
 */
bool bgap_server_holder_eligible (const struct bgap_server *server,
                                  int64_t now_ms);

/**
 * bgap_server_limit() - current limit for attempts in flight
 *
 * At most the slots and the connection quota, lower during a slow start and
 * after the server shed requests, and never 0.
 */
uint32_t bgap_server_limit (const struct bgap_server *server, int64_t now_ms);

/**
 * bgap_server_hard_limit() - limit from slots and connection quota only
 */
uint32_t bgap_server_hard_limit (const struct bgap_server *server);

/**
 * bgap_server_others_in_flight() - estimated requests of other instances in
 * flight, discounted by the age of the report
 */
uint32_t bgap_server_others_in_flight (const struct bgap_server *server,
                                       int64_t now_ms);

/**
 * bgap_server_load() - reported load in percent of the slots, discounted by
 * the age of the report
 */
uint32_t bgap_server_load (const struct bgap_server *server, int64_t now_ms);

/**
 * bgap_server_on_load() - apply a load report
 */
void bgap_server_on_load (struct bgap_server *server, int64_t now_ms,
                          const struct bgap_server_load *load);

/**
 * bgap_server_on_dispatch() - count the start of an attempt
 */
void bgap_server_on_dispatch (struct bgap_server *server, int64_t now_ms);

/**
 * bgap_server_on_latency() - update the smoothed response time
 * @took_ms: response time of an answer
 * @uncontended: the request did not wait for a slot, as far as known;
 *   otherwise the time counts only if it is shorter than the smoothed one,
 *   since it includes the wait
 */
void bgap_server_on_latency (struct bgap_server *server, int64_t took_ms,
                             bool uncontended);

/**
 * bgap_server_on_end() - count the end of an attempt, whatever its result
 */
void bgap_server_on_end (struct bgap_server *server);

/**
 * bgap_server_on_result() - update failure counts and limits from a result
 *
 * Return: true if the server reached BGAP_EJECT_FAILURES; the caller calls
 * bgap_server_eject() if enough servers remain.
 */
bool bgap_server_on_result (struct bgap_server *server, int64_t now_ms,
                            enum bgap_result_kind kind);

/**
 * bgap_server_back_off() - send nothing for a while to a server that shed a
 * request
 * @backoff_ms: time after the first of consecutive sheds; doubles with each
 *
 * Other instances keep its slots busy. Without the back-off, every instance
 * would retry every full server continuously.
 */
void bgap_server_back_off (struct bgap_server *server, int64_t now_ms,
                           int64_t backoff_ms);

/**
 * bgap_server_on_unanswered_close() - back off after the server closed a
 * connection without an answer, and treat it as full
 * @backoff_ms: as for bgap_server_back_off()
 *
 * Some servers close connections when they are full.
 */
void bgap_server_on_unanswered_close (struct bgap_server *server,
                                      int64_t now_ms, int64_t backoff_ms);

/**
 * bgap_server_pause() - send nothing to the server, as it has asked
 * @pause_ms: limited to BGAP_SERVER_PAUSE_MAX_MS; a pause that ends earlier
 *   than the current one has no effect
 */
void bgap_server_pause (struct bgap_server *server, int64_t now_ms,
                        int64_t pause_ms);

/**
 * bgap_server_pause_left_ms() - time until the end of the pause, 0 without one
 */
int64_t bgap_server_pause_left_ms (const struct bgap_server *server,
                                   int64_t now_ms);

/**
 * bgap_server_busy() - whether its slots and connections allow no further
 * attempt now, or it pauses
 */
bool bgap_server_busy (const struct bgap_server *server, int64_t now_ms);

/**
 * bgap_server_busy_for() - whether the server is busy for a request that may
 * use only a part of its queue
 * @queue_percent: this part; it has an effect only if the slots are shared
 */
bool bgap_server_busy_for (const struct bgap_server *server, int64_t now_ms,
                           uint32_t queue_percent);

/**
 * bgap_server_needs_check() - whether only a health check tells that it is
 * warm: the requests of cold servers of its service are limited, and the view
 * of the registrations does not count
 */
bool bgap_server_needs_check (const struct bgap_server *server,
                              int64_t now_ms);

/**
 * bgap_server_may_be_cold() - whether it needs a health check and no recent
 * one covers a request
 */
bool bgap_server_may_be_cold (const struct bgap_server *server,
                              int64_t now_ms);

/**
 * bgap_server_full() - whether it can take no further attempt now, because it
 * is busy, its rate limit needs a permit that this instance does not have, or
 * it may be cold
 */
bool bgap_server_full (const struct bgap_server *server, int64_t now_ms);

/**
 * bgap_server_eject() - exclude the server for some seconds
 */
void bgap_server_eject (struct bgap_server *server, int64_t now_ms);

/**
 * bgap_server_on_alive() - report that the server answers
 * @incarnation: of its process
 *
 * Return: true if the process is new, which means that the previous one ended.
 */
bool bgap_server_on_alive (struct bgap_server *server, int64_t now_ms,
                           uint64_t incarnation);

#endif
