#ifndef BGAPD_TOKEN_H
#define BGAPD_TOKEN_H

#include <stdbool.h>

/**
 * bgap_token_matches() - compare a token with a SHA-256 digest
 * @token: may be NULL, which never matches
 * @digest: 64 hexadecimal digits; "" never matches
 */
bool bgap_token_matches (const char *token, const char *digest);

#endif
