#ifndef BANYANGAP_GATEWAY_TARGET_H
#define BANYANGAP_GATEWAY_TARGET_H

/*
 * Request target /<owner>/<service>/<rest>, split into its parts.
 *
 *   struct bgap_target target;
 *   if (bgap_target_parse ("/zafu/listing/a%2Fb/x?y=1", 25, &target, &err)
 *       == BGAP_OK)
 *     use (target.service, target.key, target.key_size);
 *
 * The key is the first path segment of <rest>, percent-decoded; it may hold
 * any bytes, zeros included. Whether a service is keyed is not known here: for
 * services without keys the daemon ignores it.
 */

#include <stddef.h>

#include "banyangap/base/status.h"

/* Longest owner or service name and longest decoded key, in bytes.  */
#define BGAP_TARGET_NAME_MAX 63
#define BGAP_TARGET_KEY_MAX 1024

/**
 * struct bgap_target - parts of a request target
 * @owner: owner's name
 * @service: service's name
 * @key: decoded first segment of <rest>
 * @key_size: bytes in @key; 0 if the segment is empty
 * @path_offset: offset in the target of the '/' before <rest>; the path and
 *   query that the service itself knows start there
 * @path_size: bytes of the path without the query
 */
struct bgap_target
{
  char owner[BGAP_TARGET_NAME_MAX + 1];
  char service[BGAP_TARGET_NAME_MAX + 1];
  unsigned char key[BGAP_TARGET_KEY_MAX];
  size_t key_size;
  size_t path_offset;
  size_t path_size;
};

/**
 * bgap_target_parse() - split a target
 * @text: the target as received, not decoded
 *
 * Owner and service consist of ASCII letters, digits, '.', '_' and '-'; the
 * '/' after the service is required. A dot segment, encoded or not, is refused
 * anywhere in the path, so that a server cannot resolve it to another key.
 *
 * Return: BGAP_OK, or BGAP_ERR_INVALID with the reason in @err.
 */
enum bgap_status bgap_target_parse (const char *text, size_t size,
                                    struct bgap_target *target,
                                    struct bgap_error *err);

#endif
