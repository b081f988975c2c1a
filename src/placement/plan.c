/** @file plan.c  See plan.h. */
#include "placement/plan.h"

#include <string.h>

/** State of one planning call. */
typedef struct {
    const hs_placement_settings *settings;
    const hs_placement_engine *engines;
    uint32_t engine_count;
    const hs_placement_model *models;
    uint32_t model_count;
    GArray *orders;
    bool *unloading; /**< By engine: has an unload order; it gets loads in a later plan only. */
} plan_state;

static bool holds(const hs_placement_engine *engine, const char *model) {
    for (guint index = 0; index < engine->models->len; index++)
        if (strcmp(engine->models->pdata[index], model) == 0)
            return true;
    return false;
}

/** Returns whether this plan has an order for the engine and model. */
static bool is_ordered(const plan_state *plan, uint32_t engine, const char *model) {
    for (guint index = 0; index < plan->orders->len; index++) {
        const hs_placement_order *order = &g_array_index(plan->orders, hs_placement_order, index);
        if (order->engine == engine && strcmp(order->model, model) == 0)
            return true;
    }
    return false;
}

/** Returns the number of models on the engine, including the loads of this plan. */
static uint32_t count_models(const plan_state *plan, uint32_t engine) {
    uint32_t count = plan->engines[engine].models->len;
    for (guint index = 0; index < plan->orders->len; index++) {
        const hs_placement_order *order = &g_array_index(plan->orders, hs_placement_order, index);
        count += order->engine == engine && order->action == HS_PLACEMENT_LOAD;
    }
    return count;
}

/** Returns the number of copies on usable engines after the orders of this plan. */
static uint32_t count_copies(const plan_state *plan, const char *model) {
    uint32_t copies = 0;
    for (uint32_t engine = 0; engine < plan->engine_count; engine++)
        copies += !plan->engines[engine].excluded && holds(&plan->engines[engine], model);
    for (guint index = 0; index < plan->orders->len; index++) {
        const hs_placement_order *order = &g_array_index(plan->orders, hs_placement_order, index);
        if (strcmp(order->model, model) == 0)
            copies += order->action == HS_PLACEMENT_LOAD ? 1U : -1U;
    }
    return copies;
}

static const hs_placement_model *find_model(const plan_state *plan, const char *name) {
    for (uint32_t index = 0; index < plan->model_count; index++)
        if (strcmp(plan->models[index].name, name) == 0)
            return &plan->models[index];
    return NULL;
}

static void add_order(plan_state *plan, hs_placement_action action, uint32_t engine,
                      const char *model) {
    hs_placement_order order = {.action = action, .engine = engine};
    g_strlcpy(order.model, model, sizeof order.model);
    g_array_append_val(plan->orders, order);
}

/** Returns the engine with the fewest models that can load @p model, or -1. */
static int find_engine_with_capacity(const plan_state *plan, const char *model) {
    int best = -1;
    for (uint32_t engine = 0; engine < plan->engine_count; engine++) {
        const hs_placement_engine *candidate = &plan->engines[engine];
        if (candidate->excluded || plan->unloading[engine] || holds(candidate, model) ||
            is_ordered(plan, engine, model) ||
            count_models(plan, engine) >= plan->settings->models_per_engine)
            continue;
        if (best < 0 || count_models(plan, engine) < count_models(plan, (uint32_t)best))
            best = (int)engine;
    }
    return best;
}

/** Returns whether a copy of @p model may be unloaded. */
static bool is_spare(const plan_state *plan, const char *model) {
    const hs_placement_model *listed = find_model(plan, model);
    uint32_t copies = count_copies(plan, model);
    if (listed == NULL)
        return true;
    if (listed->routed && copies <= 1)
        return false;
    return copies > listed->wanted;
}

/** Orders the unloading of one spare model from an engine without @p model; false if none. */
static bool order_unload(plan_state *plan, const char *model) {
    for (uint32_t engine = 0; engine < plan->engine_count; engine++) {
        const hs_placement_engine *candidate = &plan->engines[engine];
        if (candidate->excluded || plan->unloading[engine] || holds(candidate, model))
            continue;
        for (guint index = 0; index < candidate->models->len; index++) {
            const char *held = candidate->models->pdata[index];
            if (!is_spare(plan, held))
                continue;
            add_order(plan, HS_PLACEMENT_UNLOAD, engine, held);
            plan->unloading[engine] = true;
            return true;
        }
    }
    return false;
}

static void place_model(plan_state *plan, const hs_placement_model *model) {
    while (count_copies(plan, model->name) < model->wanted &&
           plan->orders->len < plan->settings->max_orders) {
        int engine = find_engine_with_capacity(plan, model->name);
        if (engine < 0) {
            order_unload(plan, model->name);
            return;
        }
        add_order(plan, HS_PLACEMENT_LOAD, (uint32_t)engine, model->name);
    }
}

void hs_placement_plan(const hs_placement_settings *settings, const hs_placement_engine *engines,
                       uint32_t engine_count, const hs_placement_model *models,
                       uint32_t model_count, GArray *orders) {
    g_autofree bool *unloading = g_new0(bool, engine_count + 1);
    plan_state plan = {.settings = settings,
                       .engines = engines,
                       .engine_count = engine_count,
                       .models = models,
                       .model_count = model_count,
                       .orders = orders,
                       .unloading = unloading};
    /* Models without a copy come first, as their requests are refused until one is loaded. */
    for (uint32_t index = 0; index < model_count; index++)
        if (count_copies(&plan, models[index].name) == 0)
            place_model(&plan, &models[index]);
    for (uint32_t index = 0; index < model_count; index++)
        place_model(&plan, &models[index]);
}

void hs_placement_allocate_copies(uint32_t engine_count, uint32_t models_per_engine,
                                  const double *demand, uint32_t model_count, uint32_t *wanted) {
    uint32_t slots = engine_count * models_per_engine;
    for (uint32_t index = 0; index < model_count; index++)
        wanted[index] = engine_count > 0 ? 1 : 0;
    uint32_t used = engine_count > 0 ? model_count : 0;
    while (used < slots) {
        /* The next copy goes to the model with the highest demand per copy. */
        int best = -1;
        for (uint32_t index = 0; index < model_count; index++) {
            if (wanted[index] >= engine_count)
                continue;
            if (best < 0 || demand[index] / wanted[index] > demand[best] / wanted[best])
                best = (int)index;
        }
        if (best < 0)
            return;
        wanted[best]++;
        used++;
    }
}
