/*
 * Replays a random "config" stream on several replicas that get its records
 * in any order, twice, and after truncation of the log with snapshots.
 *
 * The oracle is a reference replay that gets every record in order. Checks:
 * - a replica that applied the same prefix holds the same state,
 * - versions and applied offsets never go back,
 * - an accepted configuration stays until a newer one of its owner.
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

struct world
{
  struct bgap_buffer records[RECORDS_MAX + 1];
  /* Digest of the state after each offset, by the reference replay.  */
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
_documents (struct bgap_buffer *out, const char *owner, unsigned variant)
{
  const unsigned servers = 1 + variant % 3;
  /* Some variants collide with other owners or do not validate.  */
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
_check_monotonic (struct world *world, int i)
{
  const struct bgap_config *replica = &world->replicas[i];
  CHECK (bgap_config_applied (replica) >= world->applied[i]);
  world->applied[i] = bgap_config_applied (replica);
  for (int o = 0; o < OWNERS; o++)
    {
      const int64_t version = bgap_config_version (replica, owners[o]);
      CHECK (version >= world->versions[i][o]);
      CHECK (version <= bgap_config_applied (replica));
      world->versions[i][o] = version;
    }
}

static void
_check_state (struct world *world, int i)
{
  const struct bgap_config *replica = &world->replicas[i];
  const int64_t applied = bgap_config_applied (replica);
  struct bgap_buffer state = { 0 };
  CHECK (bgap_config_snapshot_data (replica, &state) == BGAP_OK);
  CHECK (strcmp (state.data, world->states[applied].data) == 0);
  bgap_buffer_shutdown (&state);
  if (applied != world->end - 1)
    return;
  struct bgap_buffer diff = { 0 };
  CHECK (bgap_resource_diff (bgap_config_resources (&world->reference),
                             bgap_config_resources (replica), &diff)
         == BGAP_OK);
  CHECK (diff.size == 0);
  bgap_buffer_shutdown (&diff);
}

static enum bgap_config_result
_deliver (struct world *world, int i, int64_t offset)
{
  struct bgap_config_event event = { 0 };
  const struct bgap_buffer *record = &world->records[offset];
  CHECK (bgap_config_apply (&world->replicas[i], offset, record->data,
                            record->size, &event)
         == BGAP_OK);
  const enum bgap_config_result result = event.result;
  bgap_config_event_shutdown (&event);
  _check_monotonic (world, i);
  if (result == BGAP_CONFIG_ACCEPTED || result == BGAP_CONFIG_INSTALLED)
    _check_state (world, i);
  return result;
}

/* Appends the prepared record and applies it to the reference replay.  */
static void
_append (struct world *world)
{
  const int64_t offset = world->end++;
  struct bgap_buffer *record = &world->records[offset];
  struct bgap_config_event event = { 0 };
  int64_t before[OWNERS];
  for (int o = 0; o < OWNERS; o++)
    before[o] = bgap_config_version (&world->reference, owners[o]);
  CHECK (bgap_config_apply (&world->reference, offset, record->data,
                            record->size, &event)
         == BGAP_OK);
  for (int o = 0; o < OWNERS; o++)
    {
      const bool accepted = event.result == BGAP_CONFIG_ACCEPTED
                            && strcmp (event.owner, owners[o]) == 0;
      CHECK (bgap_config_version (&world->reference, owners[o])
             == (accepted ? offset : before[o]));
      if (strcmp (event.owner, owners[o]) == 0)
        CHECK ((event.result == BGAP_CONFIG_STALE)
               == (event.based_on != before[o]));
    }
  CHECK ((event.result == BGAP_CONFIG_REFUSED)
         == !bgap_findings_empty (&event.findings));
  bgap_config_event_shutdown (&event);
  CHECK (bgap_config_snapshot_data (&world->reference, &world->states[offset])
         == BGAP_OK);
}

static void
_append_change (struct world *world, uint8_t argument)
{
  const char *owner = owners[argument % OWNERS];
  int64_t based_on = bgap_config_version (&world->reference, owner);
  /* Every eighth change lost a race.  */
  if (argument % 8 == 7)
    based_on = based_on / 2;
  struct bgap_buffer documents = { 0 };
  _documents (&documents, owner, 1 + argument / OWNERS);
  CHECK (bgap_config_encode (owner, based_on, documents.data, "op",
                             &world->records[world->end])
         == BGAP_OK);
  bgap_buffer_shutdown (&documents);
  _append (world);
}

static void
_append_snapshot (struct world *world, uint8_t argument)
{
  /* Sometimes as of an earlier offset, or with an equal id.  */
  int64_t as_of = bgap_config_applied (&world->reference);
  if (argument % 4 == 3)
    as_of = 1 + argument / 4 % as_of;
  char id[24];
  snprintf (id, sizeof id, "s-%d", argument % 8 == 7 ? 0 : (int)world->end);
  const struct bgap_buffer *state = &world->states[as_of];
  const uint32_t parts = bgap_config_snapshot_parts (state->size);
  for (uint32_t part = 0; part < parts && world->end <= RECORDS_MAX; part++)
    {
      struct bgap_buffer *record = &world->records[world->end];
      CHECK (bgap_config_snapshot_record (id, as_of, part, state, record)
             == BGAP_OK);
      /* A damaged part must not become the state.  */
      char *mark = strstr (record->data, "deadline_ms: ");
      if (argument % 16 == 9 && mark != NULL)
        mark[strlen ("deadline_ms: ")] ^= 1;
      /* A part whose answer was lost is appended again.  */
      if (argument % 16 == 5 && part == 0 && world->end < RECORDS_MAX)
        {
          CHECK (bgap_buffer_append (&world->records[world->end + 1],
                                     record->data, record->size)
                 == BGAP_OK);
          _append (world);
        }
      _append (world);
    }
}

static void
_append_bytes (struct world *world, const uint8_t *data, size_t size)
{
  CHECK (bgap_buffer_append (&world->records[world->end], data, size)
         == BGAP_OK);
  _append (world);
}

/* Lets a replica read on as the daemon does.  */
static void
_read (struct world *world, int i, int steps)
{
  struct bgap_config *replica = &world->replicas[i];
  while (steps-- > 0)
    {
      const int64_t next = bgap_config_next (replica);
      if (next >= world->end)
        return;
      if (next < world->first)
        CHECK (bgap_config_truncated (replica, world->first) == BGAP_OK);
      else
        _deliver (world, i, next);
    }
}

/* State transfer from a peer instead of the log.  */
static void
_install (struct world *world, int i, uint8_t argument)
{
  if (bgap_config_applied (&world->reference) == 0)
    return;
  const int64_t as_of = 1 + argument % bgap_config_applied (&world->reference);
  const struct bgap_buffer *state = &world->states[as_of];
  const int64_t applied = bgap_config_applied (&world->replicas[i]);
  enum bgap_status status = bgap_config_install (
      &world->replicas[i], state->data, state->size, NULL);
  CHECK (status == (as_of > applied ? BGAP_OK : BGAP_ERR_STALE));
  _check_monotonic (world, i);
  _check_state (world, i);
}

static void
_step (struct world *world, uint8_t kind, uint8_t argument,
       const uint8_t *rest, size_t rest_size)
{
  const int i = kind / 8 % REPLICAS;
  const bool room = world->end <= RECORDS_MAX && !world->reference.blocked;
  switch (kind % 8)
    {
    case 0:
    case 1:
      if (room)
        _append_change (world, argument);
      break;
    case 2:
      if (room && world->end > 1)
        _append_snapshot (world, argument);
      break;
    case 3:
      if (room)
        _append_bytes (world, rest,
                       rest_size < argument ? rest_size : argument);
      break;
    case 4:
      _read (world, i, 1 + argument % 32);
      break;
    case 5:
      /* Any record, in any order and any number of times.  */
      if (world->end > 1)
        _deliver (world, i, 1 + argument % (world->end - 1));
      break;
    case 6:
      if (world->first + argument % 8 <= world->end)
        world->first += argument % 8;
      break;
    default:
      _install (world, i, argument);
      break;
    }
}

static void
_finish (struct world *world)
{
  /* With a snapshot at the end every replica catches up.  */
  const int64_t last = world->end - 1;
  const uint32_t parts
      = last > 0 ? bgap_config_snapshot_parts (world->states[last].size) : 0;
  if (parts > 0 && last + parts <= RECORDS_MAX && !world->reference.blocked)
    {
      for (uint32_t part = 0; part < parts; part++)
        {
          CHECK (bgap_config_snapshot_record ("last", last, part,
                                              &world->states[last],
                                              &world->records[world->end])
                 == BGAP_OK);
          _append (world);
        }
      for (int i = 0; i < REPLICAS; i++)
        {
          _read (world, i, 8 * RECORDS_MAX);
          CHECK (bgap_config_applied (&world->replicas[i]) == world->end - 1);
        }
    }
  for (int i = 0; i < REPLICAS; i++)
    {
      _check_state (world, i);
      bgap_config_shutdown (&world->replicas[i]);
    }
  bgap_config_shutdown (&world->reference);
  for (int64_t i = 0; i <= RECORDS_MAX; i++)
    {
      bgap_buffer_shutdown (&world->records[i]);
      bgap_buffer_shutdown (&world->states[i]);
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static struct world world;
  world = (struct world){ .end = 1, .first = 1 };
  _setup (&world.reference);
  for (int i = 0; i < REPLICAS; i++)
    _setup (&world.replicas[i]);
  CHECK (bgap_config_snapshot_data (&world.reference, &world.states[0])
         == BGAP_OK);
  for (size_t i = 0; i + 1 < size && i < 320; i += 2)
    _step (&world, data[i], data[i + 1], data + i + 2, size - i - 2);
  _finish (&world);
  return 0;
}
