#include "soak/jobs.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

namespace turmericpier::soak {

namespace {
    bool hasEnded(const Job& job) { return job.state == "done" || job.state == "failed" || job.state == "cancelled"; }
} // namespace

std::string labelName(int64_t number) { return absl::StrCat("label-", number); }

std::string Jobs::add(int tasks, int tenant, std::vector<int64_t> cpu)
{
    auto id = absl::StrFormat("%016x", m_world.random(0, INT64_MAX));
    m_jobs[id].tasks = tasks;
    m_jobs[id].tenant = tenant;
    m_jobs[id].cpu = std::move(cpu);
    return id;
}

std::vector<std::string> Jobs::accepted() const
{
    std::vector<std::string> ids;
    for (const auto& [id, job] : m_jobs) {
        if (job.acceptedAt)
            ids.push_back(id);
    }
    return ids;
}

std::vector<std::string> Jobs::open() const
{
    auto ids = accepted();
    std::erase_if(ids, [this](const auto& id) { return hasEnded(m_jobs.at(id)); });
    return ids;
}

void Jobs::reportRuns(const std::string& rule, const std::string& task, const std::string& what)
{
    std::string seen = absl::StrCat(task, " ", what);
    for (const auto& run : m_runs[task]) {
        absl::StrAppend(&seen, "; run ", run.number, " on ", run.worker, " by ", run.fence, " from ",
            run.startedAt.count(), run.stoppedAt ? absl::StrCat(" stopped at ", run.stoppedAt->count()) : "", " to ",
            run.endedAt ? absl::StrCat(run.endedAt->count(), " ", run.how) : "now", run.noted ? ", noted" : "");
    }
    m_world.report(rule, seen);
}

/// Returns the processors of the task if it belongs to the first tenant.
int64_t Jobs::cpuOfFirstTenant(const std::string& task) const
{
    const std::vector<std::string> parts = absl::StrSplit(task, '.'); // Job, occurrence, step and index.
    const auto job = m_jobs.find(parts[0]);
    size_t step = 0;
    if (!m_highestCap || job == m_jobs.end() || job->second.tenant != 0 || !absl::SimpleAtoi(parts[2], &step))
        return 0;
    return job->second.cpu.at(step);
}

size_t Jobs::onStart(const std::string& task, Run run)
{
    auto& runs = m_runs[task];
    runs.push_back(std::move(run));
    for (size_t i = 0; i + 1 < runs.size(); ++i) {
        if (!runs[i].endedAt)
            reportRuns("TWICE", task, "runs twice at the same time");
        else if (runs[i].how == "done" && runs[i].noted)
            reportRuns("TWICE", task, "starts again after its end was noted");
    }
    if (!m_jobs.contains(task.substr(0, task.find('.'))))
        reportRuns("UNASKED", task, "belongs to no job");
    if (const auto cpu = cpuOfFirstTenant(task); cpu > 0) {
        constexpr double overage = 0.1;
        m_cpuOfFirstTenant += cpu;
        const auto cap = m_highestCap(m_world.now());
        if (m_cpuOfFirstTenant > cap + static_cast<int64_t>(overage * static_cast<double>(cap)) + cpu)
            reportRuns("QUOTA", task, absl::StrCat("brings its tenant to ", m_cpuOfFirstTenant, " of ", cap));
    }
    return runs.size() - 1;
}

void Jobs::onEnd(const std::string& task, size_t run, const std::string& how)
{
    m_cpuOfFirstTenant -= cpuOfFirstTenant(task);
    auto& ended = m_runs[task][run];
    ended.endedAt = m_world.now();
    ended.how = how;
}

void Jobs::onNoted(const std::string& task, size_t run)
{
    auto& runs = m_runs[task];
    runs[run].noted = true;
    if (runs[run].how == "done" && run + 1 < runs.size())
        reportRuns("TWICE", task, "has started again before its end was noted");
}

int Jobs::doneTasks(const std::string& id) const
{
    int done = 0;
    for (auto it = m_runs.lower_bound(id); it != m_runs.end() && it->first.starts_with(id); ++it) {
        for (const auto& run : it->second) {
            if (run.how == "done") {
                ++done;
                break;
            }
        }
    }
    return done;
}

void Jobs::onState(const std::string& id, Time sentAt, unsigned status, const std::string& state)
{
    auto& job = m_jobs.at(id);
    if (status == 410 && job.acceptedAt && !job.cancelled && sentAt > *job.acceptedAt + visibleTime)
        m_world.report("LOST", absl::StrCat("accepted job ", id, " is unknown"));
    if (status != 200)
        return;
    job.state = state;
    if ((state == "cancelled" || state == "failed") && !job.cancelled)
        m_world.report("LOST", absl::StrCat("job ", id, " is shown as ", state, " without a cause"));
    if (state == "done" && doneTasks(id) < job.tasks)
        m_world.report("MIXED", absl::StrCat("job ", id, " is shown as done after ", doneTasks(id), " of ", job.tasks));
}

void Jobs::checkFinished()
{
    for (const auto& [task, runs] : m_runs) {
        const auto job = m_jobs.find(task.substr(0, task.find('.')));
        if (job != m_jobs.end() && !job->second.acceptedAt && !job->second.maybeAccepted)
            reportRuns("REFUSED", task, "belongs to a job that was refused");
    }
    for (const auto& [id, job] : m_jobs) {
        if (!job.acceptedAt || hasEnded(job))
            continue;
        m_world.report("LOST",
            job.state.empty() ? absl::StrCat("no answer about accepted job ", id)
                              : absl::StrCat("job ", id, " is still ", job.state, " with ", doneTasks(id), " of ",
                                  job.tasks, " tasks done"));
    }
}

} // namespace turmericpier::soak
