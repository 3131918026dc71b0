#include <stdio.h>
#include <string.h>

#include "commands.h"
#include "output.h"

enum bgap_ctl_exit
bgap_ctl_load (const struct bgap_ctl_options *options,
               struct bgap_ctl_files *files)
{
  struct bgap_error err = { 0 };
  if (bgap_ctl_files_load (files, options->args, options->arg_count, &err)
      != BGAP_OK)
    {
      fprintf (stderr, "banyangapctl: %s\n", err.message);
      return BGAP_CTL_USAGE;
    }
  if (bgap_findings_empty (&files->findings))
    return BGAP_CTL_OK;
  bgap_ctl_print_findings (options, &files->findings);
  return BGAP_CTL_REFUSED;
}

enum bgap_ctl_exit
bgap_ctl_check (const struct bgap_ctl_options *options)
{
  struct bgap_ctl_files files;
  const enum bgap_ctl_exit status = bgap_ctl_load (options, &files);
  if (status == BGAP_CTL_OK && options->json)
    bgap_ctl_print_findings (options, &files.findings);
  else if (status == BGAP_CTL_OK)
    printf ("%u files, no findings\n", files.file_count);
  bgap_ctl_files_shutdown (&files);
  return status;
}

/* Appends the differences between the documents in force and the files.
   Documents that this release cannot parse count as missing.  */
static enum bgap_ctl_exit
_bgap_ctl_diff_documents (const struct bgap_ctl_files *files,
                          const char *documents, struct bgap_buffer *changes)
{
  struct bgap_resource_set before;
  struct bgap_findings findings = { 0 };
  const struct bgap_resource_set_desc desc = { 0 };
  enum bgap_status status = bgap_resource_set_setup (&before, &desc);
  if (status == BGAP_OK
      && bgap_resource_parse (&before, documents, strlen (documents),
                              "in force", &findings)
             != BGAP_OK)
    fprintf (stderr, "banyangapctl: the documents in force have findings for "
                     "this release; the differences are incomplete\n");
  if (status == BGAP_OK)
    status = bgap_resource_diff (&before, &files->set, changes);
  bgap_findings_shutdown (&findings);
  bgap_resource_set_shutdown (&before);
  if (status == BGAP_OK)
    return BGAP_CTL_OK;
  fprintf (stderr, "banyangapctl: %s\n", bgap_status_name (status));
  return BGAP_CTL_REFUSED;
}

enum bgap_ctl_exit
bgap_ctl_compare (const struct bgap_ctl_options *options,
                  const struct bgap_ctl_files *files, const char **owner,
                  int64_t *version, struct bgap_buffer *changes)
{
  *owner = options->owner ? options->owner : files->owner;
  if (**owner == '\0')
    return bgap_ctl_usage ("the files name no single owner; use --owner");
  struct bgap_buffer path = { 0 };
  bgap_buffer_printf (&path, "/config?owner=");
  bgap_ctl_append_encoded (&path, *owner);
  struct bgap_ctl_reply reply;
  enum bgap_ctl_exit status
      = bgap_ctl_request (options, path.data, NULL, 0, &reply);
  bgap_buffer_shutdown (&path);
  if (status != BGAP_CTL_OK)
    return status;
  if (reply.status != 200 && reply.status != 404)
    return bgap_ctl_print_error (&reply);
  /* The instance answers 404 for an owner without a configuration.  */
  *version = reply.status == 200 ? bgap_ctl_number (reply.json, "version") : 0;
  status = _bgap_ctl_diff_documents (
      files,
      reply.status == 200 ? bgap_ctl_text (reply.json, "documents") : "",
      changes);
  json_decref (reply.json);
  return status;
}

static void
_bgap_ctl_print_changes (const struct bgap_ctl_options *options,
                         const char *owner, int64_t version,
                         const struct bgap_buffer *changes)
{
  const char *text = changes->data ? changes->data : "";
  if (options->json)
    {
      json_t *report = json_pack ("{s:s, s:I, s:s}", "owner", owner, "version",
                                  (json_int_t)version, "changes", text);
      bgap_ctl_print_json (report, true);
      json_decref (report);
      return;
    }
  fputs (text, stdout);
  fprintf (stderr, "owner %s, version in force %lld%s\n", owner,
           (long long)version, *text ? "" : ", no differences");
}

enum bgap_ctl_exit
bgap_ctl_diff (const struct bgap_ctl_options *options)
{
  struct bgap_ctl_files files;
  struct bgap_buffer changes = { 0 };
  const char *owner = "";
  int64_t version = 0;
  enum bgap_ctl_exit status = bgap_ctl_load (options, &files);
  if (status == BGAP_CTL_OK)
    status = bgap_ctl_compare (options, &files, &owner, &version, &changes);
  if (status == BGAP_CTL_OK)
    _bgap_ctl_print_changes (options, owner, version, &changes);
  bgap_buffer_shutdown (&changes);
  bgap_ctl_files_shutdown (&files);
  return status;
}

enum bgap_ctl_exit
bgap_ctl_get_command (const struct bgap_ctl_options *options)
{
  const char *owner = bgap_ctl_owner (options);
  json_t *json;
  const enum bgap_ctl_exit status
      = bgap_ctl_get_by_owner (options, "get", "/config", &json);
  if (status != BGAP_CTL_OK)
    return status;
  if (options->json)
    bgap_ctl_print_json (json, true);
  else
    {
      fputs (bgap_ctl_text (json, "documents"), stdout);
      fprintf (stderr, "owner %s, version in force %lld\n", owner,
               (long long)bgap_ctl_number (json, "version"));
    }
  json_decref (json);
  return BGAP_CTL_OK;
}
