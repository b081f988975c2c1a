/** @file held_requests.h  The hold queues of a daemon's services; shared by threads. */
#ifndef HS_ONLINE_HELD_REQUESTS_H
#define HS_ONLINE_HELD_REQUESTS_H

#include <stdbool.h>
#include <stdint.h>

typedef struct hs_held_requests hs_held_requests;

hs_held_requests *hs_held_requests_new(void);
void hs_held_requests_free(hs_held_requests *held);

/** See hold_queue.h; of a service by its name, at this moment. */
void hs_held_requests_enter(hs_held_requests *held, const char *service);
void hs_held_requests_leave(hs_held_requests *held, const char *service, bool is_placed);
uint64_t hs_held_requests_expected_ms(hs_held_requests *held, const char *service);

#endif
