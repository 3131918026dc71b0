#ifndef BANYANGAP_STORE_STORE_H
#define BANYANGAP_STORE_STORE_H

/*
 * Interface to the store that keeps all durable state: topics of records with
 * offsets. A keyed topic keeps the newest record of each key.
 *
 *   struct bgap_store_read call = {
 *     .topic = "config", .from = 7, .wait_ms = 8000,
 *     .done = on_page, .user = me };
 *   if (ops->read (ops->context, &call) != BGAP_OK)
 *     ...   the call was not sent, and done is not called
 *
 * An accepted call completes exactly once, from the event loop. Calls have a
 * time-out of their own.
 *
 * Each answer states the timeline of the store: a number that rises when the
 * store is restored from a copy, see timeline_guard.h. It is 0 if there was no
 * answer, or a store without timelines.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "banyangap/base/status.h"

/* Size of a record's key, terminating zero included.  */
#define BGAP_STORE_KEY_SIZE 256

/* Maximum size of a record's value in bytes, whoever has written it. A store
   may accept less of some writers.  */
#define BGAP_STORE_VALUE_SIZE_MAX ((size_t)4 * 1024 * 1024)

/* Maximum number of members of a group in a list.  */
#define BGAP_STORE_MEMBERS_MAX 1024

/* Size of a member's name, terminating zero included.  */
#define BGAP_STORE_MEMBER_SIZE 96

/**
 * enum bgap_store_outcome - how a call ended
 */
enum bgap_store_outcome
{
  BGAP_STORE_OK,
  BGAP_STORE_REFUSED,   /* not executed; the store is busy or unreachable */
  BGAP_STORE_TRUNCATED, /* the store no longer has the offset */
  BGAP_STORE_CONFLICT,  /* not executed; the condition does not hold */
  BGAP_STORE_UNKNOWN,   /* no response; executed now, later or never */
  BGAP_STORE_OUTCOME_COUNT
};

/**
 * bgap_store_outcome_name() - name of an outcome, never NULL
 */
const char *bgap_store_outcome_name (enum bgap_store_outcome outcome);

/**
 * enum bgap_store_call_kind - calls to the store
 */
enum bgap_store_call_kind
{
  BGAP_STORE_NEWEST,
  BGAP_STORE_READ,
  BGAP_STORE_APPEND,
  BGAP_STORE_JOIN,
  BGAP_STORE_LIST,
  BGAP_STORE_LEAVE,
  BGAP_STORE_CALL_COUNT
};

/**
 * bgap_store_call_name() - name of a call, never NULL
 */
const char *bgap_store_call_name (enum bgap_store_call_kind kind);

/**
 * struct bgap_store_counts - calls that have ended since the start
 */
struct bgap_store_counts
{
  uint64_t ended[BGAP_STORE_CALL_COUNT][BGAP_STORE_OUTCOME_COUNT];
};

/**
 * struct bgap_store_record - a record of a keyed topic
 * @value: @size bytes
 * @removed: the key was deleted; there is no value
 */
struct bgap_store_record
{
  uint64_t offset;
  char key[BGAP_STORE_KEY_SIZE];
  const void *value;
  size_t size;
  bool removed;
};

/**
 * struct bgap_store_page - result of a read; valid during the callback
 * @end: offset that the next record of the topic will get
 * @more: there are further pages after the last key
 * @message: human-readable reason, unless the outcome is BGAP_STORE_OK
 */
struct bgap_store_page
{
  enum bgap_store_outcome outcome;
  uint64_t timeline;
  const struct bgap_store_record *records;
  size_t count;
  uint64_t end;
  bool more;
  const char *message;
};

/**
 * struct bgap_store_newest - read the newest record of each key
 * @after: continue after this key; "" for the first page
 */
struct bgap_store_newest
{
  const char *topic;
  const char *after;
  void (*done) (void *user, const struct bgap_store_page *page);
  void *user;
};

/**
 * struct bgap_store_read - read records from an offset on
 * @wait_ms: maximum time to wait for a record, 0 not to wait
 * @max_kb: maximum size of the answer in KiB; 0 for the limit of the store
 */
struct bgap_store_read
{
  const char *topic;
  uint64_t from;
  uint32_t wait_ms;
  uint32_t max_kb;
  void (*done) (void *user, const struct bgap_store_page *page);
  void *user;
};

/**
 * struct bgap_store_appended - result of an append
 * @offset: of the record, with BGAP_STORE_OK
 * @end: end of the topic, with BGAP_STORE_CONFLICT
 */
struct bgap_store_appended
{
  enum bgap_store_outcome outcome;
  uint64_t timeline;
  uint64_t offset;
  uint64_t end;
  const char *message;
};

/**
 * struct bgap_store_append - append a record to a keyed topic
 * @at: the record must get this offset, if @conditional
 */
struct bgap_store_append
{
  const char *topic;
  const char *key;
  const void *value;
  size_t size;
  bool conditional;
  uint64_t at;
  void (*done) (void *user, const struct bgap_store_appended *result);
  void *user;
};

/**
 * struct bgap_store_joined - result of joining a group
 * @generation: increases with each change of the group
 * @is_first: the group's first partition is assigned to this member
 */
struct bgap_store_joined
{
  enum bgap_store_outcome outcome;
  uint64_t timeline;
  int64_t generation;
  bool is_first;
};

/**
 * struct bgap_store_join - join a group, or stay in it
 * @generation: last one received, 0 in the first call
 * @ordinary: the member must not become the first one
 */
struct bgap_store_join
{
  const char *group;
  const char *member;
  int64_t generation;
  uint32_t ttl_ms;
  bool ordinary;
  void (*done) (void *user, const struct bgap_store_joined *result);
  void *user;
};

/**
 * struct bgap_store_members - members of a group, without duplicates
 */
struct bgap_store_members
{
  enum bgap_store_outcome outcome;
  uint64_t timeline;
  const char (*names)[BGAP_STORE_MEMBER_SIZE];
  size_t count;
};

/**
 * struct bgap_store_list - list the members of a group
 */
struct bgap_store_list
{
  const char *group;
  void (*done) (void *user, const struct bgap_store_members *members);
  void *user;
};

/**
 * union bgap_store_done - callback of a call in progress, by its kind
 */
union bgap_store_done
{
  void (*page) (void *user, const struct bgap_store_page *page);
  void (*appended) (void *user, const struct bgap_store_appended *result);
  void (*joined) (void *user, const struct bgap_store_joined *result);
  void (*members) (void *user, const struct bgap_store_members *members);
};

/**
 * struct bgap_store_ops - calls to the store
 *
 * Each returns BGAP_OK, BGAP_ERR_NO_MEMORY or BGAP_ERR_INVALID. On errors
 * nothing is sent and no callback follows. leave has no callback.
 *
 * @counts: counters of the client; NULL if it has none
 */
struct bgap_store_ops
{
  enum bgap_status (*newest) (void *context,
                              const struct bgap_store_newest *call);
  enum bgap_status (*read) (void *context, const struct bgap_store_read *call);
  enum bgap_status (*append) (void *context,
                              const struct bgap_store_append *call);
  enum bgap_status (*join) (void *context, const struct bgap_store_join *call);
  enum bgap_status (*list) (void *context, const struct bgap_store_list *call);
  enum bgap_status (*leave) (void *context, const char *group,
                             const char *member);
  const struct bgap_store_counts *counts;
  void *context;
};

#endif
