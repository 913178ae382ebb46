#pragma once

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

/// Incremental parsing of HTTP messages with a bound on everything that is kept of them, for the server and the client.
namespace turmericpier::http {

/// Body that grows with what arrives. The string body of Beast takes memory for the whole content length at once.
struct GrowingBody {
    using value_type = std::string;

    class reader { // NOLINT(readability-identifier-naming): the name that Beast expects.
    public:
        template <bool isRequest, class Fields>
        reader(boost::beast::http::header<isRequest, Fields>&, value_type& body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t>& length, boost::beast::error_code& error)
        {
            m_length = length.value_or(0);
            error = {};
        }

        template <class ConstBufferSequence>
        std::size_t put(const ConstBufferSequence& buffers, boost::beast::error_code& error)
        {
            error = {};
            const auto bytes = boost::beast::buffer_bytes(buffers);
            grow(m_body.size() + bytes);
            for (auto it = boost::asio::buffer_sequence_begin(buffers); it != boost::asio::buffer_sequence_end(buffers);
                 ++it) {
                const boost::asio::const_buffer part = *it;
                m_body.append(static_cast<const char*>(part.data()), part.size());
            }
            return bytes;
        }

        void finish(boost::beast::error_code& error) { error = {}; }

    private:
        /// Doubles the capacity as long as that is not more than the whole body.
        void grow(std::size_t needed)
        {
            constexpr std::size_t smallBody = 65'536; // Beyond, a body without a known length grows by a quarter.
            if (needed <= m_body.capacity())
                return;
            const auto capacity = m_body.capacity();
            auto next = std::max(needed, capacity + (m_length == 0 && capacity > smallBody ? capacity / 4 : capacity));
            if (m_length >= needed)
                next = std::min<std::size_t>(next, m_length);
            m_body.reserve(next);
        }

        value_type& m_body;
        std::uint64_t m_length = 0; ///< Content length; 0 if it is not known.
    };
};

struct ReaderLimits {
    size_t headerBytes = 16'384;
    size_t framingBytes = 16'384; ///< Chunk extensions and trailers of one message.
    size_t bodyBytes = 0;
};

/// Parses the messages of one connection, one after the other, from a buffer of bounded size.
template <bool isRequest> class MessageReader {
public:
    using Parser = boost::beast::http::parser<isRequest, GrowingBody>;

    /// What is needed to go on after parse().
    enum class Step {
        Read, ///< More bytes.
        Header, ///< The header has just become complete; the caller may look at the parser and calls parse() again.
        Done, ///< The message is complete.
        Failed, ///< The message is malformed or exceeds a limit.
    };

    explicit MessageReader(ReaderLimits limits)
        : m_limits(limits)
        , m_buffer(limits.headerBytes + limits.framingBytes + firstRead)
    {
    }

    MessageReader(const MessageReader&) = delete;
    MessageReader& operator=(const MessageReader&) = delete;

    /// Begins the next message. Bytes that arrived behind the previous one stay in the buffer.
    void begin()
    {
        m_framingBytes = 0;
        m_headerBytes = 0;
        m_headerSeen = false;
        m_readSize = firstRead;
        m_parser.emplace();
        m_parser->header_limit(static_cast<std::uint32_t>(m_limits.headerBytes));
        m_parser->body_limit(m_limits.bodyBytes);
        m_parser->on_chunk_header(m_onChunkHeader);
        shrink();
    }

    /// Parses what is in the buffer.
    Step parse(boost::beast::error_code& error)
    {
        error = {};
        while (!m_parser->is_done()) {
            const auto waiting = m_buffer.size();
            // No chunked body ends with fewer bytes. Beast aborts in builds with assertions if it is given fewer of the
            // last chunk.
            constexpr size_t lastChunkBytes = 5;
            if (waiting == 0 || (m_headerSeen && m_parser->chunked() && waiting < lastChunkBytes))
                return Step::Read;
            m_parser->eager(m_headerSeen);
            const auto used = m_parser->put(m_buffer.data(), error);
            m_buffer.consume(used);
            // Beast takes complete lines of a header one by one and limits only what it is given at a time.
            if (!m_headerSeen) {
                m_headerBytes += used;
                const auto unfinished = m_parser->is_header_done() ? 0 : m_buffer.size();
                if (m_headerBytes + unfinished > m_limits.headerBytes)
                    error = boost::beast::http::error::header_limit;
            }
            if (!m_headerSeen && m_parser->is_header_done()) {
                m_headerSeen = true;
                if (!hasClearEnd())
                    error = boost::beast::http::error::bad_transfer_encoding;
                if (!error || error == boost::beast::http::error::need_more) {
                    error = {};
                    return Step::Header;
                }
            }
            if (error == boost::beast::http::error::need_more) {
                error = {};
                if (!m_headerSeen || m_framingBytes + m_buffer.size() <= m_limits.framingBytes)
                    return Step::Read;
                error = boost::beast::http::error::header_limit;
            }
            if (error)
                return Step::Failed;
        }
        return Step::Done;
    }

    /// Returns the place for the next bytes, which received() adds to the buffer.
    auto prepare() { return m_buffer.prepare(std::min(m_readSize, m_buffer.max_size() - m_buffer.size())); }
    void received(size_t bytes)
    {
        m_buffer.commit(bytes);
        if (bytes >= m_readSize)
            m_readSize = std::min(2 * m_readSize, largestRead);
    }

    Parser& parser() { return *m_parser; }
    bool isHeaderSeen() const { return m_headerSeen; }
    /// Bytes that have arrived and belong to no message that was parsed.
    size_t unparsedBytes() const { return m_buffer.size(); }
    /// Something of the message has arrived.
    bool hasStarted() const { return m_buffer.size() > 0 || m_headerBytes > 0; }
    /// Memory that the buffer, the body and the fields of a header that is being read take.
    size_t memory() const
    {
        return m_buffer.capacity() + (m_parser ? m_parser->get().body().capacity() : 0)
            + (m_headerSeen ? 0 : fieldOverhead * m_headerBytes);
    }

    /// Frees the message, but not what has arrived behind it.
    void reset()
    {
        m_parser.reset();
        m_headerBytes = 0;
        shrink();
    }
    /// Frees the message and drops what has arrived.
    void clear()
    {
        m_buffer.clear();
        reset();
    }

private:
    static constexpr size_t firstRead = 1'024; ///< What an idle connection keeps; holds most requests without a job.
    static constexpr size_t fieldOverhead = 20; ///< Memory of the shortest fields in relation to their bytes.
    static constexpr size_t largestRead = 16'384;

    /// Returns false for a request with a transfer encoding of which it is not clear where it ends. Bytes of its body
    /// could be taken for the next request.
    bool hasClearEnd()
    {
        constexpr auto field = boost::beast::http::field::transfer_encoding;
        const auto& message = m_parser->get();
        const auto count = message.count(field);
        return !isRequest || count == 0
            || (count == 1 && m_parser->chunked() && boost::beast::iequals(message[field], "chunked"));
    }

    void shrink()
    {
        if (m_buffer.capacity() > firstRead && m_buffer.size() < firstRead)
            m_buffer.shrink_to_fit();
    }

    const ReaderLimits m_limits;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    bool m_headerSeen = false;
    size_t m_readSize = firstRead;
    size_t m_headerBytes = 0; ///< Of the header of the message, as far as they were parsed.
    size_t m_framingBytes = 0; ///< Chunk extensions of the message.
    std::function<void(std::uint64_t, boost::beast::string_view, boost::beast::error_code&)> m_onChunkHeader
        = [this](std::uint64_t, boost::beast::string_view extensions, boost::beast::error_code& error) {
              m_framingBytes += extensions.size();
              if (m_framingBytes > m_limits.framingBytes)
                  error = boost::beast::http::error::header_limit;
          };
};

} // namespace turmericpier::http
