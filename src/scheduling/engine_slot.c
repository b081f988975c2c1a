/** @file engine_slot.c  See engine_slot.h. */
#include "scheduling/engine_slot.h"

#include <string.h>

#define FAILURE_BACKOFF_MS 250
#define MAX_BACKOFF_DOUBLINGS 5U

hs_batch_engine *hs_batch_engine_new(const char *id, const char *url) {
    hs_batch_engine *engine = g_new0(hs_batch_engine, 1);
    g_strlcpy(engine->id, id, sizeof engine->id);
    g_strlcpy(engine->url, url, sizeof engine->url);
    engine->models = g_ptr_array_new_with_free_func(g_free);
    engine->running = g_ptr_array_new();
    hs_online_load_init(&engine->load);
    return engine;
}

void hs_batch_engine_free(hs_batch_engine *engine) {
    g_ptr_array_free(engine->models, TRUE);
    g_ptr_array_free(engine->running, TRUE);
    hs_online_load_clear(&engine->load);
    g_free(engine);
}

static hs_pacing_limits compute_limits(const hs_batch_engine *engine,
                                       const hs_pacing_settings *pacing, uint64_t now_ms) {
    hs_pacing_view view = {.online = engine->load.total, .online_ended_ms = engine->load.ended_ms};
    return hs_pacing_compute_limits(pacing, &view, now_ms);
}

uint32_t hs_batch_engine_free_slot_count(const hs_batch_engine *engine,
                                         const hs_pacing_settings *pacing, uint64_t now_ms) {
    if (!engine->assigned || engine->leaving || now_ms < engine->backoff_until_ms)
        return 0;
    uint32_t limit = compute_limits(engine, pacing, now_ms).start;
    uint32_t free_slots = limit > engine->running->len ? limit - engine->running->len : 0;
    return MIN(free_slots, hs_pacing_allowed_start_count(pacing, engine->last_start_ms, now_ms));
}

uint32_t hs_batch_engine_excess_count(const hs_batch_engine *engine,
                                      const hs_pacing_settings *pacing, uint64_t now_ms) {
    uint32_t limit = compute_limits(engine, pacing, now_ms).running;
    return engine->running->len > limit ? engine->running->len - limit : 0;
}

void hs_batch_engine_note_failure(hs_batch_engine *engine, uint64_t now_ms) {
    /* Items that started before the first failure count together with that failure. */
    if (now_ms < engine->backoff_until_ms)
        return;
    uint64_t backoff_ms = (uint64_t)FAILURE_BACKOFF_MS
                          << MIN(engine->consecutive_failures, MAX_BACKOFF_DOUBLINGS);
    engine->consecutive_failures++;
    engine->backoff_until_ms = now_ms + backoff_ms;
}

void hs_batch_engine_note_success(hs_batch_engine *engine) {
    engine->consecutive_failures = 0;
}

bool hs_batch_engine_has_model(const hs_batch_engine *engine, const char *model) {
    for (guint index = 0; index < engine->models->len; index++)
        if (strcmp(engine->models->pdata[index], model) == 0)
            return true;
    return false;
}
