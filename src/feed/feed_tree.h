/**
 * @file feed_tree.h
 * Who reads the store, and from whom the other daemons get what was read. Pure functions.
 *
 * All daemons of a region are ranked: those that are ready first, then by the size of their
 * machines. The first ones, the readers, read the store. In each zone the daemons form a tree by
 * the same rank: the first two follow a reader, every other one follows a daemon of its zone that
 * is ranked before it. Views of the members may differ for a short time; then a daemon may follow
 * one that has nothing newer, notices it by the age of the answers, and follows another.
 *
 * Answers the load of a fleet that starts at once, and of the store: its calls and bytes depend on
 * the number of readers, not on the number of daemons.
 */
#ifndef HS_FEED_FEED_TREE_H
#define HS_FEED_FEED_TREE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Daemons of a region that read the store while all is well. */
#define HS_FEED_READERS 2
/**
 * Daemons up to which each reads the store itself. Their calls together are then few, and no daemon
 * depends on another.
 */
#define HS_FEED_DIRECT_DAEMONS 48
/** Daemons of a zone that follow one parent. */
#define HS_FEED_CHILDREN 8

/**
 * Time after the start in which a daemon learns of others before it reads the store. Without it,
 * all daemons of a fleet that starts at once take themselves for the only one.
 */
#define HS_FEED_START_WAIT_MS 240

/** A live daemon that passes records on. */
typedef struct {
    uint64_t id;       /**< Hash of the daemon's id. */
    uint64_t zone;     /**< Hash of the zone's name. */
    uint64_t region;   /**< Hash of the region's name; 0: none is known. */
    uint32_t strength; /**< Size of the machine; larger ones are ranked first. */
    uint32_t address;  /**< IPv4 in host order. */
    uint16_t port;     /**< Of the control listener. */
    bool is_starting;  /**< Not ready yet; ranked after all that are. */
} hs_feed_node;

/** The view of one daemon. Immutable; shared by references. */
typedef struct hs_feed_tree hs_feed_tree;

/**
 * Creates the view of the daemon @p self among @p nodes (of hs_feed_node, any order, copied). If
 * @p self is not among them, it has no rank and follows any of them. @p live_count: live daemons,
 * those of builds included that pass nothing on.
 */
hs_feed_tree *hs_feed_tree_new(const GArray *nodes, uint64_t self, uint32_t live_count);
hs_feed_tree *hs_feed_tree_ref(hs_feed_tree *tree);
/** Releases a reference. NULL is allowed. */
void hs_feed_tree_unref(hs_feed_tree *tree);

/** Returns the id of this daemon. */
uint64_t hs_feed_tree_self(const hs_feed_tree *tree);

/** Returns the rank of this daemon in its region, from 0; UINT32_MAX if it is not in the view. */
uint32_t hs_feed_tree_rank(const hs_feed_tree *tree);

/** Returns the number of daemons that this one knows to be live, itself included. */
uint32_t hs_feed_tree_live_count(const hs_feed_tree *tree);

/**
 * Returns the daemon to follow, or NULL if there is no other. @p attempt 0: the parent; higher
 * values: others to try in turn, nearer to the readers than this daemon, or stand-ins. A reader is
 * given the other readers and the stand-ins. Borrowed from @p tree.
 */
const hs_feed_node *hs_feed_tree_parent(const hs_feed_tree *tree, uint32_t attempt);

/**
 * Returns whether a daemon that has been cut off for @p cut_off_ms is one of the stand-ins, which
 * read the store in place of the readers. They are chosen by a hash, so that whatever the lost
 * readers have in common, such as large machines, is not common to them; their number doubles in
 * short steps up to a limit, and then others take turns.
 */
bool hs_feed_tree_is_stand_in(const hs_feed_tree *tree, uint64_t cut_off_ms);

/**
 * Returns whether this daemon, a stand-in, may leave the store to the daemon @p source: it is a
 * reader, or a stand-in whose turn comes first. Two stand-ins thus never both leave it to the
 * other.
 */
bool hs_feed_tree_yields_to(const hs_feed_tree *tree, uint64_t source);

/** Where a daemon gets records from next. */
typedef enum {
    HS_FEED_WAIT,   /**< Nowhere yet. */
    HS_FEED_STORE,  /**< From the store. */
    HS_FEED_PARENT, /**< From another daemon. */
} hs_feed_source;

/** What the choice of a source depends on. All times are monotonic, in ms. */
typedef struct {
    uint64_t started_ms; /**< When the daemon began. */
    uint64_t as_of_ms;   /**< When the store confirmed the records, or a part came; 0: never. */
    uint64_t store_allowed_ms;  /**< The store is not read before; set after failures. */
    bool knows_other_addresses; /**< Members or seeds other than this daemon are known. */
    uint64_t cut_off_since_ms;  /**< Nothing has confirmed the records since; 0: something does. */
    bool is_standing_in;        /**< Reads the store as a stand-in, and is to go on. */
} hs_feed_status;

/**
 * Chooses the source. A reader reads the store, and so do stand-ins while the daemons are cut off.
 * A daemon whose records are older than they should be takes a reader's place too, the sooner the
 * higher its rank, so that readers that hang are replaced by few at a time. While the store fails,
 * the records of others are tried.
 */
hs_feed_source hs_feed_choose_source(const hs_feed_tree *tree, const hs_feed_status *status,
                                     uint64_t now_ms);

/** Returns whether this daemon reads the store regularly rather than in another's place. */
bool hs_feed_tree_is_reader(const hs_feed_tree *tree);

/** Returns whether the fleet is small enough that each daemon reads the store itself. */
bool hs_feed_tree_is_direct(const hs_feed_tree *tree);

#endif
