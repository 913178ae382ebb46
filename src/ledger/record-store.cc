#include "ledger/record-store.h"

#include <array>
#include <google/protobuf/io/coded_stream.h>
#include <xxhash.h>

namespace turmericpier::ledger::detail {

using google::protobuf::io::CodedInputStream;
using google::protobuf::io::CodedOutputStream;

namespace {
    constexpr size_t recordsPerBlock = 4'096; // About 200 KiB with request ids of 36 characters.
    constexpr size_t maxFixedPart = 90; // Nine varints of at most 10 bytes precede the request id.

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
    return hashOf(requestId, hashOf(homeRegion, hashOf(partner, 0)));
}

RecordStore::RecordStore()
    : m_byDigest(0, HashByDigest { &m_digests }, EqualByDigest { &m_digests })
{
}

void RecordStore::append(uint64_t digest, const rpc::LedgerRecord& record)
{
    if (m_blocks.empty() || m_blocks.back().ends.size() == recordsPerBlock) {
        if (!m_blocks.empty())
            m_blocks.back().bytes.shrink_to_fit();
        auto& block = m_blocks.emplace_back();
        block.firstIndex = record.index();
        block.ends.reserve(recordsPerBlock);
    }
    auto& block = m_blocks.back();
    std::array<uint8_t, maxFixedPart> fixed {};
    auto* to = fixed.data();
    const auto put = [&](uint64_t value) { to = CodedOutputStream::WriteVarint64ToArray(value, to); };
    put(record.index() - block.firstIndex);
    put(m_names.numberOf(record.partner()));
    put(m_names.numberOf(record.home_region()));
    put(m_names.numberOf(record.service()));
    put(m_names.numberOf(record.worker()));
    put(m_names.numberOf(record.reason()));
    put(record.attempts());
    put(static_cast<uint32_t>(record.outcome()));
    put(record.job() ? 1 : 0);
    block.bytes.append(reinterpret_cast<const char*>(fixed.data()), static_cast<size_t>(to - fixed.data()));
    block.bytes.append(record.request_id());
    block.ends.push_back(static_cast<uint32_t>(block.bytes.size()));
    m_digests.push_back(digest);
    m_byDigest.insert(static_cast<uint32_t>(m_digests.size() - 1));
}

std::optional<size_t> RecordStore::find(uint64_t digest) const
{
    const auto found = m_byDigest.find(digest);
    return found == m_byDigest.end() ? std::nullopt : std::optional<size_t>(*found);
}

rpc::LedgerRecord RecordStore::at(size_t number) const
{
    const auto& block = m_blocks[number / recordsPerBlock];
    const size_t place = number % recordsPerBlock;
    const uint32_t begin = place == 0 ? 0 : block.ends[place - 1];
    const auto size = static_cast<int>(block.ends[place] - begin);
    CodedInputStream in(reinterpret_cast<const uint8_t*>(block.bytes.data()) + begin, size);
    const auto get = [&] {
        uint64_t value = 0;
        in.ReadVarint64(&value);
        return value;
    };
    const auto getName = [&] { return m_names.textOf(static_cast<uint32_t>(get())); };
    rpc::LedgerRecord record;
    record.set_index(block.firstIndex + get());
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

uint64_t RecordStore::indexAt(size_t number) const
{
    const auto& block = m_blocks[number / recordsPerBlock];
    const size_t place = number % recordsPerBlock;
    const uint32_t begin = place == 0 ? 0 : block.ends[place - 1];
    CodedInputStream in(
        reinterpret_cast<const uint8_t*>(block.bytes.data()) + begin, static_cast<int>(block.ends[place] - begin));
    uint64_t delta = 0;
    in.ReadVarint64(&delta);
    return block.firstIndex + delta;
}

size_t RecordStore::firstAfter(Index index) const
{
    size_t begin = 0;
    size_t end = size();
    while (begin < end) {
        const size_t middle = begin + (end - begin) / 2;
        if (indexAt(middle) > index.value)
            end = middle;
        else
            begin = middle + 1;
    }
    return begin;
}

} // namespace turmericpier::ledger::detail
