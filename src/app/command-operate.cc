#include "app/command.h"
#include "app/flags.h"
#include "app/operator-client.h"

#include <absl/strings/str_cat.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_int64(cpu, 0, "processors, in thousandths of a core");
DEFINE_int64(memory_mib, 0, "memory, in MiB");
DEFINE_int64(accelerators, 0, "accelerators");
DEFINE_string(team, "", "team that owns the job");
DEFINE_string(policy, "", "scheduling policy of the job");
DEFINE_string(kind, "batch", "kind of job: batch, service or gang");
DEFINE_uint32(tasks, 1, "number of tasks or replicas");
DEFINE_uint32(priority, 0, "higher is more urgent; from 1000 on the job is urgent work");
DEFINE_uint64(run_time_ms, 0, "declared run time, in milliseconds; 0 for unknown");
DEFINE_uint32(min_available, 0, "replicas of a service that stay running during moves");
DEFINE_string(family, "", "jobs of one family share learned sizes; empty for the job's name");
DEFINE_string(run, "", "command that the workers run for each task");
DEFINE_string(score, "mixed", "what a policy weighs: mixed, waiting-first or packing-first");
DEFINE_uint32(max_preemptions, 3, "preemptions of one task under the policy");
DEFINE_uint32(max_retries, 3, "retries of one task under the policy");
DEFINE_uint32(queue_limit, 0, "requests of the service that wait on one entry; 0 for 1024");
DEFINE_uint32(retry_budget_percent, 0, "retries as a share of first attempts; 0 for 10");
DEFINE_uint64(expected_version, 0, "version that the new configuration replaces");

namespace turmericpier::app {

namespace {
    constexpr const char* commonFlags = "\nflags: --entries A,B  --request_id ID  --timeout_ms N  --json\n";

    ExitCode sendCommand(const rpc::OperateRequest& request)
    {
        const auto reply = operate(request);
        if (!reply.ok())
            return report(reply.status());
        if (FLAGS_json)
            std::cout << "{\"version\":" << reply->version() << "}\n";
        else
            std::cout << "accepted, version " << reply->version() << "\n";
        return ExitCode::Ok;
    }

    ExitCode printReply(const rpc::ReadRequest& request)
    {
        const auto json = read(request);
        if (!json.ok())
            return report(json.status());
        printJson(*json);
        return ExitCode::Ok;
    }

    /// Prints the reply to `listRequest` for the single argument "list", and calls `runNamed` for a verb and a name.
    template <typename RunNamed>
    ExitCode runVerb(
        const std::string& command, const Arguments& arguments, const rpc::ReadRequest& listRequest, RunNamed runNamed)
    {
        if (arguments.size() == 1 && arguments[0] == "list")
            return printReply(listRequest);
        if (arguments.size() == 2)
            return runNamed(arguments[0], arguments[1]);
        return usageError(command, "wrong arguments");
    }

    rpc::Resources resourcesFromFlags()
    {
        rpc::Resources resources;
        resources.set_milli_cpu(FLAGS_cpu);
        resources.set_memory_mib(FLAGS_memory_mib);
        resources.set_accelerators(FLAGS_accelerators);
        return resources;
    }

    bool parseKind(rpc::Job& job)
    {
        if (FLAGS_kind == "batch")
            job.set_kind(rpc::Job::BATCH);
        else if (FLAGS_kind == "service")
            job.set_kind(rpc::Job::SERVICE);
        else if (FLAGS_kind == "gang")
            job.set_kind(rpc::Job::GANG);
        else
            return false;
        return true;
    }

    ExitCode submitJob(const std::string& command, const std::string& name)
    {
        rpc::OperateRequest request;
        auto& job = *request.mutable_submit_job();
        if (!parseKind(job))
            return usageError(command, "--kind is \"" + FLAGS_kind + "\"; accepted: batch, service, gang");
        job.set_name(name);
        job.set_team(FLAGS_team);
        job.set_policy(FLAGS_policy);
        job.set_partner(FLAGS_partner);
        job.set_tasks(FLAGS_tasks);
        *job.mutable_request() = resourcesFromFlags();
        job.set_priority(FLAGS_priority);
        job.set_run_time_ms(FLAGS_run_time_ms);
        job.set_min_available(FLAGS_min_available);
        job.set_family(FLAGS_family);
        job.set_command(FLAGS_run);
        return sendCommand(request);
    }

    ExitCode runJob(const std::string& command, const Arguments& arguments)
    {
        rpc::ReadRequest list;
        list.set_jobs(true);
        return runVerb(command, arguments, list, [&](const std::string& verb, const std::string& name) {
            if (verb == "submit")
                return submitJob(command, name);
            if (verb == "cancel") {
                rpc::OperateRequest request;
                request.set_cancel_job(name);
                return sendCommand(request);
            }
            if (verb == "explain") {
                rpc::ReadRequest request;
                request.set_explain_job(name);
                return printReply(request);
            }
            return usageError(command, "unknown verb \"" + verb + "\"");
        });
    }

    ExitCode runTeam(const Arguments& arguments)
    {
        rpc::ReadRequest list;
        list.set_teams(true);
        return runVerb("team", arguments, list, [](const std::string& verb, const std::string& name) {
            if (verb != "put")
                return usageError("team", "unknown verb \"" + verb + "\"");
            rpc::OperateRequest request;
            request.mutable_put_team()->set_name(name);
            *request.mutable_put_team()->mutable_quota() = resourcesFromFlags();
            return sendCommand(request);
        });
    }

    ExitCode putPolicy(const std::string& name)
    {
        rpc::OperateRequest request;
        auto& policy = *request.mutable_put_policy();
        policy.set_name(name);
        if (FLAGS_score == "waiting-first")
            policy.set_score(rpc::Policy::WAITING_FIRST);
        else if (FLAGS_score == "packing-first")
            policy.set_score(rpc::Policy::PACKING_FIRST);
        else if (FLAGS_score != "mixed")
            return usageError(
                "policy", "--score is \"" + FLAGS_score + "\"; accepted: mixed, waiting-first, packing-first");
        policy.set_max_preemptions(FLAGS_max_preemptions);
        policy.set_max_retries(FLAGS_max_retries);
        return sendCommand(request);
    }

    ExitCode runPolicy(const Arguments& arguments)
    {
        rpc::ReadRequest list;
        list.set_policies(true);
        return runVerb("policy", arguments, list, [](const std::string& verb, const std::string& name) {
            return verb == "put" ? putPolicy(name) : usageError("policy", "unknown verb \"" + verb + "\"");
        });
    }

    ExitCode runService(const Arguments& arguments)
    {
        rpc::ReadRequest list;
        list.set_services(true);
        return runVerb("service", arguments, list, [](const std::string& verb, const std::string& name) {
            rpc::OperateRequest request;
            if (verb == "put") {
                auto& service = *request.mutable_put_service();
                service.set_name(name);
                service.set_partner(FLAGS_partner);
                service.set_queue_limit(FLAGS_queue_limit);
                service.set_retry_budget_percent(FLAGS_retry_budget_percent);
            } else if (verb == "remove") {
                request.set_remove_service(name);
            } else {
                return usageError("service", "unknown verb \"" + verb + "\"");
            }
            return sendCommand(request);
        });
    }

    ExitCode drainWorker(const std::string& worker, bool drain)
    {
        rpc::OperateRequest request;
        if (drain)
            request.set_drain_worker(worker);
        else
            request.set_undrain_worker(worker);
        return sendCommand(request);
    }

    ExitCode runWorker(const Arguments& arguments)
    {
        rpc::ReadRequest list;
        list.set_workers(true);
        return runVerb("worker", arguments, list, [](const std::string& verb, const std::string& name) {
            if (verb != "drain" && verb != "undrain")
                return usageError("worker", "unknown verb \"" + verb + "\"");
            return drainWorker(name, verb == "drain");
        });
    }

    ExitCode runDrain(const Arguments& arguments)
    {
        if (arguments.size() != 1)
            return usageError("drain", "the worker is missing");
        return drainWorker(arguments[0], true);
    }

    ExitCode putConfig(const std::string& file)
    {
        std::ifstream in(file);
        if (!in)
            return usageError("config", "cannot open " + file);
        std::stringstream content;
        content << in.rdbuf();
        rpc::OperateRequest request;
        request.mutable_put_config()->set_expected_version(FLAGS_expected_version);
        request.mutable_put_config()->set_content(content.str());
        return sendCommand(request);
    }

    ExitCode runConfig(const Arguments& arguments)
    {
        if (arguments.size() == 1 && arguments[0] == "get") {
            rpc::ReadRequest request;
            request.set_config(true);
            return printReply(request);
        }
        if (arguments.size() == 2 && arguments[0] == "put")
            return putConfig(arguments[1]);
        return usageError("config", "wrong arguments");
    }

    ExitCode runStatus(const Arguments&)
    {
        rpc::ReadRequest request;
        request.set_status(true);
        return printReply(request);
    }
} // namespace

Command statusCommand()
{
    return { "status", "show the state of the cluster", absl::StrCat("usage: turmericpier status\n", commonFlags),
        runStatus };
}

Command teamCommand()
{
    return { "team", "create, change and list teams",
        absl::StrCat("usage: turmericpier team put NAME --cpu N --memory_mib N --accelerators N\n"
                     "       turmericpier team list\n\nThe amounts are the team's quota.\n",
            commonFlags),
        runTeam };
}

Command policyCommand()
{
    return { "policy", "create, change and list scheduling policies",
        absl::StrCat(
            "usage: turmericpier policy put NAME --score mixed|waiting-first|packing-first --max_preemptions N "
            "--max_retries N\n       turmericpier policy list\n",
            commonFlags),
        runPolicy };
}

Command serviceCommand()
{
    return { "service", "create, change, remove and list request services",
        absl::StrCat("usage: turmericpier service put NAME --partner P [--queue_limit N] [--retry_budget_percent N]\n"
                     "       turmericpier service remove NAME\n       turmericpier service list\n",
            commonFlags),
        runService };
}

Command jobCommand()
{
    return { "job", "submit, cancel, explain and list jobs",
        absl::StrCat(
            "usage: turmericpier job submit NAME --team T --partner P [--kind batch|service|gang] [--tasks N] [--cpu "
            "N]\n"
            "           [--memory_mib N] [--accelerators N] [--priority N] [--policy P] [--run_time_ms N]\n"
            "           [--min_available N] [--family F] [--run COMMAND]\n"
            "       turmericpier job cancel NAME\n       turmericpier job explain NAME\n       turmericpier job list\n",
            commonFlags),
        [](const Arguments& arguments) { return runJob("job", arguments); } };
}

Command gangCommand()
{
    return { "gang", "submit, cancel, explain and list jobs whose tasks run all or none",
        absl::StrCat("usage: turmericpier gang submit NAME --tasks N ...   as job submit --kind gang\n"
                     "       turmericpier gang cancel|explain NAME\n       turmericpier gang list\n",
            commonFlags),
        [](const Arguments& arguments) {
            FLAGS_kind = "gang";
            return runJob("gang", arguments);
        } };
}

Command workerCommand()
{
    return { "worker", "list, drain and undrain workers",
        absl::StrCat("usage: turmericpier worker list\n       turmericpier worker drain|undrain WORKER\n", commonFlags),
        runWorker };
}

Command drainCommand()
{
    return { "drain", "give a worker no new work",
        absl::StrCat(
            "usage: turmericpier drain WORKER\n\nAn instance is drained by SIGTERM to its process.\n", commonFlags),
        runDrain };
}

Command configCommand()
{
    return { "config", "read and replace the configuration",
        absl::StrCat("usage: turmericpier config get\n       turmericpier config put FILE --expected_version N\n\n"
                     "FILE holds a JSON object. Of two operators with the same expected version one is refused.\n",
            commonFlags),
        runConfig };
}

} // namespace turmericpier::app
