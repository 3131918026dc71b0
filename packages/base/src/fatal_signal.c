#include "banyangap/base/fatal_signal.h"

#include <errno.h>
#include <execinfo.h>
#include <link.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <time.h>
#include <ucontext.h>
#include <unistd.h>

/* Everything that the handler uses is allocated here, since it may not
   allocate memory.  */

/* Size of the handler's stack in bytes; the unwinder needs several KB.  */
#define STACK_SIZE 65536

/* Size of the line in bytes, at most PIPE_BUF, which a pipe accepts as a
   whole.  */
#define LINE_SIZE 4096

/* Maximum number of return addresses, and of objects in memory.  */
#define FRAMES_MAX 32
#define OBJECTS_MAX 32

#define MS_PER_S 1000
#define NS_PER_MS 1000000

/**
 * struct object - the program or a library in memory
 * @base: difference between addresses in memory and in the file
 * @start, @end: addresses that it occupies
 */
struct object
{
  const char *name;
  uintptr_t base;
  uintptr_t start;
  uintptr_t end;
};

/**
 * struct line - text to be written
 */
struct line
{
  char text[LINE_SIZE];
  size_t size;
};

static const struct
{
  int number;
  const char *name;
} signals[] = {
  { SIGSEGV, "SIGSEGV" }, { SIGBUS, "SIGBUS" },   { SIGILL, "SIGILL" },
  { SIGFPE, "SIGFPE" },   { SIGABRT, "SIGABRT" },
};

#define SIGNAL_COUNT (sizeof signals / sizeof *signals)

static struct sigaction previous[SIGNAL_COUNT];
static struct object objects[OBJECTS_MAX];
static uint32_t object_count;
static void (*flush_log) (void);
static struct line line;
static void *frames[FRAMES_MAX];
static char stack[STACK_SIZE];

/* Text.  */

static void
_bgap_fatal_add_text (const char *text)
{
  while (*text != '\0' && line.size < sizeof line.text)
    line.text[line.size++] = *text++;
}

static void
_bgap_fatal_add_number (uint64_t value, unsigned int base)
{
  char digits[24];
  size_t count = 0;
  do
    {
      digits[count++] = "0123456789abcdef"[value % base];
      value /= base;
    }
  while (value > 0);
  while (count > 0 && line.size < sizeof line.text)
    line.text[line.size++] = digits[--count];
}

static void
_bgap_fatal_add_hex (uint64_t value)
{
  _bgap_fatal_add_text ("0x");
  _bgap_fatal_add_number (value, 16);
}

static const struct object *
_bgap_fatal_object (uintptr_t address)
{
  for (uint32_t i = 0; i < object_count; i++)
    if (address >= objects[i].start && address < objects[i].end)
      return &objects[i];
  return NULL;
}

/* Adds an address in code as "object+offset", or as it is.  */
static void
_bgap_fatal_add_code (uintptr_t address)
{
  const struct object *object = _bgap_fatal_object (address);
  if (object != NULL)
    {
      _bgap_fatal_add_text (object->name);
      _bgap_fatal_add_text ("+");
    }
  _bgap_fatal_add_hex (object != NULL ? address - object->base : address);
}

/* Writes the text and clears it. If standard error is a pipe that nobody
   reads, the text is dropped: the process must end.  */
static void
_bgap_fatal_write (void)
{
  struct pollfd out = { .fd = STDERR_FILENO, .events = POLLOUT };
  if (poll (&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0
      && write (STDERR_FILENO, line.text, line.size) < 0)
    errno = 0;
  line.size = 0;
}

/* Registers.  */

static uintptr_t
_bgap_fatal_instruction (const ucontext_t *context)
{
#if defined __x86_64__
  return (uintptr_t)context->uc_mcontext.gregs[REG_RIP];
#elif defined __aarch64__
  return (uintptr_t)context->uc_mcontext.pc;
#else
  (void)context;
  return 0;
#endif
}

/* Return address of a function whose first instruction could not be executed,
   for example a call through a null pointer, which cannot be unwound.  */
static uintptr_t
_bgap_fatal_caller (const ucontext_t *context)
{
#if defined __x86_64__
  const uintptr_t *top;
  memcpy (&top, &context->uc_mcontext.gregs[REG_RSP], sizeof top);
  return *top;
#elif defined __aarch64__
  return (uintptr_t)context->uc_mcontext.regs[30];
#else
  (void)context;
  return 0;
#endif
}

/* Handler.  */

static size_t
_bgap_fatal_index (int number)
{
  size_t index = 0;
  while (index < SIGNAL_COUNT - 1 && signals[index].number != number)
    index++;
  return index;
}

static void
_bgap_fatal_add_signal (int number, const siginfo_t *info,
                        uintptr_t instruction)
{
  struct timespec now = { 0 };
  clock_gettime (CLOCK_REALTIME, &now);
  _bgap_fatal_add_text ("ts=");
  _bgap_fatal_add_number (
      (uint64_t)now.tv_sec * MS_PER_S + (uint64_t)now.tv_nsec / NS_PER_MS, 10);
  _bgap_fatal_add_text (" event=fatal-signal signal=");
  _bgap_fatal_add_text (signals[_bgap_fatal_index (number)].name);
  /* A positive code means a fault, another one a signal from a process.  */
  if (info->si_code > 0)
    {
      _bgap_fatal_add_text (" address=");
      _bgap_fatal_add_hex ((uintptr_t)info->si_addr);
    }
  else
    {
      _bgap_fatal_add_text (" sender=");
      _bgap_fatal_add_number ((uint64_t)info->si_pid, 10);
    }
  _bgap_fatal_add_text (" instruction=");
  _bgap_fatal_add_code (instruction);
}

/* Adds the return addresses from the innermost one. The first frames are those
   of the handler itself, up to the instruction. The unwinder reads the bytes
   of the instruction and would fault if it is in no object.  */
static void
_bgap_fatal_add_returns (uintptr_t instruction, const ucontext_t *context)
{
  int count = 0;
  int first = 0;
  _bgap_fatal_add_text (" returns=\"");
  if (_bgap_fatal_object (instruction) == NULL)
    _bgap_fatal_add_code (_bgap_fatal_caller (context));
  else
    count = backtrace (frames, FRAMES_MAX);
  for (int i = 0; i < count; i++)
    if ((uintptr_t)frames[i] == instruction)
      first = i + 1;
  for (int i = first; i < count; i++)
    {
      _bgap_fatal_add_code ((uintptr_t)frames[i]);
      _bgap_fatal_add_text (i + 1 < count ? " " : "");
    }
  _bgap_fatal_add_text ("\"\n");
}

/* Restores the previous action and lets it handle the signal. If that is a
   handler, as in builds with sanitizers, a fault reaches it when the
   instruction is executed again; other signals are raised again.  */
static void
_bgap_fatal_continue (int number, const siginfo_t *info)
{
  const struct sigaction *action = &previous[_bgap_fatal_index (number)];
  bool is_default
      = (action->sa_flags & SA_SIGINFO) == 0 && action->sa_handler == SIG_DFL;
  sigaction (number, action, NULL);
  if (is_default || info->si_code <= 0)
    raise (number);
}

static void
_bgap_fatal_on_signal (int number, siginfo_t *info, void *user)
{
  const ucontext_t *context = user;
  uintptr_t instruction = _bgap_fatal_instruction (context);
  /* A further fault, in the unwinder for example, ends the process: its action
     is the default one already. So what is known is written first.  */
  _bgap_fatal_add_signal (number, info, instruction);
  _bgap_fatal_write ();
  _bgap_fatal_add_returns (instruction, context);
  _bgap_fatal_write ();
  if (flush_log != NULL)
    flush_log ();
  _bgap_fatal_continue (number, info);
}

/* Setup.  */

static int
_bgap_fatal_on_object (struct dl_phdr_info *info, size_t size, void *user)
{
  (void)size;
  (void)user;
  if (object_count == OBJECTS_MAX)
    return 1;
  struct object *object = &objects[object_count];
  const char *slash = strrchr (info->dlpi_name, '/');
  *object = (struct object){
    .name = slash != NULL ? slash + 1 : info->dlpi_name,
    .base = info->dlpi_addr,
    .start = UINTPTR_MAX,
  };
  /* The program itself has no name.  */
  if (info->dlpi_name[0] == '\0')
    object->name = program_invocation_short_name;
  for (int i = 0; i < info->dlpi_phnum; i++)
    {
      const ElfW (Phdr) *segment = &info->dlpi_phdr[i];
      uintptr_t start = info->dlpi_addr + segment->p_vaddr;
      uintptr_t end = start + segment->p_memsz;
      if (segment->p_type != PT_LOAD)
        continue;
      object->start = start < object->start ? start : object->start;
      object->end = end > object->end ? end : object->end;
    }
  object_count++;
  return 0;
}

void
bgap_fatal_signal_setup (void (*flush) (void))
{
  const stack_t own_stack = { .ss_sp = stack, .ss_size = sizeof stack };
  struct sigaction action = {
    .sa_sigaction = _bgap_fatal_on_signal,
    .sa_flags = SA_SIGINFO | SA_ONSTACK | SA_RESETHAND,
  };
  flush_log = flush;
  object_count = 0;
  dl_iterate_phdr (_bgap_fatal_on_object, NULL);
  /* The first call loads the unwinder, which allocates memory.  */
  (void)backtrace (frames, FRAMES_MAX);
  if (sigaltstack (&own_stack, NULL) != 0)
    action.sa_flags &= ~SA_ONSTACK;
  sigemptyset (&action.sa_mask);
  for (size_t i = 0; i < SIGNAL_COUNT; i++)
    sigaction (signals[i].number, &action, &previous[i]);
}
