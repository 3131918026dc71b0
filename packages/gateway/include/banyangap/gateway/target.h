#ifndef BANYANGAP_GATEWAY_TARGET_H
#define BANYANGAP_GATEWAY_TARGET_H

/*
 * Parser of request targets of the form /<owner>/<service>/<rest>.
 *
 *   struct bgap_target target;
 *   if (bgap_target_parse ("/zafu/listing/a%2Fb/x?y=1", 25, &target, &err)
 *       == BGAP_OK)
 *     use (target.service, target.key, target.key_size);
 *
 * The key is the first path segment of <rest>, percent-decoded; it may contain
 * any bytes, including zeros. The parser does not know whether a service is
 * keyed: for other services the daemon ignores the key.
 */

#include <stddef.h>

#include "banyangap/base/status.h"

/* Limits of an owner or service name and of a decoded key, in bytes.  */
#define BGAP_TARGET_NAME_MAX 63
#define BGAP_TARGET_KEY_MAX 1024

/**
 * struct bgap_target - parts of a request target
 * @owner: name of the owner
 * @service: name of the service
 * @key: decoded first segment of <rest>
 * @key_size: bytes in @key; 0 if the segment is empty
 * @path_offset: offset in the target of the '/' before <rest>, where the path
 *   and query as seen by the service start
 * @path_size: bytes of the whole path without the query
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
 * bgap_target_parse() - parse a target
 * @text: the target as received, not decoded
 *
 * Owner and service consist of ASCII letters, digits, '.', '_' and '-'; the
 * '/' after the service is required. A dot segment, encoded or not, is
 * rejected anywhere in the path, because a server could resolve it to another
 * key.
 *
 * Return: BGAP_OK, or BGAP_ERR_INVALID with the reason in @err.
 */
enum bgap_status bgap_target_parse (const char *text, size_t size,
                                    struct bgap_target *target,
                                    struct bgap_error *err);

#endif
