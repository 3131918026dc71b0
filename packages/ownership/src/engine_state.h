#ifndef BGAP_OWNERSHIP_ENGINE_STATE_H
#define BGAP_OWNERSHIP_ENGINE_STATE_H

/*
 * State of an engine, shared by the files engine_*.c. Each part of the state
 * is modified by the files named in its comment.
 */

#include "banyangap/base/random.h"
#include "banyangap/ownership/engine.h"
#include "banyangap/ownership/message.h"
#include "banyangap/ownership/snapshot.h"

/* Intervals and time-outs.  */
#define BGAP_HEARTBEAT_MS 100
#define BGAP_SUSPECT_MS 300
#define BGAP_RENEW_MS 200
#define BGAP_REPORT_MS 100
#define BGAP_SERVER_LOST_MS 500
#define BGAP_PLAN_MS 1000
/* Minimum time between two renewal rounds or two fetches from peers.  */
#define BGAP_MIN_INTERVAL_MS 20
/* A hello requests a new clock value if the last one is older than this: a
   lease that starts at it would end before the next renewal.  */
#define BGAP_CLOCK_STALE_MS 400
/* A proposal is repeated if it was not read from the log within this time.  */
#define BGAP_PROPOSAL_MS 500
#define BGAP_PROPOSAL_RETRY_MS 100
#define BGAP_LOG_RETRY_MS 200

/* Confirmed offsets kept; dropping one only lengthens a wait.  */
#define BGAP_CONFIRMED_MAX 64

/* Maximum number of pending split and merge requests.  */
#define BGAP_KEY_REQUESTS_MAX 32

/* The newest witness set, and the previous one until the newest is in force.
 */
#define BGAP_REQUIRED_SETS 2

/* engine_actions.c */
struct bgap_queued_action
{
  enum bgap_engine_action_kind kind;
  uint64_t id;
  char target[BGAP_NAME_SIZE];
  char *data;
  size_t size;
  uint64_t from;
  bool warning;
};

/**
 * struct bgap_actions - ring buffer of actions (engine_actions.c)
 * @taken: data of the action that was returned last, owned by the queue
 */
struct bgap_actions
{
  struct bgap_queued_action *queue;
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

/**
 * struct bgap_record_cache - ring buffer of the last applied records, which
 * have consecutive offsets, for peers that fetch them (engine_record_cache.c)
 * @newest: offset of the last record
 */
struct bgap_record_cache
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
 * struct bgap_member_state - an instance of the cell (engine_members.c,
 * engine_witness.c)
 * @listed_leaving: marked as leaving in the host list
 * @last_heartbeat_ms: time of the last heartbeat, or when the member was added
 * @heartbeats: heartbeats received since it was suspected
 * @recovery_answered: it answered the recovery query of this instance
 * @recovery_applied: newest applied offset in these answers
 */
struct bgap_member_state
{
  char name[BGAP_NAME_SIZE];
  char zone[BGAP_NAME_SIZE];
  bool listed_leaving;
  bool leaving;
  bool live;
  bool caught_up;
  bool stopped;
  bool log_down;
  int64_t last_heartbeat_ms;
  uint32_t heartbeats;
  uint64_t incarnation;
  uint64_t applied;
  uint64_t config;
  bool recovery_answered;
  uint64_t recovery_applied;
};

/**
 * struct bgap_observation - known state of a holder process
 * @acked: newest basis that it acknowledged under @incarnation
 * @last_reply_ms: time of the last reply, -1 if none
 */
struct bgap_observation
{
  uint64_t incarnation;
  uint64_t acked;
  int64_t last_reply_ms;
  bool draining;
  uint32_t in_flight;
  uint32_t slots;
  uint32_t queued;
};

/**
 * struct bgap_renew_target - a holder whose leases can be renewed: a server,
 * or an instance on behalf of an unfenced server ("server@instance")
 * (engine_targets.c, engine_renew.c)
 * @member: index of the instance, or -1 for a server
 * @renewed_here: this instance is one of its renewers
 * @own: from replies to this instance
 * @merged: newest of @own and the reports of other renewers
 * @clock_ms: newest clock value of @own, received at @clock_received_ms
 * @in_round: the current renewal round includes it
 * @round_clock_ms: clock value known when the round began
 * @round_incarnation: incarnation that gave @round_clock_ms
 * @watch_start_ms: time since which replies from it are expected
 */
struct bgap_renew_target
{
  char name[BGAP_NAME_SIZE];
  char server[BGAP_NAME_SIZE];
  char zone[BGAP_NAME_SIZE];
  char service[BGAP_NAME_SIZE];
  int32_t member;
  uint32_t slots;
  bool leaving;
  bool renewed_here;
  struct bgap_observation own;
  struct bgap_observation merged;
  int64_t clock_ms;
  int64_t clock_received_ms;
  int64_t last_hello_ms;
  bool in_round;
  int64_t round_clock_ms;
  uint64_t round_incarnation;
  int64_t watch_start_ms;
};

/**
 * struct bgap_proposal - a proposed record that was not read from the log yet
 * @id: of the append action
 * @basis: what the record is based on
 * @expires_ms: when the proposal is repeated
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
 * @home: one byte per slice, non-zero if it is assigned to this cell, or NULL
 * @configured_ms: when the service was first configured
 * @counts: requests of this instance since the last report, per entry
 * @rates: requests per second of all instances, per entry
 * @rate_count: length of @counts and @rates
 */
struct bgap_service
{
  char name[BGAP_NAME_SIZE];
  uint32_t slices;
  unsigned char *home;
  uint64_t config;
  bool (*released_elsewhere) (void *context, const char *service,
                              uint32_t slice, uint64_t config);
  void *context;
  int64_t configured_ms;
  int64_t last_plan_ms;
  struct bgap_proposal proposal;
  uint32_t *counts;
  double *rates;
  uint32_t rate_count;
};

/**
 * struct bgap_key_request - a pending split or merge request
 * (engine_requests.c)
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
 * struct bgap_renew_round - renewal round of this instance (engine_renew.c)
 * @witness_basis: offset of the witness set that @votes refer to
 * @votes: per scope and required set, bitmap of the members that know no newer
 *   record of the scope
 * @renewed: per scope, whether the renewals were sent
 */
struct bgap_renew_round
{
  bool active;
  uint64_t nonce;
  int64_t started_ms;
  uint64_t witness_basis;
  uint32_t scope_count;
  struct bgap_message_scope scopes[BGAP_SCOPES_MAX];
  uint8_t votes[BGAP_SCOPES_MAX][BGAP_REQUIRED_SETS];
  bool renewed[BGAP_SCOPES_MAX];
};

/**
 * struct bgap_confirm_query - two rounds of "replayed?" queries
 * (engine_confirm.c)
 * @witness_basis: offset of the witness set that the votes refer to
 * @first_votes: per required set, bitmap of the members that answered in the
 *   first round that they have replayed @target
 * @second_votes: those of them that answered so again in the second round
 * @incarnations: incarnations of the members in @first_votes
 */
struct bgap_confirm_query
{
  bool active;
  bool second_round;
  uint64_t target;
  uint64_t nonce;
  uint64_t witness_basis;
  int64_t started_ms;
  int64_t sent_ms;
  uint8_t first_votes[BGAP_REQUIRED_SETS];
  uint8_t second_votes[BGAP_REQUIRED_SETS];
  uint64_t incarnations[BGAP_REQUIRED_SETS][BGAP_WITNESSES_MAX];
};

/**
 * struct bgap_confirmed_offset - all records up to @offset were held by a
 * majority at the same time (engine_confirm.c)
 * @done_ms: time of the call that completed the confirmation
 * @start_ms: first time later than @done_ms, -1 until there is one
 */
struct bgap_confirmed_offset
{
  uint64_t offset;
  int64_t done_ms;
  int64_t start_ms;
};

/**
 * struct bgap_log_reader - replay of the log (engine_log_reader.c,
 * engine_catchup.c, engine_witness.c)
 * @reading: a read is in progress
 * @end_pending: a query for the end of the log is in progress
 * @end_known: @end_at_start is known
 * @end_at_start: end of the log when it was first queried
 * @log_down: the last operation on the log failed
 * @regressed: the log has lost records
 * @scanning: the next record is no longer in the log; the log is searched for
 *   a snapshot
 * @scan_from: next offset to read while scanning
 * @log_first: oldest offset in the log
 * @scan_snapshot: parts read from the log
 * @peer_snapshot: parts fetched from a peer
 * @peer_ahead_since_ms: since when a live peer has applied more records, or -1
 */
struct bgap_log_reader
{
  bool reading;
  uint64_t read_from;
  int64_t next_read_ms;
  bool end_pending;
  bool end_known;
  uint64_t end_at_start;
  int64_t next_end_ms;
  bool log_down;
  bool regressed;
  bool scanning;
  uint64_t scan_from;
  uint64_t log_first;
  struct bgap_snapshot scan_snapshot;
  struct bgap_snapshot peer_snapshot;
  int64_t last_fetch_ms;
  int64_t peer_ahead_since_ms;
  uint64_t recovery_nonce;
  int64_t last_recovery_ms;
};

/**
 * struct bgap_snapshot_writer - snapshots written to the log
 * (engine_snapshot.c) and sent to peers (engine_catchup.c)
 * @state: state of the snapshot that is being written
 * @as_of: offset of the last record in @state
 * @part: index of the part that was appended last
 * @peer_state: state that peers are fetching, as of @peer_state_as_of
 */
struct bgap_snapshot_writer
{
  struct bgap_buffer state;
  uint64_t id;
  uint64_t as_of;
  uint32_t part;
  bool active;
  int64_t sent_ms;
  int64_t last_snapshot_ms;
  uint64_t records_since_snapshot;
  struct bgap_buffer peer_state;
  uint64_t peer_state_as_of;
};

/**
 * struct bgap_engine - see engine.h
 * @self_member: index of this instance in @members, or -1
 * @proposer: index of the proposer, or -1
 * @successor: index of the member that takes over from the proposer, or -1
 * @roles_stale: bgap_engine_update_roles() must run
 * @watch_start_ms: when this instance last became proposer or successor; it
 *   gets the reports of other renewers since then
 * @in_force: offset of the newest witness set known to be in force
 * @renew_now: start a renewal round without waiting for the next period
 * @proxies: holders of the leases of unfenced servers, with their names
 *   "server@instance" in @proxy_names (engine_proxy.c)
 */
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

  struct bgap_member_state members[BGAP_ENGINE_MEMBERS_MAX];
  uint32_t member_count;
  int32_t self_member;
  int32_t proposer;
  int32_t successor;
  bool roles_stale;
  int64_t last_heartbeat_ms;
  int64_t last_report_ms;
  int64_t watch_start_ms;

  struct bgap_engine_server *servers;
  uint32_t server_count;
  struct bgap_renew_target *targets;
  uint32_t target_count;
  struct bgap_service services[BGAP_ENGINE_SERVICES_MAX];
  uint32_t service_count;
  struct bgap_key_request requests[BGAP_KEY_REQUESTS_MAX];
  uint32_t request_count;

  bool caught_up;
  uint64_t in_force;
  struct bgap_log_reader log_reader;
  struct bgap_record_cache record_cache;
  struct bgap_renew_round round;
  int64_t last_round_ms;
  bool renew_now;
  struct bgap_confirm_query confirm;
  struct bgap_confirmed_offset confirmed[BGAP_CONFIRMED_MAX];
  uint32_t confirmed_count;
  struct bgap_proposal witness_proposal;
  struct bgap_snapshot_writer snapshot_writer;
  int64_t last_load_ms;

  struct bgap_holder **proxies;
  char (*proxy_names)[BGAP_NAME_SIZE];
  uint32_t proxy_count;
};

#endif
