/** @file compare.h  Orders numbers, for sorting and trees. Pure and thread-safe. */
#ifndef HS_BASE_COMPARE_H
#define HS_BASE_COMPARE_H

#include <glib.h>
#include <stdint.h>

/** Orders the numbers that two const uint64_t * point to, ascending; a GCompareFunc. */
static inline gint hs_compare_uint64(gconstpointer left, gconstpointer right) {
    uint64_t first = *(const uint64_t *)left;
    uint64_t second = *(const uint64_t *)right;
    return (first > second) - (first < second);
}

/** The same as a GCompareDataFunc; @p user_data is not used. */
static inline gint hs_compare_uint64_with_data(gconstpointer left, gconstpointer right,
                                               gpointer user_data) {
    (void)user_data;
    return hs_compare_uint64(left, right);
}

#endif
