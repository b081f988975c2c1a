/** @file sim_events.h  Queue of events in virtual time; ties go by order of insertion. */
#ifndef TOOLS_LOAD_SIM_EVENTS_H
#define TOOLS_LOAD_SIM_EVENTS_H

#include <stdbool.h>
#include <stdint.h>

typedef enum {
    SIM_ONLINE_ARRIVAL, /**< The next online request is sent by its caller. */
    SIM_ONLINE_SUBMIT,  /**< It reaches its engine. */
    SIM_NOTICE,         /**< A scheduler hears of online requests starting or ending. */
    SIM_STEP_END,       /**< An engine's step ends. */
    SIM_SCHEDULE,       /**< A scheduler looks at one engine. */
    SIM_BATCH_SUBMIT,   /**< A batch item reaches its engine. */
    SIM_BATCH_CANCEL,   /**< A cancel reaches the engine. */
    SIM_ACKNOWLEDGE,    /**< An edge hears an engine's load. */
    SIM_SAMPLE,         /**< Engines take a sample for their lagging reports. */
} sim_event_kind;

typedef struct {
    double time_ms;
    uint64_t order;
    sim_event_kind kind;
    int engine;
    int edge;
    int count;  /**< Change of online requests, or a load. */
    void *item; /**< A sim_sequence, where one is concerned. */
} sim_event;

typedef struct sim_events sim_events;

sim_events *sim_events_new(void);
void sim_events_free(sim_events *events);
void sim_events_add(sim_events *events, sim_event event);

/** Take the earliest event; false when there is none. */
bool sim_events_next(sim_events *events, sim_event *event);

#endif
