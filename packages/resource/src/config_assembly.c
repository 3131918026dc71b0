#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "banyangap/base/hash.h"
#include "banyangap/base/json.h"
#include "config_state.h"
#include "text.h"

/**
 * struct bgap_config_part_record - members of a "snapshot" record
 */
struct bgap_config_part_record
{
  const char *id;
  int64_t as_of;
  int64_t part;
  int64_t parts;
  const char *data;
  size_t size;
};

static void
_bgap_config_clear_assembly (struct bgap_config_assembly *assembly)
{
  bgap_buffer_shutdown (&assembly->data);
  *assembly = (struct bgap_config_assembly){ 0 };
}

void
bgap_config_reset_assemblies (struct bgap_config *config)
{
  for (int i = 0; i < BGAP_CONFIG_ASSEMBLIES_MAX; i++)
    _bgap_config_clear_assembly (&config->assemblies[i]);
}

static bool
_bgap_config_parse_part (const struct bgap_config *config, int64_t offset,
                         const json_t *record,
                         struct bgap_config_part_record *part)
{
  const char *checksum;
  if (bgap_json_string (record, "id", &part->id, NULL) != BGAP_OK
      || bgap_json_int (record, "as_of", &part->as_of, NULL) != BGAP_OK
      || bgap_json_int (record, "part", &part->part, NULL) != BGAP_OK
      || bgap_json_int (record, "parts", &part->parts, NULL) != BGAP_OK
      || bgap_json_string (record, "checksum", &checksum, NULL) != BGAP_OK
      || bgap_json_string (record, "data", &part->data, NULL) != BGAP_OK)
    return false;
  const int64_t parts_max
      = bgap_config_snapshot_parts (config->limits.snapshot_max);
  part->size = strlen (part->data);
  if (part->id[0] == '\0' || strlen (part->id) >= BGAP_RESOURCE_NAME_SIZE
      || part->as_of < 1 || part->as_of >= offset || part->parts < 1
      || part->parts > parts_max || part->part < 0 || part->part >= part->parts
      || part->size > BGAP_CONFIG_PART_SIZE)
    return false;
  char expected[17];
  snprintf (expected, sizeof expected, "%016" PRIx64,
            bgap_hash64 (part->data, part->size));
  return strcmp (checksum, expected) == 0;
}

/* Assembly of the snapshot that the part belongs to. Part 0 of a new snapshot
   replaces the assembly whose newest part is oldest. NULL if the start of the
   snapshot was not read.  */
static struct bgap_config_assembly *
_bgap_config_find_assembly (struct bgap_config *config,
                            const struct bgap_config_part_record *part)
{
  struct bgap_config_assembly *oldest = &config->assemblies[0];
  for (int i = 0; i < BGAP_CONFIG_ASSEMBLIES_MAX; i++)
    {
      struct bgap_config_assembly *assembly = &config->assemblies[i];
      if (strcmp (assembly->id, part->id) == 0)
        return assembly;
      if (assembly->last_offset < oldest->last_offset)
        oldest = assembly;
    }
  if (part->part != 0)
    return NULL;
  _bgap_config_clear_assembly (oldest);
  bgap_text_copy (oldest->id, sizeof oldest->id, part->id);
  oldest->as_of = part->as_of;
  oldest->parts = (uint32_t)part->parts;
  return oldest;
}

/* Completes an assembly, and installs the snapshot if one is being looked
   for and it reaches the start of the log.  */
static enum bgap_status
_bgap_config_finish_assembly (struct bgap_config *config,
                              struct bgap_config_assembly *assembly,
                              enum bgap_config_result *result)
{
  const bool wanted = !bgap_config_complete (config)
                      && assembly->as_of >= config->search_from - 1;
  if (wanted)
    {
      enum bgap_status status = bgap_config_install (
          config, assembly->data.data, assembly->data.size, NULL);
      if (status == BGAP_ERR_NO_MEMORY)
        return status;
      *result
          = status == BGAP_OK ? BGAP_CONFIG_INSTALLED : BGAP_CONFIG_IGNORED;
    }
  if (assembly->as_of > config->snapshot_as_of
      && *result != BGAP_CONFIG_IGNORED)
    config->snapshot_as_of = assembly->as_of;
  _bgap_config_clear_assembly (assembly);
  return BGAP_OK;
}

enum bgap_status
bgap_config_apply_part (struct bgap_config *config, int64_t offset,
                        const json_t *record, enum bgap_config_result *result)
{
  struct bgap_config_part_record part;
  *result = BGAP_CONFIG_IGNORED;
  if (!_bgap_config_parse_part (config, offset, record, &part))
    return BGAP_OK;
  struct bgap_config_assembly *assembly
      = _bgap_config_find_assembly (config, &part);
  if (assembly == NULL)
    return BGAP_OK;
  if (assembly->as_of != part.as_of || assembly->parts != (uint32_t)part.parts
      || part.part > assembly->next_part)
    {
      _bgap_config_clear_assembly (assembly);
      return BGAP_OK;
    }
  *result = BGAP_CONFIG_PART;
  assembly->last_offset = offset;
  /* The part was appended again because the answer to the first attempt was
     lost.  */
  if (part.part < assembly->next_part)
    return BGAP_OK;
  /* A replay with a complete state does not need the data.  */
  const size_t size = assembly->data.size;
  if (!bgap_config_complete (config)
      && bgap_buffer_append (&assembly->data, part.data, part.size) != BGAP_OK)
    return BGAP_ERR_NO_MEMORY;
  if (++assembly->next_part < assembly->parts)
    return BGAP_OK;
  enum bgap_status status
      = _bgap_config_finish_assembly (config, assembly, result);
  if (status == BGAP_ERR_NO_MEMORY)
    {
      assembly->data.size = size;
      assembly->next_part--;
    }
  return status;
}
