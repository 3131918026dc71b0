#include "banyangap/base/event_log.h"

#include <fcntl.h>
#include <limits.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "banyangap/base/clock.h"

/* Longest line in bytes; longer ones are cut.  */
#define LINE_SIZE 768

/* Bytes that are kept while the reader takes nothing.  */
#define KEPT_SIZE 32768

#define DEFAULT_PER_SECOND 40u
#define DEFAULT_BURST 200u
#define THOUSANDTHS 1000u

static char kept[KEPT_SIZE];
static size_t kept_size;
static uint64_t suppressed_total;

void
bgap_event_log_setup (void)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);
  if (flags >= 0)
    (void)fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

/* Bytes of whole lines that a pipe takes at once or not at all, so that a line
   is not cut when the process ends.  */
static size_t
_bgap_event_block (const char *bytes, size_t size)
{
  if (size <= PIPE_BUF)
    return size;
  size_t block = PIPE_BUF;
  while (block > 0 && bytes[block - 1] != '\n')
    block--;
  return block > 0 ? block : PIPE_BUF;
}

void
bgap_event_log_flush (void)
{
  size_t done = 0;
  while (done < kept_size)
    {
      size_t block = _bgap_event_block (kept + done, kept_size - done);
      ssize_t size = write (STDOUT_FILENO, kept + done, block);
      if (size <= 0)
        break;
      done += (size_t)size;
    }
  memmove (kept, kept + done, kept_size - done);
  kept_size -= done;
}

static bool
_bgap_event_put (const char *line, size_t size)
{
  if (size > sizeof kept - kept_size)
    bgap_event_log_flush ();
  if (size > sizeof kept - kept_size)
    return false;
  memcpy (kept + kept_size, line, size);
  kept_size += size;
  return true;
}

/* Takes a line from the rate of the kind.  */
static bool
_bgap_event_take (struct bgap_event_kind *kind, int64_t now_ms)
{
  uint64_t burst = kind->burst ? kind->burst : DEFAULT_BURST;
  uint64_t rate = kind->per_second ? kind->per_second : DEFAULT_PER_SECOND;
  if (kind->refilled_ms == 0)
    kind->thousandths = burst * THOUSANDTHS;
  else if (now_ms > kind->refilled_ms)
    kind->thousandths += (uint64_t)(now_ms - kind->refilled_ms) * rate;
  kind->refilled_ms = now_ms;
  if (kind->thousandths > burst * THOUSANDTHS)
    kind->thousandths = burst * THOUSANDTHS;
  if (kind->thousandths < THOUSANDTHS)
    return false;
  kind->thousandths -= THOUSANDTHS;
  return true;
}

static void
_bgap_event_suppress (struct bgap_event_kind *kind)
{
  kind->suppressed++;
  suppressed_total++;
}

void
bgap_event (struct bgap_event_kind *kind, const char *format, ...)
{
  const struct bgap_clock *clock = bgap_clock_system ();
  int64_t wall_ms = clock->wall_ms (clock->context);
  char line[LINE_SIZE];
  if (!_bgap_event_take (kind, clock->now_ms (clock->context)))
    {
      _bgap_event_suppress (kind);
      return;
    }
  if (kind->suppressed > 0)
    {
      int size = snprintf (line, sizeof line,
                           "ts=%lld event=suppressed of=%s lines=%llu\n",
                           (long long)wall_ms, kind->name,
                           (unsigned long long)kind->suppressed);
      if (_bgap_event_put (line, (size_t)size))
        kind->suppressed = 0;
    }
  int size = snprintf (line, sizeof line, "ts=%lld event=%s ",
                       (long long)wall_ms, kind->name);
  va_list args;
  va_start (args, format);
  int added
      = vsnprintf (line + size, sizeof line - (size_t)size, format, args);
  va_end (args);
  size += added < 0 ? 0 : added;
  if ((size_t)size > sizeof line - 2)
    size = (int)sizeof line - 2;
  line[size] = '\n';
  if (!_bgap_event_put (line, (size_t)size + 1))
    _bgap_event_suppress (kind);
}

uint64_t
bgap_event_log_suppressed (void)
{
  return suppressed_total;
}
