#include "marks.h"

#include <stdlib.h>

#include "text.h"

#define MIN_CAPACITY 64

struct bgap_mark
{
  struct bgap_mark_key key;
  uint32_t file;
  uint32_t line;
  uint32_t column;
};

enum bgap_status
bgap_marks_add_file (struct bgap_resource_marks *marks, const char *file)
{
  void *files
      = realloc (marks->files, (marks->file_count + 1) * sizeof *marks->files);
  if (files == NULL)
    return BGAP_ERR_NO_MEMORY;
  marks->files = files;
  bgap_text_copy (marks->files[marks->file_count], BGAP_FINDING_FILE_SIZE,
                  file);
  marks->file_count++;
  return BGAP_OK;
}

enum bgap_status
bgap_marks_add (struct bgap_resource_marks *marks,
                const struct bgap_mark_key *key, uint32_t line,
                uint32_t column)
{
  if (marks->count == marks->capacity)
    {
      uint32_t capacity = marks->capacity ? marks->capacity * 2 : MIN_CAPACITY;
      struct bgap_mark *items
          = realloc (marks->items, capacity * sizeof *items);
      if (items == NULL)
        return BGAP_ERR_NO_MEMORY;
      marks->items = items;
      marks->capacity = capacity;
    }
  marks->items[marks->count++] = (struct bgap_mark){
    .key = *key,
    .file = marks->file_count - 1,
    .line = line,
    .column = column,
  };
  return BGAP_OK;
}

static bool
_bgap_marks_matches (const struct bgap_mark_key *a,
                     const struct bgap_mark_key *b)
{
  return a->kind == b->kind && a->index == b->index && a->element == b->element
         && a->field == b->field;
}

static const struct bgap_mark *
_bgap_marks_search (const struct bgap_resource_marks *marks,
                    const struct bgap_mark_key *key)
{
  for (uint32_t i = 0; i < marks->count; i++)
    if (_bgap_marks_matches (&marks->items[i].key, key))
      return &marks->items[i];
  return NULL;
}

void
bgap_marks_find (const struct bgap_resource_marks *marks,
                 const struct bgap_mark_key *key, struct bgap_finding *finding)
{
  if (marks == NULL)
    return;
  struct bgap_mark_key whole = *key;
  whole.field = BGAP_MARK_WHOLE;
  const struct bgap_mark *mark = _bgap_marks_search (marks, key);
  if (mark == NULL)
    mark = _bgap_marks_search (marks, &whole);
  if (mark == NULL)
    return;
  bgap_text_copy (finding->file, sizeof finding->file,
                  marks->files[mark->file]);
  finding->line = mark->line;
  finding->column = mark->column;
}

void
bgap_marks_drop (struct bgap_resource_marks *marks, uint32_t count)
{
  marks->count = count;
}

void
bgap_marks_free (struct bgap_resource_marks *marks)
{
  if (marks == NULL)
    return;
  free (marks->items);
  free (marks->files);
  free (marks);
}
