/** @file drain.c  See drain.h. */
#include "base/drain.h"

#include <glib.h>

struct hs_drain {
    GMutex lock;
    gint has_started; /**< Atomic, as each request asks. */
    hs_drain_times times;
    hs_interrupt expiry;
};

hs_drain *hs_drain_new(void) {
    hs_drain *drain = g_new0(hs_drain, 1);
    g_mutex_init(&drain->lock);
    hs_interrupt_init(&drain->expiry);
    return drain;
}

void hs_drain_free(hs_drain *drain) {
    if (drain == NULL)
        return;
    hs_interrupt_clear(&drain->expiry);
    g_mutex_clear(&drain->lock);
    g_free(drain);
}

void hs_drain_begin(hs_drain *drain, const hs_drain_times *times) {
    g_mutex_lock(&drain->lock);
    if (g_atomic_int_get(&drain->has_started) == 0)
        drain->times = *times;
    g_atomic_int_set(&drain->has_started, 1);
    g_mutex_unlock(&drain->lock);
}

bool hs_drain_get(hs_drain *drain, hs_drain_times *times) {
    if (drain == NULL || g_atomic_int_get(&drain->has_started) == 0)
        return false;
    *times = drain->times; /* Not changed any more. */
    return true;
}

uint64_t hs_drain_limit(hs_drain *drain, uint64_t time_ms) {
    hs_drain_times times;
    return hs_drain_get(drain, &times) ? MIN(time_ms, times.deadline_ms) : time_ms;
}

void hs_drain_expire(hs_drain *drain) {
    hs_interrupt_raise(&drain->expiry, HS_INTERRUPT_STOP);
}

bool hs_drain_has_expired(hs_drain *drain) {
    return drain != NULL && hs_interrupt_get(&drain->expiry) != HS_INTERRUPT_NONE;
}

hs_interrupt *hs_drain_interrupt(hs_drain *drain) {
    return drain != NULL ? &drain->expiry : NULL;
}
