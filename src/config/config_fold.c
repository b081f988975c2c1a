/** @file config_fold.c  See config_fold.h. */
#include "config/config_fold.h"

#include "base/json_reader.h"
#include "config/config_object.h"

#include <string.h>

static void free_object(gpointer data) {
    hs_config_object *object = data;
    g_free(object->kind);
    g_free(object->name);
    g_free(object->change_id);
    json_decref(object->content);
    g_free(object);
}

hs_config_fold *hs_config_fold_new(void) {
    hs_config_fold *fold = g_new0(hs_config_fold, 1);
    fold->objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_object);
    return fold;
}

void hs_config_fold_free(hs_config_fold *fold) {
    if (fold == NULL)
        return;
    g_hash_table_destroy(fold->objects);
    g_free(fold);
}

const hs_config_object *hs_config_fold_find(const hs_config_fold *fold, const char *kind,
                                            const char *name) {
    g_autofree char *key = g_strdup_printf("%s/%s", kind, name);
    return g_hash_table_lookup(fold->objects, key);
}

/**
 * Parses the change's object into @p content (owned by the caller; NULL for a deletion). Returns
 * false if the kind is unknown or the object does not match its schema.
 */
static bool parse_content(const Hs__ConfigChange *change, json_t **content) {
    *content = NULL;
    if (change->deleted)
        return hs_config_kind_is_known(change->kind);
    json_t *parsed = hs_json_parse(change->object_json, strlen(change->object_json), NULL);
    if (hs_config_object_check(change->kind, change->name, parsed, NULL) != 0) {
        json_decref(parsed);
        return false;
    }
    *content = parsed;
    return true;
}

hs_change_verdict hs_config_fold_apply(hs_config_fold *fold, uint64_t offset,
                                       const Hs__ConfigChange *change) {
    if (offset != fold->next_offset)
        return HS_CHANGE_IGNORED;
    fold->next_offset = offset + 1;
    json_t *content = NULL;
    if (change == NULL || !parse_content(change, &content))
        return HS_CHANGE_IGNORED;
    g_autofree char *key = g_strdup_printf("%s/%s", change->kind, change->name);
    hs_config_object *object = g_hash_table_lookup(fold->objects, key);
    uint64_t revision = object != NULL ? object->revision : 0;
    if (change->base_revision != revision) {
        json_decref(content);
        return HS_CHANGE_REJECTED;
    }
    if (object == NULL) {
        object = g_new0(hs_config_object, 1);
        object->kind = g_strdup(change->kind);
        object->name = g_strdup(change->name);
        g_hash_table_insert(fold->objects, g_steal_pointer(&key), object);
    }
    json_decref(object->content);
    object->content = content;
    object->revision = offset + 1;
    g_free(object->change_id);
    object->change_id = g_strdup(change->change_id);
    return HS_CHANGE_ACCEPTED;
}
