/**
 * @file config_object.h
 * Checks the operators' configuration objects against the schemas of their kinds, and matches label
 * selectors. Objects select engines by labels, not by machine name. The functions have no state.
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

/** Returns whether @p kind is one of the HS_KIND_ names. */
bool hs_config_kind_is_known(const char *kind);

/**
 * Checks the name and the fields of @p object against the schema of @p kind. Returns 0 or
 * HS_INVALID; the error names the field. @p error may be NULL.
 */
int hs_config_object_check(const char *kind, const char *name, const json_t *object,
                           hs_error *error);

/**
 * Returns whether @p labels has every label of @p selector with the same value. Both are JSON
 * objects of strings. An empty selector matches all.
 */
bool hs_selector_matches(const json_t *selector, const json_t *labels);

#endif
