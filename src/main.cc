#include "turmericpier/app/cli.h"

#include <csignal>

int main(int argc, char** argv)
{
    // A file that exceeds a limit is reported by the call that extends it, and must not end the process.
    std::signal(SIGXFSZ, SIG_IGN);
    return turmericpier::app::runCommandLine(argc, argv);
}
