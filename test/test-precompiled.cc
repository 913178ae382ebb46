// CMake builds the precompiled headers of the tests with target test-main, which therefore needs a source file that
// uses them; test-main.cc is excluded from them.
