#pragma once

#include "turmericpier/base/clock.h"
#include "turmericpier/cell/state.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// The members of large gangs that workers have been asked to start.
namespace turmericpier::cell {

/// Watches that all members of a large gang are ordered before the first of them stops waiting for the others. A gang
/// that takes longer is stopped, and tried again after a delay that doubles with each attempt.
///
///     GangOffers offers(std::chrono::seconds(3));
///     offers.begin(step, run, 4'000);
///     offers.recordSent(step, run, now); // For each member.
///     for (const auto& late : offers.takeLate(now))
///         stop(late.step, late.run);
class GangOffers {
public:
    struct Late {
        StepKey step;
        uint32_t run = 0;
        uint32_t unsent = 0; ///< Members that were not ordered.
        Duration retryAfter { 0 };
    };

    /// `gangWait` is the time for which members wait for each other.
    explicit GangOffers(Duration gangWait)
        : m_gangWait(gangWait)
    {
    }

    void begin(const StepKey& step, uint32_t run, uint32_t members);
    void recordSent(const StepKey& step, uint32_t run, TimePoint now);
    /// Returns, once each, the gangs with members that were not ordered in time.
    std::vector<Late> takeLate(TimePoint now);
    /// Records that a member has waited too long for the others or could not be ordered. Returns the delay before the
    /// next attempt if this is the first such end of the run.
    std::optional<Duration> recordFailure(const StepKey& step, uint32_t run, TimePoint now);
    /// Returns the time of the next attempt while it is delayed.
    std::optional<TimePoint> deferredUntil(const StepKey& step, TimePoint now) const;
    void forgetJob(const std::string& job);
    void clear() { m_offers.clear(); }

private:
    struct Offer {
        uint32_t run = 0;
        uint32_t unsent = 0;
        std::optional<TimePoint> firstSentAt;
        uint32_t failures = 0;
        uint32_t failedRun = 0;
        TimePoint retryAt;
    };
    static std::optional<Duration> fail(Offer& offer, TimePoint now);

    const Duration m_gangWait;
    std::map<StepKey, Offer> m_offers;
};

} // namespace turmericpier::cell
