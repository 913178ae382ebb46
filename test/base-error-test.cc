#include "turmericpier/base/error.h"

#include <catch2/catch.hpp>

using namespace turmericpier;

// Guards against errors that lose their outcome, step or peer on the way to the caller.
TEST_CASE("error details travel with the status", "[base]")
{
    const auto status
        = makeError({ absl::StatusCode::kUnavailable, Outcome::NotRun, "QUEUE_FULL", "admit", "e1" }, "queue is full");
    const auto details = detailsOf(status);
    CHECK(details.code == absl::StatusCode::kUnavailable);
    CHECK(details.outcome == Outcome::NotRun);
    CHECK(details.reason == "QUEUE_FULL");
    CHECK(details.step == "admit");
    CHECK(details.peer == "e1");
    CHECK(status.message() == "queue is full");
}

// Guards against an unannotated error that claims more than is proved.
TEST_CASE("a plain status has an unknown outcome", "[base]")
{
    CHECK(detailsOf(absl::InternalError("x")).outcome == Outcome::Unknown);
}
