#pragma once

#include "turmericpier/routing/router.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

/// Fault definitions, and fakes of the worker and the ledger.
namespace turmericpier::routing::fakes {

constexpr size_t entryCount = 3;

enum class Step { Submit, Claim, Dispatch, Answer, Query, Outcome, Reply, GrantChange, WorkerList };
constexpr std::array stepNames { "submit", "claim", "dispatch", "answer", "query", "outcome", "reply", "grant change",
    "worker list change" };

/// The first six act on the message of the step; the others change the state of a component when the step is reached.
enum class Fault {
    LoseRequest,
    LoseReply,
    Late,
    LateAfterFailure, ///< Reported as failed, but delivered later.
    Twice,
    Refuse,
    WorkerRestarts,
    WorkerVanishes, ///< Unreachable, but continues the requests that it runs.
    WorkerRefusesAll,
    WorkerFailsAll,
    EntryCrashes, ///< Callers without a reply send the same key again through the next entry.
    EntryPauses,
    CallerCancels,
    CallerResends,
    GrantShrinks,
    GrantMoves, ///< The grant gets a new epoch, and the worker refuses the old one.
    GrantExpires,
    WorkerLeaves,
    WorkerUnlisted,
    LedgerDown,
};
constexpr std::array faultNames { "request lost", "reply lost", "late", "late after failure", "twice", "refused",
    "worker restarts", "worker vanishes", "worker refuses all", "worker fails all", "entry crashes", "entry pauses",
    "caller cancels", "caller resends", "grant shrinks", "grant moves", "grant expires", "worker leaves",
    "worker unlisted", "ledger down" };

/// A fault to be injected at a step of the target request.
struct Injection {
    Step step = Step::Submit;
    Fault fault = Fault::Late;
    int occurrence = 1; ///< Triggers when the target request reaches the step for the nth time.
    bool again = false; ///< A state fault is applied a second time shortly after.
    bool helper = false; ///< Injected only to make a step occur again; not counted in the matrix.
};

/// False for combinations of step and fault that have no meaning.
bool applies(Step step, Fault fault);

/// Kind of request and router options of a run.
struct Variant {
    std::string name;
    bool nonRepeatable = false;
    bool claimRepeatable = false;
    bool hedge = false;
    bool firstAnswerLost = false;
};

/// An attempt on its way between an entry and a worker.
struct Message {
    size_t entry = 0;
    Ticket ticket;
    uint32_t attempt = 0;
    WorkerId worker;
    std::string key;
    Epoch epoch;
    Incarnation incarnation;
};

struct FakeWorker {
    struct Run {
        bool done = false;
        std::vector<Message> waiters;
    };
    uint32_t slots = entryCount; ///< One per entry.
    Incarnation incarnation { 1 };
    bool reachable = true;
    bool refusesAll = false;
    bool failsAll = false;
    bool listed = true;
    bool leaving = false;
    uint32_t running = 0;
    std::map<std::pair<std::string, uint32_t>, Run> runs;
    std::set<std::pair<std::string, uint32_t>> fenced;
    std::map<size_t, Epoch> epochFence;
};

/// Stores claims and outcomes by the rules of schema/log.proto.
struct FakeLedger {
    struct Claim {
        size_t entry = 0;
        WorkerId worker;
        Incarnation incarnation;
        uint32_t attempt = 0;
    };
    struct Record {
        size_t entry = 0;
        CommitOutcome outcome;
    };
    std::map<std::string, Claim> claims;
    std::map<std::string, Record> outcomes;
    bool down = false;

    ClaimResult apply(size_t entry, const std::string& key, const CommitClaim& claim);
    OutcomeResult apply(size_t entry, const std::string& key, const CommitOutcome& outcome);
};

inline bool applies(Step step, Fault fault)
{
    if (fault >= Fault::WorkerRestarts)
        return true;
    const auto oneOf = [&](std::initializer_list<Fault> faults) {
        return std::find(faults.begin(), faults.end(), fault) != faults.end();
    };
    switch (step) {
    case Step::Submit:
    case Step::GrantChange:
    case Step::WorkerList:
        return oneOf({ Fault::LoseRequest, Fault::Late, Fault::Twice });
    case Step::Claim:
        return true;
    case Step::Dispatch:
        return fault != Fault::LoseReply; // The loss of the reply is covered by step Answer.
    case Step::Answer:
        return oneOf({ Fault::LoseRequest, Fault::Late, Fault::LateAfterFailure, Fault::Twice });
    case Step::Query:
    case Step::Outcome:
        return fault != Fault::Refuse;
    case Step::Reply:
        return fault == Fault::LoseRequest;
    }
    return false;
}

inline ClaimResult FakeLedger::apply(size_t entry, const std::string& key, const CommitClaim& claim)
{
    if (const auto ended = outcomes.find(key); ended != outcomes.end()) {
        const CommitOutcome& outcome = ended->second.outcome;
        return { ClaimResult::Code::EndedBefore, outcome.worker, outcome.answeredAttempt, outcome.outcome,
            outcome.reason, {} };
    }
    const auto [found, isNew] = claims.try_emplace(key);
    Claim& standing = found->second;
    const bool same = standing.entry == entry && standing.worker == claim.worker && standing.attempt == claim.attempt;
    if (!isNew && !same && claim.attempt <= standing.attempt)
        return { ClaimResult::Code::ClaimedBefore, standing.worker, standing.attempt, {}, {}, standing.incarnation };
    standing = { entry, claim.worker, claim.workerIncarnation, claim.attempt };
    return { ClaimResult::Code::Accepted };
}

inline OutcomeResult FakeLedger::apply(size_t entry, const std::string& key, const CommitOutcome& outcome)
{
    if (const auto ended = outcomes.find(key); ended != outcomes.end()) {
        const Record& record = ended->second;
        if (record.entry == entry && record.outcome.ticket == outcome.ticket)
            return { OutcomeResult::Code::Accepted };
        return { OutcomeResult::Code::EndedBefore, record.outcome.outcome, record.outcome.reason,
            record.outcome.worker };
    }
    if (const auto claim = claims.find(key); claim != claims.end() && claim->second.attempt > outcome.claimAttempt)
        return { OutcomeResult::Code::ClaimedBefore };
    outcomes[key] = { entry, outcome };
    return { OutcomeResult::Code::Accepted };
}

} // namespace turmericpier::routing::fakes
