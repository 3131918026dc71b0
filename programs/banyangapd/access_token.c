#include "access_token.h"

#include <openssl/sha.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#define DIGEST_TEXT_SIZE (2 * SHA256_DIGEST_LENGTH + 1)

bool
bgap_access_token_matches (const char *token, const char *digest)
{
  unsigned char hash[SHA256_DIGEST_LENGTH];
  char text[DIGEST_TEXT_SIZE];
  if (token == NULL || strlen (digest) != DIGEST_TEXT_SIZE - 1)
    return false;
  SHA256 ((const unsigned char *)token, strlen (token), hash);
  for (size_t i = 0; i < SHA256_DIGEST_LENGTH; i++)
    snprintf (&text[2 * i], 3, "%02x", hash[i]);
  return strcasecmp (text, digest) == 0;
}
