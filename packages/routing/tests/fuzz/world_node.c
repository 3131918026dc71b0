#include <stdio.h>
#include <stdlib.h>

#include "world.h"

void
world_fail (const char *file, int line, const char *text)
{
  fprintf (stderr, "%s:%d: invariant violated: %s\n", file, line, text);
  abort ();
}

uint8_t
input_byte (struct input *input)
{
  if (input->size == 0)
    return 0;
  input->size--;
  return *input->bytes++;
}

int64_t
world_wall_ms (const struct world *w, const struct node *node)
{
  return WALL_MS + w->now_ms + node->skew_ms;
}

void
world_set_server (struct world *w, struct node *node, int server,
                  bool already_running)
{
  char name[8];
  snprintf (name, sizeof name, "s%d", server);
  const struct bgap_server_desc desc = {
    .name = name,
    .zone = server % 2 ? "z1" : "z2",
    .slots = SLOTS,
    .connections = server % 3 ? 120 : 12, /* quota 10 or 1 */
    .already_running = already_running,
  };
  node->views[server] = (struct server_view){ .incarnation = 1 };
  CHECK (bgap_router_set_server (&node->router, w->now_ms,
                                 node->services[server % SERVICES], &desc,
                                 &node->views[server].id, NULL)
             == BGAP_OK,
         "a server can be added");
  bgap_router_server_alive (&node->router, w->now_ms, node->views[server].id,
                            1);
}

void
world_start_node (struct world *w, int index, int64_t skew_ms)
{
  static const char *const names[ROUTERS] = { "e0", "e1", "e2" };
  static const char *const services[SERVICES] = { "plain", "keyed", "once" };
  struct node *node = &w->nodes[index];
  *node = (struct node){ .skew_ms = skew_ms, .next_offset = 1 };
  const struct bgap_router_desc desc = {
    .instance = names[index],
    .zone = "z1",
    .seed = ++w->seed * 7919,
    .requests_max = REQUESTS,
    .services_max = SERVICES,
    .servers_max = 2 * SERVERS,
    .peers_max = ROUTERS,
    .quarantine_max = FINGERPRINTS + 2,
  };
  CHECK (bgap_router_setup (&node->router, &desc, NULL) == BGAP_OK,
         "a router can be set up");
  for (int i = 0; i < SERVICES; i++)
    {
      const struct bgap_service_desc service = {
        .name = services[i],
        .keyed = i == KEYED,
        .repeat_never = i == AT_MOST_ONCE,
        .queue_limit = QUEUE_LIMIT,
        .idempotency_window_ms = WINDOW_MS,
        .idempotency_keys_max = KEYS - 1,
        .idempotency_body_bytes_max = 64,
      };
      CHECK (bgap_router_set_service (&node->router, w->now_ms, &service,
                                      &node->services[i], NULL)
                 == BGAP_OK,
             "a service can be added");
    }
  for (int i = 0; i < SERVERS; i++)
    world_set_server (w, node, i, i % 4 != 0);
  /* Records older than the window plus three clock errors may no longer be in
     the log.  */
  for (size_t i = 0; i < w->record_count; i++)
    if (w->now_ms - w->records[i].time_ms > WINDOW_MS + 3 * SKEW_MS)
      node->next_offset = i + 2;
  bgap_router_on_idempotency_end (&node->router, w->now_ms,
                                  node->services[AT_MOST_ONCE],
                                  w->record_count + 1);
}

void
world_stop_node (struct world *w, int index)
{
  for (int i = 0; i < REQUESTS; i++)
    if (w->calls[i].used && w->calls[i].router == index)
      w->calls[i].ended = true;
  for (int i = 0; i < ATTEMPTS; i++)
    if (w->attempts[i].used && w->attempts[i].router == index)
      w->attempts[i].orphan = true;
  for (int i = 0; i < APPENDS; i++)
    if (w->appends[i].used && w->appends[i].router == index)
      w->appends[i].router = -1;
  w->restarted = true;
  bgap_router_shutdown (&w->nodes[index].router);
}

struct world *
world_open (struct input *input)
{
  struct world *w = calloc (1, sizeof *w);
  CHECK (w != NULL, "memory for the model can be allocated");
  w->now_ms = 100000;
  w->only_at_most_once = input_byte (input) % 2;
  for (int i = 0; i < ROUTERS; i++)
    {
      int64_t skew_ms = ((int64_t)input_byte (input) - 128) * SKEW_MS / 128;
      world_start_node (w, i, skew_ms);
    }
  return w;
}

void
world_close (struct world *w)
{
  /* After the longest deadline every request must have ended.  */
  w->now_ms += 700000;
  for (int i = 0; i < ROUTERS; i++)
    bgap_router_tick (&w->nodes[i].router, w->now_ms,
                      world_wall_ms (w, &w->nodes[i]));
  world_take_actions (w);
  for (int i = 0; i < REQUESTS; i++)
    CHECK (!w->calls[i].used || w->calls[i].ended || w->calls[i].cancelled,
           "every request ends");
  for (int i = 0; i < ROUTERS; i++)
    {
      CHECK (bgap_router_counts (&w->nodes[i].router).open == 0,
             "no request is open at the end");
      bgap_router_shutdown (&w->nodes[i].router);
    }
  for (int i = 0; i < APPENDS; i++)
    free (w->appends[i].bytes);
  for (size_t i = 0; i < w->record_count; i++)
    free (w->records[i].bytes);
  free (w);
}
