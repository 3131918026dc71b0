/*
 * Replays a generated "config" stream on several replicas. They get its
 * records in any order and repeatedly, and load snapshots after the log is
 * truncated.
 *
 * The oracle is a reference replay that gets every record in order. Checks:
 * - a replica that applied the same prefix has the same state,
 * - versions and applied offsets never decrease,
 * - an accepted configuration stays until a newer one of its owner is
 * accepted.
 *
 * Input: one operation per pair of bytes (kind and argument).
 */

#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/resource/config.h"

#define CHECK(condition)                                                      \
  do                                                                          \
    if (!(condition))                                                         \
      {                                                                       \
        fprintf (stderr, "failed: %s\n", #condition);                         \
        abort ();                                                             \
      }                                                                       \
  while (0)

#define REPLICAS 3
#define RECORDS_MAX 64
#define OWNERS 3

static const char *const owners[OWNERS] = { "a", "b", "c" };

struct cluster
{
  struct bgap_buffer records[RECORDS_MAX + 1];
  /* Snapshot data of the reference replay after each offset.  */
  struct bgap_buffer states[RECORDS_MAX + 1];
  int64_t end;
  int64_t first;
  struct bgap_config reference;
  struct bgap_config replicas[REPLICAS];
  int64_t versions[REPLICAS][OWNERS];
  int64_t applied[REPLICAS];
};

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
_setup (struct bgap_config *config)
{
  const struct bgap_config_desc desc = { .owners_max = 2 };
  CHECK (bgap_config_setup (config, &desc) == BGAP_OK);
}

static void
_print_documents (struct bgap_buffer *out, const char *owner, unsigned variant)
{
  const unsigned servers = 1 + variant % 3;
  /* Some variants conflict with other owners or do not validate.  */
  const char *prefix = variant % 7 == 6 ? "shared" : owner;
  bgap_buffer_printf (
      out,
      "kind: owner\nname: %s\nowner: %s\n---\n"
      "kind: zone\nname: z\nowner: %s\nregion: %s\n---\n"
      "kind: ownership_policy\nname: p\nowner: %s\nwitnesses: zone\n---\n"
      "kind: service\nname: s\nowner: %s\nkeyed: true\nrepeat: never\n"
      "ownership_policy: p\n%sdeadline_ms: %u\n---\n"
      "kind: backend_servers\nname: s\nowner: %s\nservice: s\nservers:\n",
      owner, owner, owner, variant % 11 == 10 ? "other" : "r", owner, owner,
      variant % 5 == 4 ? "slices: 128\n" : "", variant, owner);
  for (unsigned i = 0; i < servers; i++)
    bgap_buffer_printf (out,
                        "- {name: %s-%u, zone: z, address: '10.%u.0.%u:80', "
                        "slots: 4, connections: 110}\n",
                        prefix, i, (unsigned char)owner[0], i + 1);
  /* Large enough for a snapshot of several parts.  */
  for (unsigned i = 0; variant == 13 && i < 64; i++)
    bgap_buffer_printf (out, "# %1020u\n", i);
}

static void
_check_monotonic (struct cluster *cluster, int i)
{
  const struct bgap_config *replica = &cluster->replicas[i];
  CHECK (bgap_config_applied (replica) >= cluster->applied[i]);
  cluster->applied[i] = bgap_config_applied (replica);
  for (int o = 0; o < OWNERS; o++)
    {
      const int64_t version = bgap_config_version (replica, owners[o]);
      CHECK (version >= cluster->versions[i][o]);
      CHECK (version <= bgap_config_applied (replica));
      cluster->versions[i][o] = version;
    }
}

static void
_check_state (struct cluster *cluster, int i)
{
  const struct bgap_config *replica = &cluster->replicas[i];
  const int64_t applied = bgap_config_applied (replica);
  struct bgap_buffer state = { 0 };
  CHECK (bgap_config_snapshot_data (replica, &state) == BGAP_OK);
  CHECK (strcmp (state.data, cluster->states[applied].data) == 0);
  bgap_buffer_shutdown (&state);
  if (applied != cluster->end - 1)
    return;
  struct bgap_buffer diff = { 0 };
  CHECK (bgap_resource_diff (bgap_config_resources (&cluster->reference),
                             bgap_config_resources (replica), &diff)
         == BGAP_OK);
  CHECK (diff.size == 0);
  bgap_buffer_shutdown (&diff);
}

static enum bgap_config_result
_apply (struct cluster *cluster, int i, int64_t offset)
{
  struct bgap_config_event event = { 0 };
  const struct bgap_buffer *record = &cluster->records[offset];
  CHECK (bgap_config_apply (&cluster->replicas[i], offset, record->data,
                            record->size, &event)
         == BGAP_OK);
  const enum bgap_config_result result = event.result;
  bgap_config_event_shutdown (&event);
  _check_monotonic (cluster, i);
  if (result == BGAP_CONFIG_ACCEPTED || result == BGAP_CONFIG_INSTALLED)
    _check_state (cluster, i);
  return result;
}

/* Appends the record at the end offset and applies it to the reference
   replay.  */
static void
_append (struct cluster *cluster)
{
  const int64_t offset = cluster->end++;
  struct bgap_buffer *record = &cluster->records[offset];
  struct bgap_config_event event = { 0 };
  int64_t before[OWNERS];
  for (int o = 0; o < OWNERS; o++)
    before[o] = bgap_config_version (&cluster->reference, owners[o]);
  CHECK (bgap_config_apply (&cluster->reference, offset, record->data,
                            record->size, &event)
         == BGAP_OK);
  for (int o = 0; o < OWNERS; o++)
    {
      const bool accepted = event.result == BGAP_CONFIG_ACCEPTED
                            && strcmp (event.owner, owners[o]) == 0;
      CHECK (bgap_config_version (&cluster->reference, owners[o])
             == (accepted ? offset : before[o]));
      if (strcmp (event.owner, owners[o]) == 0)
        CHECK ((event.result == BGAP_CONFIG_STALE)
               == (event.based_on != before[o]));
    }
  CHECK ((event.result == BGAP_CONFIG_REFUSED)
         == !bgap_findings_empty (&event.findings));
  bgap_config_event_shutdown (&event);
  CHECK (
      bgap_config_snapshot_data (&cluster->reference, &cluster->states[offset])
      == BGAP_OK);
}

static void
_append_change (struct cluster *cluster, uint8_t argument)
{
  const char *owner = owners[argument % OWNERS];
  int64_t based_on = bgap_config_version (&cluster->reference, owner);
  /* One change in eight is stale.  */
  if (argument % 8 == 7)
    based_on = based_on / 2;
  struct bgap_buffer documents = { 0 };
  _print_documents (&documents, owner, 1 + argument / OWNERS);
  CHECK (bgap_config_encode (owner, based_on, documents.data, "op",
                             &cluster->records[cluster->end])
         == BGAP_OK);
  bgap_buffer_shutdown (&documents);
  _append (cluster);
}

static void
_append_snapshot (struct cluster *cluster, uint8_t argument)
{
  /* Some snapshots are as of an earlier offset, or reuse an id.  */
  int64_t as_of = bgap_config_applied (&cluster->reference);
  if (argument % 4 == 3)
    as_of = 1 + argument / 4 % as_of;
  char id[24];
  snprintf (id, sizeof id, "s-%d", argument % 8 == 7 ? 0 : (int)cluster->end);
  const struct bgap_buffer *state = &cluster->states[as_of];
  const uint32_t parts = bgap_config_snapshot_parts (state->size);
  for (uint32_t part = 0; part < parts && cluster->end <= RECORDS_MAX; part++)
    {
      struct bgap_buffer *record = &cluster->records[cluster->end];
      CHECK (bgap_config_snapshot_record (id, as_of, part, state, record)
             == BGAP_OK);
      /* Damages some parts; they must not be installed.  */
      char *field = strstr (record->data, "deadline_ms: ");
      if (argument % 16 == 9 && field != NULL)
        field[strlen ("deadline_ms: ")] ^= 1;
      /* Appends some parts twice, as a writer does whose answer was lost.  */
      if (argument % 16 == 5 && part == 0 && cluster->end < RECORDS_MAX)
        {
          CHECK (bgap_buffer_append (&cluster->records[cluster->end + 1],
                                     record->data, record->size)
                 == BGAP_OK);
          _append (cluster);
        }
      _append (cluster);
    }
}

static void
_append_bytes (struct cluster *cluster, const uint8_t *data, size_t size)
{
  CHECK (bgap_buffer_append (&cluster->records[cluster->end], data, size)
         == BGAP_OK);
  _append (cluster);
}

/* Lets a replica read up to @steps records in the way the daemon does.  */
static void
_read_log (struct cluster *cluster, int i, int steps)
{
  struct bgap_config *replica = &cluster->replicas[i];
  while (steps-- > 0)
    {
      const int64_t next = bgap_config_next (replica);
      if (next >= cluster->end)
        return;
      if (next < cluster->first)
        CHECK (bgap_config_truncated (replica, cluster->first) == BGAP_OK);
      else
        _apply (cluster, i, next);
    }
}

/* Installs a snapshot directly, as one that a peer sent.  */
static void
_install (struct cluster *cluster, int i, uint8_t argument)
{
  if (bgap_config_applied (&cluster->reference) == 0)
    return;
  const int64_t as_of
      = 1 + argument % bgap_config_applied (&cluster->reference);
  const struct bgap_buffer *state = &cluster->states[as_of];
  const int64_t applied = bgap_config_applied (&cluster->replicas[i]);
  enum bgap_status status = bgap_config_install (
      &cluster->replicas[i], state->data, state->size, NULL);
  CHECK (status == (as_of > applied ? BGAP_OK : BGAP_ERR_STALE));
  _check_monotonic (cluster, i);
  _check_state (cluster, i);
}

static void
_step (struct cluster *cluster, uint8_t kind, uint8_t argument,
       const uint8_t *rest, size_t rest_size)
{
  const int i = kind / 8 % REPLICAS;
  const bool has_space
      = cluster->end <= RECORDS_MAX && !cluster->reference.blocked;
  switch (kind % 8)
    {
    case 0:
    case 1:
      if (has_space)
        _append_change (cluster, argument);
      break;
    case 2:
      if (has_space && cluster->end > 1)
        _append_snapshot (cluster, argument);
      break;
    case 3:
      if (has_space)
        _append_bytes (cluster, rest,
                       rest_size < argument ? rest_size : argument);
      break;
    case 4:
      _read_log (cluster, i, 1 + argument % 32);
      break;
    case 5:
      /* Any record, in any order and repeatedly.  */
      if (cluster->end > 1)
        _apply (cluster, i, 1 + argument % (cluster->end - 1));
      break;
    case 6:
      if (cluster->first + argument % 8 <= cluster->end)
        cluster->first += argument % 8;
      break;
    default:
      _install (cluster, i, argument);
      break;
    }
}

static void
_finish (struct cluster *cluster)
{
  /* After a snapshot at the end of the log every replica must catch up.  */
  const int64_t last = cluster->end - 1;
  const uint32_t parts
      = last > 0 ? bgap_config_snapshot_parts (cluster->states[last].size) : 0;
  if (parts > 0 && last + parts <= RECORDS_MAX && !cluster->reference.blocked)
    {
      for (uint32_t part = 0; part < parts; part++)
        {
          CHECK (bgap_config_snapshot_record ("last", last, part,
                                              &cluster->states[last],
                                              &cluster->records[cluster->end])
                 == BGAP_OK);
          _append (cluster);
        }
      for (int i = 0; i < REPLICAS; i++)
        {
          _read_log (cluster, i, 8 * RECORDS_MAX);
          CHECK (bgap_config_applied (&cluster->replicas[i])
                 == cluster->end - 1);
        }
    }
  for (int i = 0; i < REPLICAS; i++)
    {
      _check_state (cluster, i);
      bgap_config_shutdown (&cluster->replicas[i]);
    }
  bgap_config_shutdown (&cluster->reference);
  for (int64_t i = 0; i <= RECORDS_MAX; i++)
    {
      bgap_buffer_shutdown (&cluster->records[i]);
      bgap_buffer_shutdown (&cluster->states[i]);
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static struct cluster cluster;
  cluster = (struct cluster){ .end = 1, .first = 1 };
  _setup (&cluster.reference);
  for (int i = 0; i < REPLICAS; i++)
    _setup (&cluster.replicas[i]);
  CHECK (bgap_config_snapshot_data (&cluster.reference, &cluster.states[0])
         == BGAP_OK);
  for (size_t i = 0; i + 1 < size && i < 320; i += 2)
    _step (&cluster, data[i], data[i + 1], data + i + 2, size - i - 2);
  _finish (&cluster);
  return 0;
}
