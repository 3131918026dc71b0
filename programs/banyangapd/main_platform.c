#include "main_platform.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>

#include "banyangap/base/event_log.h"
#include "banyangap/resource/findings.h"
#include "edge.h"
#include "platform/platform.h"

/**
 * struct settings_file - the settings file
 * @modified: its modification time when it was last checked
 */
struct settings_file
{
  const char *path;
  struct timespec modified;
};

static struct bgap_event_kind event_findings = { .name = "settings-refused" };

static bool
_bgap_settings_file_has_changed (struct settings_file *file)
{
  struct stat info;
  if (stat (file->path, &info) != 0)
    return false;
  bool modified = info.st_mtim.tv_sec != file->modified.tv_sec
                  || info.st_mtim.tv_nsec != file->modified.tv_nsec;
  file->modified = info.st_mtim;
  return modified;
}

static enum bgap_status
_bgap_settings_file_parse (const struct settings_file *file,
                           struct bgap_instance_settings *settings,
                           struct bgap_findings *findings)
{
  struct bgap_buffer text = { 0 };
  enum bgap_status status = bgap_main_read_settings (file->path, &text);
  if (status == BGAP_OK)
    status = bgap_platform_settings_parse (
        settings, text.data ? text.data : "", text.size, file->path, findings);
  bgap_buffer_shutdown (&text);
  return status;
}

/* If the new settings are invalid, the old ones stay in force.  */
static bool
_bgap_settings_file_reload (void *context,
                            struct bgap_instance_settings *settings,
                            bool forced)
{
  struct settings_file *file = context;
  struct bgap_findings findings = { 0 };
  bool modified = _bgap_settings_file_has_changed (file);
  if (!modified && !forced)
    return false;
  enum bgap_status status
      = _bgap_settings_file_parse (file, settings, &findings);
  for (uint32_t i = 0; i < findings.count; i++)
    bgap_event (&event_findings,
                "file=%s line=%u column=%u field=%s reason=\"%s\"",
                findings.items[i].file, findings.items[i].line,
                findings.items[i].column, findings.items[i].path,
                findings.items[i].message);
  if (status != BGAP_OK && bgap_findings_empty (&findings))
    bgap_event (&event_findings, "file=%s reason=\"%s\"", file->path,
                bgap_status_name (status));
  bgap_findings_shutdown (&findings);
  return status == BGAP_OK;
}

static int
_bgap_main_load_settings (const struct settings_file *file,
                          struct bgap_instance_settings *settings)
{
  struct bgap_findings findings = { 0 };
  struct bgap_buffer report = { 0 };
  enum bgap_status status
      = _bgap_settings_file_parse (file, settings, &findings);
  if (status != BGAP_OK && bgap_findings_empty (&findings))
    {
      fprintf (stderr, "banyangapd: cannot read \"%s\": %s\n", file->path,
               bgap_status_name (status));
      return EXIT_USAGE;
    }
  bgap_findings_print (&findings, &report);
  fputs (report.data != NULL ? report.data : "", stderr);
  bgap_buffer_shutdown (&report);
  bgap_findings_shutdown (&findings);
  return status == BGAP_OK ? 0 : EXIT_FINDINGS;
}

static int
_bgap_main_run_edge (struct settings_file *file,
                     const struct bgap_instance_settings *settings)
{
  struct bgap_error err = { 0 };
  struct bgap_edge *edge = NULL;
  struct bgap_platform_store *store = NULL;
  struct event_base *base = event_base_new ();
  enum bgap_status status = base != NULL ? BGAP_OK : BGAP_ERR_NO_MEMORY;
  if (status == BGAP_OK)
    status = bgap_platform_store_setup (&store, base, settings->store_address,
                                        &err);
  if (status == BGAP_OK)
    status = bgap_edge_setup (
        &(struct bgap_edge_desc){
            .base = base,
            .settings = settings,
            .store = bgap_platform_store_ops (store),
            .wire = bgap_platform_wire (),
            .topics = { .operators = BGAP_PLATFORM_OPERATOR_TOPIC,
                        .config_key = BGAP_PLATFORM_CONFIG_KEY,
                        .evacuate_prefix = BGAP_PLATFORM_EVACUATE_PREFIX,
                        .servers = BGAP_PLATFORM_SERVERS_TOPIC,
                        .internal = BGAP_PLATFORM_OWN_TOPIC },
            .ready_path = BGAP_PLATFORM_READY_PATH,
            .reload = _bgap_settings_file_reload,
            .context = file },
        &edge, &err);
  if (status == BGAP_OK)
    bgap_edge_run (edge);
  else
    fprintf (stderr, "banyangapd: cannot start: %s\n", err.message);
  bgap_platform_store_shutdown (store);
  bgap_edge_shutdown (edge);
  if (base != NULL)
    event_base_free (base);
  return status == BGAP_OK ? EXIT_SUCCESS : EXIT_SETUP;
}

int
bgap_main_platform (const char *path, bool check)
{
  struct bgap_instance_settings settings;
  struct settings_file file = { .path = path };
  (void)_bgap_settings_file_has_changed (&file);
  int code = _bgap_main_load_settings (&file, &settings);
  if (code != 0 || check)
    return code;
  signal (SIGPIPE, SIG_IGN);
  bgap_event_log_setup ();
  return _bgap_main_run_edge (&file, &settings);
}
