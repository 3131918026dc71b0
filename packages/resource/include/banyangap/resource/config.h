#ifndef BANYANGAP_RESOURCE_CONFIG_H
#define BANYANGAP_RESOURCE_CONFIG_H

/*
 * Replay of the "config" stream. Every instance applies the same records in
 * offset order by the same rules and therefore reaches the same state.
 *
 *   struct bgap_config config;
 *   bgap_config_setup (&config, &(struct bgap_config_desc){ 0 });
 *   for (;;)
 *     {
 *       int64_t from = bgap_config_next (&config);
 *       // read the stream from "from"; on "410 first F":
 *       //   bgap_config_truncated (&config, F);
 *       struct bgap_config_event event = { 0 };
 *       bgap_config_apply (&config, offset, bytes, size, &event);
 *       if (event.result == BGAP_CONFIG_ACCEPTED)
 *         use (bgap_config_resources (&config));
 *       bgap_config_event_shutdown (&event);
 *     }
 *   bgap_config_shutdown (&config);
 *
 * After bgap_config_truncated(), bgap_config_next() can go back: the state is
 * then loaded from a snapshot, and the records after the snapshot's offset are
 * read again.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "banyangap/base/buffer.h"
#include "banyangap/base/status.h"
#include "banyangap/resource/findings.h"
#include "banyangap/resource/set.h"

/* Highest record schema that this release understands.  */
#define BGAP_CONFIG_SCHEMA 1

/* Maximum size in bytes of the snapshot data in one record.  */
#define BGAP_CONFIG_PART_SIZE ((size_t)64 * 1024)

/* Version of an owner without an accepted configuration.  */
#define BGAP_CONFIG_NO_VERSION 0

/**
 * enum bgap_config_result - effect of a record
 */
enum bgap_config_result
{
  BGAP_CONFIG_IGNORED,   /* not a configuration record; no effect */
  BGAP_CONFIG_ACCEPTED,  /* now the configuration of its owner */
  BGAP_CONFIG_REFUSED,   /* does not validate; no effect */
  BGAP_CONFIG_STALE,     /* based on an older version; no effect */
  BGAP_CONFIG_PART,      /* part of a snapshot */
  BGAP_CONFIG_INSTALLED, /* last part of a snapshot that is now the state */
  BGAP_CONFIG_DUPLICATE, /* offset applied before; no effect */
  BGAP_CONFIG_GAP,       /* offset after bgap_config_next(); not applied */
  BGAP_CONFIG_BLOCKED,   /* a record has a newer schema; not applied */
  BGAP_CONFIG_RESULT_COUNT
};

/**
 * struct bgap_config_desc - limits; 0 means the default
 *
 * The limits decide whether a change is accepted, so all instances must use
 * the same ones.
 *
 * @resources: limits for the resources of all owners together
 * @owners_max: number of owners; default 64
 * @documents_max: size in bytes of one owner's documents; default 512 KiB
 * @snapshot_max: size in bytes of a snapshot; default 4 MiB. A change that
 * would make the snapshot larger is refused.
 */
struct bgap_config_desc
{
  struct bgap_resource_set_desc resources;
  uint32_t owners_max;
  size_t documents_max;
  size_t snapshot_max;
};

/**
 * struct bgap_config_event - effect of one record
 * @offset: offset of the record
 * @owner, @operator: from the record, "" if it has none
 * @based_on: version the change was based on
 * @version: newest version of the owner after the record
 * @findings: why the record was refused
 * @changed: for a stale record, what was accepted since @based_on; for an
 * accepted one, what it changed. Lines of bgap_resource_diff(); for a stale
 * record, the lines of each version follow a line "version N by OPERATOR:".
 */
struct bgap_config_event
{
  enum bgap_config_result result;
  int64_t offset;
  char owner[BGAP_RESOURCE_NAME_SIZE];
  char operator[BGAP_RESOURCE_NAME_SIZE];
  int64_t based_on;
  int64_t version;
  struct bgap_findings findings;
  struct bgap_buffer changed;
};

struct bgap_config_owner;
struct bgap_config_assembly;

/* Number of snapshots that can be assembled at the same time.  */
#define BGAP_CONFIG_ASSEMBLIES_MAX 2

/**
 * struct bgap_config - state of the replay; the fields are private
 * @applied: offset of the last applied record
 * @version: newest accepted version of all owners
 * @search_from: first offset of a truncated log while a snapshot is being
 * looked for; 0 if the state is complete
 * @search_next: next offset to look at during this search
 * @snapshot_as_of: offset of the newest complete snapshot seen
 * @blocked: a record of a newer schema was read
 */
struct bgap_config
{
  struct bgap_config_desc limits;
  struct bgap_config_owner *owners;
  uint32_t owner_count;
  struct bgap_resource_set set;
  struct bgap_config_assembly *assemblies;
  int64_t applied;
  int64_t version;
  int64_t search_from;
  int64_t search_next;
  int64_t snapshot_as_of;
  bool blocked;
};

/**
 * bgap_config_setup() - initialise an empty replay that starts at offset 1
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_config_setup (struct bgap_config *config,
                                    const struct bgap_config_desc *desc);

/**
 * bgap_config_shutdown() - free the replay; a zeroed one is allowed
 */
void bgap_config_shutdown (struct bgap_config *config);

/**
 * bgap_config_next() - offset from which to read the stream
 */
int64_t bgap_config_next (const struct bgap_config *config);

/**
 * bgap_config_truncated() - report that the log has no records before @first
 *
 * Until a complete snapshot is found, records are only searched for one and
 * the state does not change.
 *
 * Return: BGAP_OK, or BGAP_ERR_STALE if @first is not after
 * bgap_config_next().
 */
enum bgap_status bgap_config_truncated (struct bgap_config *config,
                                        int64_t first);

/**
 * bgap_config_check_end() - compare the end of the log with the state
 * @end: offset that the next record will get
 *
 * Return: BGAP_OK, or BGAP_ERR_STALE if the log ends before the applied
 * offset. The log has then lost records; the state is kept.
 */
enum bgap_status bgap_config_check_end (const struct bgap_config *config,
                                        int64_t end, struct bgap_error *err);

/**
 * bgap_config_complete() - whether the state includes all records before
 * bgap_config_next(); false while a snapshot is being looked for
 */
bool bgap_config_complete (const struct bgap_config *config);

/**
 * bgap_config_apply() - apply one record of the stream
 * @event: zeroed by the caller, which also calls bgap_config_event_shutdown()
 *
 * Return: BGAP_OK (see @event->result), or BGAP_ERR_NO_MEMORY. In the latter
 * case the record was not applied and the call can be repeated.
 */
enum bgap_status bgap_config_apply (struct bgap_config *config, int64_t offset,
                                    const char *bytes, size_t size,
                                    struct bgap_config_event *event);

/**
 * bgap_config_check() - evaluate a change against the current state without
 * applying it
 *
 * @event and the return value are those of bgap_config_apply().
 */
enum bgap_status bgap_config_check (const struct bgap_config *config,
                                    const char *owner, int64_t based_on,
                                    const char *documents,
                                    struct bgap_config_event *event);

/**
 * bgap_config_event_shutdown() - free the event's memory
 */
void bgap_config_event_shutdown (struct bgap_config_event *event);

/**
 * bgap_config_result_name() - lower-case name, never NULL
 */
const char *bgap_config_result_name (enum bgap_config_result result);

/**
 * bgap_config_resources() - resolved resources of all owners
 *
 * Valid until the next accepted or installed record. bgap_resource_copy()
 * extracts those of one owner.
 */
const struct bgap_resource_set *
bgap_config_resources (const struct bgap_config *config);

/**
 * bgap_config_applied() - offset of the last applied record, 0 if none
 */
int64_t bgap_config_applied (const struct bgap_config *config);

/**
 * bgap_config_version() - newest accepted version
 * @owner: NULL means all owners together
 *
 * Return: its offset, or BGAP_CONFIG_NO_VERSION.
 */
int64_t bgap_config_version (const struct bgap_config *config,
                             const char *owner);

/**
 * bgap_config_documents() - accepted YAML text of an owner, NULL if none
 */
const char *bgap_config_documents (const struct bgap_config *config,
                                   const char *owner);

/**
 * bgap_config_changed_since() - describe the changes of an owner that were
 * accepted after version @based_on
 * @out: gets text as in @changed of struct bgap_config_event
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_config_changed_since (const struct bgap_config *config,
                                            const char *owner,
                                            int64_t based_on,
                                            struct bgap_buffer *out);

/**
 * bgap_config_encode() - encode the record of a change
 * @out: gets JSON text
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID (not UTF-8) or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_config_encode (const char *owner, int64_t based_on,
                                     const char *documents,
                                     const char *operator,
                                     struct bgap_buffer * out);

/**
 * bgap_config_snapshot_data() - encode the state as JSON text
 *
 * Two replays with the same applied offset yield the same text.
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_config_snapshot_data (const struct bgap_config *config,
                                            struct bgap_buffer *out);

/**
 * bgap_config_snapshot_parts() - number of records for @size bytes of data
 */
uint32_t bgap_config_snapshot_parts (size_t size);

/**
 * bgap_config_snapshot_record() - encode the record of one part of a snapshot
 * @as_of: bgap_config_applied() at the time of bgap_config_snapshot_data()
 * @part: index, from 0
 *
 * The parts must be appended to the log in order.
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID (no such part) or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_config_snapshot_record (const char *id, int64_t as_of,
                                              uint32_t part,
                                              const struct bgap_buffer *data,
                                              struct bgap_buffer *out);

/**
 * bgap_config_snapshot_as_of() - offset of the newest complete snapshot seen,
 * 0 if none
 */
int64_t bgap_config_snapshot_as_of (const struct bgap_config *config);

/**
 * bgap_config_install() - replace the state by a snapshot, for example from a
 * peer
 *
 * Return: BGAP_OK, BGAP_ERR_STALE if it is not newer than the state,
 * BGAP_ERR_PROTOCOL if it is malformed or does not validate, or
 * BGAP_ERR_NO_MEMORY. The state changes only with BGAP_OK.
 */
enum bgap_status bgap_config_install (struct bgap_config *config,
                                      const char *data, size_t size,
                                      struct bgap_error *err);

#endif
