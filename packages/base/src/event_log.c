#include "banyangap/base/event_log.h"

#include <fcntl.h>
#include <limits.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "banyangap/base/clock.h"

/* Maximum line length in bytes; longer lines are truncated.  */
#define LINE_SIZE 768

/* Bytes buffered while standard output accepts no data.  */
#define PENDING_MAX 32768

#define DEFAULT_PER_SECOND 40u
#define DEFAULT_BURST 200u
#define THOUSANDTHS 1000u

static char pending[PENDING_MAX];
static size_t pending_size;
static uint64_t suppressed_total;

void
bgap_event_log_setup (void)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);
  if (flags >= 0)
    (void)fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

/* Size of the next write: whole lines within PIPE_BUF, which a pipe accepts
   atomically, so that no partial line is left when the process ends.  */
static size_t
_bgap_event_write_size (const char *bytes, size_t size)
{
  if (size <= PIPE_BUF)
    return size;
  size_t write_size = PIPE_BUF;
  while (write_size > 0 && bytes[write_size - 1] != '\n')
    write_size--;
  return write_size > 0 ? write_size : PIPE_BUF;
}

void
bgap_event_log_flush (void)
{
  size_t done = 0;
  while (done < pending_size)
    {
      size_t write_size
          = _bgap_event_write_size (pending + done, pending_size - done);
      ssize_t size = write (STDOUT_FILENO, pending + done, write_size);
      if (size <= 0)
        break;
      done += (size_t)size;
    }
  memmove (pending, pending + done, pending_size - done);
  pending_size -= done;
}

static bool
_bgap_event_enqueue (const char *line, size_t size)
{
  if (size > sizeof pending - pending_size)
    bgap_event_log_flush ();
  if (size > sizeof pending - pending_size)
    return false;
  memcpy (pending + pending_size, line, size);
  pending_size += size;
  return true;
}

/* Token bucket per kind, counted in thousandths of a line. Returns whether one
   more line is within the rate limit.  */
static bool
_bgap_event_consume_rate (struct bgap_event_kind *kind, int64_t now_ms)
{
  uint64_t burst = kind->burst ? kind->burst : DEFAULT_BURST;
  uint64_t rate = kind->per_second ? kind->per_second : DEFAULT_PER_SECOND;
  if (kind->refilled_ms == 0)
    kind->allowance_thousandths = burst * THOUSANDTHS;
  else if (now_ms > kind->refilled_ms)
    kind->allowance_thousandths
        += (uint64_t)(now_ms - kind->refilled_ms) * rate;
  kind->refilled_ms = now_ms;
  if (kind->allowance_thousandths > burst * THOUSANDTHS)
    kind->allowance_thousandths = burst * THOUSANDTHS;
  if (kind->allowance_thousandths < THOUSANDTHS)
    return false;
  kind->allowance_thousandths -= THOUSANDTHS;
  return true;
}

static void
_bgap_event_count_suppressed (struct bgap_event_kind *kind)
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
  if (!_bgap_event_consume_rate (kind, clock->now_ms (clock->context)))
    {
      _bgap_event_count_suppressed (kind);
      return;
    }
  if (kind->suppressed > 0)
    {
      int size = snprintf (line, sizeof line,
                           "ts=%lld event=suppressed of=%s lines=%llu\n",
                           (long long)wall_ms, kind->name,
                           (unsigned long long)kind->suppressed);
      if (_bgap_event_enqueue (line, (size_t)size))
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
  if (!_bgap_event_enqueue (line, (size_t)size + 1))
    _bgap_event_count_suppressed (kind);
}

uint64_t
bgap_event_log_suppressed (void)
{
  return suppressed_total;
}
