#pragma once

#include "decision/packed-resources.h"
#include "turmericpier/decision/model.h"

#include <deque>
#include <string>
#include <vector>

namespace turmericpier::decision {

enum class DecisionKind : uint8_t {
    Placed,
    Backfilled, ///< Placed on capacity that is claimed for another job.
    Probed, ///< Placed as a probe on a quarantined worker.
    Preempted,
    Stopped,
    Lost,
    Failed,
    Refused, ///< The placement could not be committed.
    Reserved, ///< Capacity was claimed for the job.
    Parked,
};

/// Bounded history of recent decisions and ended jobs, used by Engine::explain().
class History {
public:
    struct Decision {
        TimePoint at;
        uint64_t job = 0; ///< Submission order of the job, which identifies it.
        uint64_t otherJob = 0; ///< Submission order of the job that preempted this one; zero if there is none.
        uint32_t task = 0; ///< Index of the task within the job.
        uint32_t candidates = 0; ///< Number of workers that were compared.
        double score = 0;
        WorkerId worker;
        PackedResources request;
        PackedResources free; ///< Free resources of the worker before the decision.
        DecisionKind kind = DecisionKind::Placed;
    };
    struct EndedJob {
        JobId id;
        uint64_t order = 0;
        bool refused = false;
        Outcome outcome = Outcome::NotRun;
        std::string reason;
    };

    static constexpr size_t maxDecisions = 4'096;
    static constexpr size_t maxEndedJobs = 1'024;

    void add(Decision decision)
    {
        if (m_decisions.size() < maxDecisions)
            m_decisions.push_back(std::move(decision));
        else
            m_decisions[m_next] = std::move(decision);
        m_next = (m_next + 1) % maxDecisions;
    }
    void addEnded(EndedJob job)
    {
        m_ended.push_back(std::move(job));
        if (m_ended.size() > maxEndedJobs)
            m_ended.pop_front();
    }

    /// Returns the most recent ended job with this id, or null if none is remembered.
    const EndedJob* findEnded(const JobId& id) const
    {
        for (auto it = m_ended.rbegin(); it != m_ended.rend(); ++it) {
            if (it->id == id)
                return &*it;
        }
        return nullptr;
    }
    /// Calls `visit` for each remembered decision about the job, oldest first.
    template <typename Visit> void forEach(uint64_t job, const Visit& visit) const
    {
        for (size_t i = 0; i < m_decisions.size(); ++i) {
            const auto& decision = m_decisions[(m_next + i) % m_decisions.size()];
            if (decision.job == job)
                visit(decision);
        }
    }

private:
    std::vector<Decision> m_decisions;
    size_t m_next = 0;
    std::deque<EndedJob> m_ended;
};

} // namespace turmericpier::decision
