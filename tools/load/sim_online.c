/** @file sim_online.c  Online arrivals in bursts; engines chosen by the product's own function. */
#include "routing/route.h"
#include "tools/load/sim_world.h"

#include <math.h>

#define MS_PER_S 1000.0
#define NOTICE_BYTES 90
#define ACKNOWLEDGE_BYTES 70
#define PREFIX_SHARE 0.6

static double exponential(sim_world *world, double mean) {
    return -mean * log(1.0 - g_rand_double(world->random));
}

static int between(sim_world *world, int low, int high) {
    return g_rand_int_range(world->random, low, high + 1);
}

/** Counters are busy, then idle, for random times. */
static void advance_phase(sim_world *world) {
    const sim_desk *desk = world->options->desk;
    while (world->now_ms >= world->phase_ends_ms) {
        world->busy = !world->busy;
        world->phase_ends_ms +=
            exponential(world, world->busy ? desk->busy_mean_ms : desk->idle_mean_ms);
    }
}

static void plan_next(sim_world *world) {
    const sim_desk *desk = world->options->desk;
    double rate = world->busy ? desk->busy_rate_per_s : desk->idle_rate_per_s;
    sim_events_add(world->events,
                   (sim_event){.kind = SIM_ONLINE_ARRIVAL,
                               .time_ms = world->now_ms + exponential(world, MS_PER_S / rate)});
}

void sim_online_begin(sim_world *world) {
    advance_phase(world);
    plan_next(world);
}

/** Online requests on the engine, as the edge knows them under this way. */
static uint32_t known_load(const sim_world *world, int edge, int engine) {
    const sim_engine *target = &world->engines[engine];
    int own = world->in_flight[edge * world->options->desk->engines + engine];
    int known = world->known_online[edge * world->options->desk->engines + engine];
    if (world->options->way == SIM_ORACLE)
        return (uint32_t)target->online_true;
    if (world->options->way == SIM_HOME)
        return (uint32_t)target->online_known;
    return (uint32_t)MAX(own, known);
}

static int choose_engine(sim_world *world, int edge, uint64_t prefix) {
    int count = world->options->desk->engines;
    g_autofree hs_route_candidate *candidates = g_new0(hs_route_candidate, count);
    for (int engine = 0; engine < count; engine++)
        candidates[engine] = (hs_route_candidate){
            .online_in_flight = known_load(world, edge, engine),
            .same_zone = world->engines[engine].zone == sim_edge_zone(world, edge),
            .holds_model = true,
            .available = true,
            .prefix_weight =
                (prefix * 0x9e3779b97f4a7c15ULL) ^ ((uint64_t)engine * 0xc2b2ae3d27d4eb4fULL)};
    return hs_route_pick(candidates, (uint32_t)count, world->random).index;
}

/** The edge tells the engine's scheduler; the scheduler stands in the engine's zone. */
static void send_notice(sim_world *world, int edge, int engine, int change, double extra_ms) {
    double delay =
        extra_ms + sim_delay(world, sim_edge_zone(world, edge), world->engines[engine].zone);
    if (world->options->way == SIM_ORACLE)
        delay = 0;
    world->control_bytes += NOTICE_BYTES;
    sim_events_add(world->events, (sim_event){.kind = SIM_NOTICE,
                                              .time_ms = world->now_ms + delay,
                                              .engine = engine,
                                              .edge = edge,
                                              .count = change});
}

static sim_sequence *new_request(sim_world *world, int edge) {
    const sim_desk *desk = world->options->desk;
    sim_sequence *request = g_new0(sim_sequence, 1);
    g_ptr_array_add(world->sequences, request);
    uint32_t prompt = (uint32_t)between(world, desk->prompt_min, desk->prompt_max);
    request->sequence = (engine_sequence){
        .priority = 0,
        .prompt_tokens = prompt,
        .max_tokens = (uint32_t)between(world, desk->answer_min, desk->answer_max),
        .prefix_hash = (uint64_t)between(world, 1, desk->prefixes),
        .prefix_tokens = (uint32_t)(prompt * PREFIX_SHARE),
        .owner = request};
    request->edge = edge;
    request->sent_ms = world->now_ms;
    return request;
}

void sim_online_arrive(sim_world *world) {
    const sim_desk *desk = world->options->desk;
    advance_phase(world);
    plan_next(world);
    int edge = between(world, 0, desk->edges - 1);
    sim_sequence *request = new_request(world, edge);
    request->engine = choose_engine(world, edge, request->sequence.prefix_hash);
    sim_engine *engine = &world->engines[request->engine];
    double delay = sim_delay(world, sim_edge_zone(world, edge), engine->zone);
    /* Way B passes the engine's home daemon on both ways. */
    double hop = world->options->way == SIM_HOME ? desk->local_delay_ms : 0;
    request->return_delay_ms = delay + hop + desk->caller_delay_ms;
    world->online_requests++;
    world->in_flight[edge * desk->engines + request->engine]++;
    engine->online_true++;
    sim_events_add(world->events,
                   (sim_event){.kind = SIM_ONLINE_SUBMIT,
                               .time_ms = world->now_ms + desk->caller_delay_ms + delay + hop,
                               .engine = request->engine,
                               .item = request});
    send_notice(world, edge, request->engine, 1, desk->caller_delay_ms);
}

void sim_online_submit(sim_world *world, const sim_event *event) {
    sim_sequence *request = event->item;
    engine_model_submit(world->engines[event->engine].model, &request->sequence);
    sim_engine_wake(world, event->engine);
}

void sim_online_finished(sim_world *world, sim_sequence *request) {
    const sim_desk *desk = world->options->desk;
    sim_engine *engine = &world->engines[request->engine];
    engine->online_true--;
    world->in_flight[request->edge * desk->engines + request->engine]--;
    double back = sim_delay(world, sim_edge_zone(world, request->edge), engine->zone);
    send_notice(world, request->edge, request->engine, -1, back);
}

void sim_online_notice(sim_world *world, const sim_event *event) {
    sim_engine *engine = &world->engines[event->engine];
    engine->online_known += event->count;
    if (engine->online_known == 0)
        engine->online_ended_ms = world->now_ms;
    world->control_bytes += ACKNOWLEDGE_BYTES;
    double delay = sim_delay(world, sim_edge_zone(world, event->edge), engine->zone);
    sim_events_add(world->events, (sim_event){.kind = SIM_ACKNOWLEDGE,
                                              .time_ms = world->now_ms + delay,
                                              .engine = event->engine,
                                              .edge = event->edge,
                                              .count = engine->online_known});
    if (world->options->way != SIM_LAGGING)
        sim_batch_schedule(world, event->engine);
}
