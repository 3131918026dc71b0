#include "files.h"

#include <dirent.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

/* Largest number of files of one command.  */
#define FILES_MAX 1000

/* Largest size of a file in bytes; the default limit of the parser.  */
#define FILE_SIZE_MAX (1024L * 1024)

static enum bgap_status
_bgap_ctl_read_file (const char *path, struct bgap_buffer *out,
                     struct bgap_error *err)
{
  char bytes[4096];
  size_t size;
  FILE *file = fopen (path, "rb");
  if (file == NULL)
    return bgap_error_set (err, BGAP_ERR_IO, "cannot open %s: %s", path,
                           strerror (errno));
  enum bgap_status status = BGAP_OK;
  while (status == BGAP_OK
         && (size = fread (bytes, 1, sizeof bytes, file)) > 0)
    {
      status = bgap_buffer_append (out, bytes, size);
      if (out->size > FILE_SIZE_MAX)
        status = bgap_error_set (err, BGAP_ERR_FULL,
                                 "%s is larger than %ld "
                                 "bytes",
                                 path, FILE_SIZE_MAX);
    }
  if (status == BGAP_OK && ferror (file))
    status = bgap_error_set (err, BGAP_ERR_IO, "cannot read %s", path);
  fclose (file);
  return status;
}

static uint32_t
_bgap_ctl_count_lines (const struct bgap_buffer *text)
{
  uint32_t lines = 0;
  for (size_t i = 0; i < text->size; i++)
    lines += text->data[i] == '\n';
  return lines;
}

/* Appends a file to the joined text, after a "---" line that starts a YAML
   document.  */
static enum bgap_status
_bgap_ctl_append_file (struct bgap_ctl_files *files, const char *path,
                       const struct bgap_buffer *text)
{
  const char *end
      = text->size > 0 && text->data[text->size - 1] == '\n' ? "" : "\n";
  if (bgap_buffer_printf (&files->text, "---\n") != BGAP_OK)
    return BGAP_ERR_NO_MEMORY;
  struct bgap_ctl_file *file = &files->files[files->file_count];
  file->first_line = _bgap_ctl_count_lines (&files->text) + 1;
  file->path = strdup (path);
  if (file->path == NULL)
    return BGAP_ERR_NO_MEMORY;
  files->file_count++;
  if (bgap_buffer_append (&files->text, text->data, text->size) != BGAP_OK)
    return BGAP_ERR_NO_MEMORY;
  return bgap_buffer_printf (&files->text, "%s", end);
}

static enum bgap_status
_bgap_ctl_add_file (struct bgap_ctl_files *files, const char *path,
                    struct bgap_error *err)
{
  if (files->file_count == FILES_MAX)
    return bgap_error_set (err, BGAP_ERR_FULL, "more than %d files",
                           FILES_MAX);
  struct bgap_buffer text = { 0 };
  enum bgap_status status = _bgap_ctl_read_file (path, &text, err);
  if (status == BGAP_OK)
    status = _bgap_ctl_append_file (files, path, &text);
  if (status == BGAP_OK)
    {
      status = bgap_resource_parse (&files->set, text.data ? text.data : "",
                                    text.size, path, &files->findings);
      if (status == BGAP_ERR_INVALID)
        status = BGAP_OK;
    }
  bgap_buffer_shutdown (&text);
  return status;
}

static int
_bgap_ctl_is_yaml (const struct dirent *entry)
{
  const char *dot = strrchr (entry->d_name, '.');
  return dot != NULL && dot != entry->d_name
         && (strcmp (dot, ".yaml") == 0 || strcmp (dot, ".yml") == 0);
}

static enum bgap_status
_bgap_ctl_add_folder (struct bgap_ctl_files *files, const char *folder,
                      struct bgap_error *err)
{
  struct dirent **entries;
  const int count = scandir (folder, &entries, _bgap_ctl_is_yaml, alphasort);
  if (count < 0)
    return bgap_error_set (err, BGAP_ERR_IO, "cannot open %s: %s", folder,
                           strerror (errno));
  enum bgap_status status = BGAP_OK;
  if (count == 0)
    status = bgap_error_set (err, BGAP_ERR_NOT_FOUND,
                             "folder %s has no .yaml file", folder);
  for (int i = 0; i < count; i++)
    {
      struct bgap_buffer path = { 0 };
      if (status == BGAP_OK)
        status
            = bgap_buffer_printf (&path, "%s/%s", folder, entries[i]->d_name);
      if (status == BGAP_OK)
        status = _bgap_ctl_add_file (files, path.data, err);
      bgap_buffer_shutdown (&path);
      free (entries[i]);
    }
  free (entries);
  return status;
}

static void
_bgap_ctl_find_owner (struct bgap_ctl_files *files)
{
  if (files->set.owner_count == 1)
    memcpy (files->owner, files->set.owners[0].name, sizeof files->owner);
}

enum bgap_status
bgap_ctl_files_load (struct bgap_ctl_files *files, char **paths, int count,
                     struct bgap_error *err)
{
  const struct bgap_resource_set_desc desc = { 0 };
  *files = (struct bgap_ctl_files){ 0 };
  files->files = calloc (FILES_MAX, sizeof *files->files);
  enum bgap_status status = bgap_resource_set_setup (&files->set, &desc);
  if (files->files == NULL)
    status = BGAP_ERR_NO_MEMORY;
  for (int i = 0; i < count && status == BGAP_OK; i++)
    {
      struct stat info;
      if (stat (paths[i], &info) == 0 && S_ISDIR (info.st_mode))
        status = _bgap_ctl_add_folder (files, paths[i], err);
      else
        status = _bgap_ctl_add_file (files, paths[i], err);
    }
  if (status == BGAP_OK
      && bgap_resource_validate (&files->set, &files->findings)
             == BGAP_ERR_NO_MEMORY)
    status = BGAP_ERR_NO_MEMORY;
  if (status == BGAP_ERR_NO_MEMORY)
    bgap_error_set (err, status, "out of memory");
  bgap_findings_sort (&files->findings);
  _bgap_ctl_find_owner (files);
  return status;
}

void
bgap_ctl_files_locate (const struct bgap_ctl_files *files,
                       struct bgap_findings *findings)
{
  for (uint32_t i = 0; i < findings->count; i++)
    {
      struct bgap_finding *finding = &findings->items[i];
      for (uint32_t j = files->file_count; j > 0; j--)
        {
          const struct bgap_ctl_file *file = &files->files[j - 1];
          if (finding->line < file->first_line)
            continue;
          snprintf (finding->file, sizeof finding->file, "%s", file->path);
          finding->line -= file->first_line - 1;
          break;
        }
    }
}

void
bgap_ctl_files_shutdown (struct bgap_ctl_files *files)
{
  for (uint32_t i = 0; i < files->file_count; i++)
    free (files->files[i].path);
  free (files->files);
  bgap_buffer_shutdown (&files->text);
  bgap_resource_set_shutdown (&files->set);
  bgap_findings_shutdown (&files->findings);
}
