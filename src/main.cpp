#include "cli/commands.h"

int main(int argc, char **argv)
{
    return pimentoshed::cli::run(argc, argv);
}
