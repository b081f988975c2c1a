/** @file config_object.c  See config_object.h. */
#include "config/config_object.h"

#include <string.h>

#define MAX_NAME_LENGTH 63

typedef enum { FIELD_TEXT, FIELD_TEXT_LIST, FIELD_LABELS, FIELD_NUMBER, FIELD_FLAG } field_type;

typedef struct {
    const char *kind;
    const char *name;
    field_type type;
    bool required;
    double minimum; /**< Of FIELD_NUMBER, inclusive. */
    double maximum;
} field;

/** All fields of all kinds. A field that is not listed for the kind is rejected. */
static const field field_table[] = {
    {HS_KIND_SERVICE, "labels", FIELD_LABELS, false, 0, 0},
    {HS_KIND_SERVICE, "models", FIELD_TEXT_LIST, true, 0, 0},
    {HS_KIND_SERVICE, "engine_group", FIELD_TEXT, true, 0, 0},
    {HS_KIND_ENGINE_GROUP, "labels", FIELD_LABELS, false, 0, 0},
    {HS_KIND_ENGINE_GROUP, "selector", FIELD_LABELS, true, 0, 0},
    {HS_KIND_ENGINE_GROUP, "models", FIELD_TEXT_LIST, true, 0, 0},
    {HS_KIND_ENGINE_GROUP, "batch", FIELD_FLAG, false, 0, 0},
    {HS_KIND_ENGINE_GROUP, "replicas", FIELD_NUMBER, false, 1, 100000},
    {HS_KIND_ENGINE_GROUP, "models_per_engine", FIELD_NUMBER, false, 1, 1000},
    {HS_KIND_ROUTING_RULE, "labels", FIELD_LABELS, false, 0, 0},
    {HS_KIND_ROUTING_RULE, "model", FIELD_TEXT, true, 0, 0},
    {HS_KIND_ROUTING_RULE, "tenant", FIELD_TEXT, false, 0, 0},
    {HS_KIND_ROUTING_RULE, "engine_group", FIELD_TEXT, true, 0, 0},
    {HS_KIND_LIMIT, "labels", FIELD_LABELS, false, 0, 0},
    {HS_KIND_LIMIT, "requests_per_second", FIELD_NUMBER, false, 0, 1000000},
    {HS_KIND_LIMIT, "max_in_flight", FIELD_NUMBER, false, 0, 1000000},
    {HS_KIND_LIMIT, "listed_tenants_only", FIELD_FLAG, false, 0, 0},
};
#define FIELD_COUNT (sizeof field_table / sizeof field_table[0])

bool hs_config_kind_is_known(const char *kind) {
    for (size_t index = 0; index < FIELD_COUNT; index++)
        if (strcmp(field_table[index].kind, kind) == 0)
            return true;
    return false;
}

static bool has_only_strings(const json_t *list) {
    size_t index;
    json_t *entry;
    json_array_foreach(list, index, entry) {
        if (!json_is_string(entry))
            return false;
    }
    return true;
}

static bool has_only_string_values(json_t *labels) {
    const char *key;
    json_t *value;
    json_object_foreach(labels, key, value) {
        if (!json_is_string(value))
            return false;
    }
    return true;
}

static bool has_type(const field *expected, json_t *value) {
    switch (expected->type) {
    case FIELD_TEXT:
        return json_is_string(value) && *json_string_value(value) != '\0';
    case FIELD_TEXT_LIST:
        return json_is_array(value) && json_array_size(value) > 0 && has_only_strings(value);
    case FIELD_LABELS:
        return json_is_object(value) && has_only_string_values(value);
    case FIELD_NUMBER:
        return json_is_number(value) && json_number_value(value) >= expected->minimum &&
               json_number_value(value) <= expected->maximum;
    case FIELD_FLAG:
        return json_is_boolean(value);
    }
    return false;
}

static const field *find_field(const char *kind, const char *name) {
    for (size_t index = 0; index < FIELD_COUNT; index++)
        if (strcmp(field_table[index].kind, kind) == 0 &&
            strcmp(field_table[index].name, name) == 0)
            return &field_table[index];
    return NULL;
}

static bool name_is_valid(const char *name) {
    size_t length = strlen(name);
    if (length == 0 || length > MAX_NAME_LENGTH)
        return false;
    return strspn(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") ==
           length;
}

int hs_config_object_check(const char *kind, const char *name, const json_t *object,
                           hs_error *error) {
    if (!hs_config_kind_is_known(kind))
        return hs_error_set(error, HS_LAYER_CONFIG, HS_INVALID, "unknown kind %.64s", kind);
    if (!name_is_valid(name))
        return hs_error_set(error, HS_LAYER_CONFIG, HS_INVALID,
                            "bad name: 1 to %d of a-z 0-9 - _ .", MAX_NAME_LENGTH);
    if (!json_is_object(object))
        return hs_error_set(error, HS_LAYER_CONFIG, HS_INVALID, "the object must be a JSON object");
    const char *key;
    json_t *value;
    json_object_foreach((json_t *)object, key, value) {
        const field *expected = find_field(kind, key);
        if (expected == NULL)
            return hs_error_set(error, HS_LAYER_CONFIG, HS_INVALID, "unknown field %.64s", key);
        if (!has_type(expected, value))
            return hs_error_set(error, HS_LAYER_CONFIG, HS_INVALID, "bad value of field %.64s",
                                key);
    }
    for (size_t index = 0; index < FIELD_COUNT; index++) {
        const field *expected = &field_table[index];
        if (strcmp(expected->kind, kind) == 0 && expected->required &&
            json_object_get(object, expected->name) == NULL)
            return hs_error_set(error, HS_LAYER_CONFIG, HS_INVALID, "missing field %s",
                                expected->name);
    }
    return 0;
}

bool hs_selector_matches(const json_t *selector, const json_t *labels) {
    const char *key;
    json_t *wanted;
    json_object_foreach((json_t *)selector, key, wanted) {
        const char *actual = json_string_value(json_object_get(labels, key));
        if (actual == NULL || strcmp(actual, json_string_value(wanted)) != 0)
            return false;
    }
    return true;
}
