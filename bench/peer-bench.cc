// Measures the rate of encoding and decoding frames and the size of the frames, by size of the log entry.
#include "peer_generated.h"
#include "turmericpier/peer/frame.h"

#include <benchmark/benchmark.h>

using namespace turmericpier::peer;

namespace {

/// Returns a consensus append message with one log entry of `size` bytes.
wire::EnvelopeT makeEnvelope(size_t size)
{
    wire::ConsensusT append;
    append.group = "control";
    append.type = wire::ConsensusType::Append;
    append.term = 7;
    auto& entry = append.entries.emplace_back(std::make_unique<wire::LogEntryT>());
    entry->data.assign(size, 'x');
    wire::EnvelopeT envelope;
    envelope.from = "vienna-1";
    envelope.incarnation = 3;
    envelope.body.Set(std::move(append));
    return envelope;
}

void setCounters(benchmark::State& bench, size_t frame)
{
    bench.SetItemsProcessed(static_cast<int64_t>(bench.iterations()));
    bench.counters["frame_bytes"] = static_cast<double>(frame);
    bench.counters["overhead_bytes"] = static_cast<double>(frame) - static_cast<double>(bench.range(0));
}

void encode(benchmark::State& bench)
{
    const auto envelope = makeEnvelope(static_cast<size_t>(bench.range(0)));
    size_t size = 0;
    for (auto _ : bench)
        size = encodeFrame(envelope)->size();
    setCounters(bench, size);
}
BENCHMARK(encode)->Arg(64)->Arg(4'096)->Arg(1'048'576);

void decode(benchmark::State& bench)
{
    const auto frame = *encodeFrame(makeEnvelope(static_cast<size_t>(bench.range(0))));
    FrameDecoder decoder;
    for (auto _ : bench) {
        decoder.append(frame);
        benchmark::DoNotOptimize(decoder.next());
    }
    setCounters(bench, frame.size());
}
BENCHMARK(decode)->Arg(64)->Arg(4'096)->Arg(1'048'576);

} // namespace

BENCHMARK_MAIN();
