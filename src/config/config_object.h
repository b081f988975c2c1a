/**
 * @file config_object.h
 * The operators' objects, their schemas and label selectors. Pure.
 *
 * Kinds: services, engine-groups, routing-rules, limits. Objects select engines by labels, never
 * by machine name.
 */
#ifndef HS_CONFIG_CONFIG_OBJECT_H
#define HS_CONFIG_CONFIG_OBJECT_H

#include "heathsail/error.h"

#include <jansson.h>
#include <stdbool.h>

#define HS_KIND_SERVICE "services"
#define HS_KIND_ENGINE_GROUP "engine-groups"
#define HS_KIND_ROUTING_RULE "routing-rules"
#define HS_KIND_LIMIT "limits"

/** True for one of the four kinds. */
bool hs_config_kind_is_known(const char *kind);

/** Check the object's fields against its kind's schema; the error names the field. */
int hs_config_object_check(const char *kind, const char *name, const json_t *object,
                           hs_error *error);

/** True when every label of @p selector (JSON object of strings) stands in @p labels. */
bool hs_selector_matches(const json_t *selector, const json_t *labels);

#endif
