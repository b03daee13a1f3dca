/// \file
/// A target that answers each request with given bytes and ends the connection in a given way.
#pragma once

#include "fuchsialoom/http/answer_reader.h"
#include "fuchsialoom/support/time.h"

#include <asio.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsialoom
{

enum class connection_end {
    Close, ///< in order
    Reset,
    Stay,
    Exit, ///< in order, and no further connection is accepted
};

template<>
struct name_table<connection_end>
{
    static constexpr auto entries = std::to_array<enum_name<connection_end>>({
        {connection_end::Close, "close"},
        {connection_end::Reset, "reset"},
        {connection_end::Stay, "stay"},
        {connection_end::Exit, "exit"},
    });
};

struct scripted_answer
{
    std::string bytes;
    connection_end end = connection_end::Close;
};

class scripted_target
{
public:
    /// One answer for each request, over all connections in order; the last one repeats.
    scripted_target(asio::io_context &loop, std::vector<scripted_answer> answers)
        : m_acceptor(loop, {asio::ip::address_v4::loopback(), 0})
        , m_answers(std::move(answers))
    {
        accept();
    }

    asio::ip::tcp::endpoint address() const
    {
        return m_acceptor.local_endpoint();
    }
    /// The heads of the received requests.
    const std::vector<std::string> &received() const
    {
        return m_received;
    }

private:
    struct connection
    {
        explicit connection(asio::ip::tcp::socket from)
            : socket(std::move(from))
            , endTimer(socket.get_executor())
        {
        }
        asio::ip::tcp::socket socket;
        asio::steady_timer endTimer;
        std::array<char, 4096> bytes{};
        std::string request;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const asio::error_code &problem, asio::ip::tcp::socket socket) {
            if (!problem) {
                read(std::make_shared<connection>(std::move(socket)));
                accept();
            }
        });
    }

    /// The requests of these tests have no body.
    void read(const std::shared_ptr<connection> &one)
    {
        one->socket.async_read_some(asio::buffer(one->bytes), [this, one](const asio::error_code &problem, std::size_t size) {
            if (problem) {
                return;
            }
            one->request.append(one->bytes.data(), size);
            if (one->request.ends_with("\r\n\r\n")) {
                m_received.push_back(std::move(one->request));
                one->request.clear();
                answer(one, m_answers[std::min(m_received.size(), m_answers.size()) - 1]);
            }
            read(one);
        });
    }

    /// The end follows the bytes after a pause, as a reset may discard what its receiver hasn't read.
    void answer(const std::shared_ptr<connection> &one, const scripted_answer &with)
    {
        static constexpr milliseconds pause{5};
        asio::error_code ignored;
        if (with.end == connection_end::Stay) {
            // More than the sockets hold, perhaps, while the reader is on the same thread.
            asio::async_write(one->socket, asio::buffer(with.bytes), [one](const asio::error_code &, std::size_t) {});
            return;
        }
        asio::write(one->socket, asio::buffer(with.bytes), ignored);
        if (with.end == connection_end::Exit) {
            m_acceptor.close(ignored);
        }
        one->endTimer.expires_after(pause);
        one->endTimer.async_wait([one, end = with.end](const asio::error_code &) {
            asio::error_code failed;
            if (end == connection_end::Reset) {
                one->socket.set_option(asio::socket_base::linger(true, 0), failed);
            }
            one->socket.close(failed);
        });
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::vector<scripted_answer> m_answers;
    std::vector<std::string> m_received;
};

} // namespace fuchsialoom
