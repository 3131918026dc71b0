#ifndef BGAP_OWNERSHIP_ENGINE_STATE_H
#define BGAP_OWNERSHIP_ENGINE_STATE_H

/*
 * State of an engine, shared by the files engine_*.c. Each part of the state
 * is changed by the file named in its comment.
 */

#include "banyangap/base/random.h"
#include "banyangap/ownership/engine.h"
#include "banyangap/ownership/message.h"
#include "banyangap/ownership/snapshot.h"

/* Periods in milliseconds.  */
#define BGAP_HEARTBEAT_MS 100
#define BGAP_SUSPECT_MS 300
#define BGAP_RENEW_MS 200
#define BGAP_REPORT_MS 100
#define BGAP_SERVER_LOST_MS 500
#define BGAP_PLAN_MS 1000
/* Shortest time between two renewal rounds or two fetches from peers.  */
#define BGAP_SPACING_MS 20
/* A clock value older than this is replaced by a hello: a lease that starts at
   it would end before the next renewal.  */
#define BGAP_CLOCK_STALE_MS 400
/* A proposal that was not read back is repeated.  */
#define BGAP_PROPOSAL_MS 500
#define BGAP_PROPOSAL_RETRY_MS 100
#define BGAP_LOG_RETRY_MS 200

/* Confirmations remembered; a forgotten one only lengthens a wait.  */
#define BGAP_CONFIRMED_MAX 64

/* Splits and merges asked for at a time.  */
#define BGAP_REQUESTS_MAX 32

#define BGAP_REQUIRED_SETS 2

/* engine_actions.c */
struct bgap_action_slot
{
  enum bgap_engine_action_kind kind;
  uint64_t id;
  char target[BGAP_NAME_SIZE];
  char *data;
  size_t size;
  uint64_t from;
  bool warning;
};

struct bgap_actions
{
  struct bgap_action_slot *slots;
  uint32_t capacity;
  uint32_t capacity_max;
  uint32_t first;
  uint32_t count;
  size_t bytes;
  size_t bytes_max;
  uint64_t dropped;
  char *taken;
  char taken_target[BGAP_NAME_SIZE];
};

/* engine_recent.c: records kept for peers, @count consecutive ones.  */
struct bgap_recent
{
  struct bgap_buffer *records;
  uint32_t capacity;
  uint32_t first;
  uint32_t count;
  uint64_t newest;
  size_t bytes;
  size_t bytes_max;
};

/**
 * struct bgap_member - an instance of the cell (engine_members.c)
 * @heard_ms: last heartbeat, or when the member was added
 * @beats: heartbeats since it was suspected
 * @answered: it answered the recovery query with @answer
 */
struct bgap_member
{
  char name[BGAP_NAME_SIZE];
  char zone[BGAP_NAME_SIZE];
  bool listed_leaving;
  bool leaving;
  bool live;
  bool caught_up;
  bool stopped;
  bool log_down;
  int64_t heard_ms;
  uint32_t beats;
  uint64_t incarnation;
  uint64_t applied;
  uint64_t config;
  bool answered;
  uint64_t answer;
};

/**
 * struct bgap_observation - what is known of a holder process
 * @acked: newest basis adopted under @incarnation
 * @answer_ms: last answer, -1 if none
 */
struct bgap_observation
{
  uint64_t incarnation;
  uint64_t acked;
  int64_t answer_ms;
  bool draining;
  uint32_t in_flight;
  uint32_t slots;
  uint32_t queued;
};

/**
 * struct bgap_target - a holder that can be renewed: a server, or an instance
 * on behalf of a server ("server@instance") (engine_targets.c)
 * @member: index of the instance, or -1
 * @mine: this instance is one of its renewers
 * @own: from replies to this instance
 * @merged: newest of @own and the reports of other renewers
 * @clock_ms: newest clock value of @own, received at @clock_at_ms
 * @checked: takes part in the current round
 * @checked_clock_ms: clock value known when the round began
 * @watch_ms: since when observations of it are expected
 */
struct bgap_target
{
  char name[BGAP_NAME_SIZE];
  char server[BGAP_NAME_SIZE];
  char zone[BGAP_NAME_SIZE];
  char service[BGAP_NAME_SIZE];
  int32_t member;
  uint32_t slots;
  bool leaving;
  bool mine;
  struct bgap_observation own;
  struct bgap_observation merged;
  int64_t clock_ms;
  int64_t clock_at_ms;
  int64_t hello_ms;
  bool checked;
  int64_t checked_clock_ms;
  uint64_t checked_incarnation;
  int64_t watch_ms;
};

/**
 * struct bgap_proposal - an append that was not read back yet
 */
struct bgap_proposal
{
  bool pending;
  uint64_t id;
  uint64_t basis;
  int64_t expires_ms;
};

/**
 * struct bgap_service - a keyed service (engine_config.c, engine_propose.c)
 * @home: as configured, or NULL
 * @counts: requests of this instance since the last report, per entry
 * @rates: requests per second of all instances, per entry
 * @rate_count: entries of @counts and @rates
 */
struct bgap_service
{
  char name[BGAP_NAME_SIZE];
  uint32_t slices;
  unsigned char *home;
  uint64_t config;
  bool (*clear) (void *context, const char *service, uint32_t slice,
                 uint64_t config);
  void *context;
  int64_t since_ms;
  int64_t planned_ms;
  struct bgap_proposal proposal;
  uint32_t *counts;
  double *rates;
  uint32_t rate_count;
};

/**
 * struct bgap_key_request - a split or merge asked for
 */
struct bgap_key_request
{
  char service[BGAP_NAME_SIZE];
  bool merge;
  uint16_t size;
  unsigned char key[BGAP_KEY_MAX];
  int64_t expires_ms;
};

/**
 * struct bgap_round - witness check of this renewer (engine_renew.c)
 * @votes: per scope and required set, members that have seen nothing newer
 */
struct bgap_round
{
  bool active;
  uint64_t nonce;
  int64_t started_ms;
  uint64_t witness_basis;
  uint32_t scope_count;
  struct bgap_message_scope scopes[BGAP_SCOPES_MAX];
  uint8_t votes[BGAP_SCOPES_MAX][BGAP_REQUIRED_SETS];
  bool sent[BGAP_SCOPES_MAX];
};

/**
 * struct bgap_confirm - two rounds of "replayed?" queries
 * (engine_confirm.c)
 * @seen: members that have replayed @target, with their incarnations
 * @again: members that said so again, in the second round
 */
struct bgap_confirm
{
  bool active;
  bool second;
  uint64_t target;
  uint64_t nonce;
  uint64_t witness_basis;
  int64_t started_ms;
  int64_t sent_ms;
  uint8_t seen[BGAP_REQUIRED_SETS];
  uint8_t again[BGAP_REQUIRED_SETS];
  uint64_t incarnations[BGAP_REQUIRED_SETS][BGAP_WITNESSES_MAX];
};

/**
 * struct bgap_confirmed - a majority held all records up to @offset at once
 * @start_ms: first time later than @done_ms, -1 until there is one
 */
struct bgap_confirmed
{
  uint64_t offset;
  int64_t done_ms;
  int64_t start_ms;
};

/* engine_reader.c, engine_catchup.c */
struct bgap_reader
{
  bool reading;
  uint64_t read_from;
  int64_t next_read_ms;
  bool end_pending;
  bool end_known;
  uint64_t end;
  int64_t next_end_ms;
  bool log_down;
  bool regressed;
  bool scanning;
  uint64_t scan_from;
  uint64_t first;
  struct bgap_snapshot scan;
  struct bgap_snapshot peer_snapshot;
  int64_t fetch_ms;
  int64_t ahead_since_ms;
  uint64_t recovery_nonce;
  int64_t recovery_ms;
};

/* engine_snapshot.c */
struct bgap_writer
{
  struct bgap_buffer state;
  uint64_t id;
  uint64_t as_of;
  uint32_t part;
  bool active;
  int64_t sent_ms;
  int64_t last_ms;
  uint64_t records;
  struct bgap_buffer served;
  uint64_t served_as_of;
};

struct bgap_engine
{
  char cell[BGAP_NAME_SIZE];
  char self[BGAP_NAME_SIZE];
  char zone[BGAP_NAME_SIZE];
  struct bgap_engine_desc desc;
  int64_t now_ms;
  int64_t start_ms;
  int64_t leave_ms;
  bool leaving;
  uint64_t config;
  struct bgap_random random;
  struct bgap_replica *replica;
  struct bgap_actions actions;
  uint64_t next_id;

  struct bgap_member members[BGAP_ENGINE_MEMBERS_MAX];
  uint32_t member_count;
  int32_t self_member;
  int32_t proposer;
  int32_t successor;
  bool roles_stale;
  int64_t heartbeat_ms;
  int64_t report_ms;
  int64_t watch_ms;

  struct bgap_engine_server *servers;
  uint32_t server_count;
  struct bgap_target *targets;
  uint32_t target_count;
  struct bgap_service services[BGAP_ENGINE_SERVICES_MAX];
  uint32_t service_count;
  struct bgap_key_request requests[BGAP_REQUESTS_MAX];
  uint32_t request_count;

  bool caught_up;
  uint64_t in_force;
  struct bgap_reader reader;
  struct bgap_recent recent;
  struct bgap_round round;
  int64_t round_ms;
  bool urgent;
  struct bgap_confirm confirm;
  struct bgap_confirmed confirmed[BGAP_CONFIRMED_MAX];
  uint32_t confirmed_count;
  struct bgap_proposal witness_proposal;
  struct bgap_writer writer;
  int64_t load_ms;

  struct bgap_holder **holders;
  char (*holder_names)[BGAP_NAME_SIZE];
  uint32_t holder_count;
};

#endif
