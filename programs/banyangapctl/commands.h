#ifndef BANYANGAPCTL_COMMANDS_H
#define BANYANGAPCTL_COMMANDS_H

#include "files.h"
#include "http.h"
#include "options.h"

/* One function per command; each returns the exit status of the program.  */
enum bgap_ctl_exit bgap_ctl_check (const struct bgap_ctl_options *options);
enum bgap_ctl_exit bgap_ctl_diff (const struct bgap_ctl_options *options);
enum bgap_ctl_exit bgap_ctl_apply (const struct bgap_ctl_options *options);
enum bgap_ctl_exit
bgap_ctl_get_command (const struct bgap_ctl_options *options);
enum bgap_ctl_exit bgap_ctl_watch (const struct bgap_ctl_options *options);
enum bgap_ctl_exit bgap_ctl_dump (const struct bgap_ctl_options *options);
enum bgap_ctl_exit bgap_ctl_explain (const struct bgap_ctl_options *options);
enum bgap_ctl_exit bgap_ctl_route (const struct bgap_ctl_options *options);
enum bgap_ctl_exit bgap_ctl_faults (const struct bgap_ctl_options *options);
enum bgap_ctl_exit bgap_ctl_version (const struct bgap_ctl_options *options);

/**
 * bgap_ctl_load() - load the files of a command and print their findings
 * @files: must be shut down by the caller, whatever the result
 *
 * Return: BGAP_CTL_OK, BGAP_CTL_REFUSED if there are findings, or
 * BGAP_CTL_USAGE if a file cannot be loaded.
 */
enum bgap_ctl_exit bgap_ctl_load (const struct bgap_ctl_options *options,
                                  struct bgap_ctl_files *files);

/**
 * bgap_ctl_compare() - compare the files with the documents in force
 * @owner: gets the owner, from the options or the files
 * @version: gets the version in force, 0 if the owner has no configuration
 * @changes: gets the lines of bgap_resource_diff()
 */
enum bgap_ctl_exit bgap_ctl_compare (const struct bgap_ctl_options *options,
                                     const struct bgap_ctl_files *files,
                                     const char **owner, int64_t *version,
                                     struct bgap_buffer *changes);

/**
 * bgap_ctl_await() - wait for the verdict on the change at @offset (accepted,
 * refused or stale) and, if accepted, until all instances have it in force
 * @files: for the positions of findings
 */
enum bgap_ctl_exit bgap_ctl_await (const struct bgap_ctl_options *options,
                                   const char *owner, int64_t offset,
                                   const struct bgap_ctl_files *files);

#endif
