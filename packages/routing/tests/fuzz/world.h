#ifndef BANYANGAP_ROUTING_FUZZ_WORLD_H
#define BANYANGAP_ROUTING_FUZZ_WORLD_H

/*
 * Model of routers that share servers, callers and one stream of idempotency
 * records. It checks every action of the routers against the executions and
 * events so far and aborts on the first violation.
 *
 *   struct world *w = world_open (&input);
 *   while (input has bytes)
 *     world_step (w, &input);
 *   world_close (w);   checks that all requests have ended
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "banyangap/routing/router.h"

#define ROUTERS 3
#define SERVICES 3
#define SERVERS 9
#define REQUESTS 96
#define ATTEMPTS 80
#define RECORDS 256
#define APPENDS 64
#define KEYS 6
#define FINGERPRINTS 4

#define WALL_MS INT64_C (1700000000000)
#define SKEW_MS 60000
#define WINDOW_MS 60000
#define QUEUE_LIMIT 6
#define SLOTS 2

enum service
{
  PLAIN,
  KEYED,
  AT_MOST_ONCE
};

struct input
{
  const uint8_t *bytes;
  size_t size;
};

/* A request of a caller.  */
struct call
{
  bool used;
  bool ended;
  bool cancelled;
  int router;
  struct bgap_request_id id;
  enum service service;
  bool idempotent;
  int key; /* index, -1 for none */
  uint64_t fingerprint;
  unsigned executions;
  bool answered; /* COMPLETE was reported for it */
};

/* An attempt that a server may still receive, execute or answer.  */
struct attempt
{
  bool used;
  bool executed;
  bool orphan; /* the router has abandoned it */
  bool started;
  unsigned after; /* bit set: servers on which attempts with the same
                     fingerprint had broken when it was sent */
  int router;
  int server;
  struct bgap_attempt_id id;
  struct call *call;
};

struct key
{
  int64_t time_ms;
  unsigned executions;
};

/* An append that is not yet both written to the log and reported to its
   router.  */
struct append
{
  bool used;
  bool reported;
  bool written;
  int router; /* -1 if its router has stopped */
  uint32_t id;
  void *bytes;
  size_t size;
};

struct record
{
  void *bytes;
  size_t size;
  int64_t time_ms;
};

/* Drain signals other than the evacuation of the zone.  */
#define OWN_DRAIN(signals) ((signals) & ~(1u << BGAP_DRAIN_ZONE))

/* State of a server as reported to a router.  */
struct server_view
{
  struct bgap_server_id id;
  uint32_t drain;
  int64_t drain_since_ms; /* of the first signal of its own */
  int64_t evacuated_ms;   /* holders get nothing from then on */
  bool lost;
  uint64_t incarnation;
  uint32_t broken; /* bit set: fingerprints of broken attempts */
};

struct node
{
  struct bgap_router router;
  struct bgap_service_id services[SERVICES];
  struct server_view views[SERVERS];
  int64_t skew_ms;
  uint64_t next_offset;
};

/* Servers that died while a fingerprint was in flight, and those on which its
   attempts broke, as bit sets, since the fingerprint was last answered.  */
struct suspicion
{
  uint32_t servers;
  uint32_t broken;
  bool ordered; /* one broke that was sent after one on another server */
  int64_t held_until_ms;
};

struct world
{
  int64_t now_ms;
  uint64_t seed;
  struct node nodes[ROUTERS];
  struct call calls[REQUESTS];
  struct attempt attempts[ATTEMPTS];
  struct key keys[KEYS];
  struct append appends[APPENDS];
  struct record records[RECORDS];
  size_t record_count;
  struct suspicion suspicions[FINGERPRINTS];
  bool only_at_most_once; /* only calls with few idempotency keys */
  bool restarted;         /* a router lost its list of suspects */
};

#define CHECK(condition, text)                                                \
  do                                                                          \
    {                                                                         \
      if (!(condition))                                                       \
        world_fail (__FILE__, __LINE__, text);                                \
    }                                                                         \
  while (0)

void world_fail (const char *file, int line, const char *text)
    __attribute__ ((noreturn));
uint8_t input_byte (struct input *input);

struct world *world_open (struct input *input);
void world_step (struct world *w, struct input *input);
void world_close (struct world *w);

/* world_node.c */
int64_t world_wall_ms (const struct world *w, const struct node *node);
void world_start_node (struct world *w, int index, int64_t skew_ms);
void world_stop_node (struct world *w, int index);
void world_set_server (struct world *w, struct node *node, int server,
                       bool already_running);

/* world_check.c */

/* Takes, checks and carries out all pending actions of all routers.  */
void world_take_actions (struct world *w);

/* Executes an attempt on its server and checks that the request may run.  */
void world_execute (struct world *w, struct attempt *attempt);

/* Records that a router learned of the death of a server.  */
void world_server_died (struct world *w, int node, int server);

/* Records that an attempt ended without a complete answer.  */
void world_broken (struct world *w, const struct attempt *attempt);

/* Records that a server answered a call.  */
void world_answered (struct world *w, struct call *call);

#endif
