#pragma once

#include <net/Async.h>
#include <net/EndMarkFilter.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/compose.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>

#include <memory>
#include <optional>
#include <string>

namespace bronzeswitch {

/**
 * Reading side of a connection to a server, directly or by way of another node.
 *
 * By way of another node it yields what the server has sent: neither the mark behind its last byte, nor an orderly end unless that mark has
 * come. So a parser sees an incomplete response as such, whatever its framing. It meets Beast's AsyncReadStream.
 *
 *     PassedStream stream(socket);
 *     stream.expectMark(mark);
 *     co_await http::async_read_header(stream, buffer, parser, awaitResult);
 */
class PassedStream {
public:
    using executor_type = Executor;

    explicit PassedStream(std::shared_ptr<TcpStream> stream)
        : m_stream(std::move(stream))
    {
    }

    /** Begins to filter what is read: another node passes the connection on and writes the mark. */
    void expectMark(std::string mark)
    {
        m_filter.emplace(std::move(mark));
        m_block.resize(blockBytes);
    }

    /** @return true if another node passes the connection on. */
    bool isPassedOn() const { return m_filter.has_value(); }

    executor_type get_executor() { return m_stream->get_executor(); } // NOLINT: the name is that of Beast's AsyncReadStream.

    /** Reads some bytes. Completes with connection_reset if the connection ended without the mark that was expected. */
    template <typename Buffers, typename Token> auto async_read_some(const Buffers& buffers, Token&& token) // NOLINT: as above.
    {
        using Signature = void(boost::system::error_code, std::size_t);
        if (!isPassedOn())
            return m_stream->async_read_some(buffers, std::forward<Token>(token));
        return asio::async_compose<Token, Signature>(ReadOperation<Buffers> { *this, buffers }, token, *m_stream);
    }

private:
    static constexpr std::size_t blockBytes = 16UL * 1024;

    template <typename Buffers> struct ReadOperation {
        PassedStream& stream;
        Buffers buffers;
        enum class Step { Start, Read, Deliver } step = Step::Start;

        template <typename Self> void operator()(Self& self, boost::system::error_code error = {}, std::size_t size = 0)
        {
            if (step == Step::Deliver)
                return self.complete({}, stream.deliver(buffers));
            if (std::exchange(step, Step::Read) == Step::Read) {
                if (error)
                    return self.complete(stream.endOf(error), 0);
                stream.m_ready += stream.m_filter->put({ stream.m_block.data(), size });
                if (!stream.m_ready.empty())
                    return self.complete({}, stream.deliver(buffers));
            }
            if (stream.m_ready.empty())
                return stream.m_stream->async_read_some(asio::buffer(stream.m_block), std::move(self));
            step = Step::Deliver;
            asio::post(stream.get_executor(), std::move(self));
        }
    };

    /** Moves bytes that are ready to the reader. @return their number. */
    template <typename Buffers> std::size_t deliver(const Buffers& buffers)
    {
        const auto size = asio::buffer_copy(buffers, asio::buffer(m_ready));
        m_ready.erase(0, size);
        return size;
    }

    /** @return what the end of the connection to the node between shows about the end of the server's. */
    boost::system::error_code endOf(const boost::system::error_code& error) const
    {
        const bool isCutOff = error == asio::error::eof && !m_filter->isMarked();
        return isCutOff ? boost::system::error_code(asio::error::connection_reset) : error;
    }

    std::shared_ptr<TcpStream> m_stream;
    std::optional<EndMarkFilter> m_filter;
    std::string m_block; /**< Filled by reads of a filtered connection. */
    std::string m_ready; /**< Bytes of the server that no reader has taken yet. */
};

} // namespace bronzeswitch
