/**
 * @file plan.h
 * Plans which models the engines of a group load or unload next. Pure functions.
 *
 * A loaded model stays loaded until its capacity is needed for another one. Only copies of models
 * that the group no longer lists or has too many copies of are unloaded, and never the last copy of
 * a listed model that a rule routes to the group.
 */
#ifndef HS_PLACEMENT_PLAN_H
#define HS_PLACEMENT_PLAN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
    const char *id;
    GPtrArray *models; /**< Of char*: models loaded. */
    bool excluded; /**< Gets no orders and its copies do not count, as it is leaving or failing. */
} hs_placement_engine;

typedef struct {
    const char *name;
    uint32_t wanted; /**< Number of copies for the group; 0: none needed. */
    bool routed;     /**< A rule routes the model to this group. */
} hs_placement_model;

typedef enum { HS_PLACEMENT_LOAD, HS_PLACEMENT_UNLOAD } hs_placement_action;

typedef struct {
    hs_placement_action action;
    uint32_t engine; /**< Index into the engines. */
    char model[128];
} hs_placement_order;

typedef struct {
    uint32_t models_per_engine;
    uint32_t max_orders;
} hs_placement_settings;

/** Appends the next orders, of hs_placement_order, to @p orders. */
void hs_placement_plan(const hs_placement_settings *settings, const hs_placement_engine *engines,
                       uint32_t engine_count, const hs_placement_model *models,
                       uint32_t model_count, GArray *orders);

/**
 * Allocates the engines' capacity to models in proportion to their demand: at least one copy of
 * each model, at most one per engine. Without engines no copies are allocated. @p demand: by model,
 * in any unit. @p wanted: receives the number of copies by model.
 */
void hs_placement_allocate_copies(uint32_t engine_count, uint32_t models_per_engine,
                                  const double *demand, uint32_t model_count, uint32_t *wanted);

#endif
