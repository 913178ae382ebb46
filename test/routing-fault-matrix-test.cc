#include "routing-fake-world.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>

using namespace turmericpier;
using namespace turmericpier::routing;
using namespace turmericpier::routing::fakes;

namespace {

// Faults after which a key is sent again while no entry knows of its first sending; only a claim tells of it then.
bool needsClaim(const Injection& injection)
{
    return injection.fault == Fault::EntryCrashes
        || (injection.step == Step::Reply
            && (injection.fault == Fault::LoseRequest || injection.fault == Fault::CallerResends));
}

std::vector<Variant> variants()
{
    std::vector<Variant> all;
    for (const bool lost : { false, true }) {
        all.push_back({ .name = "repeatable", .firstAnswerLost = lost });
        all.push_back({ .name = "repeatable, hedged", .hedge = true, .firstAnswerLost = lost });
        all.push_back({ .name = "repeatable, claimed", .claimRepeatable = true, .firstAnswerLost = lost });
        all.push_back({ .name = "non-repeatable", .nonRepeatable = true, .firstAnswerLost = lost });
    }
    return all;
}

std::vector<Injection> allInjections()
{
    std::vector<Injection> all;
    for (size_t step = 0; step < stepNames.size(); ++step)
        for (size_t fault = 0; fault < faultNames.size(); ++fault)
            if (applies(Step(step), Fault(fault)))
                all.push_back({ Step(step), Fault(fault) });
    return all;
}

struct Cell {
    uint64_t alone = 0;
    uint64_t twice = 0;
    uint64_t pairs = 0;
};

struct Matrix {
    std::map<std::pair<size_t, size_t>, Cell> cells;
    std::map<std::string, std::array<uint64_t, 3>> outcomes; ///< Of the target, by variant.
    uint64_t runs = 0;
    uint64_t failures = 0;

    /// Returns whether all of the plan came up; only then its cells are counted.
    bool run(const Variant& variant, const std::vector<Injection>& plan, uint64_t Cell::*count)
    {
        const bool claimed = variant.nonRepeatable || variant.claimRepeatable;
        if (!claimed && std::any_of(plan.begin(), plan.end(), needsClaim))
            return false;
        World world(variant, plan);
        const std::vector<std::string> violations = world.run();
        ++runs;
        if (!violations.empty() && ++failures <= 20) {
            std::string text = variant.name + (variant.firstAnswerLost ? ", first answer lost" : "");
            for (const Injection& injection : plan)
                text += std::string("; ") + stepNames[size_t(injection.step)] + " #"
                    + std::to_string(injection.occurrence) + ": " + faultNames[size_t(injection.fault)];
            UNSCOPED_INFO(text << " -> " << violations.front());
            CHECK(violations.empty());
        }
        const std::vector<bool>& fired = world.fired();
        if (std::find(fired.begin(), fired.end(), false) != fired.end())
            return false;
        ++outcomes[variant.name][size_t(world.targetOutcome())];
        for (const Injection& injection : plan)
            if (!injection.helper)
                ++(cells[{ size_t(injection.step), size_t(injection.fault) }].*count);
        return true;
    }

    /// At the first and second occurrence of the step; where it does not come up again by itself, a helper makes it,
    /// or a fault of a part comes twice in a row.
    void runTwice(const Variant& variant, Injection first)
    {
        Injection second = first;
        second.occurrence = 2;
        if (run(variant, { first, second }, &Cell::twice))
            return;
        if (first.fault >= Fault::WorkerRestarts) {
            first.again = true;
            run(variant, { first }, &Cell::twice);
            return;
        }
        if (first.fault == Fault::Refuse) { // Only a claim in doubt is sent again after it is refused.
            first.occurrence = 2;
            second.occurrence = 3;
            run(variant, { first, second, { Step::Claim, Fault::LoseReply, 1, false, true } }, &Cell::twice);
            return;
        }
        const std::map<Step, Injection> helpers { { Step::Submit, { Step::Submit, Fault::CallerResends } },
            { Step::Claim, { Step::Dispatch, Fault::Refuse } },
            { Step::Dispatch, { Step::Dispatch, Fault::WorkerRestarts } },
            { Step::Answer, { Step::Dispatch, Fault::Twice } }, { Step::Query, { Step::Query, Fault::WorkerVanishes } },
            { Step::Outcome, { Step::Outcome, Fault::LedgerDown } },
            { Step::Reply, { Step::Submit, Fault::CallerResends } } };
        if (const auto found = helpers.find(first.step); found != helpers.end()) {
            Injection helper = found->second;
            helper.helper = true;
            run(variant, { first, second, helper }, &Cell::twice);
        }
    }

    void runAll(const Variant& variant)
    {
        const std::vector<Injection> all = allInjections();
        for (size_t i = 0; i < all.size(); ++i) {
            run(variant, { all[i] }, &Cell::alone);
            runTwice(variant, all[i]);
            for (size_t j = 0; j < all.size(); ++j) {
                const bool sameStep = all[i].step == all[j].step;
                if (i != j && (sameStep || i < j))
                    run(variant, { all[i], { all[j].step, all[j].fault, sameStep ? 2 : 1 } }, &Cell::pairs);
            }
        }
    }
};

void writeTable(const Matrix& matrix, std::ostream& out)
{
    out << "# Fault matrix of the request path\n\n"
           "Written by `ROUTING_FAULT_MATRIX=docs/fault-matrix-requests.md build/routing-test \"[fault-matrix]\"`.\n\n"
           "A cell counts the runs in which the fault came up at the step and every check held: alone, twice, and in\n"
           "pairs with each other fault at each step. Each run is made for repeatable, hedged, claimed and\n"
           "non-repeatable requests, each also with the first answer lost. `-` means that the combination has no\n"
           "meaning; **0** means not covered. Twice means the first and second occurrence of the step; where it does\n"
           "not come up again, a further fault makes it, or a fault of a part comes again after 15 ms.\n\n| fault |";
    for (const char* step : stepNames)
        out << ' ' << step << " |";
    out << "\n|---|";
    for (size_t step = 0; step < stepNames.size(); ++step)
        out << "---|";
    const auto number = [](uint64_t value) { return value == 0 ? std::string("**0**") : std::to_string(value); };
    for (size_t fault = 0; fault < faultNames.size(); ++fault) {
        out << "\n| " << faultNames[fault] << " |";
        for (size_t step = 0; step < stepNames.size(); ++step) {
            const auto found = matrix.cells.find({ step, fault });
            const Cell cell = found == matrix.cells.end() ? Cell {} : found->second;
            if (applies(Step(step), Fault(fault)))
                out << ' ' << number(cell.alone) << " / " << number(cell.twice) << " / " << number(cell.pairs) << " |";
            else
                out << " - |";
        }
    }
    out << "\n\nOutcomes of the request that the faults aim at, over all runs counted above:\n\n"
           "| request | RAN | NOT_RUN | UNKNOWN |\n|---|---|---|---|\n";
    for (const auto& [name, counts] : matrix.outcomes)
        out << "| " << name << " | " << counts[size_t(Outcome::Ran)] << " | " << counts[size_t(Outcome::NotRun)]
            << " | " << counts[size_t(Outcome::Unknown)] << " |\n";
    out << "\nNot covered:\n\n"
           "- A repeatable request without a claim that is sent again through a second entry (entry crash, lost\n"
           "  reply) or after its reply: no entry knows of the first sending, so two attempts may run at once, and\n"
           "  a key recorded as NOT_RUN may run later. These runs are left out; the claimed variant covers the same\n"
           "  faults.\n"
           "- More than two faults in one run, the paid link, and ejection (see the rule tests).\n";
}

} // namespace

// Guards against duplicate runs, lost or foreign answers, false NOT_RUN, lost slots and missing outcomes under faults.
TEST_CASE("The request path keeps its promises under one and two faults", "[fault-matrix]")
{
    Matrix matrix;
    for (const Variant& variant : variants())
        matrix.runAll(variant);
    CAPTURE(matrix.runs);
    CHECK(matrix.failures == 0);
    if (const char* path = std::getenv("ROUTING_FAULT_MATRIX"))
        writeTable(matrix, *std::make_unique<std::ofstream>(path));
}
