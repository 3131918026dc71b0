/* Backend server processes, which run the holder of the package.  */

#include <stdlib.h>

#include "oracle.h"
#include "world_private.h"

struct bgap_world_process *
bgap_world_find_server (struct bgap_world *w, uint32_t server)
{
  for (uint32_t i = 0; i < BGAP_WORLD_PROCESSES; i++)
    if (w->processes[i].holder && w->processes[i].current
        && w->processes[i].server == server)
      return &w->processes[i];
  return NULL;
}

static struct bgap_world_process *
_bgap_world_unused_process (struct bgap_world *w)
{
  for (uint32_t i = 0; i < BGAP_WORLD_PROCESSES; i++)
    if (w->processes[i].holder == NULL)
      return &w->processes[i];
  return NULL;
}

struct bgap_world_process *
bgap_world_server_start (struct bgap_world *w, uint32_t server)
{
  struct bgap_world_process *process = _bgap_world_unused_process (w);
  if (process == NULL)
    return NULL;
  *process = (struct bgap_world_process){
    .server = server,
    .epoch = process->epoch + 1,
    .incarnation = bgap_random_next (&w->random) | 1,
    .current = true,
  };
  bgap_world_init_clock (w, &process->clock);
  const struct bgap_holder_desc desc = { .incarnation = process->incarnation };
  if (bgap_holder_setup (&process->holder, &desc) != BGAP_OK)
    abort ();
  bgap_holder_set_load (process->holder, 0, 4, 0);
  bgap_holder_set_draining (process->holder, w->draining >> server & 1);
  return process;
}

void
bgap_world_server_stop (struct bgap_world_process *process)
{
  bgap_holder_shutdown (process->holder);
  process->holder = NULL;
  process->current = false;
  process->epoch++;
  bgap_world_inbox_clear (&process->inbox);
}

static void
_bgap_world_server_handle_event (struct bgap_world *w,
                                 struct bgap_world_process *process,
                                 const struct bgap_world_event *event)
{
  struct bgap_buffer reply = { 0 };
  struct bgap_error err = { 0 };
  int64_t now_ms = bgap_world_local_ms (w, &process->clock);
  enum bgap_status status
      = event->kind == BGAP_WORLD_HELLO
            ? bgap_holder_on_hello (process->holder, now_ms, &reply)
            : bgap_holder_on_renew (process->holder, event->bytes, event->size,
                                    now_ms, &reply, &err);
  if (status == BGAP_OK && process->current)
    {
      const struct bgap_world_event answer = {
        .kind = BGAP_WORLD_REPLY,
        .from = event->to,
        .to = event->from,
        .epoch = event->epoch,
        .bytes = reply.data,
        .size = reply.size,
      };
      bgap_world_send (w, &answer);
    }
  bgap_buffer_shutdown (&reply);
  if (w->oracle)
    bgap_oracle_check_leases (w->oracle);
}

static void
_bgap_world_server_resume (struct bgap_world *w,
                           struct bgap_world_process *process)
{
  if (process->holder == NULL || process->state != BGAP_WORLD_PAUSED)
    return;
  process->state = BGAP_WORLD_UP;
  bgap_world_trace (w, "s%u resumes%s", process->server,
                    process->current ? "" : " (replaced process)");
  struct bgap_world_event *event = bgap_world_inbox_take (&process->inbox);
  for (; event; event = bgap_world_inbox_take (&process->inbox))
    {
      _bgap_world_server_handle_event (w, process, event);
      bgap_world_event_free (event);
    }
}

void
bgap_world_server_event (struct bgap_world *w, struct bgap_world_event *event)
{
  if (event->kind == BGAP_WORLD_RESUME_SERVER)
    {
      struct bgap_world_process *process = &w->processes[event->id];
      if (event->epoch == process->epoch)
        _bgap_world_server_resume (w, process);
    }
  else if (event->kind == BGAP_WORLD_START_SERVER)
    {
      if (bgap_world_find_server (w, event->to) == NULL
          && bgap_world_server_start (w, event->to))
        bgap_world_trace (w, "s%u starts", event->to);
    }
  else
    {
      struct bgap_world_process *process
          = bgap_world_find_server (w, event->to - BGAP_WORLD_INSTANCES);
      if (process && process->state == BGAP_WORLD_PAUSED)
        {
          bgap_world_inbox_add (&process->inbox, event);
          return;
        }
      if (process)
        _bgap_world_server_handle_event (w, process, event);
    }
  bgap_world_event_free (event);
}

void
bgap_world_pause_server (struct bgap_world *w, uint32_t server, int64_t ms)
{
  struct bgap_world_process *process = bgap_world_find_server (w, server);
  if (process == NULL || process->state != BGAP_WORLD_UP)
    return;
  bgap_world_trace (w, "s%u freezes for %lld ms", server, (long long)ms);
  process->state = BGAP_WORLD_PAUSED;
  const struct bgap_world_event resume = {
    .kind = BGAP_WORLD_RESUME_SERVER,
    .id = (uint64_t)(process - w->processes),
    .epoch = process->epoch,
  };
  bgap_world_schedule (w, &resume, ms * 1000);
}

void
bgap_world_crash_server (struct bgap_world *w, uint32_t server,
                         int64_t down_ms)
{
  struct bgap_world_process *process = bgap_world_find_server (w, server);
  if (process == NULL)
    return;
  bgap_world_trace (w, "s%u ends", server);
  bgap_world_server_stop (process);
  if (down_ms < 0)
    return;
  const struct bgap_world_event start
      = { .kind = BGAP_WORLD_START_SERVER, .to = server };
  bgap_world_schedule (w, &start, down_ms * 1000);
}

void
bgap_world_replace_server (struct bgap_world *w, uint32_t server)
{
  struct bgap_world_process *old = bgap_world_find_server (w, server);
  if (old == NULL || _bgap_world_unused_process (w) == NULL)
    return;
  old->current = false;
  bgap_world_trace (w, "s%u is replaced while its process goes on", server);
  bgap_world_server_start (w, server);
}

void
bgap_world_drain_server (struct bgap_world *w, uint32_t server, bool draining)
{
  w->draining
      = draining ? w->draining | 1u << server : w->draining & ~(1u << server);
  struct bgap_world_process *process = bgap_world_find_server (w, server);
  if (process)
    bgap_holder_set_draining (process->holder, draining);
  bgap_world_trace (w, "s%u %s", server,
                    draining ? "drains" : "ends its drain");
}
