#include "turmericpier/ledger/reconcile.h"

#include "operator.pb.h"
#include "turmericpier/base/error.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/json.hpp>
#include <span>
#include <string_view>
#include <tuple>

namespace turmericpier::ledger {

namespace json = boost::json;

namespace {
    using LinePointers = std::vector<const LedgerLine*>;

    absl::Status malformedLineError(const std::string& name, size_t line, const std::string& message)
    {
        const auto where = absl::StrCat(name, ":", line);
        return makeError(
            { absl::StatusCode::kInvalidArgument, Outcome::Unknown, "MALFORMED_LEDGER", "read ledger", where },
            absl::StrCat(where, ": ", message));
    }

    /// Reads a string member. Returns an error message, or an empty string on success.
    std::string readString(const json::object& object, const char* key, bool isRequired, std::string& out)
    {
        const auto* value = object.if_contains(key);
        if (!value)
            return isRequired ? absl::StrCat("member ", key, " is missing") : std::string();
        if (!value->is_string())
            return absl::StrCat("member ", key, " is not a string");
        out.assign(value->get_string().data(), value->get_string().size());
        return isRequired && out.empty() ? absl::StrCat("member ", key, " is empty") : std::string();
    }

    /// Parses one line. Returns an error message, or an empty string on success.
    std::string readLine(std::string_view text, LedgerLine& line)
    {
        json::error_code error;
        const auto value = json::parse({ text.data(), text.size() }, error);
        if (error)
            return absl::StrCat("not valid JSON: ", error.message());
        if (!value.is_object())
            return "not a JSON object";
        const auto& object = value.get_object();
        for (const auto& [key, isRequired, member] : {
                 std::tuple { "partner", false, &line.partner },
                 std::tuple { "home_region", false, &line.homeRegion },
                 std::tuple { "request_id", true, &line.requestId },
                 std::tuple { "service", true, &line.service },
                 std::tuple { "outcome", true, &line.outcome },
             }) {
            if (auto errorMessage = readString(object, key, isRequired, *member); !errorMessage.empty())
                return errorMessage;
        }
        rpc::Outcome known {};
        if (!rpc::Outcome_Parse(line.outcome, &known))
            return absl::StrCat("outcome ", line.outcome, " is not one of RAN, NOT_RUN and UNKNOWN");
        return {};
    }

    /// Selects the members that identify a request together with the request id.
    struct KeyMembers {
        bool partner = true;
        bool homeRegion = true;

        std::tuple<std::string_view, std::string_view, std::string_view> keyOf(const LedgerLine& line) const
        {
            return { partner ? std::string_view(line.partner) : std::string_view(),
                homeRegion ? std::string_view(line.homeRegion) : std::string_view(), line.requestId };
        }
    };

    /// Returns the members that both ledgers set on at least one line.
    KeyMembers commonKeyMembers(const std::vector<LedgerLine>& here, const std::vector<LedgerLine>& there)
    {
        const auto isSetIn = [](const std::vector<LedgerLine>& lines, std::string LedgerLine::*member) {
            return std::ranges::any_of(lines, [&](const LedgerLine& line) { return !(line.*member).empty(); });
        };
        return {
            isSetIn(here, &LedgerLine::partner) && isSetIn(there, &LedgerLine::partner),
            isSetIn(here, &LedgerLine::homeRegion) && isSetIn(there, &LedgerLine::homeRegion),
        };
    }

    LinePointers sortByKey(const std::vector<LedgerLine>& lines, const KeyMembers& members)
    {
        LinePointers out;
        out.reserve(lines.size());
        for (const auto& line : lines)
            out.push_back(&line);
        std::ranges::stable_sort(out, {}, [&](const LedgerLine* line) { return members.keyOf(*line); });
        return out;
    }

    /// All lines of a request in one ledger.
    using RequestLines = std::span<const LedgerLine* const>;

    /// Removes the first line and those with the same key from the sorted lines, and returns them.
    RequestLines takeRequest(RequestLines& remaining, const KeyMembers& members)
    {
        size_t count = 1;
        while (count < remaining.size() && members.keyOf(*remaining[count]) == members.keyOf(*remaining[0]))
            ++count;
        const auto taken = remaining.first(count);
        remaining = remaining.subspan(count);
        return taken;
    }

    std::string outcomesOf(RequestLines lines)
    {
        std::string text;
        for (const auto* line : lines)
            absl::StrAppend(&text, text.empty() ? "" : ",", line->outcome);
        return text;
    }

    void compareRequest(RequestLines here, RequestLines there, std::vector<Difference>& out)
    {
        const auto& sample = here.empty() ? *there[0] : *here[0];
        const auto& other = there.empty() ? sample : *there[0];
        const auto add = [&](DifferenceKind kind, std::string ours, std::string theirs) {
            out.push_back({ kind, sample.partner.empty() ? other.partner : sample.partner,
                sample.homeRegion.empty() ? other.homeRegion : sample.homeRegion, sample.requestId, std::move(ours),
                std::move(theirs) });
        };
        if (here.empty())
            add(DifferenceKind::MissingHere, "", there[0]->outcome);
        if (there.empty())
            add(DifferenceKind::MissingThere, here[0]->outcome, "");
        if (!here.empty() && !there.empty()) {
            if (here[0]->outcome != there[0]->outcome)
                add(DifferenceKind::OutcomeDiffers, here[0]->outcome, there[0]->outcome);
            if (here[0]->service != there[0]->service)
                add(DifferenceKind::ServiceDiffers, here[0]->service, there[0]->service);
        }
        if (here.size() > 1)
            add(DifferenceKind::DuplicateHere, outcomesOf(here), outcomesOf(there));
        if (there.size() > 1)
            add(DifferenceKind::DuplicateThere, outcomesOf(here), outcomesOf(there));
    }

    std::string_view nameOf(DifferenceKind kind)
    {
        switch (kind) {
        case DifferenceKind::MissingHere:
            return "missing here";
        case DifferenceKind::MissingThere:
            return "missing there";
        case DifferenceKind::OutcomeDiffers:
            return "outcome differs";
        case DifferenceKind::ServiceDiffers:
            return "service differs";
        case DifferenceKind::DuplicateHere:
            return "duplicate here";
        case DifferenceKind::DuplicateThere:
            break;
        }
        return "duplicate there";
    }
} // namespace

std::string toJsonLine(const rpc::LedgerRecord& record)
{
    return json::serialize(json::object {
        { "partner", record.partner() },
        { "home_region", record.home_region() },
        { "request_id", record.request_id() },
        { "service", record.service() },
        { "outcome", rpc::Outcome_Name(record.outcome()) },
        { "reason", record.reason() },
        { "worker", record.worker() },
        { "attempts", record.attempts() },
        { "index", record.index() },
        { "job", record.job() },
    });
}

absl::StatusOr<std::vector<LedgerLine>> parseLedger(std::istream& in, const std::string& name)
{
    std::vector<LedgerLine> lines;
    std::string text;
    for (size_t number = 1; std::getline(in, text); ++number) {
        if (text.find_first_not_of(" \t\r") == std::string::npos)
            continue;
        if (auto errorMessage = readLine(text, lines.emplace_back()); !errorMessage.empty())
            return malformedLineError(name, number, errorMessage);
    }
    if (in.bad())
        return makeError({ absl::StatusCode::kDataLoss, Outcome::Unknown, "READ_FAILED", "read ledger", name },
            absl::StrCat(name, ": reading failed after ", lines.size(), " lines"));
    return lines;
}

Reconciliation reconcile(const std::vector<LedgerLine>& here, const std::vector<LedgerLine>& there)
{
    const auto members = commonKeyMembers(here, there);
    const auto sortedHere = sortByKey(here, members);
    const auto sortedThere = sortByKey(there, members);
    RequestLines remainingHere = sortedHere;
    RequestLines remainingThere = sortedThere;
    Reconciliation result;
    while (!remainingHere.empty() || !remainingThere.empty()) {
        auto order = std::strong_ordering::equal;
        if (remainingHere.empty())
            order = std::strong_ordering::greater;
        else if (remainingThere.empty())
            order = std::strong_ordering::less;
        else
            order = members.keyOf(*remainingHere[0]) <=> members.keyOf(*remainingThere[0]);
        const auto ours = order <= 0 ? takeRequest(remainingHere, members) : RequestLines();
        const auto theirs = order >= 0 ? takeRequest(remainingThere, members) : RequestLines();
        compareRequest(ours, theirs, result.differences);
        ++result.requests;
    }
    // The differences are already sorted unless one ledger does not set partners or home regions.
    std::ranges::stable_sort(result.differences, {}, [](const Difference& difference) {
        return std::tie(difference.partner, difference.homeRegion, difference.requestId);
    });
    return result;
}

std::string toString(const Difference& difference)
{
    const auto orNone = [](const std::string& text) { return text.empty() ? std::string_view("none") : text; };
    return absl::StrCat(difference.partner, "/", difference.homeRegion, "/", difference.requestId, ": ",
        std::string(nameOf(difference.kind)), ": here ", std::string(orNone(difference.here)), ", there ",
        std::string(orNone(difference.there)));
}

} // namespace turmericpier::ledger
