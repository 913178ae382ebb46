// Stand-in worker process for tests and the quick start. It announces itself to an entry, answers requests with their
// payload and simulates tasks.
#include "standin/worker.h"

#include <absl/strings/str_split.h>
#include <atomic>
#include <csignal>
#include <gflags/gflags.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/server_builder.h>
#include <iostream>
#include <thread>

DEFINE_string(id, "w1", "worker id");
DEFINE_string(address, "127.0.0.1:7301", "address of the Endpoint service");
DEFINE_string(entries, "127.0.0.1:7001", "addresses of entries, separated by commas");
DEFINE_string(data_centre, "vienna", "data centre");
DEFINE_string(region, "east", "region");
DEFINE_string(rack, "r1", "rack");
DEFINE_string(services, "", "services whose requests the worker takes, separated by commas");
DEFINE_int64(cpu, 16'000, "processors, in thousandths of a core");
DEFINE_int64(memory_mib, 32'768, "memory, in MiB");
DEFINE_int64(accelerators, 0, "accelerators");
DEFINE_uint32(slots, 8, "maximum number of concurrent requests");
DEFINE_uint32(service_time_ms, 2, "duration of one request, in milliseconds");
DEFINE_uint32(task_time_ms, 500, "duration of a task without a command, in milliseconds");
DEFINE_uint32(report_ms, 300, "time between reports, in milliseconds");
DEFINE_string(execution_log, "", "file to which a line is appended when an execution begins or ends");
DEFINE_bool(fail_all, false, "fail every task and request");
DEFINE_uint32(stall_ms, 0, "added to the duration of each request, in milliseconds");
DEFINE_uint32(lose_answers_percent, 0, "percentage of requests that run but whose answer is lost");
DEFINE_double(size_factor, 1, "reported usage as a multiple of the limit");

namespace turmericpier::standin {
namespace {
    std::atomic<bool> stopRequested { false };

    class EndpointService final : public rpc::Endpoint::Service {
    public:
        explicit EndpointService(RequestTable& requests)
            : m_requests(requests)
        {
        }
        grpc::Status Execute(
            grpc::ServerContext*, const rpc::ExecuteRequest* request, rpc::ExecuteReply* reply) override
        {
            return m_requests.execute(*request, *reply);
        }
        grpc::Status Query(grpc::ServerContext*, const rpc::QueryRequest* request, rpc::QueryReply* reply) override
        {
            *reply = m_requests.query(*request);
            return grpc::Status::OK;
        }

    private:
        RequestTable& m_requests;
    };

    WorkerOptions optionsFromFlags()
    {
        WorkerOptions options;
        options.id = FLAGS_id;
        options.dataCentre = FLAGS_data_centre;
        options.region = FLAGS_region;
        options.rack = FLAGS_rack;
        options.services = absl::StrSplit(FLAGS_services, ',', absl::SkipEmpty());
        options.entries = absl::StrSplit(FLAGS_entries, ',', absl::SkipEmpty());
        options.milliCpu = FLAGS_cpu;
        options.memoryMib = FLAGS_memory_mib;
        options.accelerators = FLAGS_accelerators;
        options.slots = FLAGS_slots;
        options.serviceTimeMs = FLAGS_service_time_ms;
        options.taskTimeMs = FLAGS_task_time_ms;
        options.reportMs = FLAGS_report_ms;
        options.executionLog = FLAGS_execution_log;
        options.faults = { FLAGS_fail_all, FLAGS_stall_ms, FLAGS_lose_answers_percent, FLAGS_size_factor };
        options.seed = std::hash<std::string> {}(FLAGS_id) % 100;
        return options;
    }

    rpc::WorkerReport makeReport(const WorkerOptions& options, uint64_t incarnation, uint64_t sequence,
        TaskTable& tasks, const RequestTable& requests)
    {
        rpc::WorkerReport report;
        report.set_worker(options.id);
        report.set_incarnation(incarnation);
        report.set_address(FLAGS_address);
        report.set_data_centre(options.dataCentre);
        report.set_region(options.region);
        report.set_rack(options.rack);
        report.mutable_capacity()->set_milli_cpu(options.milliCpu);
        report.mutable_capacity()->set_memory_mib(options.memoryMib);
        report.mutable_capacity()->set_accelerators(options.accelerators);
        report.set_slots(options.slots);
        report.set_connections(options.connections);
        for (const auto& service : options.services)
            report.add_services(service);
        report.set_leaving(stopRequested);
        for (auto& task : tasks.reports())
            *report.add_tasks() = std::move(task);
        report.set_sequence(sequence);
        for (auto& fence : requests.completedFences())
            *report.add_fenced() = std::move(fence);
        return report;
    }

    /// Sends reports and handles commands on one announce stream until the stream breaks or the worker has stopped.
    void announce(const WorkerOptions& options, const std::string& entry, uint64_t incarnation, uint64_t& sequence,
        TaskTable& tasks, RequestTable& requests, const std::atomic<bool>& isStopped)
    {
        auto stub = rpc::WorkerRegistry::NewStub(grpc::CreateChannel(entry, grpc::InsecureChannelCredentials()));
        grpc::ClientContext context;
        auto stream = stub->Announce(&context);
        std::atomic<bool> isBroken { false };
        std::thread reader([&] {
            rpc::WorkerCommand command;
            while (stream->Read(&command)) {
                if (command.has_fence())
                    requests.fence(command.fence());
                else
                    tasks.apply(command);
            }
            isBroken = true;
        });
        while (!isBroken && !isStopped) {
            ++sequence;
            tasks.recordReportSent(sequence);
            if (!stream->Write(makeReport(options, incarnation, sequence, tasks, requests)))
                break;
            std::this_thread::sleep_for(std::chrono::milliseconds(options.reportMs));
        }
        context.TryCancel();
        reader.join();
        stream->Finish();
    }

    int run()
    {
        const auto options = optionsFromFlags();
        const auto incarnation = static_cast<uint64_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch())
                .count());
        SteadyClock clock;
        RequestTable requests(options, incarnation);
        TaskTable tasks(options, incarnation, clock);
        EndpointService service(requests);
        grpc::ServerBuilder builder;
        int port = 0;
        builder.AddListeningPort(FLAGS_address, grpc::InsecureServerCredentials(), &port);
        builder.RegisterService(&service);
        auto server = builder.BuildAndStart();
        if (!server || port == 0) {
            std::cerr << "cannot listen on " << FLAGS_address << "\n";
            return 1;
        }
        std::atomic<bool> isStopped { false };
        std::thread announcer([&] {
            uint64_t sequence = 0;
            for (size_t next = std::hash<std::string> {}(options.id); !isStopped; ++next) {
                announce(options, options.entries[next % options.entries.size()], incarnation, sequence, tasks,
                    requests, isStopped);
                std::this_thread::sleep_for(std::chrono::milliseconds(100));
            }
        });
        while (!stopRequested)
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        // Waits two seconds until all entries know that the worker is leaving, then at most 10 seconds for its work to
        // end.
        std::this_thread::sleep_for(std::chrono::seconds(2));
        for (int i = 0; i < 500 && (requests.running() > 0 || !tasks.isIdle()); ++i)
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        isStopped = true;
        announcer.join();
        server->Shutdown(std::chrono::system_clock::now() + std::chrono::seconds(1));
        return 0;
    }
} // namespace
} // namespace turmericpier::standin

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGTERM, [](int) { turmericpier::standin::stopRequested = true; });
    std::signal(SIGINT, [](int) { turmericpier::standin::stopRequested = true; });
    return turmericpier::standin::run();
}
