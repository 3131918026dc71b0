#ifndef BANYANGAP_ROUTING_FUZZ_WORLD_H
#define BANYANGAP_ROUTING_FUZZ_WORLD_H

/*
 * Model of routers that share servers, callers and one once stream. It checks
 * every action of the routers against what it knows to have happened and
 * aborts on the first violation.
 *
 *   struct world *w = world_open (&input);
 *   while (input has bytes)
 *     world_step (w, &input);
 *   world_close (w);   all requests must end
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
  ONCE
};

struct input
{
  const uint8_t *bytes;
  size_t size;
};

/* A call of a caller. */
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
  unsigned runs;
  bool answered; /* COMPLETE was reported for it */
};

/* An attempt that a server can still receive, run or answer.  */
struct attempt
{
  bool used;
  bool ran;
  bool orphan; /* the router no longer knows it */
  bool started;
  int router;
  int server;
  struct bgap_attempt_id id;
  struct call *call;
};

struct key
{
  int64_t time_ms;
  unsigned runs;
};

/* An append on its way to the log.  */
struct append
{
  bool used;
  bool reported;
  bool written;
  int router; /* -1 if its router has ended */
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

/* What a router was told about a server.  */
struct view
{
  struct bgap_server_id id;
  uint32_t drain;
  int64_t drain_since_ms;
  bool lost;
  uint64_t incarnation;
  uint32_t broken; /* fingerprints of attempts that broke, as bits */
};

struct node
{
  struct bgap_router router;
  struct bgap_service_id services[SERVICES];
  struct view views[SERVERS];
  int64_t skew_ms;
  uint64_t next_offset;
};

/* Deaths at which a fingerprint was in flight since it was last answered.  */
struct suspicion
{
  uint32_t servers;
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
  bool only_once; /* only calls with keys, and few of these */
  bool restarted; /* a router has lost its list of suspects */
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
void world_end_node (struct world *w, int index);
void world_set_server (struct world *w, struct node *node, int server,
                       bool in_place);

/* world_check.c */

/* Takes and checks all actions of all routers.  */
void world_drain (struct world *w);

/* Checks the effect of an execution on the server side.  */
void world_run (struct world *w, struct attempt *attempt);

/* A router learns that a server died.  */
void world_suspect (struct world *w, int node, int server);

/* A server answered a call.  */
void world_answered (struct world *w, struct call *call);

#endif
