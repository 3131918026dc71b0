#include "server_view_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

static void
on_changed (void *context, struct bgap_known_server *server,
            enum bgap_server_change change)
{
  struct report *report = context;
  (void)server;
  report->last = change;
  report->count++;
}

struct bgap_server_view *
view_new (struct report *report)
{
  *report = (struct report){ 0 };
  struct bgap_server_view *view
      = bgap_server_view_new (&(struct bgap_server_view_ops){
          .changed = on_changed, .context = report });
  assert_non_null (view);
  return view;
}

struct bgap_server_entry
entry (int64_t born_ms, int64_t sequence)
{
  return (struct bgap_server_entry){
    .id = "i-1",
    .service = "reads",
    .address = "10.0.0.1:80",
    .zone = "z1",
    .slots = 4,
    .started_ms = born_ms,
    .sequence = sequence,
  };
}

void
put (struct bgap_server_view *view, int64_t now_ms,
     struct bgap_server_entry value)
{
  bgap_server_view_put (view, now_ms, &value);
}
