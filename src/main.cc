#include "cli/commands.h"

int main(int argc, char **argv)
{
    return buckthorngrade::runCommand(argc, argv);
}
