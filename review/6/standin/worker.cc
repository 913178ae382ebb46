#include "worker.h"

#include <boost/json.hpp>

namespace json = boost::json;

namespace {
constexpr int64_t maxHoldMs = 10'000;
constexpr int64_t heartbeatMs = 1'500;
constexpr size_t maxEnds = 500;

int64_t integerAt(const json::object& body, const char* name, int64_t otherwise = 0)
{
    const auto* value = body.if_contains(name);
    return value && value->is_number() ? value->to_number<int64_t>() : otherwise;
}

std::string textAt(const json::object& body, const char* name)
{
    const auto* value = body.if_contains(name);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}
} // namespace

void History::start(const std::string& task, const std::string& worker, int64_t number)
{
    std::lock_guard lock(m_mutex);
    m_runs[task].push_back({ worker, number, now(), -1, "" });
    if (!m_quiet)
        m_record.line("worker " + worker + ": run " + std::to_string(number) + " of " + task + " starts");
}

void History::end(const std::string& task, const std::string& worker, int64_t number, const std::string& how)
{
    std::lock_guard lock(m_mutex);
    for (auto& run : m_runs[task]) {
        if (run.worker == worker && run.number == number && run.endedAt < 0) {
            run.endedAt = now();
            run.how = how;
        }
    }
    if (!m_quiet)
        m_record.line("worker " + worker + ": run " + std::to_string(number) + " of " + task + " ends, " + how);
}

std::map<std::string, std::vector<History::Run>> History::runsOf(const std::string& prefix)
{
    std::lock_guard lock(m_mutex);
    std::map<std::string, std::vector<Run>> found;
    for (auto it = m_runs.lower_bound(prefix); it != m_runs.end() && it->first.rfind(prefix, 0) == 0; ++it)
        found.insert(*it);
    return found;
}

std::string History::findOverlap()
{
    std::lock_guard lock(m_mutex);
    std::string first;
    int tasks = 0;
    for (const auto& [task, runs] : m_runs) {
        const auto endOf = [](const Run& run) { return run.endedAt < 0 ? now() : run.endedAt; };
        bool found = false;
        for (size_t a = 0; a < runs.size(); ++a) {
            for (size_t b = a + 1; b < runs.size() && !found; ++b) {
                const auto from = std::max(runs[a].startedAt, runs[b].startedAt);
                const auto until = std::min(endOf(runs[a]), endOf(runs[b]));
                found = until > from;
                if (found && first.empty())
                    first = task + ": run " + std::to_string(runs[a].number) + " on " + runs[a].worker + " and run "
                        + std::to_string(runs[b].number) + " on " + runs[b].worker + " at the same time, from "
                        + std::to_string(from) + " to " + std::to_string(until) + " ms";
            }
        }
        tasks += found ? 1 : 0;
    }
    return first.empty() ? first : first + "; tasks with such runs: " + std::to_string(tasks);
}

int History::active()
{
    std::lock_guard lock(m_mutex);
    int count = 0;
    for (const auto& [task, runs] : m_runs) {
        for (const auto& run : runs)
            count += run.endedAt < 0 ? 1 : 0;
    }
    return count;
}

Worker::Worker(WorkerOptions options, Cluster& cluster, History& history, Record& record)
    : m_options(std::move(options))
    , m_cluster(cluster)
    , m_history(history)
    , m_record(record)
{
}

Worker::~Worker()
{
    if (m_life)
        crash();
}

bool Worker::start()
{
    const auto answer = [this](const Request& request) {
        std::shared_ptr<Life> life;
        {
            std::lock_guard lock(m_mutex);
            life = m_life;
        }
        return life ? handle(life, request) : Reply {};
    };
    begin();
    return m_server.start(m_options.address, answer);
}

/// Begins a life.
void Worker::begin()
{
    auto life = std::make_shared<Life>();
    life->id = m_options.id;
    life->born = unixMs();
    life->startedAt = now();
    m_record.line("worker " + life->id + ": starts at " + m_options.address);
    {
        std::lock_guard lock(m_mutex);
        m_life = life;
    }
    std::thread([this, life] { work(life); }).detach();
    std::thread([this, life] { beat(life); }).detach();
}

void Worker::rebirth()
{
    std::shared_ptr<Life> life;
    {
        std::lock_guard lock(m_mutex);
        life = std::exchange(m_life, nullptr);
    }
    endLife(*life);
    begin();
}

/// Ends all that runs, as in a crash.
void Worker::endLife(Life& life)
{
    std::lock_guard lock(life.mutex);
    life.up = false;
    m_record.line("worker " + life.id + ": crashes with " + std::to_string(life.running.size()) + " runs");
    for (const auto& [task, run] : life.running)
        m_history.end(task, life.id, run.number, "crash");
    life.running.clear();
    life.changed.notify_all();
}

void Worker::crash()
{
    std::shared_ptr<Life> life;
    {
        std::lock_guard lock(m_mutex);
        life = std::exchange(m_life, nullptr);
    }
    if (!life)
        return;
    m_server.stop();
    endLife(*life);
}

void Worker::cut(int64_t ms)
{
    m_cutUntil = now() + ms;
    m_record.line("worker " + m_options.id + ": is cut off for " + std::to_string(ms) + " ms");
}

int Worker::running()
{
    std::lock_guard lock(m_mutex);
    if (!m_life)
        return 0;
    std::lock_guard lifeLock(m_life->mutex);
    return static_cast<int>(m_life->running.size());
}

/// The caller holds the lock of the life.
void Worker::endRun(Life& life, const std::string& task, const std::string& how)
{
    const auto run = life.running.at(task);
    life.running.erase(task);
    auto& highest = life.highest[task];
    highest = std::max(highest, run.number);
    life.ends.push_back({ life.nextEnd++, task, run.number, how });
    m_history.end(task, life.id, run.number, how);
    life.changed.notify_all();
}

Reply Worker::handle(const std::shared_ptr<Life>& life, const Request& request)
{
    // What arrives during a cut is lost with its connection.
    const auto isLost = [this] {
        const bool lost = now() < m_cutUntil;
        while (now() < m_cutUntil)
            sleepMs(10);
        return lost;
    };
    if (isLost())
        return {};
    std::unique_lock lock(life->mutex);
    const auto answer = [&](int status, json::object body) {
        body["clock-ms"] = life->clock();
        return Reply { status, json::serialize(body), {}, false };
    };
    if (!life->up)
        return {};
    const auto expected = request.headers.find("x-turmericpier-expect-instance");
    if (expected != request.headers.end() && expected->second != life->id)
        return answer(421, {});
    json::error_code error;
    const auto value = json::parse(request.body, error);
    if (error || !value.is_object())
        return answer(400, {});
    const auto& body = value.get_object();
    const auto fence = integerAt(body, "fence");
    if (fence < life->fence)
        return answer(409, { { "reason", "fence" } });
    life->fence = fence;
    const auto until = std::min(integerAt(body, "until-ms"), life->clock() + maxHoldMs);
    const auto task = textAt(body, "task");
    const auto number = integerAt(body, "run");
    const auto active = life->running.find(task);
    if (request.path == "/turmericpier/run-start") {
        if (integerAt(body, "until-ms") <= life->clock())
            return answer(409, { { "reason", "late" } });
        life->leaseUntil = std::max(life->leaseUntil, until);
        if (active != life->running.end() && active->second.number == number)
            return answer(200, {});
        const auto highest = life->highest.find(task);
        if (active != life->running.end() || (highest != life->highest.end() && number <= highest->second))
            return answer(409, { { "reason", "old" } });
        const auto spec = textAt(body, "spec");
        const auto work = spec.find("work=");
        life->running[task]
            = { number, now(), work == std::string::npos ? 1000 : std::stoll(spec.substr(work + 5)), -1 };
        m_history.start(task, life->id, number);
        return answer(200, {});
    }
    if (request.path == "/turmericpier/run-stop") {
        if (active != life->running.end() && active->second.number <= number) {
            if (active->second.stopAt < 0)
                active->second.stopAt = now() + m_options.stopMs;
        } else {
            auto& highest = life->highest[task];
            highest = std::max(highest, number);
        }
        return answer(200, {});
    }
    if (request.path != "/turmericpier/hold")
        return answer(404, {});
    life->leaseUntil = std::max(life->leaseUntil, until);
    const auto cursor = integerAt(body, "ack-cursor");
    std::erase_if(life->ends, [&](const End& end) { return end.number <= cursor; });
    const auto wait = std::min<int64_t>(2'000, integerAt(body, "wait-ms"));
    life->changed.wait_for(lock, std::chrono::milliseconds(wait), [&] { return !life->up || !life->ends.empty(); });
    if (!life->up)
        return {};
    if (now() < m_cutUntil) {
        lock.unlock();
        isLost();
        return {};
    }
    json::array running;
    for (const auto& [name, run] : life->running) {
        const auto percent = run.workMs == 0
            ? 100
            : std::min<int64_t>(99, 100 * (now() - run.startedAt) / std::max<int64_t>(1, run.workMs));
        running.push_back(json::array { name, run.number, "", percent, 1 });
    }
    json::array ended;
    for (const auto& end : life->ends) {
        if (ended.size() < maxEnds)
            ended.push_back(json::array { end.number, end.task, end.run, end.how, "" });
    }
    return answer(200, { { "running", std::move(running) }, { "ended", std::move(ended) }, { "born", life->born } });
}

/// Ends runs that are done, stopped or without a lease.
void Worker::work(const std::shared_ptr<Life>& life)
{
    while (true) {
        {
            std::lock_guard lock(life->mutex);
            if (!life->up)
                return;
            std::vector<std::pair<std::string, std::string>> ending;
            for (const auto& [task, run] : life->running) {
                if (life->clock() >= life->leaseUntil)
                    ending.emplace_back(task, "lapsed");
                else if (run.stopAt >= 0 && now() >= run.stopAt)
                    ending.emplace_back(task, "stopped");
                else if (run.workMs > 0 && run.stopAt < 0 && now() - run.startedAt >= run.workMs)
                    ending.emplace_back(task, "done");
            }
            for (const auto& [task, how] : ending)
                endRun(*life, task, how);
        }
        sleepMs(5);
    }
}

void Worker::beat(const std::shared_ptr<Life>& life)
{
    std::string to;
    sleepMs(m_options.firstBeatMs);
    while (true) {
        while (now() < m_cutUntil)
            sleepMs(10);
        json::object body;
        {
            std::lock_guard lock(life->mutex);
            if (!life->up)
                return;
            body = { { "service", "svc" }, { "addr", m_options.address }, { "zone", "ost-wien" }, { "version", "v1" },
                { "slots", 8 }, { "state", "ready" }, { "cold-left-ms", 0 },
                { "capacity", json::object { { "cpu", m_options.cpu }, { "mem-mb", m_options.memMb }, { "gpu", 0 } } },
                { "labels", json::array { m_options.kind, m_options.rack } }, { "clock-ms", life->clock() },
                { "seq", ++life->seq }, { "born", life->born } };
        }
        const auto text = json::serialize(body);
        for (int attempt = 0; attempt < 8; ++attempt) {
            const auto controls = m_cluster.controlAddresses();
            if (to.empty())
                to = controls[static_cast<size_t>(randomInt(0, static_cast<int>(controls.size()) - 1))];
            const auto reply = call(to, "PUT", "/turmericpier/instances/" + life->id, {}, text, 1000);
            if (reply.status / 100 == 2) {
                json::error_code error;
                const auto value = json::parse(reply.body, error);
                if (!error && value.is_object() && value.get_object().contains("heartbeat-addr"))
                    to = textAt(value.get_object(), "heartbeat-addr");
                break;
            }
            to.clear();
            sleepMs(10);
        }
        std::unique_lock lock(life->mutex);
        life->changed.wait_for(lock, std::chrono::milliseconds(heartbeatMs), [&] { return !life->up; });
        if (!life->up)
            return;
    }
}
