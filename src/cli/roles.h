/**
 * @file
 * The subcommands that run a host until it is told to stop, and the one that makes a new system's data folder.
 */
#pragma once

#include "cli/commands.h"
#include "control/controlhost.h"
#include "entry/entryhost.h"

namespace pimentoshed::cli
{

/** Runs a host until it is told to stop. */
ExitCode runControl(const control::ControlSettings &settings);
ExitCode runEntry(const entry::EntrySettings &settings);

void addInit(CLI::App &app, ExitCode &exitCode);
void addControl(CLI::App &app, ExitCode &exitCode);
void addEntry(CLI::App &app, ExitCode &exitCode);

} // namespace pimentoshed::cli
