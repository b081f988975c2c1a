/** @file percentile.c  See percentile.h. */
#include "tools/load/percentile.h"

#include <math.h>

static gint compare_doubles(gconstpointer left, gconstpointer right) {
    double first = *(const double *)left;
    double second = *(const double *)right;
    return (first > second) - (first < second);
}

void percentile_sort(GArray *values) {
    g_array_sort(values, compare_doubles);
}

double percentile_of(const GArray *sorted, double share) {
    if (sorted->len == 0)
        return 0;
    guint rank = (guint)ceil(share * sorted->len);
    return g_array_index(sorted, double, CLAMP(rank, 1, sorted->len) - 1);
}
