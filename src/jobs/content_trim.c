/** @file content_trim.c  See content_trim.h. */
#include "jobs/content_trim.h"

#include <glib.h>

/** Longest time in ms between two complete reads that counts in full. */
#define MAX_READ_GAP_MS 1000

void hs_content_trim_add_read_time(hs_content_trim *trim, uint64_t from_ms, uint64_t to_ms) {
    if (trim->is_noted && to_ms > from_ms)
        trim->read_ms += MIN(to_ms - from_ms, MAX_READ_GAP_MS);
}

static bool is_noted_long_ago(const hs_content_trim *trim) {
    return trim->is_noted && trim->read_ms >= HS_CONTENT_TRIM_AGE_MS;
}

bool hs_content_trim_is_note_due(const hs_content_trim *trim) {
    return !trim->is_noted || is_noted_long_ago(trim);
}

uint64_t hs_content_trim_next(hs_content_trim *trim, uint64_t first_needed) {
    bool is_due = is_noted_long_ago(trim);
    uint64_t target = is_due ? MIN(trim->noted, first_needed) : 0;
    if (first_needed != UINT64_MAX && (is_due || !trim->is_noted)) {
        trim->is_noted = true;
        trim->noted = first_needed;
        trim->read_ms = 0;
    }
    return target > trim->trimmed_to ? target : 0;
}

void hs_content_trim_confirm(hs_content_trim *trim, uint64_t target) {
    trim->trimmed_to = MAX(trim->trimmed_to, target);
}
