/** @file descriptor_limit.h  How many descriptors this process may have open. */
#ifndef HS_BASE_DESCRIPTOR_LIMIT_H
#define HS_BASE_DESCRIPTOR_LIMIT_H

#include <stdint.h>

/** Raise the limit as far as the process may; at the start. The limit then. */
uint32_t hs_descriptor_limit_raise(void);

#endif
