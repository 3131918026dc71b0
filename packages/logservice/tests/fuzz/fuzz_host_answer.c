#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "host_response.h"

#define HOSTS_MAX 8

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct bgap_host_response response;
  struct bgap_error err = { 0 };
  enum bgap_status status = bgap_host_response_parse (
      (const char *)data, size, HOSTS_MAX, &response, &err);
  if (status == BGAP_OK && response.count > HOSTS_MAX)
    abort ();
  for (size_t i = 0; status == BGAP_OK && i < response.count; i++)
    {
      const struct bgap_host *host = &response.hosts[i];
      if (host->name[0] == '\0' || host->zone == NULL || host->address == NULL
          || host->peer_address == NULL)
        abort ();
      for (size_t j = 0; j < i; j++)
        if (strcmp (response.hosts[j].name, host->name) == 0)
          abort ();
    }
  bgap_host_response_shutdown (&response);
  return 0;
}
