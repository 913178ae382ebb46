#include "control/read.h"

#include "control/leader.h"
#include "turmericpier/base/error.h"

#include <algorithm>
#include <boost/json.hpp>
#include <google/protobuf/util/json_util.h>

namespace turmericpier::control {

namespace {
    std::string toJson(const google::protobuf::Message& message)
    {
        google::protobuf::util::JsonPrintOptions options;
        options.preserve_proto_field_names = true;
        options.always_print_primitive_fields = true;
        std::string json;
        const auto status = google::protobuf::util::MessageToJsonString(message, &json, options);
        return status.ok() ? json : "null";
    }

    boost::json::value toJsonValue(const google::protobuf::Message& message)
    {
        return boost::json::parse(toJson(message));
    }

    boost::json::value explainJob(const ControlState& state, const Leader& leader, const JobId& id)
    {
        const auto& record = state.jobs().at(id);
        boost::json::object result { { "job", toJsonValue(record.job) }, { "cancelled", record.isCancelled },
            { "ended", record.hasEnded }, { "finished_tasks", record.endedTasks.size() } };
        if (record.hasEnded) {
            result["outcome"] = rpc::Outcome_Name(record.outcome);
            result["reason"] = record.reason;
        }
        boost::json::error_code error;
        auto decisions = boost::json::parse(leader.explain(id), error);
        result["decisions"] = error ? boost::json::value(nullptr) : decisions;
        return result;
    }

    boost::json::value readStatus(const ControlState& state, const Leader& leader, const InstanceId& self)
    {
        const auto lost = std::count_if(state.workers().begin(), state.workers().end(),
            [&](const auto& worker) { return leader.isLost(worker.first); });
        const auto ended = std::count_if(
            state.jobs().begin(), state.jobs().end(), [](const auto& job) { return job.second.hasEnded; });
        boost::json::object entries;
        for (const auto& [id, entry] : leader.entries())
            entries[id.str()] = entry.configVersion;
        return boost::json::object { { "leader", self.str() }, { "workers", state.workers().size() },
            { "workers_lost", lost }, { "workers_drained", state.drained().size() }, { "jobs", state.jobs().size() },
            { "jobs_ended", ended }, { "tasks_placed", state.placements().size() }, { "grants", state.grants().size() },
            { "services", state.services().size() }, { "teams", state.teams().size() },
            { "config_version", state.configVersion() }, { "entries_config_version", std::move(entries) } };
    }

    boost::json::value listJobs(const ControlState& state)
    {
        boost::json::array result;
        for (const auto& [id, record] : state.jobs()) {
            result.push_back(boost::json::object { { "name", id.str() },
                { "kind", rpc::Job::Kind_Name(record.job.kind()) }, { "tasks", record.job.tasks() },
                { "finished", record.endedTasks.size() }, { "cancelled", record.isCancelled },
                { "ended", record.hasEnded }, { "outcome", record.hasEnded ? rpc::Outcome_Name(record.outcome) : "" },
                { "reason", record.reason } });
        }
        return result;
    }

    boost::json::value listWorkers(const ControlState& state, const Leader& leader)
    {
        boost::json::array result;
        for (const auto& [id, worker] : state.workers()) {
            auto value = toJsonValue(worker).as_object();
            value["lost"] = leader.isLost(id);
            value["drained"] = state.drained().count(id) > 0;
            value["tasks_placed"] = state.tasksOn(id).size();
            result.push_back(std::move(value));
        }
        return result;
    }

    template <typename Map> boost::json::value toJsonArray(const Map& map)
    {
        boost::json::array result;
        for (const auto& [id, value] : map)
            result.push_back(toJsonValue(value));
        return result;
    }
} // namespace

absl::StatusOr<std::string> readJson(
    const rpc::ReadRequest& request, const ControlState& state, const Leader& leader, const InstanceId& self)
{
    boost::json::value result;
    switch (request.query_case()) {
    case rpc::ReadRequest::kExplainJob:
        if (!state.jobs().count(JobId(request.explain_job())))
            return makeError({ absl::StatusCode::kNotFound, Outcome::NotRun, "NOT_FOUND", "read", self.str() },
                "job " + request.explain_job() + " does not exist");
        result = explainJob(state, leader, JobId(request.explain_job()));
        break;
    case rpc::ReadRequest::kStatus:
        result = readStatus(state, leader, self);
        break;
    case rpc::ReadRequest::kJobs:
        result = listJobs(state);
        break;
    case rpc::ReadRequest::kWorkers:
        result = listWorkers(state, leader);
        break;
    case rpc::ReadRequest::kServices:
        result = toJsonArray(state.services());
        break;
    case rpc::ReadRequest::kTeams:
        result = toJsonArray(state.teams());
        break;
    case rpc::ReadRequest::kPolicies:
        result = toJsonArray(state.policies());
        break;
    case rpc::ReadRequest::kConfig:
        result = boost::json::object { { "version", state.configVersion() },
            { "content", boost::json::parse(state.config()) } };
        break;
    case rpc::ReadRequest::QUERY_NOT_SET:
        return makeError({ absl::StatusCode::kInvalidArgument, Outcome::NotRun, "MISSING_QUERY", "read", self.str() },
            "request holds no query known to this version");
    }
    return boost::json::serialize(result);
}

} // namespace turmericpier::control
