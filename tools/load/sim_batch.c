/** @file sim_batch.c  Batch admission under each way, by the product's own pacing function. */
#include "tools/load/sim_world.h"

#define TICK_MS 2.0
#define LAGGING_TICK_MS 100.0
#define SAMPLE_MS 20.0
#define REPORT_LAG_MS 1000.0
#define SAMPLES_KEPT 100
#define POLL_BYTES 250
#define CANCEL_COST_MS 0.02 /* Cancels leave one after the other on a few connections. */
#define COMMAND_COST_MS 0.3 /* An HTTP exchange on the same machine or zone. */

static bool has_batch(const sim_world *world) {
    return world->options->way != SIM_ONLINE_ALONE;
}

void sim_batch_begin(sim_world *world) {
    if (!has_batch(world))
        return;
    for (int engine = 0; engine < world->options->desk->engines; engine++)
        sim_events_add(
            world->events,
            (sim_event){.kind = SIM_SCHEDULE, .time_ms = engine * 0.7, .engine = engine});
    if (world->options->way == SIM_LAGGING)
        sim_events_add(world->events, (sim_event){.kind = SIM_SAMPLE, .time_ms = 0});
}

void sim_batch_sample(sim_world *world) {
    for (int index = 0; index < world->options->desk->engines; index++) {
        sim_engine *engine = &world->engines[index];
        int online = (int)engine_model_count_before(engine->model, SIM_BATCH_PRIORITY);
        int all = (int)(engine->model->running->len + engine->model->waiting->len);
        sim_sample sample = {.time_ms = world->now_ms, .online = online, .batch = all - online};
        g_array_append_val(engine->samples, sample);
        if (engine->samples->len > SAMPLES_KEPT)
            g_array_remove_index(engine->samples, 0);
    }
    sim_events_add(world->events,
                   (sim_event){.kind = SIM_SAMPLE, .time_ms = world->now_ms + SAMPLE_MS});
}

/** The engine's report as it can be read now. */
static sim_sample lagging_report(const sim_world *world, const sim_engine *engine) {
    sim_sample shown = {0};
    for (guint index = 0; index < engine->samples->len; index++) {
        const sim_sample *sample = &g_array_index(engine->samples, sim_sample, index);
        if (sample->time_ms <= world->now_ms - REPORT_LAG_MS)
            shown = *sample;
    }
    return shown;
}

static hs_pacing_view pacing_view(const sim_world *world, const sim_engine *engine) {
    if (world->options->way == SIM_LAGGING) {
        sim_sample report = lagging_report(world, engine);
        return (hs_pacing_view){.online = (uint32_t)report.online};
    }
    int online = world->options->way == SIM_ORACLE ? engine->online_true : engine->online_known;
    return (hs_pacing_view){.online = (uint32_t)MAX(online, 0),
                            .online_ended_ms = (uint64_t)engine->online_ended_ms};
}

/** What the way allows on the engine now. */
static hs_pacing_limits limits_of(const sim_world *world, const sim_engine *engine) {
    const sim_options *options = world->options;
    if (options->way == SIM_NO_YIELDING || options->way == SIM_BATCH_ALONE)
        return (hs_pacing_limits){.running = options->pacing.max_batch,
                                  .start = options->pacing.max_batch};
    if (options->way == SIM_FIXED_CAP)
        return (hs_pacing_limits){.running = (uint32_t)options->fixed_cap,
                                  .start = (uint32_t)options->fixed_cap};
    hs_pacing_view view = pacing_view(world, engine);
    return hs_pacing_limits_of(&options->pacing, &view, (uint64_t)world->now_ms);
}

static sim_sequence *next_item(sim_world *world, sim_engine *engine, int index) {
    const sim_desk *desk = world->options->desk;
    if (engine->paused->len > 0) {
        sim_sequence *item = g_ptr_array_steal_index(engine->paused, 0);
        item->cancelling = false;
        return item;
    }
    sim_sequence *item = g_new0(sim_sequence, 1);
    g_ptr_array_add(world->sequences, item);
    item->batch = true;
    item->engine = index;
    item->sequence = (engine_sequence){
        .priority = world->options->way == SIM_NO_YIELDING ? 0 : SIM_BATCH_PRIORITY,
        .prompt_tokens = (uint32_t)desk->batch_prompt,
        .max_tokens = (uint32_t)desk->batch_answer,
        .owner = item};
    return item;
}

/** Delay of a command from whoever decides to the engine. */
static double command_delay(const sim_world *world) {
    const sim_desk *desk = world->options->desk;
    if (world->options->way == SIM_ORACLE)
        return 0;
    if (world->options->way == SIM_LAGGING)
        return desk->zone_delay_ms + COMMAND_COST_MS;
    return desk->local_delay_ms + COMMAND_COST_MS;
}

static void step_aside(sim_world *world, int index, uint32_t allowed) {
    sim_engine *engine = &world->engines[index];
    uint32_t staying = 0;
    uint32_t sent = 0;
    for (guint position = 0; position < engine->batch->len; position++) {
        sim_sequence *item = engine->batch->pdata[position];
        if (item->cancelling)
            continue;
        if (staying < allowed) {
            staying++;
            continue;
        }
        item->cancelling = true;
        sim_events_add(world->events, (sim_event){.kind = SIM_BATCH_CANCEL,
                                                  .time_ms = world->now_ms + command_delay(world) +
                                                             (world->options->way == SIM_ORACLE
                                                                  ? 0
                                                                  : CANCEL_COST_MS * ++sent),
                                                  .engine = index,
                                                  .item = item});
    }
}

static void send_items(sim_world *world, int index, uint32_t count) {
    sim_engine *engine = &world->engines[index];
    for (uint32_t sent = 0; sent < count; sent++) {
        sim_sequence *item = next_item(world, engine, index);
        g_ptr_array_add(engine->batch, item);
        sim_events_add(world->events, (sim_event){.kind = SIM_BATCH_SUBMIT,
                                                  .time_ms = world->now_ms + command_delay(world),
                                                  .engine = index,
                                                  .item = item});
    }
}

/**
 * Way A: each edge sees the same old report and does not know what the others send, so that all
 * of them fill the same room.
 */
static uint32_t lagging_room(const sim_world *world, const sim_engine *engine, uint32_t limit) {
    sim_sample report = lagging_report(world, engine);
    uint32_t room = limit > (uint32_t)report.batch ? limit - (uint32_t)report.batch : 0;
    uint32_t sent_unseen =
        engine->batch->len > (guint)report.batch ? engine->batch->len - (guint)report.batch : 0;
    uint32_t own_share = sent_unseen / (uint32_t)world->options->desk->edges;
    uint32_t each = room > own_share ? (room - own_share) : 0;
    uint32_t all = each * (uint32_t)world->options->desk->edges;
    uint32_t cap = 2 * world->options->pacing.max_batch;
    uint32_t ceiling = cap > engine->batch->len ? cap - engine->batch->len : 0;
    return MIN(all, ceiling);
}

void sim_batch_schedule(sim_world *world, int index) {
    if (!has_batch(world))
        return;
    sim_engine *engine = &world->engines[index];
    hs_pacing_limits limits = limits_of(world, engine);
    step_aside(world, index, limits.running);
    uint32_t room = limits.start > engine->batch->len ? limits.start - engine->batch->len : 0;
    if (world->options->way == SIM_LAGGING)
        room = lagging_room(world, engine, limits.start);
    const hs_pacing_settings *pacing = &world->options->pacing;
    if (world->options->way >= SIM_LAGGING)
        room = MIN(room, hs_pacing_starts(pacing, (uint64_t)engine->last_start_ms,
                                          (uint64_t)world->now_ms));
    if (room > 0)
        engine->last_start_ms = world->now_ms;
    send_items(world, index, room);
}

void sim_batch_submit(sim_world *world, const sim_event *event) {
    sim_sequence *item = event->item;
    engine_model_submit(world->engines[event->engine].model, &item->sequence);
    sim_engine_wake(world, event->engine);
}

void sim_batch_cancel(sim_world *world, const sim_event *event) {
    sim_sequence *item = event->item;
    sim_engine *engine = &world->engines[event->engine];
    if (item->sequence.state == ENGINE_SEQUENCE_DONE || !g_ptr_array_remove(engine->batch, item))
        return;
    engine_model_cancel(engine->model, &item->sequence);
    if (!world->options->keep_tokens)
        item->sequence.produced = 0;
    world->preemptions++;
    g_ptr_array_add(engine->paused, item);
}

void sim_batch_finished(sim_world *world, sim_sequence *item) {
    g_ptr_array_remove(world->engines[item->engine].batch, item);
    world->items_completed++;
    world->item_tokens += item->sequence.produced;
}

/** Polls cost bytes in way A; the others ride on notices. */
static double tick_of(sim_world *world) {
    if (world->options->way != SIM_LAGGING)
        return TICK_MS;
    world->control_bytes += POLL_BYTES * (double)world->options->desk->edges;
    return LAGGING_TICK_MS;
}

void sim_batch_tick(sim_world *world, int engine) {
    sim_batch_schedule(world, engine);
    sim_events_add(world->events, (sim_event){.kind = SIM_SCHEDULE,
                                              .time_ms = world->now_ms + tick_of(world),
                                              .engine = engine});
}
