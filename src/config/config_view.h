/**
 * @file config_view.h
 * An immutable view of the configuration at one offset, as typed objects. Views are reference
 * counted and may be read by any thread; what the functions return is borrowed from the view.
 */
#ifndef HS_CONFIG_CONFIG_VIEW_H
#define HS_CONFIG_CONFIG_VIEW_H

#include "config/config_fold.h"

typedef struct {
    char *name;
    json_t *selector;           /**< Labels that an engine must have. */
    GPtrArray *models;          /**< Of char*. */
    bool batch;                 /**< Whether the group's engines run batch items. */
    uint32_t replicas;          /**< Engines that load each model; 0: all engines of the group. */
    uint32_t models_per_engine; /**< Maximum of loaded models on an engine; 0: the default. */
} hs_engine_group;

typedef struct {
    char *model;
    char *tenant; /**< NULL: any tenant. */
    char *engine_group;
} hs_routing_rule;

typedef struct {
    char *tenant;               /**< "default": the limit of tenants without their own. */
    double requests_per_second; /**< 0: no limit. */
    uint32_t max_in_flight;     /**< 0: no limit. */
    bool listed_tenants_only;   /**< Of "default": tenants without a limit are unknown. */
} hs_tenant_limit;

typedef struct {
    uint64_t offset;    /**< Offset of the first stream record not included. */
    GPtrArray *groups;  /**< Of hs_engine_group*, sorted by name. */
    GPtrArray *rules;   /**< Of hs_routing_rule*, sorted by name; rules of services follow. */
    GHashTable *limits; /**< Tenant -> hs_tenant_limit*. */
} hs_config_view;

/** Returns a view of @p fold; release with hs_config_view_release. */
hs_config_view *hs_config_view_new(const hs_config_fold *fold);

/** Returns @p view with one more reference. */
hs_config_view *hs_config_view_acquire(hs_config_view *view);

/** Drops a reference; the last one frees the view. NULL is allowed. */
void hs_config_view_release(hs_config_view *view);

/** Returns the group of this name, or NULL. */
const hs_engine_group *hs_config_view_find_group(const hs_config_view *view, const char *name);

/**
 * Returns the group of the first rule that matches the model and tenant, or NULL if no rule matches
 * or the group does not exist.
 */
const hs_engine_group *hs_config_view_route(const hs_config_view *view, const char *model,
                                            const char *tenant);

/** Returns the tenant's limit, else the default limit, or NULL if there is neither. */
const hs_tenant_limit *hs_config_view_find_limit(const hs_config_view *view, const char *tenant);

/** Returns false if only tenants with a limit are known and @p tenant has none. */
bool hs_config_view_is_known_tenant(const hs_config_view *view, const char *tenant);

#endif
