/** @file jsonl.c  See jsonl.h. */
#include "batch/jsonl.h"

#include <stdbool.h>
#include <string.h>

/** State of a reading. */
typedef struct {
    const hs_jsonl_rules *rules;
    hs_jsonl_file *file;
    GHashTable *custom_ids;
    hs_error *error;
} jsonl_reading;

static int refuse(const jsonl_reading *reading, const char *reason) {
    return hs_error_set(reading->error, HS_LAYER_BATCH, HS_INVALID, "line %u: %s",
                        reading->file->item_count + 1, reason);
}

/** All lines must carry the same value; the first sets it. */
static bool same_as_first(char **first, const char *value) {
    if (*first == NULL)
        *first = g_strdup(value);
    return strcmp(*first, value) == 0;
}

static int check_line(jsonl_reading *reading, const json_t *line) {
    const char *custom_id = json_string_value(json_object_get(line, "custom_id"));
    const char *method = json_string_value(json_object_get(line, "method"));
    const char *url = json_string_value(json_object_get(line, "url"));
    const json_t *body = json_object_get(line, "body");
    const json_t *run_once = json_object_get(line, "run_once");
    if (custom_id == NULL || *custom_id == '\0')
        return refuse(reading, "custom_id must be a non-empty string");
    if (method == NULL || strcmp(method, "POST") != 0)
        return refuse(reading, "method must be POST");
    if (url == NULL)
        return refuse(reading, "url must be a string");
    if (run_once != NULL && !json_is_boolean(run_once))
        return refuse(reading, "run_once must be true or false");
    hs_error cause = {0};
    if (reading->rules->check_body(body, url, reading->rules->user_data, &cause) != 0)
        return refuse(reading, cause.message);
    if (!same_as_first(&reading->file->endpoint, url))
        return refuse(reading, "every line must have the same url");
    if (!same_as_first(&reading->file->model, json_string_value(json_object_get(body, "model"))))
        return refuse(reading, "every line must have the same model");
    if (!g_hash_table_add(reading->custom_ids, g_strdup(custom_id)))
        return refuse(reading, "duplicate custom_id");
    return 0;
}

/** Put the line into the last chunk, or begin a new one. */
static void add_to_chunk(jsonl_reading *reading, size_t begin, size_t length, bool run_once) {
    hs_jsonl_file *file = reading->file;
    hs_jsonl_chunk *last = file->chunks->len > 0
                               ? &g_array_index(file->chunks, hs_jsonl_chunk, file->chunks->len - 1)
                               : NULL;
    if (last == NULL || last->item_count >= reading->rules->chunk_items ||
        last->length + length > reading->rules->chunk_bytes) {
        hs_jsonl_chunk chunk = {.begin = begin,
                                .first_item = file->item_count,
                                .run_once_items = g_array_new(FALSE, FALSE, sizeof(uint32_t))};
        g_array_append_val(file->chunks, chunk);
        last = &g_array_index(file->chunks, hs_jsonl_chunk, file->chunks->len - 1);
    }
    last->length += length;
    last->item_count++;
    if (run_once)
        g_array_append_val(last->run_once_items, file->item_count);
    file->item_count++;
}

static int read_line(jsonl_reading *reading, const char *text, size_t begin, size_t length) {
    if (length > reading->rules->max_line_bytes)
        return refuse(reading, "the line is over the limit");
    if (reading->file->item_count >= reading->rules->max_items)
        return refuse(reading, "too many lines");
    json_t *line = json_loadb(text + begin, length, 0, NULL);
    if (!json_is_object(line)) {
        json_decref(line);
        return refuse(reading, "not a JSON object");
    }
    int result = check_line(reading, line);
    bool run_once = json_is_true(json_object_get(line, "run_once"));
    json_decref(line);
    if (result == 0)
        add_to_chunk(reading, begin, length + 1, run_once);
    return result;
}

int hs_jsonl_read(const char *text, size_t length, const hs_jsonl_rules *rules, hs_jsonl_file *file,
                  hs_error *error) {
    *file = (hs_jsonl_file){.chunks = g_array_new(FALSE, FALSE, sizeof(hs_jsonl_chunk))};
    jsonl_reading reading = {.rules = rules,
                             .file = file,
                             .custom_ids =
                                 g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
                             .error = error};
    int result = 0;
    size_t begin = 0;
    while (begin < length && result == 0) {
        const char *end = memchr(text + begin, '\n', length - begin);
        size_t line_length = end != NULL ? (size_t)(end - text) - begin : length - begin;
        result = read_line(&reading, text, begin, line_length);
        begin += line_length + 1;
    }
    if (result == 0 && file->item_count == 0)
        result = hs_error_set(error, HS_LAYER_BATCH, HS_INVALID, "the file has no lines");
    g_hash_table_destroy(reading.custom_ids);
    return result;
}

void hs_jsonl_file_clear(hs_jsonl_file *file) {
    for (guint index = 0; index < file->chunks->len; index++)
        g_array_free(g_array_index(file->chunks, hs_jsonl_chunk, index).run_once_items, TRUE);
    g_array_free(file->chunks, TRUE);
    g_free(file->model);
    g_free(file->endpoint);
}
