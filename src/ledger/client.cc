#include "turmericpier/ledger/client.h"

#include "log.pb.h"
#include "peer_generated.h"
#include "turmericpier/base/error.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/json.hpp>
#include <deque>
#include <map>
#include <random>
#include <utility>

namespace turmericpier::ledger {

namespace wire = peer::wire;
using log::LedgerItem;
using log::LedgerResult;

namespace {
    constexpr TimePoint never { Duration::max() };

    /// The submitter that waits for the result of an item. `callback` is reset when it is called.
    struct Waiter {
        Client::Callback callback;
        TimePoint submitted;
        TimePoint expires;
    };

    struct QueuedItem {
        LedgerItem item;
        size_t bytes = 0;
        Waiter waiter;
    };

    /// Items that are sent together and resent unchanged.
    struct Batch {
        log::LedgerBatch items;
        std::vector<Waiter> waiters; ///< In the order of the items.
        size_t pending = 0; ///< Number of waiters whose `callback` has not been called.
        std::vector<uint64_t> correlations; ///< Of all attempts; a reply to any of them completes the batch.
        size_t inDoubt = 0; ///< Number of attempts that may have reached the log.
        uint32_t attempts = 0;
        uint32_t redirects = 0; ///< Number of leader hints followed since the last backoff or timeout.
        InstanceId target; ///< Destination of the last attempt.
        TimePoint retryAt;
        TimePoint nextExpiry = never;
    };

    struct GroupState {
        ClientGroup options;
        size_t leader = 0; ///< Index into the members of the known leader or the next one to try.
        std::deque<QueuedItem> queue;
        TimePoint nextExpiry = never; ///< Not later than the earliest expiry in the queue.
        std::map<uint64_t, Batch> inFlight;
    };

    struct Attempt {
        GroupState* group = nullptr;
        uint64_t batch = 0;
    };

    absl::Status submitError(
        absl::StatusCode code, Outcome outcome, std::string reason, std::string peer, const std::string& message)
    {
        return makeError({ code, outcome, std::move(reason), "ledger submit", std::move(peer) }, message);
    }

    absl::Status expiredError(const GroupId& group, bool mayBeInLog, const std::string& peer)
    {
        if (mayBeInLog)
            return submitError(absl::StatusCode::kDeadlineExceeded, Outcome::Unknown, "LEDGER_TIMEOUT", peer,
                absl::StrCat("no answer from ledger group ", group.str(), " in time; the item may be in its log"));
        return submitError(absl::StatusCode::kUnavailable, Outcome::NotRun, "LEDGER_UNAVAILABLE", peer,
            absl::StrCat("the item was not accepted by ledger group ", group.str(), " in time"));
    }
} // namespace

struct Client::Impl {
    Impl(ClientOptions given, ClientHooks givenHooks, Metrics& metrics)
        : options(std::move(given))
        , hooks(std::move(givenHooks))
        , random(options.seed)
        , nextCorrelation(options.firstCorrelation)
        , batchesSent(metrics.counter("ledger_client_batches_total"))
        , itemsSent(metrics.counter("ledger_client_items_total"))
        , resends(metrics.counter("ledger_client_resends_total"))
        , refusals(metrics.counter("ledger_client_refusals_total"))
        , expired(metrics.counter("ledger_client_expired_total"))
        , badReplies(metrics.counter("ledger_client_bad_replies_total"))
        , latency(metrics.latency("ledger_client_answer_seconds"))
    {
        for (const auto& group : options.groups)
            groups[group.group].options = group;
    }

    void complete(Waiter& waiter, absl::StatusOr<LedgerResult> result)
    {
        if (waiter.callback)
            completed.emplace_back(std::exchange(waiter.callback, nullptr), std::move(result));
    }

    /// Runs the callbacks after the state has been updated, because a callback may submit again.
    void runCompleted()
    {
        while (!completed.empty()) {
            auto batch = std::exchange(completed, {});
            for (auto& [callback, result] : batch)
                callback(std::move(result));
        }
    }

    void submit(const GroupId& id, LedgerItem item, Waiter waiter)
    {
        const auto refuse = [&](absl::StatusCode code, std::string reason, const std::string& message) {
            complete(waiter, submitError(code, Outcome::NotRun, std::move(reason), id.str(), message));
        };
        const auto found = groups.find(id);
        const size_t bytes = item.ByteSizeLong();
        if (found == groups.end() || found->second.options.members.empty())
            return refuse(absl::StatusCode::kNotFound, "UNKNOWN_LEDGER_GROUP",
                absl::StrCat("there is no ledger group ", id.str()));
        if (!item.has_claim() && !item.has_outcome())
            return refuse(absl::StatusCode::kInvalidArgument, "BAD_LEDGER_ITEM", "item has neither claim nor outcome");
        if (bytes > options.maxItemBytes)
            return refuse(absl::StatusCode::kInvalidArgument, "LEDGER_ITEM_TOO_LARGE",
                absl::StrCat("item of ", bytes, " bytes exceeds the limit of ", options.maxItemBytes));
        auto& group = found->second;
        if (group.queue.size() >= options.maxQueued)
            return refuse(absl::StatusCode::kResourceExhausted, "LEDGER_QUEUE_FULL",
                absl::StrCat("queue of ledger group ", id.str(), " is full: ", group.queue.size(), " items"));
        group.nextExpiry = std::min(group.nextExpiry, waiter.expires);
        group.queue.push_back({ std::move(item), bytes, std::move(waiter) });
    }

    void flush(GroupState& group, TimePoint now)
    {
        while (!group.queue.empty() && group.inFlight.size() < group.options.maxInFlight) {
            const uint64_t id = nextBatch++;
            auto& batch = group.inFlight[id];
            fillBatch(batch, group.queue);
            send(group, id, batch, now);
        }
    }

    void fillBatch(Batch& batch, std::deque<QueuedItem>& queue) const
    {
        size_t bytes = 0;
        while (!queue.empty() && batch.waiters.size() < options.maxItems
            && (batch.waiters.empty() || bytes + queue.front().bytes <= options.maxBytes)) {
            auto& next = queue.front();
            bytes += next.bytes;
            *batch.items.add_items() = std::move(next.item);
            batch.nextExpiry = std::min(batch.nextExpiry, next.waiter.expires);
            batch.waiters.push_back(std::move(next.waiter));
            queue.pop_front();
        }
        batch.pending = batch.waiters.size();
    }

    void send(GroupState& group, uint64_t id, Batch& batch, TimePoint now)
    {
        const uint64_t correlation = nextCorrelation++;
        batch.target = group.options.members[group.leader];
        wire::LedgerSubmitT submit;
        submit.group = group.options.group.str();
        submit.batch.resize(batch.items.ByteSizeLong());
        batch.items.SerializeWithCachedSizesToArray(submit.batch.data());
        (batch.attempts == 0 ? batchesSent : resends).increment();
        ++batch.attempts;
        batch.retryAt = now + options.replyTimeout * (1U << std::min(batch.attempts - 1, 2U));
        batch.correlations.push_back(correlation);
        ++batch.inDoubt;
        attempts[correlation] = { &group, id };
        if (hooks.send(batch.target, correlation, std::move(submit))) {
            itemsSent.increment(batch.waiters.size());
            return;
        }
        dropAttempt(batch, correlation);
        scheduleRetry(group, batch, now);
    }

    /// Drops an attempt that did not reach the log.
    void dropAttempt(Batch& batch, uint64_t correlation)
    {
        --batch.inDoubt;
        attempts.erase(correlation);
        std::erase(batch.correlations, correlation);
    }

    void moveToNextMember(GroupState& group, const InstanceId& failed)
    {
        // Another batch may have changed the member already.
        if (group.options.members[group.leader] == failed)
            group.leader = (group.leader + 1) % group.options.members.size();
    }

    void scheduleRetry(GroupState& group, Batch& batch, TimePoint now)
    {
        moveToNextMember(group, batch.target);
        batch.redirects = 0;
        const auto maxDelay = std::min(options.backoffMax, options.backoffMin * (1U << std::min(batch.attempts, 8U)));
        std::uniform_int_distribution<Duration::rep> delay(maxDelay.count() / 2, maxDelay.count());
        batch.retryAt = now + Duration(delay(random));
    }

    void eraseBatch(GroupState& group, uint64_t id)
    {
        const auto found = group.inFlight.find(id);
        for (const auto correlation : found->second.correlations)
            attempts.erase(correlation);
        group.inFlight.erase(found);
    }

    bool handleReply(uint64_t correlation, const wire::LedgerReplyT& reply, TimePoint now)
    {
        const auto found = attempts.find(correlation);
        if (found == attempts.end())
            return false;
        auto& group = *found->second.group;
        const uint64_t id = found->second.batch;
        auto& batch = group.inFlight.at(id);
        log::LedgerResults results;
        const bool isValid = results.ParseFromArray(reply.results.data(), static_cast<int>(reply.results.size()))
            && static_cast<size_t>(results.results_size()) == batch.waiters.size()
            && std::ranges::none_of(results.results(),
                [](const LedgerResult& result) { return result.code() == LedgerResult::UNSPECIFIED; });
        if (!isValid) {
            badReplies.increment();
            scheduleRetry(group, batch, now);
            return true;
        }
        for (size_t i = 0; i < batch.waiters.size(); ++i) {
            latency.record(now - batch.waiters[i].submitted);
            complete(batch.waiters[i], std::move(*results.mutable_results(static_cast<int>(i))));
        }
        eraseBatch(group, id);
        flush(group, now);
        return true;
    }

    bool handleRefusal(uint64_t correlation, const wire::RefusalT& refusal, TimePoint now)
    {
        const auto found = attempts.find(correlation);
        if (found == attempts.end())
            return false;
        refusals.increment();
        auto& group = *found->second.group;
        const uint64_t id = found->second.batch;
        auto& batch = group.inFlight.at(id);
        const bool isLatest = batch.correlations.back() == correlation;
        if (refusal.outcome == static_cast<int>(Outcome::NotRun))
            dropAttempt(batch, correlation);
        // A late refusal of an earlier attempt says nothing about the latest one.
        if (!isLatest)
            return true;
        const auto& members = group.options.members;
        const auto hint = std::ranges::find(members, InstanceId(refusal.leader_hint));
        const bool isOtherMember = hint != members.end() && *hint != batch.target;
        // Members with different views may name each other as the leader, so the batch backs off after as many
        // redirects as there are members.
        if (isOtherMember && batch.redirects < members.size()) {
            ++batch.redirects;
            group.leader = static_cast<size_t>(hint - members.begin());
            send(group, id, batch, now);
        } else {
            scheduleRetry(group, batch, now);
        }
        return true;
    }

    void tick(TimePoint now)
    {
        for (auto& [id, group] : groups) {
            expireQueue(group, now);
            for (auto next = group.inFlight.begin(); next != group.inFlight.end();) {
                auto& [batchId, batch] = *next++;
                expireBatch(group, batch, now);
                if (batch.pending == 0) {
                    eraseBatch(group, batchId);
                } else if (batch.retryAt <= now) {
                    moveToNextMember(group, batch.target);
                    batch.redirects = 0;
                    send(group, batchId, batch, now);
                }
            }
            flush(group, now);
        }
    }

    void expireQueue(GroupState& group, TimePoint now)
    {
        if (now < group.nextExpiry)
            return;
        group.nextExpiry = never;
        std::erase_if(group.queue, [&](QueuedItem& queued) {
            if (queued.waiter.expires > now) {
                group.nextExpiry = std::min(group.nextExpiry, queued.waiter.expires);
                return false;
            }
            expired.increment();
            complete(queued.waiter, expiredError(group.options.group, false, group.options.group.str()));
            return true;
        });
    }

    void expireBatch(GroupState& group, Batch& batch, TimePoint now)
    {
        if (now < batch.nextExpiry)
            return;
        batch.nextExpiry = never;
        for (auto& waiter : batch.waiters) {
            if (!waiter.callback)
                continue;
            if (waiter.expires > now) {
                batch.nextExpiry = std::min(batch.nextExpiry, waiter.expires);
                continue;
            }
            expired.increment();
            --batch.pending;
            complete(waiter, expiredError(group.options.group, batch.inDoubt > 0, batch.target.str()));
        }
        if (batch.inDoubt == 0)
            removeCompleted(batch);
    }

    /// Removes completed items from the batch. They were reported as NotRun, so a later attempt must not commit them.
    /// Only valid while no attempt is in doubt, because replies are matched to items by position.
    static void removeCompleted(Batch& batch)
    {
        size_t kept = 0;
        for (size_t i = 0; i < batch.waiters.size(); ++i) {
            if (!batch.waiters[i].callback)
                continue;
            if (i != kept) {
                batch.waiters[kept] = std::move(batch.waiters[i]);
                batch.items.mutable_items()->SwapElements(static_cast<int>(kept), static_cast<int>(i));
            }
            ++kept;
        }
        batch.waiters.resize(kept);
        batch.items.mutable_items()->DeleteSubrange(
            static_cast<int>(kept), batch.items.items_size() - static_cast<int>(kept));
    }

    void failAll()
    {
        const auto stopped = [](Outcome outcome, const std::string& peer) {
            return submitError(
                absl::StatusCode::kUnavailable, outcome, "STOPPING", peer, "the ledger client was stopped");
        };
        for (auto& [id, group] : groups) {
            for (auto& queued : group.queue)
                complete(queued.waiter, stopped(Outcome::NotRun, id.str()));
            for (auto& [batchId, batch] : group.inFlight) {
                const auto outcome = batch.inDoubt > 0 ? Outcome::Unknown : Outcome::NotRun;
                for (auto& waiter : batch.waiters)
                    complete(waiter, stopped(outcome, batch.target.str()));
            }
            group.queue.clear();
            group.inFlight.clear();
        }
        attempts.clear();
    }

    const ClientOptions options;
    const ClientHooks hooks;
    std::mt19937_64 random;
    std::map<GroupId, GroupState> groups; ///< Not modified after construction, because attempts point to its values.
    absl::flat_hash_map<uint64_t, Attempt> attempts; ///< By correlation.
    uint64_t nextCorrelation;
    uint64_t nextBatch = 1;
    std::vector<std::pair<Callback, absl::StatusOr<LedgerResult>>> completed;
    Counter& batchesSent;
    Counter& itemsSent;
    Counter& resends;
    Counter& refusals;
    Counter& expired;
    Counter& badReplies;
    Latency& latency;
};

Client::Client(ClientOptions options, ClientHooks hooks, Metrics& metrics)
    : m_impl(std::make_unique<Impl>(std::move(options), std::move(hooks), metrics))
{
}

Client::~Client() = default;

void Client::submit(const GroupId& group, LedgerItem item, TimePoint expires, Callback callback, TimePoint now)
{
    m_impl->submit(group, std::move(item), { std::move(callback), now, expires });
    m_impl->runCompleted();
}

void Client::flush(TimePoint now)
{
    for (auto& [id, group] : m_impl->groups)
        m_impl->flush(group, now);
}

bool Client::handleReply(uint64_t correlation, const wire::LedgerReplyT& reply, TimePoint now)
{
    const bool isKnown = m_impl->handleReply(correlation, reply, now);
    m_impl->runCompleted();
    return isKnown;
}

bool Client::handleRefusal(uint64_t correlation, const wire::RefusalT& refusal, TimePoint now)
{
    return m_impl->handleRefusal(correlation, refusal, now);
}

void Client::tick(TimePoint now)
{
    m_impl->tick(now);
    m_impl->runCompleted();
}

void Client::failAll()
{
    m_impl->failAll();
    m_impl->runCompleted();
}

bool Client::isIdle() const
{
    return std::ranges::all_of(
        m_impl->groups, [](const auto& group) { return group.second.queue.empty() && group.second.inFlight.empty(); });
}

std::string Client::dump() const
{
    boost::json::object groups;
    for (const auto& [id, group] : m_impl->groups)
        groups[id.str()] = {
            { "leader", group.options.members.empty() ? "" : group.options.members[group.leader].str() },
            { "queued", group.queue.size() },
            { "in_flight", group.inFlight.size() },
        };
    return boost::json::serialize(groups);
}

} // namespace turmericpier::ledger
