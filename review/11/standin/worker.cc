#include "worker.h"

#include <algorithm>
#include <list>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace json = boost::json;
using std::chrono::milliseconds;

namespace {
    constexpr int64_t longestLeaseMs = 10'000;
    constexpr milliseconds stopTime { 50 };
    constexpr int64_t failingTaskMs = 50;
    constexpr milliseconds heartbeatInterval { 1'500 };

    std::string text(const json::object& body, const char* name)
    {
        const auto* value = body.if_contains(name);
        return value && value->is_string() ? std::string(value->get_string()) : std::string();
    }

    int64_t number(const json::object& body, const char* name)
    {
        const auto* value = body.if_contains(name);
        return value && value->is_number() ? value->to_number<int64_t>() : 0;
    }
} // namespace

/// One incarnation.
struct Worker::Life {
    struct Run {
        int64_t number = 0;
        size_t history = 0;
        SteadyTime startedAt;
        int64_t durationMs = 0; ///< 0 for a task that lasts.
        std::string outcome = "done"; ///< How the run ends after this time.
        std::optional<SteadyTime> stopAt;
    };
    struct End {
        int64_t number = 0;
        std::string task;
        int64_t run = 0;
        std::string how;
    };

    std::mutex mutex;
    std::condition_variable changed;
    bool alive = true;
    int listener = -1;
    std::list<int> sockets;
    SteadyTime startedAt = now();
    int64_t born = 0;
    int64_t fence = 0;
    int64_t leaseUntil = 0;
    int64_t nextEnd = 1;
    int64_t seq = 0;
    std::map<std::string, Run> running;
    std::map<std::string, int64_t> highestEnded;
    std::vector<End> ends;

    int64_t clockMs() const { return std::chrono::duration_cast<milliseconds>(now() - startedAt).count() + 1; }
};

Worker::Worker(Record& record, History& history, WorkerOptions options)
    : m_record(record)
    , m_history(history)
    , m_options(std::move(options))
{
}

Worker::~Worker() { crash(); }

bool Worker::start()
{
    auto life = std::make_shared<Life>();
    life->born = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    life->listener = listenOn(m_options.ip, m_options.port);
    if (life->listener < 0)
        return false;
    m_life = life;
    m_draining = false;
    m_up = true;
    m_record.write("worker " + m_options.id + " starts, born " + std::to_string(life->born));
    std::thread([this, life] { serve(life); }).detach();
    std::thread([this, life] { tick(life); }).detach();
    std::thread([this, life] { beat(life); }).detach();
    return true;
}

void Worker::crash()
{
    const auto life = m_life;
    if (!life)
        return;
    std::lock_guard lock(life->mutex);
    if (!life->alive)
        return;
    life->alive = false;
    m_up = false;
    ::shutdown(life->listener, SHUT_RDWR);
    ::close(life->listener);
    // The connections are reset, as by the end of a process.
    const linger reset { 1, 0 };
    for (const int socket : life->sockets) {
        ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        ::shutdown(socket, SHUT_RDWR);
    }
    for (const auto& [task, run] : life->running) {
        m_history.end(run.history, "lost");
        m_record.write("worker " + m_options.id + ": " + task + " run " + std::to_string(run.number) + " is lost");
    }
    life->running.clear();
    life->changed.notify_all();
    m_record.write("worker " + m_options.id + " is gone");
}

void Worker::drain() { m_draining = true; }

void Worker::cutOff(SteadyTime until)
{
    m_record.write("worker " + m_options.id + " is cut off");
    m_cutOffUntil = until;
}

void Worker::awaitLink() const
{
    while (now() < m_cutOffUntil.load())
        std::this_thread::sleep_for(milliseconds(10));
}

void Worker::leave()
{
    const auto life = m_life;
    for (const auto& control : m_options.controls) {
        const auto answer = call(control, "DELETE", "/turmericpier/instances/" + m_options.id, {}, "", 1'000);
        if (answer && answer->status == 200)
            break;
    }
    m_record.write("worker " + m_options.id + " takes its leave");
    crash();
}

std::optional<SteadyTime> Worker::drainAcknowledgedAt() const
{
    std::lock_guard lock(m_drainMutex);
    return m_drainAcknowledgedAt;
}

bool Worker::fail(const std::string& task)
{
    const auto life = m_life;
    std::lock_guard lock(life->mutex);
    const auto found = life->running.find(task);
    if (found == life->running.end())
        return false;
    found->second.durationMs = 1;
    found->second.outcome = "failed";
    return true;
}

std::set<std::string> Worker::running() const
{
    const auto life = m_life;
    std::set<std::string> tasks;
    if (!life)
        return tasks;
    std::lock_guard lock(life->mutex);
    for (const auto& [task, run] : life->running)
        tasks.insert(task);
    return tasks;
}

void Worker::serve(const std::shared_ptr<Life>& life)
{
    for (;;) {
        const int socket = ::accept4(life->listener, nullptr, nullptr, SOCK_CLOEXEC);
        std::lock_guard lock(life->mutex);
        if (socket < 0 || !life->alive) {
            if (socket >= 0)
                ::close(socket);
            if (!life->alive)
                return;
            continue;
        }
        life->sockets.push_back(socket);
        std::thread([this, life, socket] { serveConnection(life, socket); }).detach();
    }
}

void Worker::serveConnection(const std::shared_ptr<Life>& life, int socket)
{
    Reader reader(socket);
    while (auto request = reader.read(true)) {
        awaitLink();
        const auto response = handle(*life, *request);
        awaitLink();
        if (!response.empty() && !sendAll(socket, response))
            break;
    }
    std::lock_guard lock(life->mutex);
    life->sockets.remove(socket);
    ::close(socket);
}

std::string Worker::handle(Life& life, const Message& request)
{
    std::unique_lock lock(life.mutex);
    if (!life.alive)
        return {};
    if (request.method == "GET")
        return makeResponse(200, "{}");
    const auto expected = request.headers.find("x-turmericpier-expect-instance");
    if (expected != request.headers.end() && expected->second != m_options.id)
        return makeResponse(421, "{}");
    json::error_code error;
    const auto value = json::parse(request.body, error);
    if (error || !value.is_object())
        return makeResponse(400, "{}");
    const auto& body = value.get_object();
    const auto answer = [&](unsigned status, json::object fields) {
        fields["clock-ms"] = life.clockMs();
        fields["born"] = life.born;
        return makeResponse(status, json::serialize(fields));
    };
    if (number(body, "fence") < life.fence)
        return answer(409, { { "reason", "fence" } });
    life.fence = number(body, "fence");
    if (request.target == "/turmericpier/run-start") {
        auto response = startRun(life, body);
        lock.unlock();
        if (startAnswerDelay)
            std::this_thread::sleep_for(startAnswerDelay());
        return response;
    }
    if (request.target == "/turmericpier/run-stop")
        return stopRun(life, body);
    if (request.target == "/turmericpier/hold")
        return poll(life, lock, body);
    return makeResponse(404, "{}");
}

/// The caller holds the lock. What a task does stands in the specification of its job: "ms=1000" for one that is done
/// after that time, "lasts" for one that lasts, "fails" for one that fails.
std::string Worker::startRun(Life& life, const json::object& body)
{
    const auto answer = [&](unsigned status, json::object fields) {
        fields["clock-ms"] = life.clockMs();
        fields["born"] = life.born;
        return makeResponse(status, json::serialize(fields));
    };
    const auto task = text(body, "task");
    const auto run = number(body, "run");
    const auto until = std::min(number(body, "until-ms"), life.clockMs() + longestLeaseMs);
    if (until <= life.clockMs())
        return answer(409, { { "reason", "late" } });
    life.leaseUntil = std::max(life.leaseUntil, until);
    const auto known = life.running.find(task);
    if (known != life.running.end() && known->second.number == run)
        return answer(200, {});
    const auto ended = life.highestEnded.find(task);
    if (known != life.running.end() || (ended != life.highestEnded.end() && run <= ended->second))
        return answer(409, { { "reason", "old" } });
    const auto spec = text(body, "spec");
    Life::Run started { run, 0, now(), 0, "done", std::nullopt };
    if (spec.starts_with("ms="))
        started.durationMs = std::stoll(spec.substr(3));
    if (spec == "fails") {
        started.durationMs = failingTaskMs;
        started.outcome = "failed";
    }
    started.history = m_history.add({ m_options.id, task, run, now(), {}, "" });
    life.running[task] = started;
    m_record.write("worker " + m_options.id + " begins " + task + " run " + std::to_string(run));
    return answer(200, {});
}

std::string Worker::stopRun(Life& life, const json::object& body)
{
    const auto task = text(body, "task");
    const auto run = number(body, "run");
    const auto known = life.running.find(task);
    if (known != life.running.end() && known->second.number == run) {
        if (!known->second.stopAt)
            known->second.stopAt = now() + stopTime;
    } else {
        auto& highest = life.highestEnded[task];
        highest = std::max(highest, run);
    }
    return makeResponse(200,
        json::serialize(json::object { { "clock-ms", life.clockMs() }, { "born", life.born } }));
}

std::string Worker::poll(Life& life, std::unique_lock<std::mutex>& lock, const json::object& body)
{
    const auto cursor = number(body, "ack-cursor");
    std::erase_if(life.ends, [&](const auto& end) { return end.number <= cursor; });
    life.leaseUntil
        = std::max(life.leaseUntil, std::min(number(body, "until-ms"), life.clockMs() + longestLeaseMs));
    const auto wait = milliseconds(std::min<int64_t>(number(body, "wait-ms"), 2'000));
    const auto nextEnd = life.nextEnd;
    if (life.ends.empty())
        life.changed.wait_for(lock, wait, [&] { return !life.alive || life.nextEnd != nextEnd; });
    if (!life.alive)
        return {};
    json::array running;
    for (const auto& [task, run] : life.running) {
        const auto age = std::chrono::duration_cast<milliseconds>(now() - run.startedAt).count();
        const auto percent = run.durationMs > 0 ? std::min<int64_t>(99, age * 100 / run.durationMs) : 100;
        running.push_back(json::array { task, run.number, "", percent, 0 });
    }
    json::array ended;
    for (const auto& end : life.ends)
        ended.push_back(json::array { end.number, end.task, end.run, end.how, "" });
    return makeResponse(200,
        json::serialize(json::object { { "clock-ms", life.clockMs() }, { "born", life.born },
            { "running", std::move(running) }, { "ended", std::move(ended) } }));
}

/// Ends runs that are done, stopped or without a lease.
void Worker::tick(const std::shared_ptr<Life>& life)
{
    for (;;) {
        std::this_thread::sleep_for(milliseconds(10));
        std::lock_guard lock(life->mutex);
        if (!life->alive)
            return;
        const bool lapsed = life->clockMs() > life->leaseUntil;
        for (auto it = life->running.begin(); it != life->running.end();) {
            const auto& run = it->second;
            std::string how;
            if (lapsed)
                how = "lapsed";
            else if (run.stopAt && now() >= *run.stopAt)
                how = "stopped";
            else if (run.durationMs > 0 && now() - run.startedAt >= milliseconds(run.durationMs))
                how = run.outcome;
            if (how.empty()) {
                ++it;
                continue;
            }
            life->ends.push_back({ life->nextEnd++, it->first, run.number, how });
            auto& highest = life->highestEnded[it->first];
            highest = std::max(highest, run.number);
            m_history.end(run.history, how);
            m_record.write("worker " + m_options.id + ": " + it->first + " run " + std::to_string(run.number)
                + " has ended " + how);
            it = life->running.erase(it);
            life->changed.notify_all();
        }
    }
}

void Worker::beat(const std::shared_ptr<Life>& life)
{
    std::string preferred;
    bool sentDraining = false;
    while (true) {
        awaitLink();
        json::object body;
        bool draining = false;
        {
            std::lock_guard lock(life->mutex);
            if (!life->alive)
                return;
            draining = m_draining;
            json::array labels;
            for (const auto& label : m_options.labels)
                labels.emplace_back(label);
            body = { { "service", m_options.service }, { "addr", m_options.ip + ":" + std::to_string(m_options.port) },
                { "zone", "ost-wien" }, { "version", "v1" }, { "slots", 8 },
                { "state", draining ? "draining" : "ready" }, { "cold-left-ms", 0 },
                { "capacity", json::object { { "cpu", m_options.cpu }, { "mem-mb", m_options.memory }, { "gpu", 0 } } },
                { "labels", std::move(labels) }, { "clock-ms", life->clockMs() }, { "seq", ++life->seq },
                { "born", life->born } };
            if (draining)
                body["drain-remaining-ms"] = 2'500;
        }
        auto targets = m_options.controls;
        std::rotate(targets.begin(),
            targets.begin() + static_cast<std::ptrdiff_t>(std::hash<std::string> {}(m_options.id) % targets.size()),
            targets.end());
        if (!preferred.empty())
            targets.insert(targets.begin(), preferred);
        for (const auto& target : targets) {
            const auto answer = call(
                target, "PUT", "/turmericpier/instances/" + m_options.id, {}, json::serialize(body), 1'000);
            if (!answer || answer->status != 200) {
                preferred.clear();
                continue;
            }
            json::error_code error;
            const auto value = json::parse(answer->body, error);
            if (!error && value.is_object())
                preferred = text(value.get_object(), "heartbeat-addr");
            m_acknowledged = true;
            if (draining && !sentDraining) {
                sentDraining = true;
                std::lock_guard lock(m_drainMutex);
                m_drainAcknowledgedAt = now();
                m_record.write("worker " + m_options.id + ": draining is acknowledged by " + target);
            }
            break;
        }
        const auto next = now() + heartbeatInterval;
        while (now() < next) {
            std::this_thread::sleep_for(milliseconds(20));
            std::lock_guard lock(life->mutex);
            if (!life->alive)
                return;
            if (m_draining && !draining)
                break; // A drain is reported at once.
        }
    }
}

} // namespace review
