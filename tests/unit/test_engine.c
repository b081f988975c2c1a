/** @file test_engine.c  Tests the stand-in's engine model and its answers. */
#include "standin/engine/answer.h"
#include "standin/engine/engine_model.h"
#include "tests/unit/unit_tests.h"

#include <string.h>

static void count_token(engine_sequence *sequence, void *user_data) {
    (void)sequence;
    (*(int *)user_data)++;
}

static double step(engine_model *model, int *tokens) {
    double duration = engine_model_step_begin(model);
    if (duration > 0)
        engine_model_step_end(model, count_token, tokens);
    return duration;
}

static void step_duration_grows_with_batch_size(void) {
    engine_model *model = engine_model_new(&engine_model_default_settings);
    engine_sequence sequences[10] = {{0}};
    int tokens = 0;
    CU_ASSERT_EQUAL(step(model, &tokens), 0);
    for (int index = 0; index < 10; index++) {
        sequences[index] = (engine_sequence){.prompt_tokens = 1, .max_tokens = 5};
        if (index == 1)
            break;
        engine_model_submit(model, &sequences[index]);
    }
    double single_duration = step(model, &tokens);
    CU_ASSERT(single_duration >= 3.0);
    for (int index = 1; index < 10; index++) {
        sequences[index] = (engine_sequence){.prompt_tokens = 1, .max_tokens = 5};
        engine_model_submit(model, &sequences[index]);
    }
    CU_ASSERT(step(model, &tokens) > single_duration);
    while (step(model, &tokens) > 0)
        continue;
    CU_ASSERT_EQUAL(tokens, 50);
    engine_model_free(model);
}

static void online_preempts_batch_when_the_engine_is_full(void) {
    engine_model_settings settings = engine_model_default_settings;
    settings.max_sequences = 1;
    engine_model *model = engine_model_new(&settings);
    int tokens = 0;
    engine_sequence batch = {.prompt_tokens = 1, .max_tokens = 9, .priority = 10};
    engine_sequence online = {.prompt_tokens = 1, .max_tokens = 2, .priority = 0};
    engine_model_submit(model, &batch);
    step(model, &tokens);
    engine_model_submit(model, &online);
    step(model, &tokens);
    CU_ASSERT_EQUAL(batch.state, ENGINE_SEQUENCE_WAITING);
    CU_ASSERT_EQUAL(online.produced, 1);
    while (step(model, &tokens) > 0)
        continue;
    CU_ASSERT_EQUAL(batch.state, ENGINE_SEQUENCE_DONE);
    CU_ASSERT_EQUAL(tokens, 11);
    engine_model_free(model);
}

static void cached_prefix_shortens_prefill(void) {
    engine_model *model = engine_model_new(&engine_model_default_settings);
    int tokens = 0;
    engine_sequence first = {
        .prompt_tokens = 400, .max_tokens = 1, .prefix_hash = 7, .prefix_tokens = 400};
    engine_sequence second = first;
    engine_model_submit(model, &first);
    double cold = step(model, &tokens);
    engine_model_submit(model, &second);
    CU_ASSERT(step(model, &tokens) < cold);
    CU_ASSERT_EQUAL(model->cache_hit_count, 1);
    engine_model_free(model);
}

static void answer_depends_on_the_prompt_only(void) {
    g_autofree char *first = answer_text("a", 5);
    g_autofree char *repeated = answer_text("a", 5);
    g_autofree char *other = answer_text("b", 5);
    g_autofree char *shorter = answer_text("a", 4);
    CU_ASSERT_STRING_EQUAL(first, repeated);
    CU_ASSERT_STRING_NOT_EQUAL(first, other);
    CU_ASSERT_TRUE(g_str_has_prefix(first, shorter));
}

const test_case engine_tests[] = {
    {"step_duration_grows_with_batch_size", step_duration_grows_with_batch_size},
    {"online_preempts_batch_when_the_engine_is_full",
     online_preempts_batch_when_the_engine_is_full},
    {"cached_prefix_shortens_prefill", cached_prefix_shortens_prefill},
    {"answer_depends_on_the_prompt_only", answer_depends_on_the_prompt_only},
    {NULL, NULL}};
