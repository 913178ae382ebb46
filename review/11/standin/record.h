#pragma once

#include <chrono>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <string>

/// The record of a run: what was sent, answered and run, with the seconds since the start.
namespace review {

using SteadyTime = std::chrono::steady_clock::time_point;

inline SteadyTime now() { return std::chrono::steady_clock::now(); }

inline double secondsBetween(SteadyTime from, SteadyTime to) { return std::chrono::duration<double>(to - from).count(); }

class Record {
public:
    explicit Record(const std::string& file)
        : m_file(file, std::ios::trunc)
        , m_start(now())
    {
    }

    void write(const std::string& line)
    {
        std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%9.3f  ", secondsBetween(m_start, now()));
        m_file << time << line << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    const SteadyTime m_start;
};

} // namespace review
