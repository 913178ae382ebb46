// Target test-main owns the precompiled headers of the tests, which needs a source that uses them: test-main.cc does
// not.
