#pragma once

#include "turmericpier/cell/state.h"

#include <flatbuffers/flatbuffers.h>
#include <memory>
#include <string>

/// Functions that make records for the tests of the cell.
namespace turmericpier::cell::test {

inline const std::string host = "jobs.example";
inline const std::string prefix = "/q/";

inline std::unique_ptr<record::ConfigT> config(uint64_t version = 1, uint32_t attempts = 2, bool advice = false)
{
    auto made = std::make_unique<record::ConfigT>();
    made->version = version;
    made->document = "document " + std::to_string(version);
    auto service = std::make_unique<record::ServiceT>();
    service->name = "svc";
    made->services.push_back(std::move(service));
    auto queue = std::make_unique<record::QueueT>();
    queue->name = "q";
    queue->host = host;
    queue->prefix = prefix;
    queue->service = "svc";
    queue->attempts = attempts;
    if (advice) {
        queue->advice = std::make_unique<record::AdviceT>();
        queue->advice->decide_us = 24'000;
        queue->advice->each_us = 340;
        queue->advice->ticket_ms = 2'500;
    }
    made->queues.push_back(std::move(queue));
    return made;
}

inline std::unique_ptr<record::WorkerT> worker(const std::string& id, int64_t born = 1, int64_t cpu = 4'000)
{
    auto made = std::make_unique<record::WorkerT>();
    made->id = id;
    made->service = "svc";
    made->address = id + ":80";
    made->born_ms = born;
    made->cpu = cpu;
    made->memory = 8'192;
    made->labels = { "a", "rack-" + id };
    made->rack = "rack-" + id;
    return made;
}

inline std::unique_ptr<record::StepT> step(uint32_t count, int64_t cpu = 1'000)
{
    auto made = std::make_unique<record::StepT>();
    made->count = count;
    made->cpu = cpu;
    made->memory = 512;
    made->estimate_ms = 1'000;
    return made;
}

/// Returns a job id in the format that clients use.
inline std::string jobId(unsigned number)
{
    std::string id = "0000000000000000" + std::to_string(number);
    return id.substr(id.size() - 16);
}

template <typename... Steps> std::unique_ptr<record::JobT> job(const std::string& id, Steps... steps)
{
    auto made = std::make_unique<record::JobT>();
    made->id = id;
    made->queue = queueKey(host, prefix);
    made->spec = "spec of " + id;
    (made->steps.push_back(std::move(steps)), ...);
    return made;
}

inline void submit(State& state, std::unique_ptr<record::JobT> job)
{
    record::CommandT command;
    command.submit.push_back(std::move(job));
    state.apply(command);
}

inline void configure(State& state, std::unique_ptr<record::ConfigT> config)
{
    record::CommandT command;
    command.config = std::move(config);
    state.apply(command);
}

/// Returns the serial of the incarnation, or 0 if the worker was not added.
inline uint32_t addWorker(State& state, std::unique_ptr<record::WorkerT> worker)
{
    const auto id = worker->id;
    record::CommandT command;
    command.workers.push_back(std::move(worker));
    state.apply(command);
    const auto* found = state.findWorkerById(id);
    return found ? found->worker.serial : 0;
}

inline void start(State& state, const TaskKey& task, uint32_t run, uint32_t serial)
{
    record::CommandT command;
    command.starts.push_back(std::make_unique<record::StartT>(recordOf<record::StartT>(task, run, serial)));
    state.apply(command);
}

inline void end(State& state, const TaskKey& task, uint32_t run, uint32_t serial, record::EndKind how,
    const std::string& saved = {})
{
    auto made = std::make_unique<record::EndT>(recordOf<record::EndT>(task, run, serial));
    made->how = how;
    made->saved = saved;
    record::CommandT command;
    command.ends.push_back(std::move(made));
    state.apply(command);
}

} // namespace turmericpier::cell::test
