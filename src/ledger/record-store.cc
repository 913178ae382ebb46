#include "ledger/record-store.h"

#include "turmericpier/base/error.h"
#include "turmericpier/base/log.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <cstring>
#include <google/protobuf/io/coded_stream.h>
#include <xxhash.h>

namespace turmericpier::ledger::detail {

using google::protobuf::io::CodedInputStream;
using google::protobuf::io::CodedOutputStream;
using rpc::LedgerRecord;

namespace {
    constexpr size_t maxFixedPart = 90; // Nine varints of at most 10 bytes precede the request id.
    constexpr uint64_t outcomeBits = 3;

    uint64_t hashOf(const std::string& text, uint64_t seed)
    {
        return XXH3_64bits_withSeed(text.data(), text.size(), seed);
    }
} // namespace

uint32_t Interner::numberOf(const std::string& text)
{
    const auto [found, isNew] = m_numbers.try_emplace(text, static_cast<uint32_t>(m_texts.size()));
    if (isNew)
        m_texts.push_back(&m_storage.emplace_back(text));
    return found->second;
}

uint64_t digestOf(const std::string& partner, const std::string& homeRegion, const std::string& requestId)
{
    return hashOf(requestId, hashOf(homeRegion, hashOf(partner, 0))) & ~outcomeBits;
}

RecordStore::RecordStore(LedgerOptions options)
    : m_options(std::move(options))
    , m_files(m_options.folder)
    , m_byDigest(0, HashByDigest { &m_digests }, EqualByDigest { &m_digests })
{
}

/// A segment ends at the first change of index after recordsPerSegment records.
RecordStore::Segment& RecordStore::segmentFor(uint64_t index)
{
    if (!m_segments.empty()) {
        auto& last = m_segments.back();
        const bool isSealed = m_sealed == m_segments.size();
        if (!isSealed && (last.facts.count() < m_options.recordsPerSegment || last.facts.last_index() == index))
            return last;
        last.bytes.shrink_to_fit();
    }
    auto& segment = m_segments.emplace_back();
    segment.firstNumber = m_size;
    segment.facts.set_first_index(index);
    segment.ends.reserve(m_options.recordsPerSegment);
    return segment;
}

void RecordStore::append(uint64_t digest, const LedgerRecord& record)
{
    auto& segment = segmentFor(record.index());
    std::array<uint8_t, maxFixedPart> fixed {};
    auto* to = fixed.data();
    const auto put = [&](uint64_t value) { to = CodedOutputStream::WriteVarint64ToArray(value, to); };
    put(record.index() - segment.facts.first_index());
    put(m_names.numberOf(record.partner()));
    put(m_names.numberOf(record.home_region()));
    put(m_names.numberOf(record.service()));
    put(m_names.numberOf(record.worker()));
    put(m_names.numberOf(record.reason()));
    put(record.attempts());
    put(static_cast<uint32_t>(record.outcome()));
    put(record.job() ? 1 : 0);
    segment.bytes.append(reinterpret_cast<const char*>(fixed.data()), static_cast<size_t>(to - fixed.data()));
    segment.bytes.append(record.request_id());
    segment.ends.push_back(static_cast<uint32_t>(segment.bytes.size()));
    segment.facts.set_last_index(record.index());
    segment.facts.set_count(segment.facts.count() + 1);
    addDigest(digest | (static_cast<uint64_t>(record.outcome()) & outcomeBits));
    ++m_size;
}

void RecordStore::addDigest(uint64_t digestWithOutcome)
{
    m_digests.values.push_back(digestWithOutcome);
    m_byDigest.insert(static_cast<uint32_t>(m_digests.first + m_digests.values.size() - 1));
    const bool isBounded = !m_options.folder.empty();
    if (!isBounded || m_digests.values.size() <= m_options.maxDigests)
        return;
    m_byDigest.erase(static_cast<uint32_t>(m_digests.first));
    m_digests.values.pop_front();
    ++m_digests.first;
}

void RecordStore::seal()
{
    if (m_options.folder.empty() || m_segments.size() == m_sealTried)
        return;
    // The last segment still grows.
    while (m_segments.size() - m_sealed > m_options.segmentsInMemory + 1) {
        auto& segment = m_segments[m_sealed];
        const auto facts = m_files.write(recordsOf(segment));
        if (!facts.ok()) {
            // The records stay in memory.
            m_sealTried = m_segments.size();
            logError("ledger", "segment not written", { { "message", std::string(facts.status().message()) } });
            return;
        }
        segment.facts = *facts;
        std::string().swap(segment.bytes); // An assignment of an empty string would keep the buffer.
        segment.ends = std::vector<uint32_t>();
        ++m_sealed;
    }
}

std::optional<uint64_t> RecordStore::find(uint64_t digest) const
{
    const auto found = m_byDigest.find(digest);
    if (found == m_byDigest.end())
        return std::nullopt;
    return m_digests.first + (*found - static_cast<uint32_t>(m_digests.first));
}

rpc::Outcome RecordStore::outcomeOf(uint64_t number) const
{
    return static_cast<rpc::Outcome>(m_digests.values[number - m_digests.first] & outcomeBits);
}

bool RecordStore::isInMemory(uint64_t number) const
{
    return m_sealed < m_segments.size() && number >= m_segments[m_sealed].firstNumber;
}

const RecordStore::Segment& RecordStore::segmentOf(uint64_t number) const
{
    const auto next = std::ranges::upper_bound(m_segments, number, {}, &Segment::firstNumber);
    return *std::prev(next);
}

LedgerRecord RecordStore::at(uint64_t number) const
{
    const auto& segment = segmentOf(number);
    return decode(segment, number - segment.firstNumber);
}

std::optional<LedgerRecord> RecordStore::load(uint64_t number) const
{
    if (isInMemory(number))
        return at(number);
    const auto& segment = segmentOf(number);
    const auto* records = loadSegment(segment);
    if (!records)
        return std::nullopt;
    return records->outcomes(static_cast<int>(number - segment.firstNumber));
}

LedgerRecord RecordStore::decode(const Segment& segment, size_t place) const
{
    const uint32_t begin = place == 0 ? 0 : segment.ends[place - 1];
    const auto size = static_cast<int>(segment.ends[place] - begin);
    CodedInputStream in(reinterpret_cast<const uint8_t*>(segment.bytes.data()) + begin, size);
    const auto get = [&] {
        uint64_t value = 0;
        in.ReadVarint64(&value);
        return value;
    };
    const auto getName = [&] { return m_names.textOf(static_cast<uint32_t>(get())); };
    LedgerRecord record;
    record.set_index(segment.facts.first_index() + get());
    record.set_partner(getName());
    record.set_home_region(getName());
    record.set_service(getName());
    record.set_worker(getName());
    record.set_reason(getName());
    record.set_attempts(static_cast<uint32_t>(get()));
    record.set_outcome(static_cast<rpc::Outcome>(get()));
    record.set_job(get() != 0);
    in.ReadString(record.mutable_request_id(), size - in.CurrentPosition());
    return record;
}

log::LedgerSnapshot RecordStore::recordsOf(const Segment& segment) const
{
    log::LedgerSnapshot records;
    for (size_t place = 0; place < segment.ends.size(); ++place)
        *records.add_outcomes() = decode(segment, place);
    return records;
}

const log::LedgerSnapshot* RecordStore::loadSegment(const Segment& segment) const
{
    if (segment.isMissing)
        return nullptr;
    if (m_loadedFirstIndex == segment.facts.first_index())
        return &m_loaded;
    auto records = m_files.read(segment.facts);
    if (!records.ok()) {
        segment.isMissing = true;
        logError("ledger", "segment not read", { { "message", std::string(records.status().message()) } });
        return nullptr;
    }
    m_loaded = *std::move(records);
    m_loadedFirstIndex = segment.facts.first_index();
    return &m_loaded;
}

void RecordStore::visitAfter(Index index, const std::function<bool(const LedgerRecord&)>& visit) const
{
    auto segment
        = std::ranges::upper_bound(m_segments, index.value, {}, [](const Segment& s) { return s.facts.last_index(); });
    for (; segment != m_segments.end(); ++segment) {
        const bool isSealed = static_cast<size_t>(segment - m_segments.begin()) < m_sealed;
        const auto* records = isSealed ? loadSegment(*segment) : nullptr;
        if (isSealed && !records)
            return;
        const auto at = [&](size_t place) {
            return isSealed ? records->outcomes(static_cast<int>(place)) : decode(*segment, place);
        };
        const size_t count = segment->facts.count();
        size_t place = 0;
        for (size_t end = count; place < end;) {
            const size_t middle = place + (end - place) / 2;
            if (at(middle).index() > index.value)
                end = middle;
            else
                place = middle + 1;
        }
        for (; place < count; ++place) {
            if (!visit(at(place)))
                return;
        }
    }
}

size_t RecordStore::missingSegments() const
{
    return static_cast<size_t>(std::ranges::count(m_segments, true, &Segment::isMissing));
}

void RecordStore::writeTo(log::LedgerSnapshot& snapshot) const
{
    uint64_t sealedRecords = 0;
    for (size_t i = 0; i < m_segments.size(); ++i) {
        if (i < m_sealed) {
            *snapshot.add_segments() = m_segments[i].facts;
            sealedRecords += m_segments[i].facts.count();
            continue;
        }
        for (size_t place = 0; place < m_segments[i].ends.size(); ++place)
            *snapshot.add_outcomes() = decode(m_segments[i], place);
    }
    // The digests of records in memory are computed anew.
    for (uint64_t number = m_digests.first; number < sealedRecords; ++number) {
        const uint64_t digest = m_digests.values[number - m_digests.first];
        snapshot.mutable_digests()->append(reinterpret_cast<const char*>(&digest), sizeof digest);
    }
}

absl::Status RecordStore::readFrom(const log::LedgerSnapshot& snapshot)
{
    for (const auto& facts : snapshot.segments()) {
        auto& segment = m_segments.emplace_back();
        segment.firstNumber = m_size;
        segment.facts = facts;
        segment.isMissing = !m_files.exists(facts);
        m_size += facts.count();
    }
    m_sealed = m_segments.size();
    const std::string& digests = snapshot.digests();
    const size_t count = digests.size() / sizeof(uint64_t);
    if (digests.size() % sizeof(uint64_t) != 0 || count > m_size)
        return absl::DataLossError(
            absl::StrCat("ledger snapshot has ", digests.size(), " bytes of digests for ", m_size, " records"));
    m_digests.first = m_size - count;
    m_byDigest.reserve(count + static_cast<size_t>(snapshot.outcomes_size()));
    for (size_t i = 0; i < count; ++i) {
        uint64_t digest = 0;
        std::memcpy(&digest, digests.data() + i * sizeof digest, sizeof digest);
        addDigest(digest);
    }
    for (const auto& record : snapshot.outcomes())
        append(digestOf(record.partner(), record.home_region(), record.request_id()), record);
    return absl::OkStatus();
}

const RecordStore::Segment* RecordStore::firstMissing() const
{
    const auto found = std::ranges::find(m_segments, true, &Segment::isMissing);
    return found == m_segments.end() ? nullptr : &*found;
}

std::optional<Index> RecordStore::missingAfter() const
{
    const auto* missing = firstMissing();
    if (!missing)
        return std::nullopt;
    const uint64_t first = missing->facts.first_index();
    const int filled = m_filling.outcomes_size();
    // A page holds all records of its last index.
    const bool isBegun = filled > 0 && m_filling.outcomes(0).index() == first;
    return Index { isBegun ? m_filling.outcomes(filled - 1).index() : first - 1 };
}

absl::Status RecordStore::fillMissing(const log::LedgerResults& page)
{
    const auto resume = missingAfter();
    for (const auto& result : page.results()) {
        const auto* missing = firstMissing();
        if (!missing)
            break;
        const auto& record = result.outcome();
        const auto& facts = missing->facts;
        if (record.index() <= resume->value || record.index() < facts.first_index())
            continue;
        // Left over when an earlier segment was found missing in the meantime.
        if (m_filling.outcomes_size() > 0 && m_filling.outcomes(0).index() != facts.first_index())
            m_filling.Clear();
        *m_filling.add_outcomes() = record;
        if (record.index() <= facts.last_index() && static_cast<uint64_t>(m_filling.outcomes_size()) < facts.count())
            continue;
        if (auto status = writeFilled(*missing); !status.ok())
            return status;
        missing->isMissing = false;
    }
    return absl::OkStatus();
}

absl::Status RecordStore::writeFilled(const Segment& segment)
{
    const auto records = std::exchange(m_filling, {});
    const auto& facts = segment.facts;
    if (SegmentFiles::describe(records).SerializeAsString() != facts.SerializeAsString())
        return makeError({ absl::StatusCode::kDataLoss, Outcome::Unknown, "SEGMENT_DIFFERS", "fill ledger segment",
                             absl::StrCat(facts.first_index()) },
            absl::StrCat("received records from index ", facts.first_index(), " to ", facts.last_index(),
                " do not match the checksum of the snapshot"));
    return m_files.write(records).status();
}

} // namespace turmericpier::ledger::detail
