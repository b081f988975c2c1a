/** @file online_regions.c  Allowed regions of a request; see online_request_state.h. */
#include "online/online_request_state.h"

#include "base/log.h"
#include "online/retry_after.h"

#include <string.h>

/** Replaces the policy. A held request whose group changes is held again by its next attempt. */
static void set_policy(hs_online_request *request, const hs_region_policy *policy) {
    char *group = hs_region_policy_group(policy, request->service);
    if (request->group != NULL && strcmp(request->group, group) != 0)
        hs_online_set_held(request, false, false);
    g_free(request->group);
    request->group = group;
    request->regions = *policy;
}

void hs_online_update_regions(hs_online_request *request) {
    hs_fleet_config *config = hs_config_source_get(request->online->config);
    if (config == NULL)
        config = hs_fleet_config_ref(request->config);
    if (request->regions_config != NULL && !request->is_tenant_changed &&
        request->regions_config->version == config->version) {
        hs_fleet_config_unref(config);
        return;
    }
    const hs_fleet_route *route =
        hs_fleet_config_find_route(config, request->terms.host, request->inbound->target);
    hs_region_policy policy = hs_region_policy_for_tenant_name(
        hs_fleet_engines_topology(request->online->engines), config,
        route != NULL ? route : request->route, request->tenant);
    set_policy(request, &policy);
    hs_fleet_config_unref(request->regions_config);
    request->regions_config = config;
    request->is_tenant_changed = false;
}

static void log_no_allowed_region(const hs_online_request *request) {
    const hs_region_policy *policy = &request->regions;
    hs_region_policy route = {.regions_of_route = policy->regions_of_route};
    hs_region_policy tenant = {.regions_of_tenant = policy->regions_of_tenant};
    g_autofree char *of_route = hs_region_policy_describe(&route);
    g_autofree char *of_tenant = hs_region_policy_describe(&tenant);
    hs_log_info("request_without_region",
                "request=%s service=%s tenant=%s version=%" G_GUINT64_FORMAT
                " route_regions=%s tenant_regions=%s run=%s sends=%u",
                request->request_id, request->service,
                request->tenant != NULL ? request->tenant : "-",
                (guint64)request->regions_config->version, of_route, of_tenant,
                hs_run_state_name(request->run), request->sends);
}

bool hs_online_has_allowed_region(hs_online_request *request, hs_end_reason *reason) {
    hs_online_update_regions(request);
    if (hs_region_policy_can_be_met(&request->regions))
        return true;
    hs_service_outlook outlook =
        hs_fleet_engines_outlook_in(request->online->engines, request->service, &request->regions);
    request->retry_after_ms = hs_retry_after_absence_ms(outlook.absent_ms, outlook.last_absence_ms);
    *reason = request->run == HS_RUN_NOT_EXECUTED ? HS_END_NO_ALLOWED_REGION : HS_END_BROKEN;
    log_no_allowed_region(request);
    return false;
}

char *hs_online_describe_regions(const hs_online_request *request) {
    if (!hs_region_policy_is_restricted(&request->regions))
        return g_strdup("");
    g_autofree char *regions = hs_region_policy_describe(&request->regions);
    return g_strdup_printf(" region=%s", *regions != '\0' ? regions : "-");
}
