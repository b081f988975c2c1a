/** @file config_view.c  See config_view.h. */
#include "config/config_view.h"

#include "config/config_object.h"

#include <string.h>

#define DEFAULT_LIMIT_NAME "default"

static void free_group(gpointer data) {
    hs_engine_group *group = data;
    g_free(group->name);
    json_decref(group->selector);
    g_ptr_array_free(group->models, TRUE);
    g_free(group);
}

static void free_rule(gpointer data) {
    hs_routing_rule *rule = data;
    g_free(rule->model);
    g_free(rule->tenant);
    g_free(rule->engine_group);
    g_free(rule);
}

static void free_limit(gpointer data) {
    hs_tenant_limit *limit = data;
    g_free(limit->tenant);
    g_free(limit);
}

static gint compare_objects(gconstpointer left, gconstpointer right) {
    const hs_config_object *first = *(hs_config_object *const *)left;
    const hs_config_object *second = *(hs_config_object *const *)right;
    return strcmp(first->name, second->name);
}

/** Returns the objects of a kind that are not deleted, sorted by name; the objects are borrowed. */
static GPtrArray *list_objects(const hs_config_fold *fold, const char *kind) {
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, fold->objects);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        hs_config_object *object = data;
        if (object->content != NULL && strcmp(object->kind, kind) == 0)
            g_ptr_array_add(list, object);
    }
    g_ptr_array_sort(list, compare_objects);
    return list;
}

static void add_groups(hs_config_view *view, const hs_config_fold *fold) {
    g_autoptr(GPtrArray) objects = list_objects(fold, HS_KIND_ENGINE_GROUP);
    for (guint index = 0; index < objects->len; index++) {
        const hs_config_object *object = objects->pdata[index];
        hs_engine_group *group = g_new0(hs_engine_group, 1);
        group->name = g_strdup(object->name);
        group->selector = json_incref(json_object_get(object->content, "selector"));
        group->models = g_ptr_array_new_with_free_func(g_free);
        const json_t *batch = json_object_get(object->content, "batch");
        group->batch = batch == NULL || json_is_true(batch);
        group->replicas = (uint32_t)json_number_value(json_object_get(object->content, "replicas"));
        group->models_per_engine =
            (uint32_t)json_number_value(json_object_get(object->content, "models_per_engine"));
        size_t position;
        json_t *model;
        json_array_foreach(json_object_get(object->content, "models"), position, model)
            g_ptr_array_add(group->models, g_strdup(json_string_value(model)));
        g_ptr_array_add(view->groups, group);
    }
}

static void add_rule(hs_config_view *view, const char *model, const char *tenant,
                     const char *engine_group) {
    hs_routing_rule *rule = g_new0(hs_routing_rule, 1);
    rule->model = g_strdup(model);
    rule->tenant = g_strdup(tenant);
    rule->engine_group = g_strdup(engine_group);
    g_ptr_array_add(view->rules, rule);
}

static void add_rules(hs_config_view *view, const hs_config_fold *fold) {
    g_autoptr(GPtrArray) rules = list_objects(fold, HS_KIND_ROUTING_RULE);
    for (guint index = 0; index < rules->len; index++) {
        const json_t *content = ((hs_config_object *)rules->pdata[index])->content;
        add_rule(view, json_string_value(json_object_get(content, "model")),
                 json_string_value(json_object_get(content, "tenant")),
                 json_string_value(json_object_get(content, "engine_group")));
    }
    g_autoptr(GPtrArray) services = list_objects(fold, HS_KIND_SERVICE);
    for (guint index = 0; index < services->len; index++) {
        const json_t *content = ((hs_config_object *)services->pdata[index])->content;
        size_t position;
        json_t *model;
        json_array_foreach(json_object_get(content, "models"), position, model)
            add_rule(view, json_string_value(model), NULL,
                     json_string_value(json_object_get(content, "engine_group")));
    }
}

static void add_limits(hs_config_view *view, const hs_config_fold *fold) {
    g_autoptr(GPtrArray) objects = list_objects(fold, HS_KIND_LIMIT);
    for (guint index = 0; index < objects->len; index++) {
        const hs_config_object *object = objects->pdata[index];
        hs_tenant_limit *limit = g_new0(hs_tenant_limit, 1);
        limit->tenant = g_strdup(object->name);
        limit->requests_per_second =
            json_number_value(json_object_get(object->content, "requests_per_second"));
        limit->max_in_flight =
            (uint32_t)json_number_value(json_object_get(object->content, "max_in_flight"));
        limit->listed_tenants_only =
            json_is_true(json_object_get(object->content, "listed_tenants_only"));
        g_hash_table_insert(view->limits, limit->tenant, limit);
    }
}

hs_config_view *hs_config_view_new(const hs_config_fold *fold) {
    hs_config_view *view = g_atomic_rc_box_new0(hs_config_view);
    view->offset = fold->next_offset;
    view->groups = g_ptr_array_new_with_free_func(free_group);
    view->rules = g_ptr_array_new_with_free_func(free_rule);
    view->limits = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_limit);
    add_groups(view, fold);
    add_rules(view, fold);
    add_limits(view, fold);
    return view;
}

static void clear_view(gpointer data) {
    hs_config_view *view = data;
    g_ptr_array_free(view->groups, TRUE);
    g_ptr_array_free(view->rules, TRUE);
    g_hash_table_destroy(view->limits);
}

hs_config_view *hs_config_view_acquire(hs_config_view *view) {
    return g_atomic_rc_box_acquire(view);
}

void hs_config_view_release(hs_config_view *view) {
    if (view != NULL)
        g_atomic_rc_box_release_full(view, clear_view);
}

const hs_engine_group *hs_config_view_find_group(const hs_config_view *view, const char *name) {
    for (guint index = 0; index < view->groups->len; index++) {
        const hs_engine_group *group = view->groups->pdata[index];
        if (strcmp(group->name, name) == 0)
            return group;
    }
    return NULL;
}

const hs_engine_group *hs_config_view_route(const hs_config_view *view, const char *model,
                                            const char *tenant) {
    for (guint index = 0; index < view->rules->len; index++) {
        const hs_routing_rule *rule = view->rules->pdata[index];
        if (strcmp(rule->model, model) != 0)
            continue;
        if (rule->tenant != NULL && strcmp(rule->tenant, tenant) != 0)
            continue;
        return hs_config_view_find_group(view, rule->engine_group);
    }
    return NULL;
}

const hs_tenant_limit *hs_config_view_find_limit(const hs_config_view *view, const char *tenant) {
    const hs_tenant_limit *limit = g_hash_table_lookup(view->limits, tenant);
    return limit != NULL ? limit : g_hash_table_lookup(view->limits, DEFAULT_LIMIT_NAME);
}

bool hs_config_view_is_known_tenant(const hs_config_view *view, const char *tenant) {
    const hs_tenant_limit *fallback = g_hash_table_lookup(view->limits, DEFAULT_LIMIT_NAME);
    if (fallback == NULL || !fallback->listed_tenants_only)
        return true;
    return g_hash_table_contains(view->limits, tenant) && strcmp(tenant, DEFAULT_LIMIT_NAME) != 0;
}
