/** @file engine_model.c  See engine_model.h. */
#include "standin/engine/engine_model.h"

const engine_model_settings engine_model_default_settings = {
    .step_base_ms = 3.0,
    .step_per_sequence_ms = 0.06,
    .step_per_kilotoken_context_ms = 0.01,
    .step_per_prefill_token_ms = 0.01,
    .max_sequences = 64,
    .prefill_tokens_per_step = 512,
    .kv_tokens = 60000,
    .prefix_cache_entries = 32,
};

engine_model *engine_model_new(const engine_model_settings *settings) {
    engine_model *model = g_new0(engine_model, 1);
    model->settings = *settings;
    model->waiting = g_ptr_array_new();
    model->running = g_ptr_array_new();
    model->prefix_cache = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    return model;
}

void engine_model_free(engine_model *model) {
    g_ptr_array_free(model->waiting, TRUE);
    g_ptr_array_free(model->running, TRUE);
    g_array_free(model->prefix_cache, TRUE);
    g_free(model);
}

static bool is_before(const engine_sequence *left, const engine_sequence *right) {
    if (left->priority != right->priority)
        return left->priority < right->priority;
    return left->arrival < right->arrival;
}

static void insert_waiting(engine_model *model, engine_sequence *sequence) {
    guint position = model->waiting->len;
    while (position > 0 && is_before(sequence, model->waiting->pdata[position - 1]))
        position--;
    sequence->state = ENGINE_SEQUENCE_WAITING;
    g_ptr_array_insert(model->waiting, (gint)position, sequence);
}

void engine_model_submit(engine_model *model, engine_sequence *sequence) {
    sequence->arrival = model->next_arrival++;
    sequence->prefilled = 0;
    insert_waiting(model, sequence);
}

void engine_model_cancel(engine_model *model, engine_sequence *sequence) {
    g_ptr_array_remove(model->waiting, sequence);
    g_ptr_array_remove(model->running, sequence);
    sequence->state = ENGINE_SEQUENCE_CANCELLED;
}

/** Returns the KV tokens that the sequence needs to run to its end. */
static uint32_t kv_reserved(const engine_sequence *sequence) {
    return sequence->prompt_tokens + sequence->max_tokens;
}

uint32_t engine_model_kv_used(const engine_model *model) {
    uint32_t used = 0;
    for (guint index = 0; index < model->running->len; index++)
        used += kv_reserved(model->running->pdata[index]);
    return used;
}

uint32_t engine_model_count_more_urgent(const engine_model *model, int limit) {
    uint32_t count = 0;
    for (guint index = 0; index < model->running->len; index++)
        count += ((engine_sequence *)model->running->pdata[index])->priority < limit;
    for (guint index = 0; index < model->waiting->len; index++)
        count += ((engine_sequence *)model->waiting->pdata[index])->priority < limit;
    return count;
}

/** Returns whether the prefix was cached, and makes it the most recently used one. */
static bool touch_prefix(engine_model *model, uint64_t prefix_hash) {
    bool hit = false;
    for (guint index = 0; index < model->prefix_cache->len; index++) {
        if (g_array_index(model->prefix_cache, uint64_t, index) != prefix_hash)
            continue;
        g_array_remove_index(model->prefix_cache, index);
        hit = true;
        break;
    }
    g_array_append_val(model->prefix_cache, prefix_hash);
    if (model->prefix_cache->len > model->settings.prefix_cache_entries)
        g_array_remove_index(model->prefix_cache, 0);
    return hit;
}

/** Returns the last running sequence in order, or NULL if @p sequence may not preempt it. */
static engine_sequence *find_preemption_victim(engine_model *model,
                                               const engine_sequence *sequence) {
    engine_sequence *victim = NULL;
    for (guint index = 0; index < model->running->len; index++) {
        engine_sequence *candidate = model->running->pdata[index];
        if (victim == NULL || is_before(victim, candidate))
            victim = candidate;
    }
    if (victim == NULL || victim->priority <= sequence->priority)
        return NULL;
    return victim;
}

static bool has_capacity(const engine_model *model, const engine_sequence *sequence) {
    return model->running->len < model->settings.max_sequences &&
           engine_model_kv_used(model) + kv_reserved(sequence) <= model->settings.kv_tokens;
}

/** Preempts sequences until @p sequence fits. Returns false if too few can be preempted. */
static bool preempt_for(engine_model *model, const engine_sequence *sequence) {
    while (!has_capacity(model, sequence)) {
        engine_sequence *victim = find_preemption_victim(model, sequence);
        if (victim == NULL)
            return false;
        g_ptr_array_remove(model->running, victim);
        victim->prefilled = 0;
        model->preemption_count++;
        insert_waiting(model, victim);
    }
    return true;
}

static void admit_waiting(engine_model *model) {
    while (model->waiting->len > 0) {
        engine_sequence *next = model->waiting->pdata[0];
        if (!preempt_for(model, next))
            return;
        g_ptr_array_remove(model->waiting, next);
        next->state = ENGINE_SEQUENCE_RUNNING;
        if (next->prefix_hash != 0 && touch_prefix(model, next->prefix_hash)) {
            next->prefilled = MIN(next->prefix_tokens, next->prompt_tokens);
            model->cache_hit_count++;
        }
        g_ptr_array_add(model->running, next);
    }
}

/** Returns the tokens still to prefill, those whose KV was lost in a preemption included. */
static uint32_t count_prefill_tokens(const engine_sequence *sequence) {
    uint32_t target = sequence->prompt_tokens + sequence->produced;
    if (sequence->produced > 0 && sequence->prefilled >= sequence->prompt_tokens)
        return 0;
    return target > sequence->prefilled ? target - sequence->prefilled : 0;
}

static gint compare_running(gconstpointer left, gconstpointer right) {
    return is_before(*(engine_sequence *const *)left, *(engine_sequence *const *)right) ? -1 : 1;
}

double engine_model_step_begin(engine_model *model) {
    admit_waiting(model);
    if (model->running->len == 0)
        return 0;
    g_ptr_array_sort(model->running, compare_running);
    const engine_model_settings *settings = &model->settings;
    uint32_t budget = settings->prefill_tokens_per_step;
    uint32_t decoding = 0;
    uint64_t context = 0;
    model->prefill_this_step = 0;
    for (guint index = 0; index < model->running->len; index++) {
        engine_sequence *sequence = model->running->pdata[index];
        uint32_t prefill_tokens = MIN(count_prefill_tokens(sequence), budget);
        budget -= prefill_tokens;
        sequence->prefilled += prefill_tokens;
        model->prefill_this_step += prefill_tokens;
        if (count_prefill_tokens(sequence) > 0)
            continue;
        decoding++;
        context += sequence->prompt_tokens + sequence->produced;
    }
    return settings->step_base_ms + settings->step_per_sequence_ms * decoding +
           settings->step_per_kilotoken_context_ms * (double)context / 1000.0 +
           settings->step_per_prefill_token_ms * model->prefill_this_step;
}

void engine_model_step_end(engine_model *model, engine_token_callback on_token, void *user_data) {
    model->step_count++;
    for (guint index = 0; index < model->running->len;) {
        engine_sequence *sequence = model->running->pdata[index];
        if (count_prefill_tokens(sequence) > 0) {
            index++;
            continue;
        }
        sequence->produced++;
        if (sequence->produced >= sequence->max_tokens) {
            sequence->state = ENGINE_SEQUENCE_DONE;
            g_ptr_array_remove_index(model->running, index);
        } else {
            index++;
        }
        on_token(sequence, user_data);
    }
}
