#ifndef BANYANGAPCTL_FILES_H
#define BANYANGAPCTL_FILES_H

/*
 * Loads the resources in files and folders.
 */

#include "banyangap/resource/set.h"

/**
 * struct bgap_ctl_file - position of a file in the joined text
 * @first_line: number of its first line in the text, from 1
 */
struct bgap_ctl_file
{
  char *path;
  uint32_t first_line;
};

/**
 * struct bgap_ctl_files - files of a command and the resources in them
 * @text: all files joined to one YAML text, as it is published
 * @set: resources of all files
 * @findings: findings of the parser and of the validation
 * @owner: the only owner in the files, "" if there are several or none
 */
struct bgap_ctl_files
{
  struct bgap_ctl_file *files;
  uint32_t file_count;
  struct bgap_buffer text;
  struct bgap_resource_set set;
  struct bgap_findings findings;
  char owner[BGAP_RESOURCE_NAME_SIZE];
};

/**
 * bgap_ctl_files_load() - read, parse and validate files
 * @paths: files, or folders of which the .yaml files are read
 *
 * Return: BGAP_OK (also with findings), or another status with a message in
 * @err.
 */
enum bgap_status bgap_ctl_files_load (struct bgap_ctl_files *files,
                                      char **paths, int count,
                                      struct bgap_error *err);

/**
 * bgap_ctl_files_locate() - convert positions in the joined text to positions
 * in the files
 */
void bgap_ctl_files_locate (const struct bgap_ctl_files *files,
                            struct bgap_findings *findings);

void bgap_ctl_files_shutdown (struct bgap_ctl_files *files);

#endif
