#include "engine_private.h"

#include <stdlib.h>
#include <string.h>

#include "banyangap/ownership/lease.h"

/* Servers for which one instance may hold leases.  */
#define PROXIES_MAX 256

static int32_t
_bgap_engine_proxy_find (const struct bgap_engine *engine, const char *name)
{
  for (uint32_t i = 0; i < engine->holder_count; i++)
    if (strcmp (engine->holder_names[i], name) == 0)
      return (int32_t)i;
  return -1;
}

/* Holder of the lease @name, "<server>@<this instance>", which is created on
   its first use.  */
static struct bgap_holder *
_bgap_engine_proxy (struct bgap_engine *engine, const char *name)
{
  const char *instance = strchr (name, '@');
  if (instance == NULL || strcmp (instance + 1, engine->self) != 0)
    return NULL;
  int32_t known = _bgap_engine_proxy_find (engine, name);
  if (known >= 0)
    return engine->holders[known];
  if (engine->holders == NULL)
    engine->holders = calloc (PROXIES_MAX, sizeof (struct bgap_holder *));
  if (engine->holder_names == NULL)
    engine->holder_names = calloc (PROXIES_MAX, sizeof *engine->holder_names);
  if (!engine->holders || !engine->holder_names
      || engine->holder_count == PROXIES_MAX)
    return NULL;
  struct bgap_holder *holder;
  if (bgap_holder_setup (&holder,
                         &(struct bgap_holder_desc){
                             .incarnation = engine->desc.incarnation })
      != BGAP_OK)
    return NULL;
  memcpy (engine->holder_names[engine->holder_count], name, strlen (name) + 1);
  engine->holders[engine->holder_count++] = holder;
  return holder;
}

void
bgap_engine_proxy_shutdown (struct bgap_engine *engine)
{
  for (uint32_t i = 0; i < engine->holder_count; i++)
    bgap_holder_shutdown (engine->holders[i]);
  free (engine->holders);
  free (engine->holder_names);
}

static void
_bgap_engine_proxy_reply (struct bgap_engine *engine, const char *from,
                          const struct bgap_message *message,
                          const struct bgap_buffer *text)
{
  struct bgap_bytes body = { text->data, text->size };
  struct bgap_message reply = { .kind = BGAP_MESSAGE_RENEW_REPLY,
                                .records = &body,
                                .record_count = 1 };
  memcpy (reply.service, message->service, sizeof reply.service);
  bgap_engine_send (engine, from, &reply);
}

void
bgap_engine_proxy_message (struct bgap_engine *engine, const char *from,
                           const struct bgap_message *message)
{
  struct bgap_error err = { 0 };
  struct bgap_buffer text = { 0 };
  enum bgap_status status = BGAP_ERR_INVALID;
  if (message->kind == BGAP_MESSAGE_RENEW_REPLY)
    {
      if (message->record_count == 1)
        bgap_engine_on_server_reply (engine, message->service,
                                     message->records[0].data,
                                     message->records[0].size, engine->now_ms);
      return;
    }
  struct bgap_holder *holder = _bgap_engine_proxy (engine, message->service);
  if (holder && message->kind == BGAP_MESSAGE_HELLO)
    status = bgap_holder_on_hello (holder, engine->now_ms, &text);
  else if (holder && message->kind == BGAP_MESSAGE_RENEW
           && message->record_count == 1)
    status = bgap_holder_on_renew (holder, message->records[0].data,
                                   message->records[0].size, engine->now_ms,
                                   &text, &err);
  if (status == BGAP_OK)
    _bgap_engine_proxy_reply (engine, from, message, &text);
  bgap_buffer_shutdown (&text);
}

const struct bgap_holder *
bgap_engine_holder (const struct bgap_engine *engine, const char *server)
{
  size_t length = strlen (server);
  for (uint32_t i = 0; i < engine->holder_count; i++)
    if (strncmp (engine->holder_names[i], server, length) == 0
        && engine->holder_names[i][length] == '@')
      return engine->holders[i];
  return NULL;
}
