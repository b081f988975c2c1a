/** @file percentile.h  Percentiles of arrays of double. */
#ifndef TOOLS_LOAD_PERCENTILE_H
#define TOOLS_LOAD_PERCENTILE_H

#include <glib.h>

/** Sorts an array of double in ascending order. */
void percentile_sort(GArray *values);

/** Returns the nearest-rank percentile for @p share (0 to 1); 0 if the array is empty. */
double percentile_of(const GArray *sorted, double share);

#endif
