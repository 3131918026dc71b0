#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/gateway/target.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct bgap_target target;
  struct bgap_error err = { 0 };
  const char *text = (const char *)data;
  if (bgap_target_parse (text, size, &target, &err) != BGAP_OK)
    {
      if (err.message[0] == '\0')
        abort ();
      return 0;
    }
  if (target.owner[0] == '\0' || target.service[0] == '\0'
      || target.key_size > sizeof target.key || target.path_size > size
      || text[target.path_offset] != '/'
      || memchr (text, '?', target.path_size) != NULL)
    abort ();
  /* A key without percent-encoding equals the path segment.  */
  const char *key = text + target.path_offset + 1;
  size_t left = target.path_size - target.path_offset - 1;
  const char *end = memchr (key, '/', left);
  size_t key_size = end ? (size_t)(end - key) : left;
  if (memchr (key, '%', key_size) == NULL
      && (key_size != target.key_size
          || memcmp (key, target.key, key_size) != 0))
    abort ();
  return 0;
}
