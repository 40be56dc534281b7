/**
 * @file
 * The subcommands that run a host until it is told to stop, and the one that makes a new system's data folder.
 */
#pragma once

#include "cli/commands.h"

namespace CLI
{
class App;
}

namespace pimentoshed::cli
{

void addInit(CLI::App &app, ExitCode &exitCode);
void addControl(CLI::App &app, ExitCode &exitCode);
void addEntry(CLI::App &app, ExitCode &exitCode);

} // namespace pimentoshed::cli
