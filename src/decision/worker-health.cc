#include "turmericpier/decision/worker-health.h"

#include <absl/strings/str_format.h>
#include <algorithm>
#include <cmath>
#include <utility>

namespace turmericpier::decision {

namespace {

    constexpr size_t maxFailedOn = 8;
    constexpr size_t maxSucceededOn = 2;
    constexpr size_t maxSuccessesPerWorker = 8;
    // Number of failures on good workers that each success of the job cancels out.
    constexpr size_t failuresPerSuccess = 2;
    // Failure rate assumed for a bad worker.
    constexpr double badFailureRate = 0.9;
    // Outcomes assumed before any are known: one failure in twenty.
    constexpr double priorFailures = 1;
    constexpr double priorOutcomes = 20;
    // Bounds of the baseline failure rate. Below the first a single failure would weigh too much; above the second,
    // good and bad workers cannot be told apart.
    constexpr double minBaselineRate = 0.01;
    constexpr double maxBaselineRate = 0.6;
    // Number of counted outcomes above which all are halved, so that the rate follows recent outcomes.
    constexpr double maxOutcomeWeight = 2'000;

    template <typename T> void addDistinct(std::vector<T>& list, const T& item, size_t max)
    {
        if (list.size() < max && std::find(list.begin(), list.end(), item) == list.end())
            list.push_back(item);
    }

    // Moves the record of the job to the end, or appends one and drops the oldest if there are `max` records already.
    template <typename Record>
    Record& recordLatest(std::vector<Record>& records, const JobId& job, TimePoint now, size_t max)
    {
        auto it = std::find_if(records.begin(), records.end(), [&](const Record& record) { return record.job == job; });
        if (it != records.end())
            std::rotate(it, std::next(it), records.end());
        else {
            if (records.size() >= max)
                records.erase(records.begin());
            records.push_back(Record { job });
        }
        records.back().at = now;
        return records.back();
    }

} // namespace

WorkerHealth::WorkerHealth(WorkerHealthOptions options)
    : m_options(options)
{
}

void WorkerHealth::addWorker(const WorkerId& worker) { m_workers.try_emplace(worker); }

void WorkerHealth::removeWorker(const WorkerId& worker)
{
    m_workers.erase(worker);
    m_quarantined.erase(worker);
}

std::vector<HealthChange> WorkerHealth::taskSucceeded(const WorkerId& worker, const JobId& job, TimePoint now)
{
    std::vector<HealthChange> changes;
    addDistinct(touch(job).succeededOn, worker, maxSucceededOn);
    if (auto it = m_workers.find(worker); it != m_workers.end()) {
        WorkerState& state = it->second;
        recordLatest(state.successes, job, now, maxSuccessesPerWorker);
        countOutcomes(std::exchange(state.failuresSinceSuccess, 0));
        std::erase_if(state.failures, [&](const Failure& failure) { return failure.job == job; });
        if (state.quarantined && state.probing) {
            endProbe(state, false, now);
            if (++state.probeSuccesses >= m_options.successesToReturn) {
                state = WorkerState { .successes = std::move(state.successes) };
                m_quarantined.erase(worker);
                changes.push_back(
                    { worker, false, absl::StrFormat("%d probes in a row succeeded", m_options.successesToReturn) });
            }
        }
    }
    confirmFailures(job, worker, now, changes);
    return changes;
}

std::vector<HealthChange> WorkerHealth::taskFailed(const WorkerId& worker, const JobId& job, TimePoint now)
{
    std::vector<HealthChange> changes;
    addDistinct(touch(job).failedOn, worker, maxFailedOn);
    auto it = m_workers.find(worker);
    if (it == m_workers.end())
        return changes;
    WorkerState& state = it->second;
    recordLatest(state.failures, job, now, m_options.maxFailuresPerWorker).confirmed = succeededElsewhere(job, worker);
    if (!isSuspect(job))
        ++state.failuresSinceSuccess;
    if (!state.quarantined)
        quarantineIfUnhealthy(worker, now, changes);
    else if (state.probing)
        endProbe(state, !isSuspect(job), now);
    return changes;
}

void WorkerHealth::probeAborted(const WorkerId& worker, TimePoint now)
{
    if (auto it = m_workers.find(worker); it != m_workers.end())
        endProbe(it->second, false, now);
}

void WorkerHealth::probeStarted(const WorkerId& worker)
{
    if (auto it = m_workers.find(worker); it != m_workers.end())
        it->second.probing = true;
}

WorkerHealth::Admission WorkerHealth::admission(const WorkerId& worker, TimePoint now) const
{
    auto it = m_workers.find(worker);
    if (it == m_workers.end())
        return Admission::None;
    if (!it->second.quarantined)
        return Admission::All;
    return !it->second.probing && now >= it->second.nextProbe ? Admission::Probe : Admission::None;
}

double WorkerHealth::suspicion(const WorkerId& worker, TimePoint now) const
{
    auto it = m_workers.find(worker);
    if (it == m_workers.end())
        return 0;
    constexpr double unconfirmedWeight = 0.5;
    const Evidence evidence = evaluateEvidence(it->second, now, unconfirmedWeight);
    return std::clamp(evidence.logRatio / std::log(m_options.likelihoodRatio), 0.0, 1.0);
}

bool WorkerHealth::isSuspect(const JobId& job) const
{
    auto it = m_jobs.find(job);
    if (it == m_jobs.end())
        return false;
    const JobState& state = it->second;
    const auto failed = std::count_if(state.failedOn.begin(), state.failedOn.end(),
        [&](const WorkerId& worker) { return succeedsWithOtherJobs(worker, job); });
    return static_cast<size_t>(failed) >= m_options.suspectWorkers + failuresPerSuccess * state.succeededOn.size();
}

bool WorkerHealth::countsAgainstJob(const WorkerId& worker, const JobId& job, TimePoint now) const
{
    auto it = m_workers.find(worker);
    if (it == m_workers.end() || it->second.quarantined)
        return false;
    const WorkerState& state = it->second;
    const TimePoint lastSuccess = state.successes.empty() ? TimePoint { Duration::min() } : state.successes.back().at;
    return std::none_of(state.failures.begin(), state.failures.end(), [&](const Failure& failure) {
        return failure.job != job && failure.at > lastSuccess && now - failure.at <= m_options.window
            && !isSuspect(failure.job);
    });
}

size_t WorkerHealth::failedWorkers(const JobId& job) const
{
    auto it = m_jobs.find(job);
    return it == m_jobs.end() ? 0 : it->second.failedOn.size();
}

void WorkerHealth::jobEnded(const JobId& job)
{
    auto it = m_jobs.find(job);
    if (it == m_jobs.end())
        return;
    m_jobsByLastUse.erase(it->second.lastUse);
    m_jobs.erase(it);
}

WorkerHealth::JobState& WorkerHealth::touch(const JobId& job)
{
    auto it = m_jobs.find(job);
    if (it == m_jobs.end()) {
        if (m_jobs.size() >= m_options.maxJobs)
            jobEnded(JobId(m_jobsByLastUse.begin()->second));
        it = m_jobs.try_emplace(job).first;
    } else
        m_jobsByLastUse.erase(it->second.lastUse);
    it->second.lastUse = ++m_uses;
    m_jobsByLastUse.emplace(m_uses, job);
    return it->second;
}

bool WorkerHealth::succeededElsewhere(const JobId& job, const WorkerId& worker) const
{
    auto it = m_jobs.find(job);
    if (it == m_jobs.end())
        return false;
    return std::any_of(it->second.succeededOn.begin(), it->second.succeededOn.end(),
        [&](const WorkerId& other) { return other != worker; });
}

bool WorkerHealth::succeedsWithOtherJobs(const WorkerId& worker, const JobId& job) const
{
    auto it = m_workers.find(worker);
    if (it == m_workers.end() || it->second.quarantined)
        return false;
    return std::any_of(it->second.successes.begin(), it->second.successes.end(),
        [&](const Success& success) { return success.job != job; });
}

void WorkerHealth::confirmFailures(
    const JobId& job, const WorkerId& worker, TimePoint now, std::vector<HealthChange>& changes)
{
    for (const WorkerId& other : m_jobs.at(job).failedOn) {
        auto it = m_workers.find(other);
        if (other == worker || it == m_workers.end())
            continue;
        for (Failure& failure : it->second.failures) {
            if (failure.job == job)
                failure.confirmed = true;
        }
        quarantineIfUnhealthy(other, now, changes);
    }
}

void WorkerHealth::endProbe(WorkerState& state, bool failed, TimePoint now)
{
    state.probing = false;
    state.nextProbe = now;
    if (!failed)
        return;
    state.probeSuccesses = 0;
    state.probeDelay = std::min(2 * state.probeDelay, m_options.maxProbeDelay);
    state.nextProbe = now + state.probeDelay;
}

void WorkerHealth::quarantineIfUnhealthy(const WorkerId& worker, TimePoint now, std::vector<HealthChange>& changes)
{
    WorkerState& state = m_workers.at(worker);
    if (state.quarantined)
        return;
    const Evidence evidence = evaluateEvidence(state, now, 0);
    if (evidence.failed < m_options.suspectJobs || evidence.logRatio < std::log(m_options.likelihoodRatio)
        || !canQuarantineAnother())
        return;
    state.quarantined = true;
    state.probing = false;
    state.probeSuccesses = 0;
    state.probeDelay = m_options.firstProbeDelay;
    state.nextProbe = now + state.probeDelay;
    m_quarantined.insert(worker);
    changes.push_back({ worker, true,
        absl::StrFormat("%d jobs failed here and succeeded elsewhere within %d s; %d jobs succeeded here since",
            static_cast<int>(evidence.failed),
            std::chrono::duration_cast<std::chrono::seconds>(m_options.window).count(), evidence.succeeded) });
}

void WorkerHealth::countOutcomes(uint32_t failures)
{
    m_failures += failures;
    m_outcomes += failures + 1.0;
    if (m_outcomes > maxOutcomeWeight) {
        m_failures /= 2;
        m_outcomes /= 2;
    }
}

WorkerHealth::Evidence WorkerHealth::evaluateEvidence(
    const WorkerState& state, TimePoint now, double unconfirmedWeight) const
{
    const double baselineRate
        = std::clamp((m_failures + priorFailures) / (m_outcomes + priorOutcomes), minBaselineRate, maxBaselineRate);
    const double failureWeight = std::log(badFailureRate / baselineRate);
    const double successWeight = std::log((1 - badFailureRate) / (1 - baselineRate));
    const bool successesTruncated = state.successes.size() == maxSuccessesPerWorker;
    // The worker may have become bad at any time, so the failure since which the ratio is highest counts.
    Evidence strongest;
    double failed = 0;
    for (auto it = state.failures.rbegin(); it != state.failures.rend(); ++it) {
        const double weight = it->confirmed ? 1 : unconfirmedWeight;
        if (weight <= 0 || (!it->confirmed && isSuspect(it->job)))
            continue;
        // The number of successes before the oldest one remembered is unknown.
        if (now - it->at > m_options.window || (successesTruncated && it->at < state.successes.front().at))
            break;
        failed += weight;
        const auto succeeded = static_cast<uint32_t>(std::count_if(state.successes.begin(), state.successes.end(),
            [&](const Success& success) { return success.at >= it->at; }));
        const double logRatio = failed * failureWeight + succeeded * successWeight;
        if (logRatio > strongest.logRatio)
            strongest = { failed, succeeded, logRatio };
    }
    return strongest;
}

bool WorkerHealth::canQuarantineAnother() const
{
    const auto limit = m_options.maxQuarantinedShare * static_cast<double>(m_workers.size());
    return static_cast<double>(m_quarantined.size() + 1) <= limit;
}

} // namespace turmericpier::decision
