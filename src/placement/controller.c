/** @file controller.c  See controller.h. */
#include "placement/controller.h"

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "config/config_object.h"
#include "engine/engine_client.h"
#include "placement/plan.h"
#include "store/weight_store.h"

#include <string.h>

#define TICK_MS 50
#define DEFAULT_MODELS_PER_ENGINE 2
#define MAX_ORDERS 4
#define HTTP_OK 200
#define HTTP_CONFLICT 409

struct hs_placement_controller {
    hs_placement_context context;
    hs_demand *demand;       /**< Reported by all daemons, for groups controlled by this one. */
    uint64_t loads_after_ms; /**< The weight store refuses further loads until this time. */
    gint stopping;
    GThread *thread;
};

/** Engines of a group and the models that they hold. */
typedef struct {
    GArray *infos;   /**< Of hs_engine_info: all engines of the table. */
    GArray *engines; /**< Of hs_placement_engine. */
    GPtrArray *urls; /**< Of char*, owned by infos; same order as engines. */
} group_engines;

static uint32_t group_partition(const hs_placement_controller *controller, const char *group) {
    return (uint32_t)(hs_hash_bytes(group, strlen(group)) %
                      (uint64_t)controller->context.settings->partitions);
}

/* ---- Demand ------------------------------------------------------------------------------- */

/** Reports a count to the group's controller. */
static void send_demand(const char *group, const char *model, double count, void *user_data) {
    hs_placement_controller *controller = user_data;
    Hs__DemandReport report = HS__DEMAND_REPORT__INIT;
    report.group = (char *)group;
    report.model = (char *)model;
    report.requests = (uint32_t)count;
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    message.kind_case = HS__PEER_MESSAGE__KIND_DEMAND_REPORT;
    message.demand_report = &report;
    hs_membership_service_send_to_owner(controller->context.membership,
                                        group_partition(controller, group), &message);
}

bool hs_placement_controller_handle(hs_placement_controller *controller,
                                    const Hs__PeerMessage *message) {
    if (message->kind_case != HS__PEER_MESSAGE__KIND_DEMAND_REPORT)
        return false;
    const Hs__DemandReport *report = message->demand_report;
    hs_demand_add(controller->demand, report->group, report->model, report->requests);
    return true;
}

/* ---- The group's engines ------------------------------------------------------------------ */

static GPtrArray *read_models(const char *url) {
    json_t *names = hs_engine_read_models(url);
    if (names == NULL)
        return NULL;
    GPtrArray *models = g_ptr_array_new_with_free_func(g_free);
    size_t index;
    json_t *name;
    json_array_foreach(names, index, name)
        g_ptr_array_add(models, g_strdup(json_string_value(name)));
    json_decref(names);
    return models;
}

static group_engines read_engines(hs_placement_controller *controller,
                                  const hs_engine_group *group) {
    group_engines read = {
        .infos = hs_engine_table_infos(controller->context.engines, hs_clock_monotonic_ms()),
        .engines = g_array_new(FALSE, FALSE, sizeof(hs_placement_engine)),
        .urls = g_ptr_array_new()};
    for (guint index = 0; index < read.infos->len; index++) {
        hs_engine_info *info = &g_array_index(read.infos, hs_engine_info, index);
        if (!hs_selector_matches(group->selector, info->labels))
            continue;
        GPtrArray *models = read_models(info->url);
        hs_placement_engine engine = {.id = info->id,
                                      .models = models != NULL ? models : g_ptr_array_new(),
                                      .excluded = info->leaving || info->ejected || models == NULL};
        g_array_append_val(read.engines, engine);
        g_ptr_array_add(read.urls, info->url);
    }
    return read;
}

static void free_engines(group_engines *read) {
    for (guint index = 0; index < read->engines->len; index++)
        g_ptr_array_free(g_array_index(read->engines, hs_placement_engine, index).models, TRUE);
    g_array_free(read->engines, TRUE);
    g_ptr_array_free(read->urls, TRUE);
    hs_engine_infos_free(read->infos);
}

/* ---- Wanted copies ------------------------------------------------------------------------ */

static bool is_routed(const hs_config_view *view, const char *group, const char *model) {
    for (guint index = 0; index < view->rules->len; index++) {
        const hs_routing_rule *rule = view->rules->pdata[index];
        if (strcmp(rule->engine_group, group) == 0 && strcmp(rule->model, model) == 0)
            return true;
    }
    return false;
}

static uint32_t models_per_engine(const hs_engine_group *group) {
    return group->models_per_engine > 0 ? group->models_per_engine : DEFAULT_MODELS_PER_ENGINE;
}

/** Returns the group's models with their number of copies: as configured, else by demand. */
static GArray *list_wanted_models(hs_placement_controller *controller, const hs_config_view *view,
                                  const hs_engine_group *group, uint32_t engine_count) {
    uint32_t count = group->models->len;
    g_autofree double *demand = g_new0(double, count + 1);
    g_autofree uint32_t *wanted = g_new0(uint32_t, count + 1);
    for (uint32_t index = 0; index < count; index++)
        demand[index] = 1.0 + hs_demand_read(controller->demand, group->name,
                                             group->models->pdata[index], hs_clock_monotonic_ms());
    hs_placement_allocate_copies(engine_count, models_per_engine(group), demand, count, wanted);
    GArray *models = g_array_new(FALSE, FALSE, sizeof(hs_placement_model));
    for (uint32_t index = 0; index < count; index++) {
        hs_placement_model model = {
            .name = group->models->pdata[index],
            .wanted = group->replicas > 0 ? MIN(group->replicas, engine_count) : wanted[index],
            .routed = is_routed(view, group->name, group->models->pdata[index])};
        g_array_append_val(models, model);
    }
    return models;
}

/* ---- Orders ------------------------------------------------------------------------------- */

/** Acquires permission from the weight store to load @p model; returns whether it is granted. */
static bool acquire_load(hs_placement_controller *controller, const char *model) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    if (now_ms < controller->loads_after_ms)
        return false;
    uint32_t retry_after_s = 0;
    hs_error error = {0};
    const hs_settings *settings = controller->context.settings;
    if (hs_weight_store_request_load(settings->platform_url, model,
                                     (uint32_t)settings->platform_timeout_s, &retry_after_s,
                                     &error) == 0)
        return true;
    controller->loads_after_ms = now_ms + MAX(retry_after_s, 1U) * 1000ULL;
    return false;
}

/**
 * Sends one order to an engine. Returns false if the round must end, as the weight store refuses
 * the load or the engine rejects the epoch as outdated.
 */
static bool send_order(hs_placement_controller *controller, const char *group, uint32_t epoch,
                       const char *url, const hs_placement_order *order) {
    bool load = order->action == HS_PLACEMENT_LOAD;
    if (load && !acquire_load(controller, order->model))
        return false;
    hs_engine_order wire = {
        .scope = group, .epoch = epoch, .action = load ? "load" : "unload", .model = order->model};
    long status = hs_engine_send_order(url, &wire);
    hs_log_info("placement_order", "group=%s engine=%s action=%s model=%s epoch=%u status=%ld",
                group, url, wire.action, order->model, epoch, status);
    return status != HTTP_CONFLICT;
}

static void control_group(hs_placement_controller *controller, const hs_config_view *view,
                          const hs_engine_group *group, uint32_t epoch) {
    group_engines read = read_engines(controller, group);
    GArray *models = list_wanted_models(controller, view, group, read.engines->len);
    GArray *orders = g_array_new(FALSE, FALSE, sizeof(hs_placement_order));
    hs_placement_settings settings = {.models_per_engine = models_per_engine(group),
                                      .max_orders = MAX_ORDERS};
    hs_placement_plan(&settings, (hs_placement_engine *)(void *)read.engines->data,
                      read.engines->len, (hs_placement_model *)(void *)models->data, models->len,
                      orders);
    bool may_continue = true;
    for (guint index = 0; index < orders->len && may_continue; index++) {
        const hs_placement_order *order = &g_array_index(orders, hs_placement_order, index);
        may_continue =
            send_order(controller, group->name, epoch, read.urls->pdata[order->engine], order);
    }
    g_array_free(orders, TRUE);
    g_array_free(models, TRUE);
    free_engines(&read);
}

static void control_groups(hs_placement_controller *controller) {
    hs_config_view *view = hs_config_store_acquire_view(controller->context.config);
    for (guint index = 0; index < view->groups->len; index++) {
        const hs_engine_group *group = view->groups->pdata[index];
        uint32_t epoch = hs_coordinator_get_epoch(controller->context.coordinator,
                                                  group_partition(controller, group->name));
        if (epoch != 0)
            control_group(controller, view, group, epoch);
    }
    hs_config_view_release(view);
}

static gpointer run_controller(gpointer data) {
    hs_placement_controller *controller = data;
    uint64_t interval_ms = (uint64_t)controller->context.settings->placement_interval_ms;
    uint64_t next_ms = hs_clock_monotonic_ms() + interval_ms;
    while (g_atomic_int_get(&controller->stopping) == 0) {
        if (hs_clock_monotonic_ms() >= next_ms) {
            hs_demand_drain(controller->context.counted, send_demand, controller);
            control_groups(controller);
            next_ms = hs_clock_monotonic_ms() + interval_ms;
        }
        hs_clock_sleep_ms(TICK_MS);
    }
    return NULL;
}

hs_placement_controller *hs_placement_controller_start(const hs_placement_context *context) {
    hs_placement_controller *controller = g_new0(hs_placement_controller, 1);
    controller->context = *context;
    controller->demand = hs_demand_new();
    controller->thread = g_thread_new("placement", run_controller, controller);
    return controller;
}

void hs_placement_controller_stop(hs_placement_controller *controller) {
    g_atomic_int_set(&controller->stopping, 1);
    g_thread_join(controller->thread);
}
