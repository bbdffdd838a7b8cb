#include "app/commands.h"

int main(int argc, char** argv)
{
    return guavaspan::runCommand({ argv + 1, argv + argc });
}
