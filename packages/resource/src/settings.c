#include "banyangap/resource/settings.h"

#include <string.h>
#include <yaml.h>

#include "read.h"
#include "scan.h"
#include "text.h"

/* A settings file consists of one small document.  */
static const struct bgap_scan_limits limits = {
  .text_max = (size_t)64 * 1024,
  .documents_max = 1,
  .nodes_max = 1024,
};

static void
_bgap_settings_add_empty (struct bgap_findings *findings, const char *file)
{
  struct bgap_finding finding = {
    .line = 1,
    .column = 1,
    .message = "the settings are empty",
    .remedy = "write the fields listed in docs/resources.md",
  };
  bgap_text_copy (finding.file, sizeof finding.file, file);
  bgap_findings_add (findings, &finding);
}

/* Two sockets of one process cannot listen on the same address.  */
static void
_bgap_settings_check_addresses (const struct bgap_settings *settings,
                                struct bgap_reader *reader,
                                const yaml_node_t *root)
{
  const char *const addresses[] = {
    settings->callers_address,
    settings->peers_address,
    settings->operators_address,
  };
  const char *const names[]
      = { "callers_address", "peers_address", "operators_address" };
  for (size_t i = 1; i < sizeof addresses / sizeof *addresses; i++)
    for (size_t j = 0; j < i; j++)
      if (addresses[i][0] != '\0' && strcmp (addresses[i], addresses[j]) == 0)
        bgap_read_fail (reader, root, names[i], "give each a port of its own",
                        "%s is also %s", addresses[i], names[j]);
}

static enum bgap_status
_bgap_settings_load (struct bgap_settings *settings, yaml_parser_t *parser,
                     const char *file, struct bgap_findings *findings)
{
  yaml_document_t document;
  if (!yaml_parser_load (parser, &document))
    return bgap_scan_syntax (parser, file, findings);
  struct bgap_reader reader
      = { .document = &document, .file = file, .findings = findings };
  yaml_node_t *root = yaml_document_get_root_node (&document);
  if (root == NULL)
    {
      _bgap_settings_add_empty (findings, file);
      reader.failed = true;
    }
  else
    {
      bgap_read_mapping (&reader, root, &bgap_schema_settings, settings, "",
                         NULL);
      _bgap_settings_check_addresses (settings, &reader, root);
    }
  yaml_document_delete (&document);
  return reader.failed ? BGAP_ERR_INVALID : BGAP_OK;
}

enum bgap_status
bgap_settings_parse (struct bgap_settings *settings, const char *text,
                     size_t size, const char *file,
                     struct bgap_findings *findings)
{
  *settings = (struct bgap_settings){ 0 };
  enum bgap_status status = bgap_scan (text, size, file, &limits, findings);
  if (status != BGAP_OK)
    return status;
  yaml_parser_t parser;
  if (!yaml_parser_initialize (&parser))
    return BGAP_ERR_NO_MEMORY;
  yaml_parser_set_input_string (&parser, (const unsigned char *)text, size);
  status = _bgap_settings_load (settings, &parser, file, findings);
  yaml_parser_delete (&parser);
  return status;
}
