/** @file engine_slot.c  See engine_slot.h. */
#include "scheduling/engine_slot.h"

#include <string.h>

#define FAILURE_WAIT_MS 250
#define MAX_DOUBLINGS 5U

hs_engine_slot *hs_engine_slot_new(const char *id, const char *url) {
    hs_engine_slot *slot = g_new0(hs_engine_slot, 1);
    g_strlcpy(slot->id, id, sizeof slot->id);
    g_strlcpy(slot->url, url, sizeof slot->url);
    slot->models = g_ptr_array_new_with_free_func(g_free);
    slot->running = g_ptr_array_new();
    hs_online_load_init(&slot->load);
    return slot;
}

void hs_engine_slot_free(hs_engine_slot *slot) {
    g_ptr_array_free(slot->models, TRUE);
    g_ptr_array_free(slot->running, TRUE);
    hs_online_load_clear(&slot->load);
    g_free(slot);
}

static hs_pacing_limits limits_of(const hs_engine_slot *slot, const hs_pacing_settings *pacing,
                                  uint64_t now_ms) {
    hs_pacing_view view = {.online = slot->load.total, .online_ended_ms = slot->load.ended_ms};
    return hs_pacing_limits_of(pacing, &view, now_ms);
}

uint32_t hs_engine_slot_room(const hs_engine_slot *slot, const hs_pacing_settings *pacing,
                             uint64_t now_ms) {
    if (!slot->assigned || slot->leaving || now_ms < slot->refused_until_ms)
        return 0;
    uint32_t limit = limits_of(slot, pacing, now_ms).start;
    uint32_t room = limit > slot->running->len ? limit - slot->running->len : 0;
    return MIN(room, hs_pacing_starts(pacing, slot->last_start_ms, now_ms));
}

uint32_t hs_engine_slot_excess(const hs_engine_slot *slot, const hs_pacing_settings *pacing,
                               uint64_t now_ms) {
    uint32_t limit = limits_of(slot, pacing, now_ms).running;
    return slot->running->len > limit ? slot->running->len - limit : 0;
}

void hs_engine_slot_note_failure(hs_engine_slot *slot, uint64_t now_ms) {
    /* Items that failed together count as one failure: they were all out before the first came. */
    if (now_ms < slot->refused_until_ms)
        return;
    uint64_t wait_ms = (uint64_t)FAILURE_WAIT_MS << MIN(slot->failures_in_row, MAX_DOUBLINGS);
    slot->failures_in_row++;
    slot->refused_until_ms = now_ms + wait_ms;
}

void hs_engine_slot_note_success(hs_engine_slot *slot) {
    slot->failures_in_row = 0;
}

bool hs_engine_slot_serves(const hs_engine_slot *slot, const char *model) {
    for (guint index = 0; index < slot->models->len; index++)
        if (strcmp(slot->models->pdata[index], model) == 0)
            return true;
    return false;
}
