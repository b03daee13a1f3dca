/// \file
/// A caller at a listener, for tests of either.
#pragma once

#include "fuchsialoom/http/caller_link.h"

#include "fuchsialoom/http/http_link.h"

#include <gtest/gtest.h>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fuchsialoom
{

class caller_world : public testing::Test
{
protected:
    caller_world()
        : m_listener(m_loop, {asio::ip::address_v4::loopback(), 0}, events())
        , m_caller(m_loop)
    {
        m_listener.start(1000);
        m_caller.connect(m_listener.address());
    }

    caller_events events()
    {
        caller_events made;
        made.onRequest = [this](const std::shared_ptr<caller_link> &link, received_request request) {
            m_requests.push_back(std::move(request));
            m_link = link;
            link->onGone([this] {
                m_gone = true;
            });
            if (m_answerAtOnce) {
                link->respond(200, {}, "answer " + std::to_string(m_requests.size()));
            }
        };
        made.onRejected = [this](reading_problem problem) {
            m_rejected = problem;
        };
        made.limits = [this]() -> const caller_limits & {
            return m_limits;
        };
        made.admits = [this] {
            return m_admits;
        };
        made.sendsAway = [this] {
            return m_sendsAway;
        };
        return made;
    }

    void runFor(milliseconds length)
    {
        m_loop.restart();
        m_loop.run_for(length);
    }

    /// A new connection, with the limits that are in force now.
    void reconnect(int receiveBuffer = 65536)
    {
        asio::ip::tcp::socket caller(m_loop, asio::ip::tcp::v4());
        caller.set_option(asio::socket_base::receive_buffer_size(receiveBuffer));
        caller.connect(m_listener.address());
        m_caller = std::move(caller);
    }

    void write(const std::string &text)
    {
        asio::write(m_caller, asio::buffer(text));
        runFor(milliseconds(30));
    }

    /// What has come so far; \p closed is set when the connection ended.
    std::string read()
    {
        std::string text;
        std::array<char, 4096> bytes{};
        m_caller.non_blocking(true);
        while (true) {
            asio::error_code problem;
            const std::size_t size = m_caller.read_some(asio::buffer(bytes), problem);
            if (problem) {
                m_closed = problem != asio::error::would_block;
                m_reset = problem == asio::error::connection_reset;
                return text;
            }
            text.append(bytes.data(), size);
        }
    }

    asio::io_context m_loop;
    caller_limits m_limits;
    std::vector<received_request> m_requests;
    std::shared_ptr<caller_link> m_link;
    std::optional<reading_problem> m_rejected;
    bool m_answerAtOnce = true;
    bool m_gone = false;
    bool m_closed = false;
    bool m_reset = false;
    bool m_admits = true;
    bool m_sendsAway = false;
    caller_listener m_listener;
    asio::ip::tcp::socket m_caller;
};

inline constexpr const char *plainRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
inline constexpr const char *oldRequest = "GET /a HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n";

} // namespace fuchsialoom
