#ifndef BANYANGAPCTL_COMMANDS_H
#define BANYANGAPCTL_COMMANDS_H

#include "files.h"
#include "http.h"
#include "options.h"

/* The commands; each returns the exit status of the program.  */
enum bgap_ctl_exit bgap_ctl_check (const struct bgap_ctl_options *options);
enum bgap_ctl_exit bgap_ctl_diff (const struct bgap_ctl_options *options);
enum bgap_ctl_exit bgap_ctl_apply (const struct bgap_ctl_options *options);
enum bgap_ctl_exit
bgap_ctl_get_command (const struct bgap_ctl_options *options);
enum bgap_ctl_exit bgap_ctl_watch (const struct bgap_ctl_options *options);
enum bgap_ctl_exit bgap_ctl_dump (const struct bgap_ctl_options *options);
enum bgap_ctl_exit bgap_ctl_explain (const struct bgap_ctl_options *options);
enum bgap_ctl_exit bgap_ctl_faults (const struct bgap_ctl_options *options);
enum bgap_ctl_exit bgap_ctl_version (const struct bgap_ctl_options *options);

/**
 * bgap_ctl_load() - load the files of a command and print their findings
 *
 * Return: BGAP_CTL_OK, BGAP_CTL_REFUSED with findings, or BGAP_CTL_USAGE.
 */
enum bgap_ctl_exit bgap_ctl_load (const struct bgap_ctl_options *options,
                                  struct bgap_ctl_files *files);

/**
 * bgap_ctl_compare() - version in force of the files' owner, and differences
 * @owner: gets the owner, from the options or the files
 * @changes: gets the lines of bgap_resource_diff()
 */
enum bgap_ctl_exit bgap_ctl_compare (const struct bgap_ctl_options *options,
                                     const struct bgap_ctl_files *files,
                                     const char **owner, int64_t *version,
                                     struct bgap_buffer *changes);

/**
 * bgap_ctl_await() - wait for the verdict about the record at @offset
 */
enum bgap_ctl_exit bgap_ctl_await (const struct bgap_ctl_options *options,
                                   const char *owner, int64_t offset,
                                   const struct bgap_ctl_files *files);

#endif
