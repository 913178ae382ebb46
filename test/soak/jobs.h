#pragma once

#include "soak/world.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

/// What clients have submitted and what workers have run, and the promises that join the two.
namespace turmericpier::soak {

/// A run of a task as its worker has seen it. Times that have not come yet are absent.
struct Run {
    int64_t number = 0;
    std::string worker; ///< Id and incarnation.
    int64_t fence = 0; ///< Highest fencing token that the worker had seen at the start.
    Time startedAt { 0 };
    std::optional<Time> stoppedAt; ///< Time of the first stop order.
    std::optional<Time> endedAt;
    std::string how; ///< As the worker lists it; "crash" if the worker has crashed.
    bool noted = false; ///< The end was acknowledged to the worker.
};

/// A job as its client has seen it.
struct Job {
    int tasks = 0;
    int tenant = 0; ///< Number of the tenant, if there are tenants.
    std::vector<int64_t> cpu; ///< Of each task, by step.
    bool maybeAccepted = false; ///< An attempt got no clear answer.
    std::optional<Time> acceptedAt;
    bool cancelled = false; ///< A cancellation was sent.
    std::string state; ///< State in the last answer.
};

/// What jobs ask for beside the usual.
struct JobLoad {
    double longShare = 0; ///< Share of the jobs whose tasks work for seconds.
    double needsShare = 0; ///< Share of the jobs that need one of the labels.
    milliseconds longestPause { 0 }; ///< Longest time from an answer to the next request of a client.
    int labels = 0; ///< Number of labels that few workers have each; see labelName().
};
std::string labelName(int64_t number);

class Jobs {
public:
    explicit Jobs(World& world)
        : m_world(world)
    {
    }

    std::string add(int tasks, int tenant, std::vector<int64_t> cpu);
    void setLoad(const JobLoad& load) { m_load = load; }
    const JobLoad& load() const { return m_load; }
    /// Sets a bound on what the first tenant has running; `highest` is its cap at a time.
    void boundFirstTenant(std::function<int64_t(Time)> highest) { m_highestCap = std::move(highest); }
    Job& at(const std::string& id) { return m_jobs.at(id); }
    std::vector<std::string> accepted() const;
    /// Returns the accepted jobs of which no end is known.
    std::vector<std::string> open() const;

    /// Records the start of a run and returns its place in the history of the task.
    size_t onStart(const std::string& task, Run run);
    void onStop(const std::string& task, size_t run) { m_runs[task][run].stoppedAt = m_world.now(); }
    void onEnd(const std::string& task, size_t run, const std::string& how);
    void onNoted(const std::string& task, size_t run);
    /// Records the answer of a read of the job that was sent at `sentAt`.
    void onState(const std::string& id, Time sentAt, unsigned status, const std::string& state);
    /// Checks, after the end of traffic, that all accepted jobs have ended, and that no refused one has run.
    void checkFinished();

private:
    void reportRuns(const std::string& rule, const std::string& task, const std::string& what);
    int doneTasks(const std::string& id) const;
    int64_t cpuOfFirstTenant(const std::string& task) const;

    World& m_world;
    std::map<std::string, Job> m_jobs;
    std::map<std::string, std::vector<Run>> m_runs; ///< By task, in the order of their starts.
    JobLoad m_load;
    std::function<int64_t(Time)> m_highestCap; ///< Empty if there are no tenants.
    int64_t m_cpuOfFirstTenant = 0; ///< Of its runs that have not ended.
};

} // namespace turmericpier::soak
