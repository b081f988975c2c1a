/** @file allocator.h  Configures the C library's allocator. */
#ifndef HS_BASE_ALLOCATOR_H
#define HS_BASE_ALLOCATOR_H

/**
 * Has large blocks always mapped, so that they go back to the kernel when they are freed. By
 * default the allocator raises its threshold to the largest block freed, and later blocks of up to
 * that size stay in its arenas, which doubles the resident memory of a process after a burst. To be
 * called before threads are started.
 */
void hs_allocator_configure(void);

#endif
