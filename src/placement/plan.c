/** @file plan.c  See plan.h. */
#include "placement/plan.h"

#include <string.h>

/** A plan in the making: the engines' models as they will be once the orders are obeyed. */
typedef struct {
    const hs_placement_settings *settings;
    const hs_placement_engine *engines;
    uint32_t engine_count;
    const hs_placement_model *models;
    uint32_t model_count;
    GArray *orders;
    bool *unloading; /**< By engine: room is being made; it is loaded in a later round. */
} planning;

static bool holds(const hs_placement_engine *engine, const char *model) {
    for (guint index = 0; index < engine->models->len; index++)
        if (strcmp(engine->models->pdata[index], model) == 0)
            return true;
    return false;
}

/** Whether an order of this plan concerns the engine and model. */
static bool is_ordered(const planning *plan, uint32_t engine, const char *model) {
    for (guint index = 0; index < plan->orders->len; index++) {
        const hs_placement_order *order = &g_array_index(plan->orders, hs_placement_order, index);
        if (order->engine == engine && strcmp(order->model, model) == 0)
            return true;
    }
    return false;
}

/** Models on the engine with the loads of this plan. */
static uint32_t model_load(const planning *plan, uint32_t engine) {
    uint32_t count = plan->engines[engine].models->len;
    for (guint index = 0; index < plan->orders->len; index++) {
        const hs_placement_order *order = &g_array_index(plan->orders, hs_placement_order, index);
        count += order->engine == engine && order->action == HS_PLACEMENT_LOAD;
    }
    return count;
}

/** Copies that serve, with the loads and without the unloads of this plan. */
static uint32_t copies_of(const planning *plan, const char *model) {
    uint32_t copies = 0;
    for (uint32_t engine = 0; engine < plan->engine_count; engine++)
        copies += !plan->engines[engine].avoided && holds(&plan->engines[engine], model);
    for (guint index = 0; index < plan->orders->len; index++) {
        const hs_placement_order *order = &g_array_index(plan->orders, hs_placement_order, index);
        if (strcmp(order->model, model) == 0)
            copies += order->action == HS_PLACEMENT_LOAD ? 1U : -1U;
    }
    return copies;
}

static const hs_placement_model *find_model(const planning *plan, const char *name) {
    for (uint32_t index = 0; index < plan->model_count; index++)
        if (strcmp(plan->models[index].name, name) == 0)
            return &plan->models[index];
    return NULL;
}

static void add_order(planning *plan, hs_placement_action action, uint32_t engine,
                      const char *model) {
    hs_placement_order order = {.action = action, .engine = engine};
    g_strlcpy(order.model, model, sizeof order.model);
    g_array_append_val(plan->orders, order);
}

/** The engine with the fewest models that can take one more; -1: none. */
static int engine_with_room(const planning *plan, const char *model) {
    int best = -1;
    for (uint32_t engine = 0; engine < plan->engine_count; engine++) {
        const hs_placement_engine *candidate = &plan->engines[engine];
        if (candidate->avoided || plan->unloading[engine] || holds(candidate, model) ||
            is_ordered(plan, engine, model) ||
            model_load(plan, engine) >= plan->settings->models_per_engine)
            continue;
        if (best < 0 || model_load(plan, engine) < model_load(plan, (uint32_t)best))
            best = (int)engine;
    }
    return best;
}

/** Whether the group can do without this copy. Loads under way do not count as copies yet. */
static bool is_spare(const planning *plan, const char *model) {
    const hs_placement_model *listed = find_model(plan, model);
    uint32_t copies = copies_of(plan, model);
    if (listed == NULL)
        return true;
    if (listed->routed && copies <= 1)
        return false;
    return copies > listed->wanted;
}

/** Unload one spare model from an engine that lacks @p model. False when there is none. */
static bool make_room(planning *plan, const char *model) {
    for (uint32_t engine = 0; engine < plan->engine_count; engine++) {
        const hs_placement_engine *candidate = &plan->engines[engine];
        if (candidate->avoided || plan->unloading[engine] || holds(candidate, model))
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

static void place_model(planning *plan, const hs_placement_model *model) {
    while (copies_of(plan, model->name) < model->wanted &&
           plan->orders->len < plan->settings->max_orders) {
        int engine = engine_with_room(plan, model->name);
        if (engine < 0) {
            make_room(plan, model->name);
            return;
        }
        add_order(plan, HS_PLACEMENT_LOAD, (uint32_t)engine, model->name);
    }
}

void hs_placement_plan(const hs_placement_settings *settings, const hs_placement_engine *engines,
                       uint32_t engine_count, const hs_placement_model *models,
                       uint32_t model_count, GArray *orders) {
    g_autofree bool *unloading = g_new0(bool, engine_count + 1);
    planning plan = {.settings = settings,
                     .engines = engines,
                     .engine_count = engine_count,
                     .models = models,
                     .model_count = model_count,
                     .orders = orders,
                     .unloading = unloading};
    /* Models without any copy first: a caller of theirs is refused until there is one. */
    for (uint32_t index = 0; index < model_count; index++)
        if (copies_of(&plan, models[index].name) == 0)
            place_model(&plan, &models[index]);
    for (uint32_t index = 0; index < model_count; index++)
        place_model(&plan, &models[index]);
}

void hs_placement_share(uint32_t engine_count, uint32_t models_per_engine, const double *demand,
                        uint32_t model_count, uint32_t *wanted) {
    uint32_t slots = engine_count * models_per_engine;
    for (uint32_t index = 0; index < model_count; index++)
        wanted[index] = engine_count > 0 ? 1 : 0;
    uint32_t used = engine_count > 0 ? model_count : 0;
    while (used < slots) {
        /* The next copy goes where a copy carries the most demand. */
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
