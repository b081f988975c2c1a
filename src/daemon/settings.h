/**
 * @file settings.h
 * Reading and checking of the settings file (a GLib key file) and of flags that override it.
 */
#ifndef HS_DAEMON_SETTINGS_H
#define HS_DAEMON_SETTINGS_H

#include "heathsail/error.h"
#include "heathsail/settings.h"

#include <stdio.h>

/** Settings with every default filled in. Free with hs_settings_free. */
hs_settings *hs_settings_new(void);

void hs_settings_free(hs_settings *settings);

/**
 * Read @p path over the present values. Unknown groups, unknown keys and bad values are refused
 * with file, line and key in the error.
 */
int hs_settings_load(hs_settings *settings, const char *path, hs_error *error);

/** Set one value given as "group.key=value" on the command line. */
int hs_settings_override(hs_settings *settings, const char *assignment, hs_error *error);

/** Check what concerns several keys or must be given: ids, addresses, port clashes. */
int hs_settings_check(const hs_settings *settings, hs_error *error);

/** Print the reference of all keys as Markdown. */
void hs_settings_print_reference(FILE *output);

#endif
