#ifndef BGAPD_CELL_SERVICE_H
#define BGAPD_CELL_SERVICE_H

/*
 * Table of the keyed services of a configuration, with the cells of each
 * service and the home cell of each slice.
 */

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "banyangap/ownership/home.h"
#include "banyangap/ownership/limits.h"
#include "banyangap/ownership/placement.h"
#include "banyangap/resource/set.h"

/* Largest number of cells of one service.  */
#define BGAP_CELL_SERVICE_CELLS_MAX 64

/**
 * struct bgap_cell_service - a keyed service
 * @name: "<owner>.<service>"
 * @region: each cell spans the zones of a region, instead of one zone
 * @weights: placement weights of the ownership policy
 * @moves_per_minute: limit of the ownership policy
 * @slices: number of slices
 * @cells: the cells, ordered by name; their names point into @cell_names
 * @home: index into @cells of the home cell, per slice
 */
struct bgap_cell_service
{
  char name[BGAP_NAME_SIZE];
  bool region;
  struct bgap_placement_weights weights;
  uint32_t moves_per_minute;
  uint32_t slices;
  uint32_t cell_count;
  struct bgap_home_cell cells[BGAP_CELL_SERVICE_CELLS_MAX];
  char cell_names[BGAP_CELL_SERVICE_CELLS_MAX][BGAP_NAME_SIZE];
  uint8_t *home;
  UT_hash_handle hh;
};

/**
 * bgap_cell_services_new() - create the table for a configuration
 *
 * Leaves out services without servers, and those whose full name is too long.
 *
 * Return: the table, or NULL if it has no services.
 */
struct bgap_cell_service *
bgap_cell_services_new (const struct bgap_resource_set *set);

void bgap_cell_services_free (struct bgap_cell_service **services);

const struct bgap_cell_service *
bgap_cell_services_find (const struct bgap_cell_service *services,
                         const char *name);

/**
 * bgap_cell_service_has_cell() - whether a cell is one of the service's cells
 */
bool bgap_cell_service_has_cell (const struct bgap_cell_service *service,
                                 const char *cell);

/**
 * bgap_cell_service_home_slices() - slices whose home cell is @cell
 *
 * Return: one byte per slice, non-zero if @cell is its home, to be freed by
 * the caller; or NULL if memory is exhausted.
 */
unsigned char *
bgap_cell_service_home_slices (const struct bgap_cell_service *service,
                               const char *cell);

/**
 * bgap_cell_has_zone() - whether a zone belongs to a cell
 */
bool bgap_cell_has_zone (const struct bgap_resource_set *set, const char *cell,
                         const char *zone);

#endif
