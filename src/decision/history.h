#pragma once

#include "decision/packed-resources.h"
#include "turmericpier/decision/model.h"

#include <deque>
#include <string>
#include <vector>

namespace turmericpier::decision {

enum class DecisionKind : uint8_t {
    Placed,
    Backfilled, ///< Placed on capacity claimed for another job.
    Probed, ///< Placed to try out a quarantined worker.
    Preempted,
    Stopped,
    Lost,
    Failed,
    Refused, ///< The placement could not be committed.
    Reserved, ///< Capacity is kept for the job.
    Parked,
};

/// The latest decisions with their figures, and the latest ended jobs, for explain(). Bounded.
class History {
public:
    struct Decision {
        TimePoint at;
        uint64_t job = 0; ///< Order of submission, which is unique.
        uint64_t otherJob = 0; ///< Order of the job that preempted this one.
        uint32_t task = 0;
        uint32_t candidates = 0; ///< Workers compared.
        double score = 0;
        WorkerId worker;
        PackedResources request;
        PackedResources free; ///< On the worker before the decision.
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

    const EndedJob* findEnded(const JobId& id) const
    {
        for (auto it = m_ended.rbegin(); it != m_ended.rend(); ++it) {
            if (it->id == id)
                return &*it;
        }
        return nullptr;
    }
    /// Calls `visit` for the decisions about the job, oldest first.
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
