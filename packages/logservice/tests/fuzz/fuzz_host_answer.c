#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "host_answer.h"

#define HOSTS_MAX 8

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct bgap_host_answer answer;
  struct bgap_error err = { 0 };
  enum bgap_status status = bgap_host_answer_parse ((const char *)data, size,
                                                    HOSTS_MAX, &answer, &err);
  if (status == BGAP_OK && answer.count > HOSTS_MAX)
    abort ();
  for (size_t i = 0; status == BGAP_OK && i < answer.count; i++)
    {
      const struct bgap_host *host = &answer.hosts[i];
      if (host->name[0] == '\0' || host->zone == NULL || host->address == NULL
          || host->peer_address == NULL)
        abort ();
      for (size_t j = 0; j < i; j++)
        if (strcmp (answer.hosts[j].name, host->name) == 0)
          abort ();
    }
  bgap_host_answer_shutdown (&answer);
  return 0;
}
