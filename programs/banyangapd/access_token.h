#ifndef BGAPD_ACCESS_TOKEN_H
#define BGAPD_ACCESS_TOKEN_H

#include <stdbool.h>

/**
 * bgap_access_token_matches() - whether an access token has a SHA-256 digest
 * @token: access token of a request; NULL never matches
 * @digest: 64 hexadecimal digits; "" never matches
 */
bool bgap_access_token_matches (const char *token, const char *digest);

#endif
