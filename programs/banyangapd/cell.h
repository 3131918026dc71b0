#ifndef BGAPD_CELL_H
#define BGAPD_CELL_H

/*
 * One ownership engine with its I/O. Carries out the engine's actions and
 * feeds it the results.
 */

#include "banyangap/ownership/engine.h"
#include "cells.h"
#include "placer.h"

struct bgap_cell_append;

/**
 * struct bgap_cell - an engine
 * @desc: of the owning bgap_cells
 * @stream: "ownership.<cell>"
 * @appends: appends that the log has not answered
 */
struct bgap_cell
{
  const struct bgap_cells_desc *desc;
  char name[BGAP_NAME_SIZE];
  char stream[BGAP_NAME_SIZE + 16];
  struct bgap_engine *engine;
  struct bgap_placer *placer;
  struct bgap_cell_append *appends;
  struct bgap_cell *next;
  bool running;
};

/**
 * bgap_cell_new() - create the engine
 *
 * Return: the cell, or NULL.
 */
struct bgap_cell *bgap_cell_new (const struct bgap_cells_desc *desc,
                                 const char *name, uint64_t incarnation,
                                 enum bgap_witness_policy policy);

void bgap_cell_free (struct bgap_cell *cell);

/**
 * bgap_cell_run() - carry out all pending actions
 */
void bgap_cell_run (struct bgap_cell *cell);

#endif
