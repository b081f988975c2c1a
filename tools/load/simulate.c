/** @file simulate.c  The loop of virtual time; see sim_desk.h. */
#include "tools/load/percentile.h"
#include "tools/load/sim_world.h"

#define MS_PER_S 1000.0
#define WARM_UP_SHARE 0.1

double sim_delay(const sim_world *world, int from_zone, int to_zone) {
    const sim_desk *desk = world->options->desk;
    return from_zone == to_zone ? desk->local_delay_ms : desk->zone_delay_ms;
}

int sim_edge_zone(const sim_world *world, int edge) {
    return edge % world->options->desk->zones;
}

void sim_engine_wake(sim_world *world, int index) {
    sim_engine *engine = &world->engines[index];
    if (engine->stepping)
        return;
    double duration_ms = engine_model_step_begin(engine->model);
    if (duration_ms <= 0)
        return;
    engine->stepping = true;
    sim_events_add(
        world->events,
        (sim_event){.kind = SIM_STEP_END, .time_ms = world->now_ms + duration_ms, .engine = index});
}

/** Figures of the first tenth of the run are left out. */
static bool is_measured(const sim_world *world) {
    return world->now_ms >= world->options->seconds * MS_PER_S * WARM_UP_SHARE;
}

static void take_token(engine_sequence *sequence, void *user_data) {
    sim_world *world = user_data;
    sim_sequence *item = sequence->owner;
    bool done = sequence->state == ENGINE_SEQUENCE_DONE;
    if (item->batch) {
        if (done)
            sim_batch_finished(world, item);
        return;
    }
    if (is_measured(world)) {
        bool first = item->last_token_ms == 0;
        double value = first ? world->now_ms + item->return_delay_ms - item->sent_ms
                             : world->now_ms - item->last_token_ms;
        g_array_append_val(first ? world->first_tokens : world->gaps, value);
    }
    item->last_token_ms = world->now_ms;
    if (done)
        sim_online_finished(world, item);
}

static void end_step(sim_world *world, int index) {
    sim_engine *engine = &world->engines[index];
    engine->stepping = false;
    engine_model_step_end(engine->model, take_token, world);
    sim_engine_wake(world, index);
}

static void take_event(sim_world *world, const sim_event *event) {
    switch (event->kind) {
    case SIM_ONLINE_ARRIVAL:
        sim_online_arrive(world);
        break;
    case SIM_ONLINE_SUBMIT:
        sim_online_submit(world, event);
        break;
    case SIM_NOTICE:
        sim_online_notice(world, event);
        break;
    case SIM_STEP_END:
        end_step(world, event->engine);
        break;
    case SIM_SCHEDULE:
        sim_batch_tick(world, event->engine);
        break;
    case SIM_BATCH_SUBMIT:
        sim_batch_submit(world, event);
        break;
    case SIM_BATCH_CANCEL:
        sim_batch_cancel(world, event);
        break;
    case SIM_ACKNOWLEDGE:
        world->known_online[event->edge * world->options->desk->engines + event->engine] =
            event->count;
        break;
    case SIM_SAMPLE:
        sim_batch_sample(world);
        break;
    }
}

static sim_world *new_world(const sim_options *options) {
    sim_world *world = g_new0(sim_world, 1);
    const sim_desk *desk = options->desk;
    world->options = options;
    world->events = sim_events_new();
    world->random = g_rand_new_with_seed(options->seed);
    world->engines = g_new0(sim_engine, desk->engines);
    world->known_online = g_new0(int, desk->edges * desk->engines);
    world->in_flight = g_new0(int, desk->edges * desk->engines);
    world->first_tokens = g_array_new(FALSE, FALSE, sizeof(double));
    world->gaps = g_array_new(FALSE, FALSE, sizeof(double));
    world->sequences = g_ptr_array_new_with_free_func(g_free);
    for (int index = 0; index < desk->engines; index++) {
        sim_engine *engine = &world->engines[index];
        engine->model = engine_model_new(&engine_model_default_settings);
        engine->zone = index % desk->zones;
        engine->batch = g_ptr_array_new();
        engine->paused = g_ptr_array_new();
        engine->samples = g_array_new(FALSE, FALSE, sizeof(sim_sample));
    }
    return world;
}

static void free_world(sim_world *world) {
    for (int index = 0; index < world->options->desk->engines; index++) {
        engine_model_free(world->engines[index].model);
        g_ptr_array_free(world->engines[index].batch, TRUE);
        g_ptr_array_free(world->engines[index].paused, TRUE);
        g_array_free(world->engines[index].samples, TRUE);
    }
    g_free(world->engines);
    g_free(world->known_online);
    g_free(world->in_flight);
    g_array_free(world->first_tokens, TRUE);
    g_array_free(world->gaps, TRUE);
    g_ptr_array_free(world->sequences, TRUE);
    g_rand_free(world->random);
    sim_events_free(world->events);
    g_free(world);
}

static sim_result read_result(sim_world *world) {
    double seconds = world->options->seconds;
    percentile_sort(world->first_tokens);
    percentile_sort(world->gaps);
    return (sim_result){.online_requests = world->online_requests,
                        .first_token_p50_ms = percentile_of(world->first_tokens, 0.50),
                        .first_token_p95_ms = percentile_of(world->first_tokens, 0.95),
                        .first_token_p99_ms = percentile_of(world->first_tokens, 0.99),
                        .gap_p50_ms = percentile_of(world->gaps, 0.50),
                        .gap_p95_ms = percentile_of(world->gaps, 0.95),
                        .gap_p99_ms = percentile_of(world->gaps, 0.99),
                        .batch_items_per_s = (double)world->items_completed / seconds,
                        .batch_tokens_per_s = (double)world->item_tokens / seconds,
                        .preemptions = world->preemptions,
                        .control_bytes_per_s = world->control_bytes / seconds};
}

sim_result sim_run(const sim_options *options) {
    sim_world *world = new_world(options);
    if (options->way != SIM_BATCH_ALONE)
        sim_online_begin(world);
    sim_batch_begin(world);
    sim_event event;
    while (sim_events_next(world->events, &event)) {
        world->now_ms = event.time_ms;
        if (world->now_ms >= options->seconds * MS_PER_S)
            break;
        take_event(world, &event);
    }
    sim_result result = read_result(world);
    free_world(world);
    return result;
}
