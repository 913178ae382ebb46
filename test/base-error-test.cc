#include "turmericpier/base/error.h"

#include <catch2/catch.hpp>

using namespace turmericpier;

// Guards against errors that lose their outcome, reason, step or peer.
TEST_CASE("error details are attached to the status", "[base]")
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

// Guards against an error without details that claims to know whether the request has run.
TEST_CASE("a status without details has an unknown outcome", "[base]")
{
    CHECK(detailsOf(absl::InternalError("x")).outcome == Outcome::Unknown);
}
