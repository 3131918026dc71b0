#include "positions.h"

#include <stdlib.h>

#include "text.h"

#define MIN_CAPACITY 64

struct bgap_position
{
  struct bgap_position_key key;
  uint32_t file;
  uint32_t line;
  uint32_t column;
};

enum bgap_status
bgap_positions_add_file (struct bgap_resource_positions *positions,
                         const char *file)
{
  void *files = realloc (positions->files, (positions->file_count + 1)
                                               * sizeof *positions->files);
  if (files == NULL)
    return BGAP_ERR_NO_MEMORY;
  positions->files = files;
  bgap_text_copy (positions->files[positions->file_count],
                  BGAP_FINDING_FILE_SIZE, file);
  positions->file_count++;
  return BGAP_OK;
}

enum bgap_status
bgap_positions_add (struct bgap_resource_positions *positions,
                    const struct bgap_position_key *key, uint32_t line,
                    uint32_t column)
{
  if (positions->count == positions->capacity)
    {
      uint32_t capacity
          = positions->capacity ? positions->capacity * 2 : MIN_CAPACITY;
      struct bgap_position *items
          = realloc (positions->items, capacity * sizeof *items);
      if (items == NULL)
        return BGAP_ERR_NO_MEMORY;
      positions->items = items;
      positions->capacity = capacity;
    }
  positions->items[positions->count++] = (struct bgap_position){
    .key = *key,
    .file = positions->file_count - 1,
    .line = line,
    .column = column,
  };
  return BGAP_OK;
}

static bool
_bgap_positions_keys_equal (const struct bgap_position_key *a,
                            const struct bgap_position_key *b)
{
  return a->kind == b->kind && a->index == b->index && a->element == b->element
         && a->field == b->field;
}

static const struct bgap_position *
_bgap_positions_search (const struct bgap_resource_positions *positions,
                        const struct bgap_position_key *key)
{
  for (uint32_t i = 0; i < positions->count; i++)
    if (_bgap_positions_keys_equal (&positions->items[i].key, key))
      return &positions->items[i];
  return NULL;
}

void
bgap_positions_find (const struct bgap_resource_positions *positions,
                     const struct bgap_position_key *key,
                     struct bgap_finding *finding)
{
  if (positions == NULL)
    return;
  struct bgap_position_key whole = *key;
  whole.field = BGAP_POSITION_RESOURCE;
  const struct bgap_position *position
      = _bgap_positions_search (positions, key);
  if (position == NULL)
    position = _bgap_positions_search (positions, &whole);
  if (position == NULL)
    return;
  bgap_text_copy (finding->file, sizeof finding->file,
                  positions->files[position->file]);
  finding->line = position->line;
  finding->column = position->column;
}

void
bgap_positions_truncate (struct bgap_resource_positions *positions,
                         uint32_t count)
{
  positions->count = count;
}

void
bgap_positions_free (struct bgap_resource_positions *positions)
{
  if (positions == NULL)
    return;
  free (positions->items);
  free (positions->files);
  free (positions);
}
