#ifndef BGAPD_CELL_SERVICE_H
#define BGAPD_CELL_SERVICE_H

/*
 * Keyed services with their cells and the home cell of each slice, derived
 * from the configuration.
 */

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "banyangap/ownership/home.h"
#include "banyangap/ownership/limits.h"
#include "banyangap/ownership/placement.h"
#include "banyangap/resource/set.h"

/* Cells of one service.  */
#define BGAP_CELL_SERVICE_CELLS_MAX 64

/**
 * struct bgap_cell_service - a keyed service
 * @name: "<owner>.<service>"
 * @region: cells span the zones of a region
 * @weights, @moves_per_minute: of the ownership policy
 * @cells: names and slots, ordered by name
 * @home: index into @cells per slice
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
 * bgap_cell_services_make() - table of the keyed services of a configuration
 */
struct bgap_cell_service *
bgap_cell_services_make (const struct bgap_resource_set *set);

void bgap_cell_services_free (struct bgap_cell_service **services);

const struct bgap_cell_service *
bgap_cell_services_find (const struct bgap_cell_service *services,
                         const char *name);

/**
 * bgap_cell_service_in() - the service has slices in the cell
 */
bool bgap_cell_service_in (const struct bgap_cell_service *service,
                           const char *cell);

/**
 * bgap_cell_service_home() - one byte per slice, non-zero if at home in @cell
 *
 * Return: to be freed by the caller, or NULL without memory.
 */
unsigned char *bgap_cell_service_home (const struct bgap_cell_service *service,
                                       const char *cell);

/**
 * bgap_cell_has_zone() - a zone belongs to a cell
 */
bool bgap_cell_has_zone (const struct bgap_resource_set *set, const char *cell,
                         const char *zone);

#endif
