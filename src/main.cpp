#include "cli/commands.h"
#include "platform/platformcommands.h"

int main(int argc, char **argv)
{
    return pimentoshed::cli::run(argc, argv, pimentoshed::platform::addCommands);
}
