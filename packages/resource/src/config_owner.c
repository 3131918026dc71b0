#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config_state.h"

/* Upper bound of an owner's bytes in a snapshot other than its documents:
   names, operator (up to 12 bytes per escaped character), version and
   punctuation.  */
#define OWNER_OVERHEAD 1024

/* Upper bound of the bytes of one service's slices in a snapshot.  */
#define SLICES_OVERHEAD 112

struct bgap_config_owner *
bgap_config_find_owner (const struct bgap_config *config, const char *owner)
{
  for (uint32_t i = 0; i < config->owner_count; i++)
    if (strcmp (config->owners[i].name, owner) == 0)
      return &config->owners[i];
  return NULL;
}

void
bgap_config_owner_free (struct bgap_config_owner *owner)
{
  for (uint32_t i = 0; i < owner->change_count; i++)
    free (owner->changes[i].text);
  free (owner->documents);
  free (owner->slices);
}

void
bgap_config_owners_free (struct bgap_config_owner *owners, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    bgap_config_owner_free (&owners[i]);
  free (owners);
}

/* Truncates a description after a whole line.  */
static char *
_bgap_config_truncate_text (const char *text)
{
  static const char more[] = "... (more)\n";
  size_t length = strlen (text);
  if (length < BGAP_CONFIG_CHANGE_SIZE)
    return strdup (text);
  length = BGAP_CONFIG_CHANGE_SIZE - sizeof more;
  while (length > 0 && text[length - 1] != '\n')
    length--;
  char *copy = malloc (length + sizeof more);
  if (copy != NULL)
    snprintf (copy, length + sizeof more, "%.*s%s", (int)length, text, more);
  return copy;
}

enum bgap_status
bgap_config_add_change (struct bgap_config_owner *owner,
                        const struct bgap_config_change *change)
{
  char *text = _bgap_config_truncate_text (change->text);
  if (text == NULL)
    return BGAP_ERR_NO_MEMORY;
  if (owner->change_count == BGAP_CONFIG_CHANGES_MAX)
    {
      free (owner->changes[0].text);
      memmove (owner->changes, owner->changes + 1,
               (BGAP_CONFIG_CHANGES_MAX - 1) * sizeof *owner->changes);
      owner->change_count--;
    }
  owner->changes[owner->change_count] = *change;
  owner->changes[owner->change_count++].text = text;
  return BGAP_OK;
}

size_t
bgap_config_encoded_size (const char *documents, uint32_t services)
{
  size_t size = OWNER_OVERHEAD + (size_t)services * SLICES_OVERHEAD;
  for (const unsigned char *c = (const unsigned char *)documents; *c; c++)
    {
      /* Continuation bytes are counted with the first byte of their character.
         Control and non-ASCII characters become an escape of 6 bytes, or of 12
         outside the Basic Multilingual Plane.  */
      if (*c >= 0x80 && *c < 0xc0)
        continue;
      if (*c >= 0xf0)
        size += 12;
      else if (*c < 0x20 || *c >= 0x7f)
        size += 6;
      else
        size += *c == '"' || *c == '\\' || *c == '/' ? 2 : 1;
    }
  return size;
}

enum bgap_status
bgap_config_changed_since (const struct bgap_config *config, const char *owner,
                           int64_t based_on, struct bgap_buffer *out)
{
  const struct bgap_config_owner *entry
      = bgap_config_find_owner (config, owner);
  if (entry == NULL)
    return BGAP_OK;
  uint32_t i = 0;
  while (i < entry->change_count && entry->changes[i].version <= based_on)
    i++;
  enum bgap_status status = BGAP_OK;
  const bool known
      = i < entry->change_count && entry->changes[i].previous <= based_on;
  if (!known && entry->version > based_on)
    status = bgap_buffer_printf (
        out, "the changes directly after version %lld are no longer known\n",
        (long long)based_on);
  for (; i < entry->change_count && status == BGAP_OK; i++)
    {
      const struct bgap_config_change *change = &entry->changes[i];
      status = bgap_buffer_printf (out, "version %lld by %s:\n%s",
                                   (long long)change->version,
                                   change->operator, change->text);
    }
  return status;
}
