#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "banyangap/base/buffer.h"
#include "banyangap/base/event_log.h"
#include "banyangap/base/fatal_signal.h"
#include "banyangap/base/log.h"
#include "daemon.h"
#include "main_platform.h"

/* Maximum size of the settings file in bytes.  */
#define SETTINGS_MAX ((size_t)256 * 1024)

const char *argp_program_version = "banyangapd " BGAP_VERSION;

struct arguments
{
  const char *settings;
  int check;
  int platform;
};

/* The signature is argp's.  */
static error_t
/* NOLINTNEXTLINE(readability-non-const-parameter) */
_bgap_main_option (int key, char *value, struct argp_state *state)
{
  struct arguments *arguments = state->input;
  switch (key)
    {
    case 's':
      arguments->settings = value;
      return 0;
    case 'c':
      arguments->check = 1;
      return 0;
    case 'p':
      arguments->platform = 1;
      return 0;
    case ARGP_KEY_END:
      if (arguments->settings == NULL)
        argp_error (state, "option --settings is required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option options[] = {
  { .name = "settings", .key = 's', .arg = "FILE", .doc = "Settings (YAML)" },
  { .name = "check",
    .key = 'c',
    .doc = "Check the settings, print all findings and exit" },
  { .name = "platform",
    .key = 'p',
    .doc
    = "Run in platform mode: read the platform's settings, keep all state "
      "in its store" },
  { 0 },
};

static const struct argp argp = {
  .options = options,
  .parser = _bgap_main_option,
  .doc = "Routes requests to backend servers; each key has at most one owning "
         "server.\v"
         "Example:\n  banyangapd --settings /etc/banyangap/entry-1.yaml\n\n"
         "Exit status: 0 stopped on request, 1 invalid settings, 2 usage "
         "error, 3 an address cannot be opened.",
};

enum bgap_status
bgap_main_read_settings (const char *path, struct bgap_buffer *text)
{
  char block[4096];
  size_t size = 0;
  FILE *file = fopen (path, "rb");
  if (file == NULL)
    return BGAP_ERR_NOT_FOUND;
  while ((size = fread (block, 1, sizeof block, file)) > 0
         && text->size <= SETTINGS_MAX)
    bgap_buffer_append (text, block, size);
  fclose (file);
  return text->size <= SETTINGS_MAX ? BGAP_OK : BGAP_ERR_FULL;
}

static int
_bgap_main_load_settings (const char *path, struct bgap_settings *settings)
{
  struct bgap_buffer text = { 0 };
  struct bgap_findings findings = { 0 };
  struct bgap_buffer report = { 0 };
  enum bgap_status status = bgap_main_read_settings (path, &text);
  if (status != BGAP_OK)
    {
      fprintf (stderr, "banyangapd: cannot read \"%s\": %s\n", path,
               bgap_status_name (status));
      bgap_buffer_shutdown (&text);
      return EXIT_USAGE;
    }
  status = bgap_settings_parse (settings, text.data != NULL ? text.data : "",
                                text.size, path, &findings);
  if (status != BGAP_OK)
    {
      bgap_findings_print (&findings, &report);
      fputs (report.data != NULL ? report.data : "", stderr);
    }
  bgap_findings_shutdown (&findings);
  bgap_buffer_shutdown (&report);
  bgap_buffer_shutdown (&text);
  return status == BGAP_OK ? 0 : EXIT_FINDINGS;
}

static int
_bgap_main_serve (const struct bgap_settings *settings)
{
  struct bgap_daemon *daemon = NULL;
  struct bgap_error err = { 0 };
  if (bgap_log_setup (&(struct bgap_log_desc){ .level = settings->log_level },
                      &err)
      != BGAP_OK)
    {
      fprintf (stderr, "banyangapd: %s\n", err.message);
      return EXIT_SETUP;
    }
  enum bgap_status status = bgap_daemon_setup (settings, &daemon, &err);
  if (status == BGAP_OK)
    bgap_daemon_run (daemon);
  else
    bgap_log_error ("daemon", "cannot start; reason=%s", err.message);
  bgap_daemon_shutdown (daemon);
  bgap_log_shutdown ();
  return status == BGAP_OK ? EXIT_SUCCESS : EXIT_SETUP;
}

int
main (int argc, char **argv)
{
  struct arguments arguments = { 0 };
  struct bgap_settings settings = { 0 };
  argp_err_exit_status = EXIT_USAGE;
  argp_parse (&argp, argc, argv, 0, NULL, &arguments);
  bgap_fatal_signal_setup (bgap_event_log_flush);
  if (arguments.platform)
    return bgap_main_platform (arguments.settings, arguments.check != 0);
  int code = _bgap_main_load_settings (arguments.settings, &settings);
  if (code != 0 || arguments.check)
    return code;
  signal (SIGPIPE, SIG_IGN);
  return _bgap_main_serve (&settings);
}
