/** @file percentile.h  Percentiles of measured values. */
#ifndef TOOLS_LOAD_PERCENTILE_H
#define TOOLS_LOAD_PERCENTILE_H

#include <glib.h>

/** Sort an array of double, smallest first. */
void percentile_sort(GArray *values);

/** Value at or below which @p share (0 to 1) of the sorted values lie; 0 when there are none. */
double percentile_of(const GArray *sorted, double share);

#endif
