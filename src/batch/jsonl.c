/** @file jsonl.c  See jsonl.h. */
#include "batch/jsonl.h"

#include "base/json_reader.h"

#include <stdbool.h>
#include <string.h>

typedef struct {
    const hs_jsonl_rules *rules;
    hs_jsonl_file *file;
    GHashTable *custom_ids;
    hs_error *error;
} jsonl_parser;

static int set_line_error(const jsonl_parser *parser, const char *reason) {
    return hs_error_set(parser->error, HS_LAYER_BATCH, HS_INVALID, "line %u: %s",
                        parser->file->item_count + 1, reason);
}

/** Whether @p value equals that of the first line, which this function stores. */
static bool matches_first(char **first, const char *value) {
    if (*first == NULL)
        *first = g_strdup(value);
    return strcmp(*first, value) == 0;
}

static int check_line(jsonl_parser *parser, const json_t *line) {
    const char *custom_id = json_string_value(json_object_get(line, "custom_id"));
    const char *method = json_string_value(json_object_get(line, "method"));
    const char *url = json_string_value(json_object_get(line, "url"));
    const json_t *body = json_object_get(line, "body");
    const json_t *run_once = json_object_get(line, "run_once");
    if (custom_id == NULL || *custom_id == '\0')
        return set_line_error(parser, "custom_id must be a non-empty string");
    if (method == NULL || strcmp(method, "POST") != 0)
        return set_line_error(parser, "method must be POST");
    if (url == NULL)
        return set_line_error(parser, "url must be a string");
    if (run_once != NULL && !json_is_boolean(run_once))
        return set_line_error(parser, "run_once must be true or false");
    hs_error cause = {0};
    if (parser->rules->check_body(body, url, parser->rules->user_data, &cause) != 0)
        return set_line_error(parser, cause.message);
    if (!matches_first(&parser->file->endpoint, url))
        return set_line_error(parser, "every line must have the same url");
    if (!matches_first(&parser->file->model, json_string_value(json_object_get(body, "model"))))
        return set_line_error(parser, "every line must have the same model");
    if (!g_hash_table_add(parser->custom_ids, g_strdup(custom_id)))
        return set_line_error(parser, "duplicate custom_id");
    return 0;
}

/** Adds the line to the last chunk, or to a new chunk if the last one is full. */
static void add_to_chunk(jsonl_parser *parser, size_t begin, size_t length, bool run_once) {
    hs_jsonl_file *file = parser->file;
    hs_jsonl_chunk *last = file->chunks->len > 0
                               ? &g_array_index(file->chunks, hs_jsonl_chunk, file->chunks->len - 1)
                               : NULL;
    if (last == NULL || last->item_count >= parser->rules->chunk_items ||
        last->length + length > parser->rules->chunk_bytes) {
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

static int parse_jsonl_line(jsonl_parser *parser, const char *text, size_t begin, size_t length) {
    if (length > parser->rules->max_line_bytes)
        return set_line_error(parser, "the line is over the limit");
    if (parser->file->item_count >= parser->rules->max_items)
        return set_line_error(parser, "too many lines");
    json_t *line = hs_json_parse(text + begin, length, NULL);
    if (!json_is_object(line)) {
        json_decref(line);
        return set_line_error(parser, "not a JSON object");
    }
    int result = check_line(parser, line);
    bool run_once = json_is_true(json_object_get(line, "run_once"));
    json_decref(line);
    if (result == 0)
        add_to_chunk(parser, begin, length + 1, run_once);
    return result;
}

int hs_jsonl_parse(const char *text, size_t length, const hs_jsonl_rules *rules,
                   hs_jsonl_file *file, hs_error *error) {
    *file = (hs_jsonl_file){.chunks = g_array_new(FALSE, FALSE, sizeof(hs_jsonl_chunk))};
    jsonl_parser parser = {.rules = rules,
                           .file = file,
                           .custom_ids =
                               g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
                           .error = error};
    int result = 0;
    size_t begin = 0;
    while (begin < length && result == 0) {
        const char *end = memchr(text + begin, '\n', length - begin);
        size_t line_length = end != NULL ? (size_t)(end - text) - begin : length - begin;
        result = parse_jsonl_line(&parser, text, begin, line_length);
        begin += line_length + 1;
    }
    if (result == 0 && file->item_count == 0)
        result = hs_error_set(error, HS_LAYER_BATCH, HS_INVALID, "the file has no lines");
    g_hash_table_destroy(parser.custom_ids);
    return result;
}

void hs_jsonl_file_clear(hs_jsonl_file *file) {
    for (guint index = 0; index < file->chunks->len; index++)
        g_array_free(g_array_index(file->chunks, hs_jsonl_chunk, index).run_once_items, TRUE);
    g_array_free(file->chunks, TRUE);
    g_free(file->model);
    g_free(file->endpoint);
}
