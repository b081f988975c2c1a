/** @file test_input.c  Checks of completion bodies, JSONL files and multipart bodies; IDs. */
#include "batch/batch_id.h"
#include "batch/jsonl.h"
#include "commands/completion_check.h"
#include "http/multipart.h"
#include "tests/unit/unit_tests.h"

#include <string.h>

#define MAX_TOKENS 100

static int check(const char *json, bool chat) {
    json_t *body = json_loads(json, 0, NULL);
    hs_error error = {0};
    int result = hs_completion_check(body, chat, MAX_TOKENS, &error);
    json_decref(body);
    return result;
}

static void completion_bodies_are_checked(void) {
    CU_ASSERT_EQUAL(check("{\"model\":\"m\",\"prompt\":\"p\"}", false), 0);
    CU_ASSERT_EQUAL(
        check("{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"c\"}]}", true), 0);
    static const char *const bad_text[] = {"[]",
                                           "{\"prompt\":\"p\"}",
                                           "{\"model\":\"\",\"prompt\":\"p\"}",
                                           "{\"model\":\"m\"}",
                                           "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":-1}",
                                           "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":101}",
                                           "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":1.5}",
                                           "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":\"yes\"}",
                                           "{\"model\":\"m\",\"prompt\":\"p\",\"n\":2}"};
    for (size_t index = 0; index < sizeof bad_text / sizeof bad_text[0]; index++)
        CU_ASSERT_EQUAL(check(bad_text[index], false), HS_INVALID);
    CU_ASSERT_EQUAL(check("{\"model\":\"m\",\"messages\":[]}", true), HS_INVALID);
    CU_ASSERT_EQUAL(check("{\"model\":\"m\",\"messages\":[{\"role\":1}]}", true), HS_INVALID);
}

static int accept_body(const json_t *body, const char *url, void *user_data, hs_error *error) {
    (void)user_data;
    (void)url;
    return json_is_object(body) ? 0 : hs_error_set(error, HS_LAYER_BATCH, HS_INVALID, "bad body");
}

static const hs_jsonl_rules rules = {.max_line_bytes = 200,
                                     .max_items = 5,
                                     .chunk_items = 2,
                                     .chunk_bytes = 10000,
                                     .check_body = accept_body};

#define LINE(id, model)                                                                            \
    "{\"custom_id\":\"" id "\",\"method\":\"POST\",\"url\":\"/u\",\"body\":{\"model\":\"" model    \
    "\"}}\n"

static void check_file_is_refused(const char *text, const char *expected) {
    hs_jsonl_file file;
    hs_error error = {0};
    CU_ASSERT_EQUAL(hs_jsonl_parse(text, strlen(text), &rules, &file, &error), HS_INVALID);
    CU_ASSERT_PTR_NOT_NULL(strstr(error.message, expected));
    hs_jsonl_file_clear(&file);
}

static void invalid_files_are_refused_with_the_line(void) {
    check_file_is_refused("", "no lines");
    check_file_is_refused(LINE("a", "m") "{broken\n", "line 2: not a JSON object");
    check_file_is_refused(LINE("a", "m") LINE("a", "m"), "line 2: duplicate custom_id");
    check_file_is_refused(LINE("a", "m") LINE("b", "other"),
                          "line 2: every line must have the same model");
    check_file_is_refused("{\"custom_id\":\"a\",\"method\":\"GET\",\"url\":\"/u\",\"body\":{}}\n",
                          "method must be POST");
    check_file_is_refused("{\"method\":\"POST\",\"url\":\"/u\",\"body\":{}}\n", "custom_id");
    check_file_is_refused(LINE("a", "m") LINE("b", "m") LINE("c", "m") LINE("d", "m") LINE("e", "m")
                              LINE("f", "m"),
                          "too many lines");
    g_autofree char *long_id = g_strnfill(300, 'x');
    g_autofree char *long_line = g_strdup_printf("{\"custom_id\":\"%s\"}\n", long_id);
    check_file_is_refused(long_line, "over the limit");
}

static void file_is_split_into_chunks(void) {
    const char *text = LINE("a", "m") LINE("b", "m") LINE("c", "m");
    hs_jsonl_file file;
    hs_error error = {0};
    CU_ASSERT_EQUAL(hs_jsonl_parse(text, strlen(text), &rules, &file, &error), 0);
    CU_ASSERT_EQUAL(file.item_count, 3);
    CU_ASSERT_EQUAL_FATAL(file.chunks->len, 2);
    const hs_jsonl_chunk *last = &g_array_index(file.chunks, hs_jsonl_chunk, 1);
    CU_ASSERT_EQUAL(last->first_item, 2);
    CU_ASSERT_EQUAL(last->begin + last->length, strlen(text));
    hs_jsonl_file_clear(&file);
}

static void ids_are_stable_and_contain_their_partition(void) {
    g_autofree char *file = hs_file_id("t", "abc", 3, 256, 16);
    g_autofree char *again = hs_file_id("t", "abc", 3, 256, 16);
    g_autofree char *other = hs_file_id("u", "abc", 3, 256, 16);
    CU_ASSERT_STRING_EQUAL(file, again);
    CU_ASSERT_STRING_NOT_EQUAL(file, other);
    g_autofree char *job = hs_job_id("t", "key", file);
    uint32_t file_partition = 99;
    uint32_t job_partition = 98;
    CU_ASSERT_TRUE(hs_id_partition(file, &file_partition));
    CU_ASSERT_TRUE(hs_id_partition(job, &job_partition));
    CU_ASSERT_EQUAL(file_partition, job_partition);
    g_autofree char *output = hs_output_id(job);
    g_autofree char *back = hs_output_job_id(output);
    CU_ASSERT_STRING_EQUAL(back, job);
    CU_ASSERT_FALSE(hs_id_partition("nonsense", &job_partition));
    CU_ASSERT_FALSE(hs_id_partition("file_zz", &job_partition));
}

#define PART(name, content)                                                                        \
    "--b\r\nContent-Disposition: form-data; name=\"" name "\"; filename=\"f\"\r\n\r\n" content     \
    "\r\n"

static hs_multipart_result find_file(const char *type, const char *body, hs_multipart_part *part) {
    return hs_multipart_find(type, body, strlen(body), "file", part);
}

static void multipart_parts_are_found_or_refused(void) {
    const char *type = "multipart/form-data; boundary=b";
    hs_multipart_part part = {0};
    CU_ASSERT_EQUAL(find_file(type, PART("purpose", "batch") PART("file", "x\r\ny") "--b--", &part),
                    HS_MULTIPART_FOUND);
    CU_ASSERT_EQUAL(part.length, 4);
    CU_ASSERT_STRING_EQUAL(part.filename, "f");
    CU_ASSERT_EQUAL(
        find_file("multipart/form-data; boundary=\"b\"", PART("file", "") "--b--", &part),
        HS_MULTIPART_FOUND);
    CU_ASSERT_EQUAL(part.length, 0);
    CU_ASSERT_EQUAL(find_file(type, PART("purpose", "batch") "--b--", &part), HS_MULTIPART_ABSENT);
    CU_ASSERT_EQUAL(find_file(type, PART("file", "x"), &part), HS_MULTIPART_BROKEN);
    CU_ASSERT_EQUAL(find_file(type, "--b\r\nnonsense", &part), HS_MULTIPART_BROKEN);
    CU_ASSERT_EQUAL(find_file(type, "nothing", &part), HS_MULTIPART_BROKEN);
    CU_ASSERT_EQUAL(find_file("multipart/form-data", PART("file", "x") "--b--", &part),
                    HS_MULTIPART_BROKEN);
    CU_ASSERT_EQUAL(find_file("text/plain", PART("file", "x") "--b--", &part), HS_MULTIPART_BROKEN);
}

const test_case input_tests[] = {
    {"multipart_parts_are_found_or_refused", multipart_parts_are_found_or_refused},
    {"completion_bodies_are_checked", completion_bodies_are_checked},
    {"invalid_files_are_refused_with_the_line", invalid_files_are_refused_with_the_line},
    {"file_is_split_into_chunks", file_is_split_into_chunks},
    {"ids_are_stable_and_contain_their_partition", ids_are_stable_and_contain_their_partition},
    {NULL, NULL}};
