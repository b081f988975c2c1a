/**
 * @file machine_load.h
 * How much of its machine's processor is taken, by how late a short pause ends there. Pure.
 *
 * A thread that is ready and does not run is what callers feel, whatever takes the processor: this
 * daemon, another program, or a machine that runs slower than it says.
 */
#ifndef HS_DIRECTORY_MACHINE_LOAD_H
#define HS_DIRECTORY_MACHINE_LOAD_H

#include <stdbool.h>
#include <stdint.h>

/** Zero-initialise. */
typedef struct {
    double late_ms; /**< Mean of late, in ms. */
    uint32_t told_percent;
    uint64_t told_ms; /**< When told_percent changed last. */
} hs_machine_load;

/** A pause ended @p late_ms after its time. */
void hs_machine_load_note(hs_machine_load *load, double late_ms);

/**
 * Part of the processor that is taken, in percent and in coarse steps that change seldom: each
 * change is told to all daemons.
 */
uint32_t hs_machine_load_taken_percent(hs_machine_load *load, uint64_t now_ms);

#endif
