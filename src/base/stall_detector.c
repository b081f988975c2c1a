/** @file stall_detector.c  See stall_detector.h. */
#include "base/stall_detector.h"

#include "base/clock.h"
#include "base/log.h"

void hs_stall_detector_init(hs_stall_detector *watch) {
    g_mutex_init(&watch->lock);
}

void hs_stall_detector_clear(hs_stall_detector *watch) {
    g_mutex_clear(&watch->lock);
}

static guint find_bucket(uint64_t stall_ms) {
    guint bucket = 0;
    while (bucket + 1 < HS_STALL_BUCKET_COUNT &&
           stall_ms >= ((uint64_t)HS_MIN_STALL_MS << (bucket + 1)))
        bucket++;
    return bucket;
}

void hs_stall_detector_check(hs_stall_detector *watch) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    uint64_t suspended_ms = hs_clock_suspended_ms();
    g_mutex_lock(&watch->lock);
    uint64_t stall_ms = watch->last_check_ms != 0 ? now_ms - watch->last_check_ms : 0;
    uint64_t suspended_delta_ms = suspended_ms - MIN(watch->suspended_ms, suspended_ms);
    bool is_stall = stall_ms >= HS_MIN_STALL_MS;
    watch->last_check_ms = now_ms;
    watch->suspended_ms = suspended_ms;
    if (is_stall) {
        watch->last_stall_ms = now_ms;
        watch->counts[find_bucket(stall_ms)]++;
    }
    g_mutex_unlock(&watch->lock);
    if (is_stall)
        hs_log_warning("daemon_stood_still",
                       "for_ms=%" G_GUINT64_FORMAT " machine_suspended_ms=%" G_GUINT64_FORMAT,
                       (guint64)stall_ms, (guint64)suspended_delta_ms);
}

uint64_t hs_stall_detector_get_last_stall_ms(hs_stall_detector *watch) {
    g_mutex_lock(&watch->lock);
    uint64_t last_stall_ms = watch->last_stall_ms;
    g_mutex_unlock(&watch->lock);
    return last_stall_ms;
}

char *hs_stall_detector_describe(hs_stall_detector *watch) {
    GString *text = g_string_new(NULL);
    uint64_t total = 0;
    g_mutex_lock(&watch->lock);
    for (guint bucket = 0; bucket < HS_STALL_BUCKET_COUNT; bucket++) {
        total += watch->counts[bucket];
        if (bucket + 1 < HS_STALL_BUCKET_COUNT)
            g_string_append_printf(
                text, "heathsail_stood_still_ms_bucket{le=\"%u\"} %" G_GUINT64_FORMAT "\n",
                (guint)HS_MIN_STALL_MS << (bucket + 1), (guint64)total);
    }
    g_mutex_unlock(&watch->lock);
    g_string_append_printf(text, "heathsail_stood_still_ms_count %" G_GUINT64_FORMAT "\n",
                           (guint64)total);
    return g_string_free(text, FALSE);
}
