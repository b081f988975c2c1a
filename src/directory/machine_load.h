/**
 * @file machine_load.h
 * Estimates the utilisation of this daemon's machine by the delay with which short pauses end, and
 * by the machine's memory. Pure functions; the caller synchronises access.
 *
 * The scheduling delay covers every cause that slows requests down: this daemon, other programs,
 * and a processor slower than its nominal capacity.
 */
#ifndef HS_DIRECTORY_MACHINE_LOAD_H
#define HS_DIRECTORY_MACHINE_LOAD_H

#include <stdbool.h>
#include <stdint.h>

/** Zero-initialise. Times are monotonic. */
typedef struct {
    double delay_ms;           /**< Moving average, over about a second, of the delay of pauses. */
    uint32_t memory_percent;   /**< Memory in use; set by the struct's owner. */
    uint32_t reported_percent; /**< Utilisation as last reported to the other daemons. */
    uint64_t reported_at_ms;   /**< Time of the last change of reported_percent; 0: none. */
} hs_machine_load;

/** Records that a pause ended @p delay_ms after its due time. */
void hs_machine_load_note(hs_machine_load *load, double delay_ms);

/**
 * Returns the utilisation of the machine in percent. The value has coarse steps with hysteresis and
 * a minimum interval, as each change is sent to all daemons.
 */
uint32_t hs_machine_load_utilisation_percent(hs_machine_load *load, uint64_t now_ms);

#endif
