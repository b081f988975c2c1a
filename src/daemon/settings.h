/**
 * @file settings.h
 * Reads and checks the settings file (a GLib key file) and the command line's overrides. Functions
 * return 0, or set @p error, which names the location and the key.
 */
#ifndef HS_DAEMON_SETTINGS_H
#define HS_DAEMON_SETTINGS_H

#include "heathsail/error.h"
#include "heathsail/settings.h"

#include <stdio.h>

/** Returns settings with default values. Free with hs_settings_free. */
hs_settings *hs_settings_new(void);

void hs_settings_free(hs_settings *settings);

/**
 * Reads the file @p path into @p settings; keys that the file lacks keep their values. Unknown
 * groups, unknown keys and invalid values are errors.
 */
int hs_settings_load(hs_settings *settings, const char *path, hs_error *error);

/** Sets one value given as "group.key=value" on the command line. */
int hs_settings_override(hs_settings *settings, const char *assignment, hs_error *error);

/** Checks required keys, addresses and combinations of keys. */
int hs_settings_check(const hs_settings *settings, hs_error *error);

/** Prints a reference of all keys as Markdown. */
void hs_settings_print_reference(FILE *output);

#endif
