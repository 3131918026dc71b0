#include "replica_private.h"

#include <stdlib.h>
#include <string.h>

enum bgap_status
bgap_replica_setup (struct bgap_replica **replica,
                    const struct bgap_replica_desc *desc)
{
  (void)desc;
  struct bgap_replica *created = calloc (1, sizeof *created);
  if (created == NULL)
    return BGAP_ERR_NO_MEMORY;
  *replica = created;
  return BGAP_OK;
}

void
bgap_replica_shutdown (struct bgap_replica *replica)
{
  if (replica == NULL)
    return;
  bgap_replica_state_shutdown (&replica->state);
  free (replica);
}

/* A replica must stop at a record that it cannot apply but others may. If it
   continued, two instances could disagree about a holder.  */
static enum bgap_status
_bgap_replica_stop (struct bgap_replica *replica, struct bgap_error *err,
                    const char *reason)
{
  replica->stopped = true;
  return bgap_error_set (err, BGAP_ERR_UNAVAILABLE,
                         "replay stopped after offset %llu: %s",
                         (unsigned long long)replica->state.applied, reason);
}

enum bgap_status
bgap_replica_apply (struct bgap_replica *replica, uint64_t offset,
                    const void *bytes, size_t size,
                    enum bgap_record_verdict *verdict, struct bgap_error *err)
{
  struct bgap_replica_state *state = &replica->state;
  if (offset <= state->applied)
    return bgap_error_set (err, BGAP_ERR_STALE,
                           "offset %llu has already been applied",
                           (unsigned long long)offset);
  if (offset != state->applied + 1)
    return bgap_error_set (
        err, BGAP_ERR_INVALID, "offset %llu does not follow offset %llu",
        (unsigned long long)offset, (unsigned long long)state->applied);
  if (replica->stopped)
    return _bgap_replica_stop (replica, err,
                               "the replica stopped at an earlier record");
  struct bgap_record record;
  enum bgap_status status = bgap_record_parse (bytes, size, &record, err);
  if (status == BGAP_ERR_NO_MEMORY)
    return _bgap_replica_stop (replica, err, "out of memory");
  *verdict = BGAP_MALFORMED;
  if (status == BGAP_OK && record.schema > BGAP_RECORD_SCHEMA)
    return _bgap_replica_stop (replica, err,
                               "the next record has a newer schema");
  if (status == BGAP_OK)
    {
      status = bgap_replica_apply_record (state, offset, &record, verdict);
      bgap_record_shutdown (&record);
      if (status != BGAP_OK)
        return _bgap_replica_stop (replica, err, "out of memory");
    }
  state->applied = offset;
  return BGAP_OK;
}

uint64_t
bgap_replica_applied (const struct bgap_replica *replica)
{
  return replica->state.applied;
}

bool
bgap_replica_stopped (const struct bgap_replica *replica)
{
  return replica->stopped;
}

const struct bgap_scope *
bgap_replica_scope (const struct bgap_replica *replica, const char *service)
{
  for (uint32_t i = 0; i < replica->state.scope_count; i++)
    if (strcmp (replica->state.scopes[i]->name, service) == 0)
      return replica->state.scopes[i];
  return NULL;
}

const struct bgap_scope *
bgap_replica_scope_at (const struct bgap_replica *replica, uint32_t index)
{
  return index < replica->state.scope_count ? replica->state.scopes[index]
                                            : NULL;
}

const char *
bgap_replica_holder_name (const struct bgap_replica *replica, uint16_t holder)
{
  return holder < replica->state.holder_count
             ? bgap_replica_state_holder_name (&replica->state, holder)
             : "";
}

int32_t
bgap_replica_holder_find (const struct bgap_replica *replica, const char *name)
{
  for (uint32_t i = 0; i < replica->state.holder_count; i++)
    if (strcmp (bgap_replica_state_holder_name (&replica->state, i), name)
        == 0)
      return (int32_t)i;
  return -1;
}

const struct bgap_witness_set *
bgap_replica_witnesses (const struct bgap_replica *replica)
{
  return &replica->state.witnesses;
}

const struct bgap_witness_set *
bgap_replica_witnesses_previous (const struct bgap_replica *replica)
{
  return &replica->state.previous;
}

uint64_t
bgap_replica_forced (const struct bgap_replica *replica)
{
  return replica->state.forced;
}
