/// \file
/// A TCP forwarder for tests: on demand it swallows every byte of the connections that exist, which stay
/// open, while new ones work.
#pragma once

#include <asio.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <thread>
#include <utility>

namespace fuchsialoom
{

class silencing_forwarder
{
public:
    explicit silencing_forwarder(std::uint16_t to)
        : m_acceptor(m_context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_to(asio::ip::address_v4::loopback(), to)
        , m_port(m_acceptor.local_endpoint().port())
    {
        accept();
        m_thread = std::jthread([this] {
            m_context.run();
        });
    }

    ~silencing_forwarder()
    {
        m_context.stop();
    }

    silencing_forwarder(const silencing_forwarder &) = delete;
    silencing_forwarder &operator=(const silencing_forwarder &) = delete;

    std::uint16_t port() const
    {
        return m_port;
    }

    /// From now on the connections accepted so far pass nothing on.
    void silenceExisting()
    {
        m_silencedBelow = m_accepted.load();
    }

    std::uint64_t accepted() const
    {
        return m_accepted;
    }

private:
    struct link
    {
        asio::ip::tcp::socket caller;
        asio::ip::tcp::socket callee;
        std::uint64_t number = 0;
        std::array<std::array<char, 4096>, 2> buffers{};
    };

    void accept()
    {
        m_acceptor.async_accept([this](const asio::error_code &problem, asio::ip::tcp::socket caller) {
            if (problem) {
                return;
            }
            auto made = std::make_shared<link>(link{std::move(caller), asio::ip::tcp::socket(m_context), m_accepted++});
            asio::error_code refused;
            made->callee.connect(m_to, refused);
            if (!refused) {
                pump(made, made->caller, made->callee, 0);
                pump(made, made->callee, made->caller, 1);
            }
            accept();
        });
    }

    void pump(const std::shared_ptr<link> &through, asio::ip::tcp::socket &from, asio::ip::tcp::socket &to, std::size_t side)
    {
        from.async_read_some(asio::buffer(through->buffers[side]),
                             [this, through, &from, &to, side](const asio::error_code &problem, std::size_t size) {
                                 asio::error_code broken = problem;
                                 if (!problem && through->number >= m_silencedBelow) {
                                     asio::write(to, asio::buffer(through->buffers[side], size), broken);
                                 }
                                 if (!broken) {
                                     pump(through, from, to, side);
                                 }
                             });
    }

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    const asio::ip::tcp::endpoint m_to;
    const std::uint16_t m_port;
    std::atomic<std::uint64_t> m_accepted{0};
    std::atomic<std::uint64_t> m_silencedBelow{0};
    std::jthread m_thread; ///< last, so that it ends first
};

} // namespace fuchsialoom
