/*
 * Runs fault schedules against a simulated cell: engines, servers, the log and
 * the network in virtual time. If BGAP_TRACE is set, prints one line per
 * event.
 */

#include <stdio.h>
#include <stdlib.h>

#include "schedule.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

const char *__asan_default_options (void);

/* Recording the default number of stack frames per allocation takes a sixth of
   the run time.  */
const char *
__asan_default_options (void)
{
  return "malloc_context_size=2";
}

static void
_bgap_fuzz_print (void *context, const char *line)
{
  (void)context;
  puts (line);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  bgap_schedule_run (data, size,
                     getenv ("BGAP_TRACE") ? _bgap_fuzz_print : NULL);
  return 0;
}
