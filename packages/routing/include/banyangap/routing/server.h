#ifndef BANYANGAP_ROUTING_SERVER_H
#define BANYANGAP_ROUTING_SERVER_H

/*
 * State of one backend server as this instance sees it.
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
#include "banyangap/routing/service.h"

/* A new server process reaches its full share after this time.  */
#define BGAP_SLOW_START_MS 10000

/* Consecutive failures after which a server is ejected.  */
#define BGAP_EJECT_FAILURES 5

/* First and longest time of an ejection; it doubles in between.  */
#define BGAP_EJECT_MS 5000
#define BGAP_EJECT_MAX_MS 30000

/* A load report counts half after this time.  */
#define BGAP_LOAD_HALF_LIFE_MS 2000

/* The holder of a key still gets requests for so long after it began to
   drain, while its slices move.  */
#define BGAP_DRAIN_GRACE_MS 3000

/* Broken attempts that a server remembers for the case that it died.  */
#define BGAP_SERVER_BROKEN_MAX 16

/**
 * struct bgap_server_broken - an attempt that broke
 */
struct bgap_server_broken
{
  uint64_t fingerprint;
  int64_t at_ms;
};

/**
 * struct bgap_server - fields are private to the package
 * @hash: XXH3 hash of @name
 * @shared: other instances use its slots too, see struct bgap_service_desc
 * @drain_grace_ms: see struct bgap_service_desc; 0 for the default
 * @queue_allowance: requests that may wait in it, if @shared
 * @quota: connections that this instance may open
 * @others: requests of other instances in it, from its last load report
 * @others_half_life_ms: of that number
 * @latency_ms: smoothed time of answers that did not wait for a slot, 0 if not
 *   known
 * @cold_until_ms: it is slow before
 * @in_flight: attempts of this instance
 * @in_flight_peers: attempts of other instances, as reported
 * @sheds: consecutive requests that it shed
 * @hold_until_ms: it gets nothing before, as it shed a request
 * @window: limit of @in_flight in sixteenths, lowered when the server sheds
 * @drain: bits of enum bgap_drain_signal
 * @removed: no longer configured, waits for its last attempt
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
  uint32_t drain;
  uint32_t load_percent;
  uint32_t others;
  double latency_ms;
  int64_t cold_until_ms;
  int64_t load_at_ms;
  int64_t started_ms;
  int64_t ejected_until_ms;
  int64_t hold_until_ms;
  int64_t drain_since_ms;
  uint64_t incarnation;
  bool shared;
  uint32_t queue_allowance;
  int64_t drain_grace_ms;
  bool local;
  bool lost;
  bool removed;
  bool has_load;
  bool has_incarnation;
  struct bgap_server_broken broken[BGAP_SERVER_BROKEN_MAX];
  uint32_t broken_next;
};

/**
 * bgap_server_setup() - initialise; @desc must have passed
 * bgap_server_desc_valid()
 */
void bgap_server_setup (struct bgap_server *server, int64_t now_ms,
                        const struct bgap_server_desc *desc);

/**
 * bgap_server_desc_valid() - the names have a permitted length
 */
bool bgap_server_desc_valid (const struct bgap_server_desc *desc);

/**
 * bgap_server_update() - change slots, connections and zone
 */
void bgap_server_update (struct bgap_server *server,
                         const struct bgap_server_desc *desc);

/**
 * bgap_server_draining() - at least one drain signal is on
 */
bool bgap_server_draining (const struct bgap_server *server);

/**
 * bgap_server_drain() - a drain signal changed
 */
void bgap_server_drain (struct bgap_server *server, int64_t now_ms,
                        enum bgap_drain_signal signal, bool on);

/**
 * bgap_server_ejected() - ejected at this time
 */
bool bgap_server_ejected (const struct bgap_server *server, int64_t now_ms);

/**
 * bgap_server_eligible() - may get requests that any server can run
 */
bool bgap_server_eligible (const struct bgap_server *server, int64_t now_ms);

/**
 * bgap_server_holder_eligible() - may get requests for the keys it holds
 *
 * Ejection does not apply: no other server may run them.
 */
bool bgap_server_holder_eligible (const struct bgap_server *server,
                                  int64_t now_ms);

/**
 * bgap_server_limit() - most attempts in flight now
 *
 * At most the slots and the connection quota; lower during a slow start and
 * after the server shed requests; never 0.
 */
uint32_t bgap_server_limit (const struct bgap_server *server, int64_t now_ms);

/**
 * bgap_server_hard_limit() - slots and connection quota only
 */
uint32_t bgap_server_hard_limit (const struct bgap_server *server);

/**
 * bgap_server_others() - requests of other instances that are still in it,
 * discounted by the age of the report
 */
uint32_t bgap_server_others (const struct bgap_server *server, int64_t now_ms);

/**
 * bgap_server_load() - reported load in percent of its slots, discounted by
 * the age of the report
 */
uint32_t bgap_server_load (const struct bgap_server *server, int64_t now_ms);

/**
 * bgap_server_on_load() - a load report
 */
void bgap_server_on_load (struct bgap_server *server, int64_t now_ms,
                          const struct bgap_server_load *load);

/**
 * bgap_server_on_dispatch() - an attempt starts
 */
void bgap_server_on_dispatch (struct bgap_server *server);

/**
 * bgap_server_on_latency() - an answer took @took_ms
 * @uncontended: it did not wait for a slot, as far as is known; otherwise only
 *   a shorter time than the known one says something about the server
 */
void bgap_server_on_latency (struct bgap_server *server, int64_t took_ms,
                             bool uncontended);

/**
 * bgap_server_on_end() - an attempt ended in any way
 */
void bgap_server_on_end (struct bgap_server *server);

/**
 * bgap_server_on_result() - learn from a result
 *
 * Return: true if the server reached BGAP_EJECT_FAILURES; the caller decides
 * whether the floor permits bgap_server_eject().
 */
bool bgap_server_on_result (struct bgap_server *server, int64_t now_ms,
                            enum bgap_result_kind kind);

/**
 * bgap_server_hold() - it shed a request: send it nothing for a while
 * @hold_ms: after the first one in a row; doubles with each
 *
 * Other instances fill its slots. Without the pause every instance would try
 * every full server again and again.
 */
void bgap_server_hold (struct bgap_server *server, int64_t now_ms,
                       int64_t hold_ms);

/**
 * bgap_server_turned_away() - it closed a connection without an answer, as
 * some servers do when they are full: hold it, and take it for full
 * @hold_ms: as for bgap_server_hold()
 */
void bgap_server_turned_away (struct bgap_server *server, int64_t now_ms,
                              int64_t hold_ms);

/**
 * bgap_server_full() - no room for another attempt now
 */
bool bgap_server_full (const struct bgap_server *server, int64_t now_ms);

/**
 * bgap_server_eject() - send it nothing for some seconds
 */
void bgap_server_eject (struct bgap_server *server, int64_t now_ms);

/**
 * bgap_server_on_alive() - it answers under this incarnation
 *
 * Return: true if the process is new, so that the earlier one died.
 */
bool bgap_server_on_alive (struct bgap_server *server, int64_t now_ms,
                           uint64_t incarnation);

#endif
