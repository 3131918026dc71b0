#ifndef BANYANGAP_ROUTING_TESTS_LIMIT_FLEET_STATE_H
#define BANYANGAP_ROUTING_TESTS_LIMIT_FLEET_STATE_H

/*
 * State of the simulation, for its parts:
 *
 *   limit_fleet.c          interface, time, and requests that come in
 *   limit_fleet_routers.c  routers, what they send, and what reaches them
 *   limit_fleet_members.c  the store's list of instances
 */

#include "banyangap/base/random.h"
#include "banyangap/routing/router.h"
#include "limit_fleet.h"

#define DURATION_MAX_MS 120000
#define SERVERS_MAX 128u
#define SLOTS 64u
#define ONE_WAY_MS 1
#define WORK_MIN_MS 30
#define WORK_SPREAD_MS 30u
#define TICK_MS 10

/* Longest time until an instance has read a registration.  */
#define REGISTRATION_MS 1050u

/* Time for which a server works on a health check.  */
#define CHECK_MS 6

/* Time after which a router gives up a health check.  */
#define CHECK_TIMEOUT_MS 300

#define DEADLINE_MS 2000
#define ZONES 3u

/* Most requests that are open at a time.  */
#define REQUESTS_MAX 8192u

/**
 * enum event_kind - what happens at a time of the simulation
 */
enum event_kind
{
  EVENT_OPENED,  /* the connection of an attempt opens */
  EVENT_ARRIVAL, /* an attempt reaches its server */
  EVENT_ANSWER,  /* its answer reaches the router */
  EVENT_CHECK,   /* a health check reaches its server */
  EVENT_CHECKED, /* its answer reaches the router, or it has timed out */
  EVENT_MESSAGE, /* a message of another router arrives */
  EVENT_COLD     /* the router reads that a server is cold */
};

/**
 * struct event - an event; the fields that it needs
 * @incarnation: of the router that it is for
 * @dispatched_ms: when the router dispatched the attempt
 * @start: process of the server that it comes from
 */
struct event
{
  enum event_kind kind;
  uint32_t instance;
  uint32_t incarnation;
  uint32_t server;
  struct bgap_attempt_id attempt;
  bool has_failed;
  int64_t dispatched_ms;
  uint64_t start;
  char from[BGAP_ROUTING_NAME_SIZE];
  int message_kind;
  size_t size;
  struct event *next;
  unsigned char bytes[];
};

/**
 * struct kept_limit - limit of a server whose registration has lapsed
 */
struct kept_limit
{
  double per_s;
  int64_t heard_ms;
};

struct instance
{
  struct bgap_router router;
  struct bgap_service_id service;
  struct bgap_server_id servers[SERVERS_MAX];
  struct kept_limit kept[SERVERS_MAX];
  uint32_t idle[SERVERS_MAX]; /* open connections without an attempt */
  char name[24];
  uint32_t incarnation;
  int64_t frozen_until_ms;
  bool cut;
  bool cut_from_store;
  int64_t skew_ms;
  int64_t read_at_ms; /* when it reads the registrations next */
  int64_t join_at_ms;
  int64_t joined_ms;     /* when it last called the store */
  int64_t confirm_at_ms; /* when the answer arrives, 0 if it has */
  int64_t list_at_ms;
  int64_t *departed_ms; /* by instance; 0 if listed, -1 if never */
};

struct server
{
  double limit_per_s;
  double cold_per_s;
  int64_t cold_until_ms;
  uint64_t starts;
  int64_t down_until_ms;
  bool silent;
  bool dark;
  uint16_t *arrivals; /* of requests, by millisecond */
  uint16_t *checks;   /* the same for health checks */
};

struct limit_fleet
{
  struct limit_fleet_desc desc;
  struct bgap_random random;
  struct instance *instances;
  struct server servers[SERVERS_MAX];
  struct event **slots; /* by millisecond */
  int64_t now_ms;
  double next_request_ms;
  int64_t began_ms[REQUESTS_MAX]; /* by number of the request */
  struct limit_fleet_counts counts;
};

/* Tells a router of a server, and whether it is cold.  */
void limit_fleet_set_server (struct limit_fleet *f, struct instance *instance,
                             uint32_t server, bool is_cold);

/* Removes a server from a router, and keeps its limit.  */
void limit_fleet_remove_server (struct limit_fleet *f,
                                struct instance *instance, uint32_t server);

/* Joins the group and reads the list if it is time.  */
void limit_fleet_join (struct limit_fleet *f, uint32_t index);

/* Forgets the list that the former process of an instance has read.  */
void limit_fleet_forget (struct limit_fleet *f, uint32_t index);

/* Lets the router learn later that the server is cold.  */
void limit_fleet_tell_cold (struct limit_fleet *f, struct instance *instance,
                            uint32_t server, int64_t after_ms);

/* Starts a router, or its next process.  */
void limit_fleet_start_router (struct limit_fleet *f, uint32_t index);

/* Carries out what the router wants.  */
void limit_fleet_run_actions (struct limit_fleet *f,
                              struct instance *instance);

/* Handles an event and frees it, or postpones it.  */
void limit_fleet_handle (struct limit_fleet *f, struct event *event);

#endif
