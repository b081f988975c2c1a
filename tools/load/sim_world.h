/** @file sim_world.h  State of one simulated run; shared by its parts. */
#ifndef TOOLS_LOAD_SIM_WORLD_H
#define TOOLS_LOAD_SIM_WORLD_H

#include "standin/engine/engine_model.h"
#include "tools/load/sim_desk.h"
#include "tools/load/sim_events.h"

#include <glib.h>

#define SIM_BATCH_PRIORITY 10

/** An online request or a batch item at an engine. */
typedef struct {
    engine_sequence sequence;
    bool batch;
    int engine;
    int edge;
    double sent_ms;       /**< When its caller planned to send it. */
    double last_token_ms; /**< 0: none yet. */
    double return_delay_ms;
    bool cancelling; /**< A cancel is on its way. */
} sim_sequence;

/** What an engine's samples hold, for lagging reports. */
typedef struct {
    double time_ms;
    int online;
    int batch;
} sim_sample;

typedef struct {
    engine_model *model;
    int zone;
    bool stepping;
    int online_true;        /**< Online sequences on the engine or on their way. */
    int online_known;       /**< As its scheduler counts them. */
    double online_ended_ms; /**< When the known count fell to 0. */
    GPtrArray *batch;       /**< of sim_sequence*: sent to the engine and not back yet */
    double last_start_ms;   /**< When the last item was sent to it; 0: never. */
    GPtrArray *paused;      /**< of sim_sequence*: stepped aside, to be sent again */
    GArray *samples;        /**< of sim_sample */
} sim_engine;

typedef struct {
    const sim_options *options;
    sim_events *events;
    GRand *random;
    double now_ms;
    sim_engine *engines;
    int *known_online; /**< [edge][engine]: what the edge last heard */
    int *in_flight;    /**< [edge][engine]: the edge's own requests */
    bool busy;
    double phase_ends_ms;
    GArray *first_tokens; /**< of double, ms */
    GArray *gaps;         /**< of double, ms */
    uint64_t online_requests;
    uint64_t items_completed;
    uint64_t item_tokens;
    uint64_t preemptions;
    double control_bytes;
    GPtrArray *sequences; /**< All, for freeing. */
} sim_world;

/** One-way delay between an edge's or daemon's zone and an engine's. */
double sim_delay(const sim_world *world, int from_zone, int to_zone);
int sim_edge_zone(const sim_world *world, int edge);

/** Online arrivals and the choice of their engines (sim_online.c). */
void sim_online_begin(sim_world *world);
void sim_online_arrive(sim_world *world);
void sim_online_submit(sim_world *world, const sim_event *event);
void sim_online_finished(sim_world *world, sim_sequence *sequence);
void sim_online_notice(sim_world *world, const sim_event *event);

/** Batch admission and stepping aside (sim_batch.c). */
void sim_batch_begin(sim_world *world);
void sim_batch_schedule(sim_world *world, int engine);
void sim_batch_tick(sim_world *world, int engine);
void sim_batch_sample(sim_world *world);
void sim_batch_submit(sim_world *world, const sim_event *event);
void sim_batch_cancel(sim_world *world, const sim_event *event);
void sim_batch_finished(sim_world *world, sim_sequence *sequence);

/** Begin a step if the engine is at rest and has work. */
void sim_engine_wake(sim_world *world, int engine);

#endif
