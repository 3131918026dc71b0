#ifndef BANYANGAP_STORE_STORE_H
#define BANYANGAP_STORE_STORE_H

/*
 * The store in which everything that must last is kept: topics of records with
 * offsets, of which some keep the newest record of each key.
 *
 *   struct bgap_store_read call = {
 *     .topic = "config", .from = 7, .wait_ms = 8000,
 *     .done = on_page, .user = me };
 *   if (ops->read (ops->context, &call) != BGAP_OK)
 *     ...   it was not sent, and done is not called
 *
 * A call that was taken is completed once from the event loop. Calls have a
 * time limit of their own.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "banyangap/base/status.h"

/* Size of a record's key, terminating zero included.  */
#define BGAP_STORE_KEY_SIZE 256

/* Members of a group that are reported at most.  */
#define BGAP_STORE_MEMBERS_MAX 1024

/* Size of a member's name, terminating zero included.  */
#define BGAP_STORE_MEMBER_SIZE 96

/**
 * enum bgap_store_outcome - how a call ended
 */
enum bgap_store_outcome
{
  BGAP_STORE_OK,
  BGAP_STORE_REFUSED,   /* nothing was done; the store is busy or away */
  BGAP_STORE_TRUNCATED, /* the offset is no longer kept */
  BGAP_STORE_CONFLICT,  /* the condition does not hold; nothing was done */
  BGAP_STORE_UNKNOWN,   /* no response: it may be done now, later or never */
  BGAP_STORE_OUTCOME_COUNT
};

/**
 * bgap_store_outcome_name() - short name, never NULL
 */
const char *bgap_store_outcome_name (enum bgap_store_outcome outcome);

/**
 * enum bgap_store_call_kind - the calls
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
 * bgap_store_call_name() - short name, never NULL
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
 * @value: @size bytes; with @removed there are none and the key is gone
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
 * @more: further pages follow after the last key
 * @message: reason for people unless the outcome is BGAP_STORE_OK
 */
struct bgap_store_page
{
  enum bgap_store_outcome outcome;
  const struct bgap_store_record *records;
  size_t count;
  uint64_t end;
  bool more;
  const char *message;
};

/**
 * struct bgap_store_newest - read the newest record of each key
 * @after: continue after this key; "" to start
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
 * @wait_ms: wait for a record for so long, 0 not to wait
 * @max_kb: size of the answer at most, in KiB; 0 for the store's own limit
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
 * @generation: rises with each change of the group
 * @is_first: this member was dealt the first part of the group's work
 */
struct bgap_store_joined
{
  enum bgap_store_outcome outcome;
  int64_t generation;
  bool is_first;
};

/**
 * struct bgap_store_join - join a group, or stay in it
 * @generation: last one received, 0 at first
 */
struct bgap_store_join
{
  const char *group;
  const char *member;
  int64_t generation;
  uint32_t ttl_ms;
  void (*done) (void *user, const struct bgap_store_joined *result);
  void *user;
};

/**
 * struct bgap_store_members - members of a group, each once
 */
struct bgap_store_members
{
  enum bgap_store_outcome outcome;
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
 * struct bgap_store_ops - calls to the store
 *
 * Each returns BGAP_OK, or BGAP_ERR_NO_MEMORY or BGAP_ERR_INVALID, after which
 * nothing is sent and no callback follows. leave has no callback.
 *
 * @counts: kept by the client; NULL if it keeps none
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
