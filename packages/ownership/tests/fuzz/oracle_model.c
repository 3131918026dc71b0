#include "oracle_model.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/base/hash.h"

void
bgap_model_shutdown (struct bgap_model *m)
{
  for (uint32_t i = 0; i < BGAP_MODEL_SCOPES; i++)
    free (m->scopes[i].slices);
  free (m->fingerprints);
}

static struct bgap_model_scope *
_bgap_model_find_scope (struct bgap_model *m, const char *name)
{
  for (uint32_t i = 0; i < BGAP_MODEL_SCOPES; i++)
    if (strcmp (m->scopes[i].name, name) == 0)
      return &m->scopes[i];
  for (uint32_t i = 0; i < BGAP_MODEL_SCOPES; i++)
    if (m->scopes[i].name[0] == '\0')
      return &m->scopes[i];
  return NULL;
}

static struct bgap_model_key *
_bgap_model_find_key (struct bgap_model_scope *scope, const char *hex)
{
  for (uint32_t i = 0; i < scope->key_count; i++)
    if (strcmp (scope->keys[i].hex, hex) == 0)
      return &scope->keys[i];
  return NULL;
}

uint32_t
bgap_model_slice_of_hex (const char *hex, uint32_t slice_count)
{
  unsigned char key[BGAP_MODEL_KEY_HEX_SIZE / 2];
  size_t size = strlen (hex) / 2;
  for (size_t i = 0; i < size; i++)
    {
      char digits[3] = { hex[2 * i], hex[2 * i + 1], '\0' };
      key[i] = (unsigned char)strtoul (digits, NULL, 16);
    }
  return (uint32_t)(bgap_hash64 (key, size) % slice_count);
}

const struct bgap_model_entry *
bgap_model_find (const struct bgap_model *m, const char *service,
                 const char *hex, uint32_t slice)
{
  for (uint32_t i = 0; i < BGAP_MODEL_SCOPES; i++)
    {
      const struct bgap_model_scope *scope = &m->scopes[i];
      if (strcmp (scope->name, service) != 0 || slice >= scope->slice_count)
        continue;
      for (uint32_t k = 0; k < scope->key_count; k++)
        if (strcmp (scope->keys[k].hex, hex) == 0)
          return &scope->keys[k].entry;
      return &scope->slices[slice];
    }
  return NULL;
}

static bool
_bgap_model_is_member (char members[][BGAP_MODEL_NAME_SIZE], uint32_t count,
                       const char *name)
{
  for (uint32_t i = 0; i < count; i++)
    if (strcmp (members[i], name) == 0)
      return true;
  return false;
}

static bool
_bgap_model_apply_witnesses (struct bgap_model *m, const json_t *record,
                             uint64_t offset)
{
  const json_t *names = json_object_get (record, "members");
  char next[BGAP_MODEL_MEMBERS][BGAP_MODEL_NAME_SIZE] = { { 0 } };
  uint32_t count = (uint32_t)json_array_size (names);
  if (count == 0 || count > BGAP_MODEL_MEMBERS)
    return false;
  uint32_t joined = 0;
  uint32_t kept = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      snprintf (next[i], sizeof next[i], "%s",
                json_string_value (json_array_get (names, i)));
      if (_bgap_model_is_member (m->members, m->member_count, next[i]))
        kept++;
      else
        joined++;
    }
  uint32_t left = m->member_count - kept;
  const json_t *in_force = json_object_get (record, "in_force");
  if (m->witnesses != 0 && !json_is_true (json_object_get (record, "forced"))
      && (uint64_t)json_integer_value (in_force) != m->witnesses)
    return false;
  if (m->witnesses != 0 && !json_is_true (json_object_get (record, "forced"))
      && (joined > 1 || left > 1 || joined + left == 0))
    return false;
  memcpy (m->members, next, sizeof next);
  m->member_count = count;
  m->witnesses = offset;
  return true;
}

/* Calls VISIT with every entry that ITEMS name. Returns false if an entry does
   not exist or is named twice, or if VISIT returns false.  */
static bool
_bgap_model_visit_items (struct bgap_model_scope *scope, uint32_t slice_count,
                         const json_t *items,
                         bool (*visit) (struct bgap_model_entry *entry,
                                        const json_t *item, uint64_t offset),
                         uint64_t offset)
{
  bool named_slices[BGAP_MODEL_SLICES] = { false };
  bool named_keys[BGAP_MODEL_KEYS] = { false };
  static struct bgap_model_entry never_granted;
  if (json_array_size (items) == 0)
    return false;
  for (size_t i = 0; i < json_array_size (items); i++)
    {
      const json_t *item = json_array_get (items, i);
      const char *hex = json_string_value (json_object_get (item, "key"));
      if (hex)
        {
          struct bgap_model_key *key = _bgap_model_find_key (scope, hex);
          if (key == NULL || named_keys[key - scope->keys]
              || !visit (&key->entry, item, offset))
            return false;
          named_keys[key - scope->keys] = true;
          continue;
        }
      json_int_t first = json_integer_value (json_object_get (item, "first"));
      json_int_t count = json_integer_value (json_object_get (item, "count"));
      for (json_int_t s = first; s < first + count; s++)
        {
          if (s < 0 || s >= slice_count || named_slices[s]
              || !visit (scope->slices ? &scope->slices[s] : &never_granted,
                         item, offset))
            return false;
          named_slices[s] = true;
        }
    }
  return true;
}

static bool
_bgap_model_is_free (struct bgap_model_entry *entry, const json_t *item,
                     uint64_t offset)
{
  (void)item;
  (void)offset;
  return entry->token == 0;
}

static bool
_bgap_model_is_held (struct bgap_model_entry *entry, const json_t *item,
                     uint64_t offset)
{
  (void)item;
  (void)offset;
  return entry->token != 0;
}

static bool
_bgap_model_assign (struct bgap_model_entry *entry, const json_t *item,
                    uint64_t offset)
{
  *entry = (struct bgap_model_entry){ .token = offset };
  snprintf (entry->holder, sizeof entry->holder, "%s",
            json_string_value (json_object_get (item, "server")));
  entry->incarnation = strtoull (
      json_string_value (json_object_get (item, "incarnation")), NULL, 16);
  return true;
}

static bool
_bgap_model_clear (struct bgap_model_entry *entry, const json_t *item,
                   uint64_t offset)
{
  (void)item;
  entry->token = 0;
  entry->revoked = offset;
  return true;
}

static bool
_bgap_model_apply_grant (struct bgap_model *m, struct bgap_model_scope *scope,
                         const char *name, const json_t *record,
                         uint64_t offset)
{
  json_int_t slices = json_integer_value (json_object_get (record, "slices"));
  const json_t *items = json_object_get (record, "items");
  if (m->witnesses == 0 || slices < 1 || slices > BGAP_MODEL_SLICES
      || (scope->slice_count && scope->slice_count != slices)
      || !_bgap_model_visit_items (scope, (uint32_t)slices, items,
                                   _bgap_model_is_free, offset))
    return false;
  if (scope->slice_count == 0)
    {
      snprintf (scope->name, sizeof scope->name, "%s", name);
      scope->slice_count = (uint32_t)slices;
      scope->slices = calloc ((size_t)slices, sizeof *scope->slices);
      if (scope->slices == NULL)
        abort ();
    }
  return _bgap_model_visit_items (scope, scope->slice_count, items,
                                  _bgap_model_assign, offset);
}

static bool
_bgap_model_apply_split (struct bgap_model_scope *scope, const char *hex)
{
  if (hex == NULL || scope->slice_count == 0
      || _bgap_model_find_key (scope, hex))
    return false;
  if (scope->key_count == BGAP_MODEL_KEYS
      || strlen (hex) >= BGAP_MODEL_KEY_HEX_SIZE)
    abort ();
  uint32_t slice = bgap_model_slice_of_hex (hex, scope->slice_count);
  struct bgap_model_key *key = &scope->keys[scope->key_count++];
  *key = (struct bgap_model_key){ .entry = scope->slices[slice] };
  snprintf (key->hex, sizeof key->hex, "%s", hex);
  return true;
}

static bool
_bgap_model_apply_merge (struct bgap_model_scope *scope, const char *hex)
{
  struct bgap_model_key *key = hex ? _bgap_model_find_key (scope, hex) : NULL;
  if (key == NULL)
    return false;
  const struct bgap_model_entry *slice
      = &scope->slices[bgap_model_slice_of_hex (hex, scope->slice_count)];
  if (key->entry.token == 0 || slice->token == 0
      || key->entry.incarnation != slice->incarnation
      || strcmp (key->entry.holder, slice->holder) != 0)
    return false;
  *key = scope->keys[--scope->key_count];
  return true;
}

static bool
_bgap_model_apply_record (struct bgap_model *m, const json_t *record,
                          const char *type, uint64_t offset)
{
  uint64_t based_on
      = (uint64_t)json_integer_value (json_object_get (record, "based_on"));
  if (strcmp (type, "witnesses") == 0)
    return based_on == m->witnesses
           && _bgap_model_apply_witnesses (m, record, offset);
  const char *name = json_string_value (json_object_get (record, "scope"));
  struct bgap_model_scope *scope
      = name ? _bgap_model_find_scope (m, name) : NULL;
  if (scope == NULL || based_on != scope->basis)
    return false;
  const json_t *items = json_object_get (record, "items");
  const char *hex = json_string_value (json_object_get (record, "key"));
  bool accepted = false;
  if (strcmp (type, "grant") == 0)
    accepted = _bgap_model_apply_grant (m, scope, name, record, offset);
  else if (strcmp (type, "revoke") == 0)
    accepted = _bgap_model_visit_items (scope, scope->slice_count, items,
                                        _bgap_model_is_held, offset)
               && _bgap_model_visit_items (scope, scope->slice_count, items,
                                           _bgap_model_clear, offset);
  else if (strcmp (type, "split") == 0)
    accepted = _bgap_model_apply_split (scope, hex);
  else if (strcmp (type, "merge") == 0)
    accepted = _bgap_model_apply_merge (scope, hex);
  if (accepted)
    scope->basis = offset;
  return accepted;
}

static void
_bgap_model_summarise (const json_t *record, const char *type, char *out,
                       size_t size)
{
  const char *scope = json_string_value (json_object_get (record, "scope"));
  const char *key = json_string_value (json_object_get (record, "key"));
  const json_t *items = json_object_get (record, "items");
  const json_t *members = json_object_get (record, "members");
  size_t used = (size_t)snprintf (out, size, "%s%s%s%s%s", type,
                                  scope ? " " : "", scope ? scope : "",
                                  key ? " key " : "", key ? key : "");
  for (size_t i = 0; i < json_array_size (members) && used < size; i++)
    used += (size_t)snprintf (out + used, size - used, " %s",
                              json_string_value (json_array_get (members, i)));
  for (size_t i = 0; i < json_array_size (items) && used < size; i++)
    {
      const json_t *item = json_array_get (items, i);
      const char *hex = json_string_value (json_object_get (item, "key"));
      const char *server
          = json_string_value (json_object_get (item, "server"));
      long first = (long)json_integer_value (json_object_get (item, "first"));
      long count = (long)json_integer_value (json_object_get (item, "count"));
      if (hex)
        used += (size_t)snprintf (out + used, size - used, " key %s", hex);
      else
        used += (size_t)snprintf (out + used, size - used, " %ld-%ld", first,
                                  first + count - 1);
      if (server && used < size)
        used += (size_t)snprintf (out + used, size - used, ":%s", server);
    }
}

bool
bgap_model_apply (struct bgap_model *m, const char *bytes, size_t size,
                  char *summary, size_t summary_size)
{
  if (m->count + 1 >= m->capacity)
    {
      m->capacity = m->capacity ? 2 * m->capacity : 64;
      m->fingerprints
          = realloc (m->fingerprints, m->capacity * sizeof (uint64_t));
      if (m->fingerprints == NULL)
        abort ();
      m->fingerprints[0] = 0;
    }
  uint64_t offset = ++m->count;
  bool accepted = false;
  snprintf (summary, summary_size, "malformed record");
  json_t *record = json_loadb (bytes, size, JSON_REJECT_DUPLICATES, NULL);
  const char *type = json_string_value (json_object_get (record, "type"));
  if (type)
    {
      accepted = _bgap_model_apply_record (m, record, type, offset);
      _bgap_model_summarise (record, type, summary, summary_size);
    }
  json_decref (record);
  m->fingerprints[offset] = bgap_model_fingerprint (m);
  return accepted;
}
