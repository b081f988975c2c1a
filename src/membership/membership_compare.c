/**
 * @file membership_compare.c
 * Finds the member records that another daemon lacks, by hashes of the records (anti-entropy).
 */
#include "base/hash.h"
#include "membership/membership_state.h"

/**
 * Hashes the member's id, incarnation, version, state and announced region, if any. A daemon that
 * got the record from an older build lacks the region and is sent the record again. In case of a
 * collision a changed record is not sent by a comparison until its version rises.
 */
static uint32_t hash_record(const hs_member *member) {
    g_autofree char *text = g_strdup_printf(
        "%" G_GUINT64_FORMAT ".%u.%d%s%s", (guint64)member->incarnation, member->version,
        (int)member->state, *member->region != '\0' ? "." : "", member->region);
    return (uint32_t)hs_hash_pair(member->id, text);
}

static bool is_announced(const hs_member *member) {
    return member->state != HS_MEMBER_PROPOSED;
}

void hs_membership_list_hashes(const hs_membership *membership, GArray *known) {
    GHashTableIter iterator;
    gpointer data = NULL;
    g_hash_table_iter_init(&iterator, membership->members);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        uint32_t hash = hash_record(data);
        if (is_announced(data))
            g_array_append_val(known, hash);
    }
}

void hs_membership_list_missing(const hs_membership *membership, const uint32_t *known,
                                size_t count, GPtrArray *members) {
    g_autoptr(GHashTable) held = g_hash_table_new(g_direct_hash, g_direct_equal);
    for (size_t index = 0; index < count; index++)
        g_hash_table_add(held, GUINT_TO_POINTER(known[index]));
    GHashTableIter iterator;
    gpointer data = NULL;
    g_hash_table_iter_init(&iterator, membership->members);
    while (g_hash_table_iter_next(&iterator, NULL, &data))
        if (is_announced(data) && !g_hash_table_contains(held, GUINT_TO_POINTER(hash_record(data))))
            g_ptr_array_add(members, data);
}
