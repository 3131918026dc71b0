#include "banyangap/gateway/target.h"

#include <stdbool.h>
#include <string.h>

#include "percent.h"

static enum bgap_status
_bgap_target_read_name (const char *text, size_t size, char *name,
                        const char *what, struct bgap_error *err)
{
  if (size == 0 || size > BGAP_TARGET_NAME_MAX)
    return bgap_error_set (err, BGAP_ERR_INVALID,
                           "the %s in the path has %zu bytes, not 1 to %d",
                           what, size, BGAP_TARGET_NAME_MAX);
  memcpy (name, text, size);
  name[size] = '\0';
  if (strspn (name, "abcdefghijklmnopqrstuvwxyz"
                    "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-")
      != size)
    return bgap_error_set (err, BGAP_ERR_INVALID,
                           "the %s in the path has a character that is not "
                           "allowed",
                           what);
  return BGAP_OK;
}

/* Whether a segment is "." or "..", with each dot literal or encoded.  */
static bool
_bgap_target_is_dot_segment (const char *text, size_t size)
{
  size_t dots = 0;
  size_t i = 0;
  while (i < size)
    {
      if (text[i] == '.')
        i++;
      else if (size - i >= 3 && text[i] == '%' && text[i + 1] == '2'
               && (text[i + 2] == 'e' || text[i + 2] == 'E'))
        i += 3;
      else
        return false;
      dots++;
    }
  return dots == 1 || dots == 2;
}

static enum bgap_status
_bgap_target_check_segments (const char *path, size_t size,
                             struct bgap_error *err)
{
  size_t start = 0;
  for (size_t i = 0; i <= size; i++)
    {
      if (i < size && path[i] != '/')
        continue;
      if (_bgap_target_is_dot_segment (path + start, i - start))
        return bgap_error_set (err, BGAP_ERR_INVALID,
                               "the path has a dot segment");
      start = i + 1;
    }
  return BGAP_OK;
}

static enum bgap_status
_bgap_target_read_key (const char *text, size_t size,
                       struct bgap_target *target, struct bgap_error *err)
{
  enum bgap_status status = bgap_percent_decode (
      text, size, target->key, sizeof target->key, &target->key_size);
  if (status == BGAP_ERR_FULL)
    return bgap_error_set (err, BGAP_ERR_INVALID,
                           "the key has more than %d bytes",
                           BGAP_TARGET_KEY_MAX);
  if (status != BGAP_OK)
    return bgap_error_set (err, BGAP_ERR_INVALID,
                           "the key has a '%%' without two hexadecimal "
                           "digits");
  return BGAP_OK;
}

enum bgap_status
bgap_target_parse (const char *text, size_t size, struct bgap_target *target,
                   struct bgap_error *err)
{
  *target = (struct bgap_target){ 0 };
  const char *query = memchr (text, '?', size);
  size_t path_size = query ? (size_t)(query - text) : size;
  if (path_size == 0 || text[0] != '/')
    return bgap_error_set (err, BGAP_ERR_INVALID,
                           "the path does not start with '/'");
  const char *end = text + path_size;
  const char *owner = text + 1;
  const char *owner_end = memchr (owner, '/', (size_t)(end - owner));
  const char *service = owner_end ? owner_end + 1 : end;
  const char *service_end = memchr (service, '/', (size_t)(end - service));
  if (service_end == NULL)
    return bgap_error_set (err, BGAP_ERR_INVALID,
                           "the path is not /<owner>/<service>/...");
  enum bgap_status status = _bgap_target_read_name (
      owner, (size_t)(owner_end - owner), target->owner, "owner", err);
  if (status == BGAP_OK)
    status = _bgap_target_read_name (service, (size_t)(service_end - service),
                                     target->service, "service", err);
  if (status == BGAP_OK)
    status = _bgap_target_check_segments (text + 1, path_size - 1, err);
  if (status != BGAP_OK)
    return status;
  const char *key = service_end + 1;
  const char *key_end = memchr (key, '/', (size_t)(end - key));
  if (key_end == NULL)
    key_end = end;
  target->path_offset = (size_t)(service_end - text);
  target->path_size = path_size;
  return _bgap_target_read_key (key, (size_t)(key_end - key), target, err);
}
