#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "banyangap/base/hash.h"
#include "banyangap/base/json.h"
#include "config_state.h"
#include "text.h"

/**
 * struct bgap_config_chunk - members of a "snapshot" record
 */
struct bgap_config_chunk
{
  const char *id;
  int64_t as_of;
  int64_t part;
  int64_t parts;
  const char *data;
  size_t size;
};

static void
_bgap_config_clear (struct bgap_config_assembly *assembly)
{
  bgap_buffer_shutdown (&assembly->data);
  *assembly = (struct bgap_config_assembly){ 0 };
}

void
bgap_config_reset_assemblies (struct bgap_config *config)
{
  for (int i = 0; i < BGAP_CONFIG_ASSEMBLIES; i++)
    _bgap_config_clear (&config->assemblies[i]);
}

static bool
_bgap_config_chunk (const struct bgap_config *config, int64_t offset,
                    const json_t *record, struct bgap_config_chunk *chunk)
{
  const char *checksum;
  if (bgap_json_string (record, "id", &chunk->id, NULL) != BGAP_OK
      || bgap_json_int (record, "as_of", &chunk->as_of, NULL) != BGAP_OK
      || bgap_json_int (record, "part", &chunk->part, NULL) != BGAP_OK
      || bgap_json_int (record, "parts", &chunk->parts, NULL) != BGAP_OK
      || bgap_json_string (record, "checksum", &checksum, NULL) != BGAP_OK
      || bgap_json_string (record, "data", &chunk->data, NULL) != BGAP_OK)
    return false;
  const int64_t parts_max
      = bgap_config_snapshot_parts (config->limits.snapshot_max);
  chunk->size = strlen (chunk->data);
  if (chunk->id[0] == '\0' || strlen (chunk->id) >= BGAP_RESOURCE_NAME_SIZE
      || chunk->as_of < 1 || chunk->as_of >= offset || chunk->parts < 1
      || chunk->parts > parts_max || chunk->part < 0
      || chunk->part >= chunk->parts || chunk->size > BGAP_CONFIG_CHUNK_SIZE)
    return false;
  char expected[17];
  snprintf (expected, sizeof expected, "%016" PRIx64,
            bgap_hash64 (chunk->data, chunk->size));
  return strcmp (checksum, expected) == 0;
}

/* Slot of the chunk's snapshot; part 0 of a new one replaces the slot whose
   last part is oldest. NULL if the snapshot's start was not seen.  */
static struct bgap_config_assembly *
_bgap_config_slot (struct bgap_config *config,
                   const struct bgap_config_chunk *chunk)
{
  struct bgap_config_assembly *oldest = &config->assemblies[0];
  for (int i = 0; i < BGAP_CONFIG_ASSEMBLIES; i++)
    {
      struct bgap_config_assembly *slot = &config->assemblies[i];
      if (strcmp (slot->id, chunk->id) == 0)
        return slot;
      if (slot->last < oldest->last)
        oldest = slot;
    }
  if (chunk->part != 0)
    return NULL;
  _bgap_config_clear (oldest);
  bgap_text_copy (oldest->id, sizeof oldest->id, chunk->id);
  oldest->as_of = chunk->as_of;
  oldest->parts = (uint32_t)chunk->parts;
  return oldest;
}

/* Handles the last part: a search for a snapshot may end here.  */
static enum bgap_status
_bgap_config_finish (struct bgap_config *config,
                     struct bgap_config_assembly *slot,
                     enum bgap_config_result *result)
{
  const bool wanted = !bgap_config_complete (config)
                      && slot->as_of >= config->search_from - 1;
  if (wanted)
    {
      enum bgap_status status = bgap_config_install (config, slot->data.data,
                                                     slot->data.size, NULL);
      if (status == BGAP_ERR_NO_MEMORY)
        return status;
      *result
          = status == BGAP_OK ? BGAP_CONFIG_INSTALLED : BGAP_CONFIG_IGNORED;
    }
  if (slot->as_of > config->snapshot_as_of && *result != BGAP_CONFIG_IGNORED)
    config->snapshot_as_of = slot->as_of;
  _bgap_config_clear (slot);
  return BGAP_OK;
}

enum bgap_status
bgap_config_part (struct bgap_config *config, int64_t offset,
                  const json_t *record, enum bgap_config_result *result)
{
  struct bgap_config_chunk chunk;
  *result = BGAP_CONFIG_IGNORED;
  if (!_bgap_config_chunk (config, offset, record, &chunk))
    return BGAP_OK;
  struct bgap_config_assembly *slot = _bgap_config_slot (config, &chunk);
  if (slot == NULL)
    return BGAP_OK;
  if (slot->as_of != chunk.as_of || slot->parts != (uint32_t)chunk.parts
      || chunk.part > slot->next)
    {
      _bgap_config_clear (slot);
      return BGAP_OK;
    }
  *result = BGAP_CONFIG_PART;
  slot->last = offset;
  /* A part that was appended again because its answer was lost.  */
  if (chunk.part < slot->next)
    return BGAP_OK;
  /* A replay with all records needs no data.  */
  const size_t size = slot->data.size;
  if (!bgap_config_complete (config)
      && bgap_buffer_append (&slot->data, chunk.data, chunk.size) != BGAP_OK)
    return BGAP_ERR_NO_MEMORY;
  if (++slot->next < slot->parts)
    return BGAP_OK;
  enum bgap_status status = _bgap_config_finish (config, slot, result);
  if (status == BGAP_ERR_NO_MEMORY)
    {
      slot->data.size = size;
      slot->next--;
    }
  return status;
}
