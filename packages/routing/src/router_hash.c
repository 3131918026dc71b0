#include "router_parts.h"

/* The macros of uthash expand to more statements than clang-tidy allows.  */
/* NOLINTBEGIN(readability-function-size) */

struct bgap_router_server *
bgap_router_hash_find (const struct bgap_router_state *state, uint64_t hash)
{
  struct bgap_router_server *server = NULL;
  HASH_FIND (hh, state->servers_by_hash, &hash, sizeof hash, server);
  return server;
}

void
bgap_router_hash_add (struct bgap_router_state *state,
                      struct bgap_router_server *server)
{
  HASH_ADD (hh, state->servers_by_hash, server.hash_full,
            sizeof server->server.hash_full, server);
}

void
bgap_router_hash_remove (struct bgap_router_state *state,
                         struct bgap_router_server *server)
{
  HASH_DEL (state->servers_by_hash, server);
}

/* NOLINTEND(readability-function-size) */
