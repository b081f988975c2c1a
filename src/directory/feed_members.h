/**
 * @file feed_members.h
 * The members of the directory as the nodes of the distribution tree (feed/feed_tree.h).
 */
#ifndef HS_DIRECTORY_FEED_MEMBERS_H
#define HS_DIRECTORY_FEED_MEMBERS_H

#include "directory/daemon_directory.h"
#include "feed/state_feed.h"

/**
 * Returns access to the directory's members for a feed. The directory has to outlive the last read
 * of the feed.
 */
hs_feed_members hs_feed_members_of(hs_daemon_directory *directory);

/**
 * Gets the rank of this daemon in its region by the size of the machines, UINT32_MAX in a fleet
 * that is small. Returns false while it cannot be known: shortly after the start, and in a large
 * fleet until this daemon is ready.
 */
bool hs_feed_members_rank(hs_daemon_directory *directory, uint32_t *rank);

/**
 * Returns the view of @p membership: its running members that pass records on, this daemon
 * included. Pure. Free with hs_feed_tree_unref.
 */
hs_feed_tree *hs_feed_tree_of(const hs_membership *membership);

#endif
