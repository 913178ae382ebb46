#include "turmericpier/base/clock.h"

#include <ctime>

namespace turmericpier {

TimePoint BootClock::now() const
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint { std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec) };
}

} // namespace turmericpier
