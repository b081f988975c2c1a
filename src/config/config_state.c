/** @file config_state.c  See config_state.h. */
#include "config/config_state.h"

#include "base/json_reader.h"
#include "config/config_object.h"
#include "gen/peer.pb-c.h"

#include <stdlib.h>
#include <string.h>

/** Returns the message of @p object, which borrows all strings but content_json. */
static Hs__ConfigObjectState *new_object_state(const hs_config_object *object) {
    Hs__ConfigObjectState *state = g_new(Hs__ConfigObjectState, 1);
    hs__config_object_state__init(state);
    state->kind = object->kind;
    state->name = object->name;
    state->revision = object->revision;
    state->change_id = object->change_id;
    state->deleted = object->content == NULL;
    if (object->content != NULL)
        state->content_json = json_dumps(object->content, JSON_COMPACT);
    return state;
}

static void free_object_state(gpointer data) {
    Hs__ConfigObjectState *state = data;
    if (!state->deleted)
        free(state->content_json);
    g_free(state);
}

GByteArray *hs_config_state_encode(const hs_config_fold *fold) {
    g_autoptr(GPtrArray) states = g_ptr_array_new_with_free_func(free_object_state);
    GHashTableIter iterator;
    gpointer object;
    g_hash_table_iter_init(&iterator, fold->objects);
    while (g_hash_table_iter_next(&iterator, NULL, &object))
        g_ptr_array_add(states, new_object_state(object));
    Hs__ConfigState message = HS__CONFIG_STATE__INIT;
    message.next_offset = fold->next_offset;
    message.n_objects = states->len;
    message.objects = (Hs__ConfigObjectState **)states->pdata;
    GByteArray *bytes = g_byte_array_new();
    g_byte_array_set_size(bytes, (guint)hs__config_state__get_packed_size(&message));
    hs__config_state__pack(&message, bytes->data);
    return bytes;
}

hs_config_fold *hs_config_state_decode(const uint8_t *bytes, size_t length) {
    Hs__ConfigState *message = hs__config_state__unpack(NULL, length, bytes);
    if (message == NULL)
        return NULL;
    hs_config_fold *fold = hs_config_fold_new();
    fold->next_offset = message->next_offset;
    for (size_t index = 0; index < message->n_objects; index++) {
        const Hs__ConfigObjectState *state = message->objects[index];
        hs_config_object *object = g_new0(hs_config_object, 1);
        object->kind = g_strdup(state->kind);
        object->name = g_strdup(state->name);
        object->revision = state->revision;
        object->change_id = g_strdup(state->change_id);
        object->content =
            state->deleted ? NULL
                           : hs_json_parse(state->content_json, strlen(state->content_json), NULL);
        g_hash_table_insert(fold->objects, g_strdup_printf("%s/%s", state->kind, state->name),
                            object);
    }
    hs__config_state__free_unpacked(message, NULL);
    return fold;
}
