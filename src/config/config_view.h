/**
 * @file config_view.h
 * An immutable reading of the configuration in force, shared by reference count.
 */
#ifndef HS_CONFIG_CONFIG_VIEW_H
#define HS_CONFIG_CONFIG_VIEW_H

#include "config/config_fold.h"

typedef struct {
    char *name;
    json_t *selector;           /**< Labels an engine must carry. */
    GPtrArray *models;          /**< of char* */
    bool batch;                 /**< Whether batch items may run on the group. */
    uint32_t replicas;          /**< Engines that should hold each model; 0: all of them. */
    uint32_t models_per_engine; /**< Models an engine has room for; 0: the default. */
} hs_engine_group;

typedef struct {
    char *model;
    char *tenant; /**< NULL: any. */
    char *engine_group;
} hs_routing_rule;

typedef struct {
    char *tenant;               /**< "default" holds for tenants without a limit of their own. */
    double requests_per_second; /**< 0: no limit. */
    uint32_t max_in_flight;     /**< 0: no limit. */
    bool listed_tenants_only;   /**< On "default": tenants without a limit object are unknown. */
} hs_tenant_limit;

typedef struct {
    uint64_t offset;    /**< Records of the configuration stream below it are in force. */
    GPtrArray *groups;  /**< of hs_engine_group*, by name */
    GPtrArray *rules;   /**< of hs_routing_rule*, by name; services follow as rules */
    GHashTable *limits; /**< tenant -> hs_tenant_limit */
} hs_config_view;

/** Read @p fold into a view. Release with hs_config_view_release. */
hs_config_view *hs_config_view_new(const hs_config_fold *fold);

hs_config_view *hs_config_view_acquire(hs_config_view *view);
void hs_config_view_release(hs_config_view *view);

const hs_engine_group *hs_config_view_group(const hs_config_view *view, const char *name);

/** The group the first matching rule names; NULL when no rule matches the model and tenant. */
const hs_engine_group *hs_config_view_route(const hs_config_view *view, const char *model,
                                            const char *tenant);

/** The tenant's limit or the default; NULL: no limit. */
const hs_tenant_limit *hs_config_view_limit(const hs_config_view *view, const char *tenant);

/** False when only listed tenants are known and this is none of them. */
bool hs_config_view_knows_tenant(const hs_config_view *view, const char *tenant);

#endif
