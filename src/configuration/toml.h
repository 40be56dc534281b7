/**
 * @file
 * The one place that includes toml++, so that each unit sees it with the same limits.
 */
#pragma once

/** Values nested deeper than any key takes are refused before they use up the stack. */
#define TOML_MAX_NESTED_VALUES 16

#include <toml++/toml.h>
