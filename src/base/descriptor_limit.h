/** @file descriptor_limit.h  The limit of open file descriptors of the process. */
#ifndef HS_BASE_DESCRIPTOR_LIMIT_H
#define HS_BASE_DESCRIPTOR_LIMIT_H

#include <stdint.h>

/** Raises the soft limit to the hard limit. Returns the resulting limit. Call at start-up. */
uint32_t hs_descriptor_limit_raise(void);

#endif
