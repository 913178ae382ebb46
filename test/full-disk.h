#pragma once

#include <catch2/catch.hpp>
#include <csignal>
#include <sys/resource.h>

namespace turmericpier::test {

/// While it exists, no file of this process can be extended.
class FullDisk {
public:
    FullDisk()
    {
        std::signal(SIGXFSZ, SIG_IGN);
        REQUIRE(::getrlimit(RLIMIT_FSIZE, &m_before) == 0);
        auto limit = m_before;
        limit.rlim_cur = 0;
        REQUIRE(::setrlimit(RLIMIT_FSIZE, &limit) == 0);
    }
    ~FullDisk() { ::setrlimit(RLIMIT_FSIZE, &m_before); }
    FullDisk(const FullDisk&) = delete;
    FullDisk& operator=(const FullDisk&) = delete;

private:
    rlimit m_before {};
};

} // namespace turmericpier::test
