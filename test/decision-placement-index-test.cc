#include "decision/placement-index.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace turmericpier::decision;

namespace {

PackedResources randomResources(int32_t max)
{
    return { *rc::gen::inRange(-200, max), *rc::gen::inRange(-200, 4 * max), *rc::gen::inRange(0, 9) };
}

} // namespace

// Guards against losing workers from the index, returning removed or too small ones, and finding none although the
// request fits on a worker.
TEST_CASE("the index finds a worker if and only if the request fits on one")
{
    const rc::detail::TestParams params { .seed = 20'261'204, .maxSuccess = 300 };
    const auto result = rc::detail::checkTestable(
        [] {
            PlacementIndex index;
            std::vector<std::optional<PackedResources>> free(40);
            for (int step = 0; step < 200; ++step) {
                const auto i = *rc::gen::inRange<uint32_t>(0, static_cast<uint32_t>(free.size()));
                if (*rc::gen::inRange(0, 4) == 0) {
                    index.remove(WorkerIndex { i });
                    free[i].reset();
                } else {
                    free[i] = randomResources(20'000);
                    index.update(WorkerIndex { i }, static_cast<uint16_t>(i % 3), *free[i]);
                }
            }
            const auto request = randomResources(16'000);
            std::vector<WorkerIndex> found;
            for (const auto order : { SearchOrder::LeastFree, SearchOrder::MostFree, SearchOrder::BothEnds }) {
                index.find(request, order, 5, found);
                RC_ASSERT(found.size() <= 5U);
                for (const auto worker : found)
                    RC_ASSERT(free[raw(worker)] && request.fitsInto(*free[raw(worker)]));
                const bool room
                    = std::any_of(free.begin(), free.end(), [&](const auto& f) { return f && request.fitsInto(*f); });
                RC_ASSERT(found.empty() == !room);
                for (uint16_t dc = 0; dc < index.dataCentres(); ++dc) {
                    index.findIn(dc, request, order, 5, found);
                    bool roomHere = false;
                    for (uint32_t i = dc; i < free.size(); i += 3)
                        roomHere = roomHere || (free[i] && request.fitsInto(*free[i]));
                    RC_ASSERT(found.empty() == !roomHere);
                }
            }
        },
        rc::detail::TestMetadata {}, params);
    INFO(result);
    CHECK(result.template is<rc::detail::SuccessResult>());
}
