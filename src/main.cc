#include "turmericpier/app/cli.h"

int main(int argc, char** argv) { return turmericpier::app::runCommandLine(argc, argv); }
