/**
 * @file test_feed.c
 * Records of the store that daemons pass on: the log, the answers, the tree, and two feeds over
 * loopback.
 */
#include "base/clock.h"
#include "base/hash.h"
#include "feed/feed_codec.h"
#include "feed/feed_duty.h"
#include "feed/feed_parent.h"
#include "feed/state_feed.h"
#include "platform/names.h"
#include "standin/log_store/log_store.h"
#include "tests/unit/unit_tests.h"

#include <netinet/in.h>
#include <string.h>

#define WAIT_LIMIT_MS 4000

static bool put(hs_feed_log *log, const char *key, const char *text, uint64_t offset) {
    g_autoptr(GBytes) value = g_bytes_new(text, strlen(text));
    hs_feed_record *record = hs_feed_record_new(key, value, offset, 1);
    bool is_added = hs_feed_log_put(log, record);
    hs_feed_record_unref(record);
    return is_added;
}

/** Copies the changes from @p from on; returns their number. */
static guint copy_changes(const hs_feed_log *from_log, hs_feed_log *to, uint64_t from,
                          size_t max_bytes, uint64_t *cursor) {
    bool has_more = false;
    g_autoptr(GPtrArray) records =
        hs_feed_log_changes(from_log, from, hs_feed_log_next(from_log), max_bytes, &has_more);
    for (guint index = 0; index < records->len; index++)
        hs_feed_log_put(to, records->pdata[index]);
    *cursor = hs_feed_log_next(from_log);
    if (has_more && records->len > 0)
        *cursor = ((const hs_feed_record *)records->pdata[records->len - 1])->offset + 1;
    return records->len;
}

/** Guards against a copy in parts that misses a key which changes while it is sent. */
static void a_copy_in_parts_has_each_key_once(void) {
    hs_feed_log *source = hs_feed_log_new();
    hs_feed_log *copy = hs_feed_log_new();
    hs_feed_log_begin_listing(source);
    for (uint64_t offset = 0; offset < 10; offset++) {
        char key[8];
        g_snprintf(key, sizeof key, "k%u", (unsigned)offset);
        put(source, key, "first", offset);
    }
    hs_feed_log_end_listing(source, 10, 10);
    hs_feed_log_begin_listing(copy);
    uint64_t cursor = 0;
    guint count = copy_changes(source, copy, 0, 100, &cursor);
    CU_ASSERT(count > 0 && count < 10);
    put(source, "k0", "second", 10); /* Sent already. */
    put(source, "k9", "second", 11); /* Not sent yet. */
    hs_feed_log_advance(source, 12);
    while (cursor < hs_feed_log_next(source))
        copy_changes(source, copy, cursor, 100, &cursor);
    hs_feed_log_end_listing(copy, cursor, hs_feed_log_floor(source));
    CU_ASSERT_EQUAL(hs_feed_log_key_count(copy), 10);
    CU_ASSERT_EQUAL(hs_feed_log_next(copy), 12);
    CU_ASSERT_EQUAL(hs_feed_log_floor(copy), 10); /* What the source cannot tell, the copy can't. */
    bool has_more = true;
    g_autoptr(GPtrArray) records = hs_feed_log_changes(copy, 10, 12, 1000, &has_more);
    CU_ASSERT_EQUAL(records->len, 2);
    CU_ASSERT_FALSE(has_more);
    hs_feed_log_free(source);
    hs_feed_log_free(copy);
}

/** Guards against an engine that stays listed at a daemon which was away when it was removed. */
static void a_key_removed_meanwhile_is_dropped_by_a_listing(void) {
    hs_feed_log *log = hs_feed_log_new();
    hs_feed_log_begin_listing(log);
    put(log, "a", "x", 1);
    put(log, "b", "x", 2);
    hs_feed_log_end_listing(log, 3, 0);
    CU_ASSERT_EQUAL(hs_feed_log_floor(log), 0);
    hs_feed_log_begin_listing(log);
    CU_ASSERT_FALSE(put(log, "b", "x", 2));
    hs_feed_log_end_listing(log, 9, 0);
    CU_ASSERT_EQUAL(hs_feed_log_key_count(log), 1);
    CU_ASSERT_EQUAL(hs_feed_log_floor(log), 9); /* Followers below cannot know of the removal. */
    CU_ASSERT_FALSE(put(log, "a", "x", 1));     /* A late record does not bring it back. */
    CU_ASSERT_TRUE(put(log, "a", "again", 9));
    hs_feed_log_free(log);
}

/** Guards against removals that are kept for good, and against a loss that followers don't see. */
static void old_removals_raise_the_floor(void) {
    hs_feed_log *log = hs_feed_log_new();
    hs_feed_log_begin_listing(log);
    hs_feed_log_end_listing(log, 0, 0);
    for (uint64_t offset = 0; offset < 5000; offset++) {
        char key[12];
        g_snprintf(key, sizeof key, "k%u", (unsigned)offset);
        put(log, key, "", offset);
    }
    hs_feed_log_advance(log, 5000);
    CU_ASSERT(hs_feed_log_floor(log) > 0);
    bool has_more = false;
    g_autoptr(GPtrArray) records = hs_feed_log_changes(log, 0, 5000, SIZE_MAX, &has_more);
    CU_ASSERT(records->len < 5000);
    hs_feed_log_free(log);
}

static GByteArray *encode(const hs_feed_log *log, uint64_t held_ms) {
    hs_feed_answer_terms terms = {
        .now_ms = 5000, .as_of_ms = 4000, .held_ms = held_ms, .next = hs_feed_log_next(log)};
    return hs_feed_answer_encode(log, 0, SIZE_MAX, &terms);
}

/** Guards against answers that are cut, out of order or of another range and change something. */
static void a_malformed_answer_is_rejected(void) {
    hs_feed_log *log = hs_feed_log_new();
    hs_feed_log_begin_listing(log);
    put(log, "a", "one", 3);
    put(log, "b", "two", 7);
    hs_feed_log_end_listing(log, 8, 0);
    g_autoptr(GByteArray) whole = encode(log, 200);
    hs_feed_answer answer;
    CU_ASSERT_TRUE(hs_feed_answer_decode(whole, 0, 10000, 10300, &answer));
    CU_ASSERT_EQUAL(answer.records->len, 2);
    CU_ASSERT_EQUAL(answer.next, 8);
    CU_ASSERT_EQUAL(answer.as_of_ms, 10200 - 1000);
    hs_feed_answer_clear(&answer);
    CU_ASSERT_FALSE(hs_feed_answer_decode(whole, 4, 10000, 10300, &answer)); /* Below the range. */
    guint read_count = 0;
    for (guint length = 0; length < whole->len; length++) {
        g_autoptr(GByteArray) cut = g_byte_array_new();
        g_byte_array_append(cut, whole->data, length);
        if (!hs_feed_answer_decode(cut, 0, 10000, 10300, &answer))
            continue;
        read_count += answer.records->len == 2;
        hs_feed_answer_clear(&answer);
    }
    CU_ASSERT_EQUAL(read_count, 0);
    /* A sender that claims to have held the request longer than it took makes nothing recent. */
    g_autoptr(GByteArray) lies = encode(log, 1000000);
    CU_ASSERT_TRUE(hs_feed_answer_decode(lies, 0, 10000, 10300, &answer));
    CU_ASSERT_EQUAL(answer.as_of_ms, 10300 - 1000);
    hs_feed_answer_clear(&answer);
    hs_feed_log_free(log);
}

/** Guards against targets of other topics, or with parts missing, that are taken for a request. */
static void a_request_is_read_as_written(void) {
    hs_feed_request request = {.from = 77, .wait_ms = 500};
    g_autofree char *target = hs_feed_request_write("engines", &request);
    hs_feed_request found = {0};
    CU_ASSERT_TRUE(hs_feed_request_read(target, "engines", &found));
    CU_ASSERT_EQUAL(found.from, 77);
    CU_ASSERT_EQUAL(found.wait_ms, 500);
    CU_ASSERT_FALSE(hs_feed_request_read(target, "config", &found));
    CU_ASSERT_FALSE(hs_feed_request_read("/feed/engines", "engines", &found));
    CU_ASSERT_FALSE(hs_feed_request_read("/feed/engines?from=x&wait=1", "engines", &found));
    CU_ASSERT_FALSE(hs_feed_request_read("/feed/engines?from=1", "engines", &found));
}

#define ZONES 5
#define STRONG_LINK_KBPS 600000U
#define WEAK_LINK_KBPS 30000U

/** Nodes of a fleet, a fifth of them strong. */
static GArray *make_nodes(uint32_t count) {
    GArray *nodes = g_array_new(FALSE, FALSE, sizeof(hs_feed_node));
    for (uint32_t number = 0; number < count; number++) {
        hs_feed_node node = {.id = hs_hash_bytes(&number, sizeof number),
                             .zone = 1 + number % ZONES,
                             .strength =
                                 number / ZONES % 5 == 0 ? STRONG_LINK_KBPS : WEAK_LINK_KBPS,
                             .address = INADDR_LOOPBACK,
                             .port = (uint16_t)(1 + number)};
        g_array_append_val(nodes, node);
    }
    return nodes;
}

/** Guards against a parent with the load of the fleet, a long way to the store, and a circle. */
static void the_tree_is_flat_and_has_no_circle(void) {
    static const uint32_t sizes[] = {60, 986, 2000};
    for (guint size = 0; size < G_N_ELEMENTS(sizes); size++) {
        uint32_t count = sizes[size];
        g_autoptr(GArray) nodes = make_nodes(count);
        g_autofree uint32_t *parents = g_new0(uint32_t, count);
        g_autofree uint32_t *children = g_new0(uint32_t, count);
        uint32_t readers = 0;
        for (uint32_t number = 0; number < count; number++) {
            hs_feed_tree *tree =
                hs_feed_tree_new(nodes, g_array_index(nodes, hs_feed_node, number).id, count);
            bool is_reader = hs_feed_tree_is_reader(tree);
            readers += is_reader;
            const hs_feed_node *parent = hs_feed_tree_parent(tree, 0);
            parents[number] = is_reader ? UINT32_MAX : (uint32_t)parent->port - 1U;
            if (!is_reader)
                children[parent->port - 1]++;
            hs_feed_tree_unref(tree);
        }
        CU_ASSERT_EQUAL(readers, HS_FEED_READERS);
        uint32_t max_depth = 0;
        uint32_t max_children = 0;
        for (uint32_t number = 0; number < count; number++) {
            uint32_t depth = 0;
            for (uint32_t at = number; parents[at] != UINT32_MAX && depth < count; at = parents[at])
                depth++;
            max_depth = MAX(max_depth, depth);
            max_children = MAX(max_children, children[number]);
        }
        CU_ASSERT(max_depth <= 4);
        CU_ASSERT(max_children <= 32);
    }
}

/** Guards against all daemons that turn to the store at once when the readers fail. */
static void readers_are_replaced_by_few_at_a_time(void) {
    g_autoptr(GArray) nodes = make_nodes(1000);
    uint32_t reading = 0;
    uint32_t reading_at_start = 0;
    for (uint32_t number = 0; number < nodes->len; number++) {
        hs_feed_tree *tree =
            hs_feed_tree_new(nodes, g_array_index(nodes, hs_feed_node, number).id, nodes->len);
        hs_feed_status status = {.started_ms = 1000, .as_of_ms = 50000};
        reading += hs_feed_choose_source(tree, &status, 53000) == HS_FEED_STORE;
        status = (hs_feed_status){.started_ms = 1000, .knows_other_addresses = true};
        reading_at_start += hs_feed_choose_source(tree, &status, 1500) == HS_FEED_STORE;
        hs_feed_tree_unref(tree);
    }
    CU_ASSERT(reading > HS_FEED_READERS && reading <= 10);
    CU_ASSERT_EQUAL(reading_at_start, HS_FEED_READERS);
}

/** Guards against a small fleet that waits for others where each daemon can read the store. */
static void a_small_fleet_reads_the_store_itself(void) {
    g_autoptr(GArray) nodes = make_nodes(HS_FEED_DIRECT_DAEMONS);
    uint64_t last = g_array_index(nodes, hs_feed_node, HS_FEED_DIRECT_DAEMONS - 1).id;
    hs_feed_tree *tree = hs_feed_tree_new(nodes, last, nodes->len);
    hs_feed_status status = {.started_ms = 1000, .knows_other_addresses = true};
    CU_ASSERT_EQUAL(hs_feed_choose_source(tree, &status, 1010), HS_FEED_WAIT);
    CU_ASSERT_EQUAL(hs_feed_choose_source(tree, &status, 1300), HS_FEED_STORE);
    status.knows_other_addresses = false;
    CU_ASSERT_EQUAL(hs_feed_choose_source(tree, &status, 1010), HS_FEED_STORE);
    hs_feed_tree_unref(tree);
}

/** Guards against a daemon that stays with a parent which is gone, or whose records are old. */
static void a_parent_that_fails_is_left(void) {
    hs_feed_parent parent = {0};
    CU_ASSERT_FALSE(hs_feed_parent_note(&parent, HS_FEED_ASK_FRESH, false, 1000));
    CU_ASSERT_TRUE(hs_feed_parent_note(&parent, HS_FEED_ASK_FAILED, false, 1100));
    CU_ASSERT_EQUAL(parent.attempt, 1);
    CU_ASSERT_FALSE(hs_feed_parent_note(&parent, HS_FEED_ASK_STALE, false, 1200));
    CU_ASSERT_TRUE(hs_feed_parent_note(&parent, HS_FEED_ASK_STALE, false, 1900));
    CU_ASSERT_EQUAL(parent.attempt, 2);
    CU_ASSERT_FALSE(hs_feed_parent_note(&parent, HS_FEED_ASK_FRESH, false, 2000));
    CU_ASSERT_FALSE(
        hs_feed_parent_note(&parent, HS_FEED_ASK_FRESH, false, 5000)); /* Back to the parent. */
    CU_ASSERT_EQUAL(parent.attempt, 0);
    CU_ASSERT_TRUE(hs_feed_parent_note(&parent, HS_FEED_ASK_STALE, true, 5001));
}

/** Guards against two stand-ins that leave the store to each other, so that nobody reads it. */
static void of_two_stand_ins_one_goes_on(void) {
    g_autoptr(GArray) nodes = make_nodes(60);
    hs_feed_tree *trees[2];
    hs_feed_duty duties[2] = {{0}};
    for (uint32_t index = 0; index < 2; index++) {
        uint64_t self = g_array_index(nodes, hs_feed_node, 30 + index).id;
        trees[index] = hs_feed_tree_new(nodes, self, nodes->len);
        CU_ASSERT_FALSE(hs_feed_tree_is_reader(trees[index]));
        hs_feed_duty_note_store(&duties[index], true, false, 1000);
        CU_ASSERT_FALSE(hs_feed_duty_is_check_due(&duties[index], 1500));
        CU_ASSERT_TRUE(hs_feed_duty_is_check_due(&duties[index], 2000));
    }
    for (uint32_t index = 0; index < 2; index++)
        hs_feed_duty_note_answer(&duties[index], trees[index], HS_FEED_ASK_FRESH,
                                 hs_feed_tree_self(trees[1 - index]), 2000);
    CU_ASSERT_EQUAL(duties[0].is_standing_in + duties[1].is_standing_in, 1);
    for (uint32_t number = 0; number < nodes->len; number++) { /* A reader is back. */
        uint64_t reader = g_array_index(nodes, hs_feed_node, number).id;
        hs_feed_tree *tree = hs_feed_tree_new(nodes, reader, nodes->len);
        for (uint32_t index = 0; index < 2 && hs_feed_tree_is_reader(tree); index++)
            hs_feed_duty_note_answer(&duties[index], trees[index], HS_FEED_ASK_FRESH, reader, 3000);
        hs_feed_tree_unref(tree);
    }
    CU_ASSERT_FALSE(duties[0].is_standing_in || duties[1].is_standing_in);
    hs_feed_tree_unref(trees[0]);
    hs_feed_tree_unref(trees[1]);
}

/** Guards against a daemon that takes its own records, passed back to it, for a confirmation. */
static void only_records_of_others_confirm_those_of_a_daemon(void) {
    g_autoptr(GArray) nodes = make_nodes(60);
    uint64_t self = g_array_index(nodes, hs_feed_node, 30).id;
    hs_feed_tree *tree = hs_feed_tree_new(nodes, self, nodes->len);
    hs_feed_duty duty = {0};
    hs_feed_duty_note_answer(&duty, tree, HS_FEED_ASK_FRESH, 7, 1000);
    hs_feed_duty_note_answer(&duty, tree, HS_FEED_ASK_FRESH, self, 1100);
    CU_ASSERT_FALSE(hs_feed_duty_is_cut_off(&duty));
    hs_feed_duty_note_answer(&duty, tree, HS_FEED_ASK_FRESH, self, 1300);
    CU_ASSERT_TRUE(hs_feed_duty_is_cut_off(&duty));
    hs_feed_duty_note_answer(&duty, tree, HS_FEED_ASK_FRESH, 7, 1400);
    CU_ASSERT_FALSE(hs_feed_duty_is_cut_off(&duty));
    hs_feed_duty_note_answer(&duty, tree, HS_FEED_ASK_CUT_OFF, 7, 1500);
    CU_ASSERT_FALSE(hs_feed_duty_is_cut_off(&duty)); /* It was confirmed just now. */
    hs_feed_duty_note_answer(&duty, tree, HS_FEED_ASK_CUT_OFF, 7, 1700);
    CU_ASSERT_TRUE(hs_feed_duty_is_cut_off(&duty));
    hs_feed_duty_note_store(&duty, true, false, 1800);
    CU_ASSERT_FALSE(hs_feed_duty_is_cut_off(&duty));
    hs_feed_tree_unref(tree);
}

/** Guards against all stand-ins being of the kind of machine that the readers were of. */
static void stand_ins_are_few_at_first_and_of_all_kinds(void) {
    g_autoptr(GArray) nodes = make_nodes(1000);
    uint32_t counts[4] = {0};
    uint32_t weak = 0;
    for (uint32_t number = 0; number < nodes->len; number++) {
        const hs_feed_node *node = &g_array_index(nodes, hs_feed_node, number);
        hs_feed_tree *tree = hs_feed_tree_new(nodes, node->id, nodes->len);
        counts[0] += hs_feed_tree_is_stand_in(tree, 0);
        counts[1] += hs_feed_tree_is_stand_in(tree, 310);
        counts[2] += hs_feed_tree_is_stand_in(tree, 1900);
        counts[3] += hs_feed_tree_is_stand_in(tree, 60000);
        weak += hs_feed_tree_is_stand_in(tree, 1900) && node->strength == WEAK_LINK_KBPS;
        hs_feed_tree_unref(tree);
    }
    CU_ASSERT(counts[0] == 4 && counts[1] == 16 && counts[2] == 64 && counts[3] == 64);
    CU_ASSERT(weak > 32);
}

/** Two daemons: one reads a store, the other follows it. */
typedef struct {
    log_store *store;
    hs_store_client *client;
    hs_state_feed *reader;
    hs_state_feed *follower;
    hs_listener *listener;
    uint16_t port;
} pair;

static void serve(hs_inbound *inbound, void *user_data) {
    if (!hs_state_feed_serve(user_data, inbound))
        hs_inbound_reply(inbound, 404, NULL, "", 0);
}

/** The follower's view: the reader's address is that of the daemon which it is to follow. */
static hs_feed_tree *get_tree(void *user_data) {
    const pair *daemons = user_data;
    g_autoptr(GArray) nodes = g_array_new(FALSE, FALSE, sizeof(hs_feed_node));
    for (uint32_t number = 1; number <= 3; number++) {
        hs_feed_node node = {.id = number,
                             .zone = 1,
                             .strength = 10 - number,
                             .address = INADDR_LOOPBACK,
                             .port = daemons->port};
        g_array_append_val(nodes, node);
    }
    return hs_feed_tree_new(nodes, 3, HS_FEED_DIRECT_DAEMONS + 1);
}

static bool knows_others(void *user_data) {
    (void)user_data;
    return true;
}

static uint16_t find_port(void) {
    log_store *probe = log_store_start(0);
    uint16_t port = log_store_port(probe);
    log_store_stop(probe);
    return port;
}

static pair start_pair(void) {
    pair made = {.store = log_store_start(0), .port = find_port()};
    made.client = hs_store_client_new(INADDR_LOOPBACK, log_store_port(made.store));
    made.reader = hs_state_feed_new(made.client, HS_TOPIC_ENGINES, "engines");
    made.follower = hs_state_feed_new(made.client, HS_TOPIC_ENGINES, "engines");
    hs_listener_limits limits = {.max_body_bytes = 1000};
    made.listener = hs_listener_start("127.0.0.1", made.port, &limits, serve, made.reader, NULL);
    return made;
}

static void stop_pair(pair *made) {
    hs_state_feed_stop(made->reader);
    hs_state_feed_stop(made->follower);
    hs_listener_stop(made->listener);
    hs_state_feed_free(made->reader);
    hs_state_feed_free(made->follower);
    hs_store_client_free(made->client);
    log_store_stop(made->store);
}

/** Delay in ms of a late store's answers: more than the timeout of read_once. */
#define LATE_MS 1100

/** Reads once; returns whether the read was answered. */
static bool read_once(hs_state_feed *feed, hs_feed_source *source) {
    hs_feed_limits limits = {.store_timeout_ms = 1000};
    hs_feed_batch batch;
    hs_state_feed_read(feed, &limits, &batch);
    bool is_answered = batch.outcome == HS_STORE_DONE;
    *source = batch.source;
    hs_feed_batch_clear(&batch);
    return is_answered;
}

/** Reads until the feed has @p keys keys. Returns the number of reads of the store. */
static uint32_t read_until(hs_state_feed *feed, uint32_t keys) {
    uint32_t store_reads = 0;
    uint32_t known = UINT32_MAX;
    uint64_t limit_ms = hs_clock_monotonic_ms() + WAIT_LIMIT_MS;
    while (known != keys && hs_clock_monotonic_ms() < limit_ms) {
        hs_feed_source source = HS_FEED_WAIT;
        read_once(feed, &source);
        store_reads += source == HS_FEED_STORE;
        g_autoptr(GPtrArray) records = hs_state_feed_list(feed);
        known = 0;
        for (guint index = 0; index < records->len; index++)
            known += !hs_feed_record_is_removal(records->pdata[index]);
    }
    CU_ASSERT_EQUAL(known, keys);
    return store_reads;
}

/** Guards against followers that read the store, miss a removal or keep what is gone. */
static void a_follower_gets_changes_without_the_store(void) {
    pair daemons = start_pair();
    hs_feed_members members = {
        .get_tree = get_tree, .knows_others = knows_others, .user_data = &daemons};
    hs_state_feed_set_members(daemons.follower, &members);
    for (int number = 0; number < 40; number++) {
        char key[8];
        g_snprintf(key, sizeof key, "e%d", number);
        log_store_put(daemons.store, TOPIC_ENGINES, key, "{}");
    }
    read_until(daemons.reader, 40);
    uint32_t calls = log_store_call_count(daemons.store, "/");
    CU_ASSERT_EQUAL(read_until(daemons.follower, 40), 0);
    CU_ASSERT_EQUAL(log_store_call_count(daemons.store, "/"), calls);
    CU_ASSERT(hs_state_feed_as_of_ms(daemons.follower) > 0);
    log_store_put(daemons.store, TOPIC_ENGINES, "e7", "");
    read_until(daemons.reader, 39);
    CU_ASSERT_EQUAL(read_until(daemons.follower, 39), 0);
    /* The store loses its history, so that the reader lists all keys anew and one is gone. */
    log_store_put(daemons.store, TOPIC_ENGINES, "e8", "");
    log_store_put(daemons.store, TOPIC_ENGINES, "new", "{}");
    log_store_discard_records(daemons.store, TOPIC_ENGINES);
    read_until(daemons.reader, 39);
    CU_ASSERT_EQUAL(read_until(daemons.follower, 39), 0);
    stop_pair(&daemons);
}

/** Guards against a follower without any daemon to follow that never asks the store. */
static void a_follower_without_a_parent_reads_the_store(void) {
    pair daemons = start_pair();
    hs_feed_members members = {
        .get_tree = get_tree, .knows_others = knows_others, .user_data = &daemons};
    hs_state_feed_set_members(daemons.follower, &members);
    log_store_put(daemons.store, TOPIC_ENGINES, "e1", "{}");
    hs_state_feed_close(daemons.reader); /* It refuses its followers. */
    CU_ASSERT(read_until(daemons.follower, 1) > 0);
    stop_pair(&daemons);
}

/** Guards against feeds that never read a store whose answers are later than their timeout. */
static void a_feed_reads_a_store_that_answers_later_than_its_timeout(void) {
    pair made = start_pair();
    log_store_set_delay(made.store, LATE_MS);
    bool is_answered = false;
    hs_feed_source source = HS_FEED_WAIT;
    for (int read = 0; read < 2 && !is_answered; read++)
        is_answered = read_once(made.reader, &source);
    CU_ASSERT_TRUE(is_answered);
    CU_ASSERT_TRUE(read_once(made.reader, &source)); /* The response time is known now. */
    stop_pair(&made);
}

/** Appends @p count records with keys of their own and values of @p value_bytes. */
static void put_records(log_store *store, const char *prefix, int count, gsize value_bytes) {
    g_autofree char *value = g_strnfill(value_bytes, 'x');
    for (int number = 0; number < count; number++) {
        g_autofree char *key = g_strdup_printf("%s%04d", prefix, number);
        log_store_put(store, TOPIC_ENGINES, key, value);
    }
}

static bool has_key(hs_state_feed *feed, const char *key) {
    bool is_found = false;
    g_autoptr(GPtrArray) records = hs_state_feed_list(feed);
    for (guint index = 0; index < records->len; index++)
        is_found |= strcmp(((const hs_feed_record *)records->pdata[index])->key, key) == 0;
    return is_found;
}

/** Reads until the records are confirmed as of @p as_of_ms. */
static void read_until_as_of(hs_state_feed *feed, uint64_t as_of_ms) {
    hs_feed_source source = HS_FEED_WAIT;
    uint64_t limit_ms = hs_clock_monotonic_ms() + WAIT_LIMIT_MS;
    while (hs_state_feed_as_of_ms(feed) < as_of_ms && hs_clock_monotonic_ms() < limit_ms)
        read_once(feed, &source);
    CU_ASSERT(hs_state_feed_as_of_ms(feed) >= as_of_ms);
}

/** Guards against old records that pass for current ones after a long time without the store. */
static void a_lost_position_does_not_confirm_the_records(void) {
    pair made = start_pair();
    put_records(made.store, "a", 3, 10);
    read_until(made.reader, 3);
    hs_clock_sleep_ms(2);
    put_records(made.store, "b", 1, 10);
    log_store_discard_records(made.store, TOPIC_ENGINES);
    uint64_t put_ms = hs_clock_monotonic_ms();
    hs_clock_sleep_ms(2);
    hs_feed_source source = HS_FEED_WAIT;
    read_once(made.reader, &source); /* The position is refused. */
    CU_ASSERT_FALSE(has_key(made.reader, "b0000"));
    CU_ASSERT(hs_state_feed_as_of_ms(made.reader) < put_ms);
    read_until_as_of(made.reader, put_ms);
    CU_ASSERT_TRUE(has_key(made.reader, "b0000"));
    stop_pair(&made);
}

/** Guards against a part of the changes that passes for all of them. */
static void a_part_of_the_changes_does_not_confirm_the_records(void) {
    pair made = start_pair();
    put_records(made.store, "a", 3, 10);
    read_until(made.reader, 3);
    hs_clock_sleep_ms(2);
    put_records(made.store, "b", 30, 100000);
    uint64_t put_ms = hs_clock_monotonic_ms();
    hs_clock_sleep_ms(2);
    hs_feed_source source = HS_FEED_WAIT;
    CU_ASSERT_TRUE(read_once(made.reader, &source));
    CU_ASSERT_TRUE(has_key(made.reader, "b0000"));
    CU_ASSERT_FALSE(has_key(made.reader, "b0029"));
    CU_ASSERT(hs_state_feed_as_of_ms(made.reader) < put_ms);
    read_until_as_of(made.reader, put_ms);
    CU_ASSERT_TRUE(has_key(made.reader, "b0029"));
    stop_pair(&made);
}

/** Guards against a listing in pages that passes for one of the time of its last page. */
static void a_listing_confirms_the_records_as_of_its_first_page(void) {
    pair made = start_pair();
    put_records(made.store, "b", 600, 10);
    hs_feed_source source = HS_FEED_WAIT;
    CU_ASSERT_TRUE(read_once(made.reader, &source));
    CU_ASSERT_FALSE(hs_state_feed_is_complete(made.reader));
    hs_clock_sleep_ms(2);
    put_records(made.store, "a", 1, 10); /* Before the keys of the first page. */
    uint64_t put_ms = hs_clock_monotonic_ms();
    hs_clock_sleep_ms(2);
    CU_ASSERT_TRUE(read_once(made.reader, &source));
    CU_ASSERT_TRUE(hs_state_feed_is_complete(made.reader));
    CU_ASSERT_FALSE(has_key(made.reader, "a0000"));
    CU_ASSERT(hs_state_feed_as_of_ms(made.reader) < put_ms);
    read_until_as_of(made.reader, put_ms);
    CU_ASSERT_TRUE(has_key(made.reader, "a0000"));
    stop_pair(&made);
}

/** Guards against a follower that does not know that it missed an engine's whole life. */
static void a_key_that_came_and_went_between_two_reads_is_told(void) {
    pair daemons = start_pair();
    hs_feed_members members = {
        .get_tree = get_tree, .knows_others = knows_others, .user_data = &daemons};
    hs_state_feed_set_members(daemons.follower, &members);
    log_store_put(daemons.store, TOPIC_ENGINES, "e1", "{}");
    log_store_put(daemons.store, TOPIC_ENGINES, "before", "{}");
    log_store_put(daemons.store, TOPIC_ENGINES, "before", "");
    read_until(daemons.reader, 1);
    read_until(daemons.follower, 1);
    log_store_put(daemons.store, TOPIC_ENGINES, "e2", "{}");
    log_store_put(daemons.store, TOPIC_ENGINES, "e2", "");
    log_store_put(daemons.store, TOPIC_ENGINES, "e3", "{}");
    read_until(daemons.reader, 2);
    bool has_unseen = false;
    uint64_t limit_ms = hs_clock_monotonic_ms() + WAIT_LIMIT_MS;
    while (!has_key(daemons.follower, "e3") && hs_clock_monotonic_ms() < limit_ms) {
        hs_feed_limits limits = {.store_timeout_ms = 1000};
        hs_feed_batch batch;
        hs_state_feed_read(daemons.follower, &limits, &batch);
        has_unseen |= batch.has_unseen;
        hs_feed_batch_clear(&batch);
    }
    CU_ASSERT_TRUE(has_key(daemons.follower, "e3"));
    CU_ASSERT_TRUE(has_unseen);
    stop_pair(&daemons);
}

const test_case feed_tests[] = {
    {"a_key_that_came_and_went_between_two_reads_is_told",
     a_key_that_came_and_went_between_two_reads_is_told},
    {"a_lost_position_does_not_confirm_the_records", a_lost_position_does_not_confirm_the_records},
    {"a_part_of_the_changes_does_not_confirm_the_records",
     a_part_of_the_changes_does_not_confirm_the_records},
    {"a_listing_confirms_the_records_as_of_its_first_page",
     a_listing_confirms_the_records_as_of_its_first_page},
    {"a_feed_reads_a_store_that_answers_later_than_its_timeout",
     a_feed_reads_a_store_that_answers_later_than_its_timeout},
    {"a_copy_in_parts_has_each_key_once", a_copy_in_parts_has_each_key_once},
    {"a_key_removed_meanwhile_is_dropped_by_a_listing",
     a_key_removed_meanwhile_is_dropped_by_a_listing},
    {"old_removals_raise_the_floor", old_removals_raise_the_floor},
    {"a_malformed_answer_is_rejected", a_malformed_answer_is_rejected},
    {"a_request_is_read_as_written", a_request_is_read_as_written},
    {"the_tree_is_flat_and_has_no_circle", the_tree_is_flat_and_has_no_circle},
    {"readers_are_replaced_by_few_at_a_time", readers_are_replaced_by_few_at_a_time},
    {"a_small_fleet_reads_the_store_itself", a_small_fleet_reads_the_store_itself},
    {"of_two_stand_ins_one_goes_on", of_two_stand_ins_one_goes_on},
    {"only_records_of_others_confirm_those_of_a_daemon",
     only_records_of_others_confirm_those_of_a_daemon},
    {"stand_ins_are_few_at_first_and_of_all_kinds", stand_ins_are_few_at_first_and_of_all_kinds},
    {"a_parent_that_fails_is_left", a_parent_that_fails_is_left},
    {"a_follower_gets_changes_without_the_store", a_follower_gets_changes_without_the_store},
    {"a_follower_without_a_parent_reads_the_store", a_follower_without_a_parent_reads_the_store},
    {NULL, NULL}};
