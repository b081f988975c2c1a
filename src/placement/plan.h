/**
 * @file plan.h
 * Which models an engine group's engines should load or unload next. Pure.
 *
 * The plan is stable: what is loaded stays until its room is needed. A model's last copy in the
 * group is never unloaded while a rule routes to it, and room is made before it is needed only by
 * models that the group no longer lists or holds too often.
 */
#ifndef HS_PLACEMENT_PLAN_H
#define HS_PLACEMENT_PLAN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
    const char *id;
    GPtrArray *models; /**< of char*: models it holds */
    bool avoided;      /**< Leaving or failing: it gets no orders and its copies do not count. */
} hs_placement_engine;

typedef struct {
    const char *name;
    uint32_t wanted; /**< Copies the group should hold; 0: none needed. */
    bool routed;     /**< Some rule routes the model to this group. */
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

/** Orders to give next, of hs_placement_order, appended to @p orders. */
void hs_placement_plan(const hs_placement_settings *settings, const hs_placement_engine *engines,
                       uint32_t engine_count, const hs_placement_model *models,
                       uint32_t model_count, GArray *orders);

/**
 * Copies of each model by demand: at least one, at most one an engine, together as many as the
 * engines have room for. @p demand: any measure, by model. @p wanted: filled.
 */
void hs_placement_share(uint32_t engine_count, uint32_t models_per_engine, const double *demand,
                        uint32_t model_count, uint32_t *wanted);

#endif
