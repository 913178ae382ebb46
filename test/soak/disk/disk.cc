#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <dlfcn.h>
#include <fcntl.h>
#include <string>
#include <sys/uio.h>
#include <thread>
#include <unistd.h>

/// Disk of a process under test: a library that is preloaded into it and lets the calls on files below SOAK_DISK_FOLDER
/// fail or wait. The file SOAK_DISK_FAULT names what it does: "full", "cut" (a write is cut in the middle), "sync"
/// (syncs are refused), "hang", or "slow" followed by the milliseconds for each sync.
namespace {

using std::chrono::milliseconds;

constexpr milliseconds pollInterval { 10 };
constexpr size_t maxPath = 4'096;

template <typename Function> Function* next(const char* name)
{
    return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

std::string readFault()
{
    static const char* const path = std::getenv("SOAK_DISK_FAULT");
    static auto* const readFile = next<ssize_t(int, void*, size_t)>("read");
    const int file = path ? ::open(path, O_RDONLY | O_CLOEXEC) : -1;
    if (file < 0)
        return {};
    char text[64];
    const auto size = readFile(file, text, sizeof text);
    ::close(file);
    return { text, static_cast<size_t>(std::max<ssize_t>(size, 0)) };
}

bool isOnDisk(int file)
{
    static const char* const folder = std::getenv("SOAK_DISK_FOLDER");
    if (!folder)
        return false;
    char path[maxPath];
    const auto size = ::readlink(("/proc/self/fd/" + std::to_string(file)).c_str(), path, sizeof path);
    return size > 0 && std::string_view(path, static_cast<size_t>(size)).starts_with(folder);
}

/// Waits while the disk hangs, and returns what it does then.
std::string awaitDisk(int file)
{
    if (!isOnDisk(file))
        return {};
    auto fault = readFault();
    for (; fault == "hang"; fault = readFault())
        std::this_thread::sleep_for(pollInterval);
    return fault;
}

int sync(int file, int (*real)(int))
{
    const auto fault = awaitDisk(file);
    if (fault == "sync") {
        errno = EIO;
        return -1;
    }
    if (fault.starts_with("slow "))
        std::this_thread::sleep_for(milliseconds(std::atoi(fault.c_str() + 5)));
    return real(file);
}

} // namespace

extern "C" {

ssize_t write(int file, const void* data, size_t size)
{
    static auto* const real = next<ssize_t(int, const void*, size_t)>("write");
    const auto fault = awaitDisk(file);
    if (fault == "full" || (fault == "cut" && size <= 1)) {
        errno = ENOSPC;
        return -1;
    }
    return real(file, data, fault == "cut" ? size / 2 : size);
}

ssize_t writev(int file, const iovec* parts, int count)
{
    static auto* const real = next<ssize_t(int, const iovec*, int)>("writev");
    const auto fault = awaitDisk(file);
    if (fault == "full" || fault == "cut") {
        errno = ENOSPC;
        return -1;
    }
    return real(file, parts, count);
}

int fsync(int file)
{
    static auto* const real = next<int(int)>("fsync");
    return sync(file, real);
}

int fdatasync(int file)
{
    static auto* const real = next<int(int)>("fdatasync");
    return sync(file, real);
}
}
