/// \file
/// A TCP forwarder between one VM and the store, which can be closed or swallow everything: the store then serves all other VMs.
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

class store_gate
{
public:
    explicit store_gate(std::uint16_t storePort)
        : m_acceptor(m_context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_store(asio::ip::address_v4::loopback(), storePort)
        , m_port(m_acceptor.local_endpoint().port())
    {
        accept();
        m_thread = std::jthread([this] {
            m_context.run();
        });
    }

    ~store_gate()
    {
        m_context.stop();
    }

    store_gate(const store_gate &) = delete;
    store_gate &operator=(const store_gate &) = delete;

    std::uint16_t port() const
    {
        return m_port;
    }

    enum class state {
        Open,
        Closed, ///< all connections are reset, existing ones with their next byte
        Silent, ///< connections are accepted and their bytes swallowed; those of existing ones too, for good
    };
    void set(state now)
    {
        m_state = now;
    }
    void close()
    {
        set(state::Closed);
    }
    void open()
    {
        set(state::Open);
    }

private:
    struct link
    {
        asio::ip::tcp::socket vm;
        asio::ip::tcp::socket store;
        std::array<std::array<char, 4096>, 2> buffers{};
        bool isSilent = false; ///< an answer was swallowed, so nothing further comes
    };

    void accept()
    {
        m_acceptor.async_accept([this](const asio::error_code &problem, asio::ip::tcp::socket vm) {
            if (problem) {
                return;
            }
            auto made = std::make_shared<link>(link{std::move(vm), asio::ip::tcp::socket(m_context)});
            asio::error_code refused;
            const state accepted = m_state;
            if (accepted != state::Closed) {
                made->store.connect(m_store, refused);
            }
            if (accepted != state::Closed && !refused) {
                pump(made, made->vm, made->store, 0);
                pump(made, made->store, made->vm, 1);
            }
            accept();
        });
    }

    void pump(const std::shared_ptr<link> &through, asio::ip::tcp::socket &from, asio::ip::tcp::socket &to, std::size_t side)
    {
        from.async_read_some(asio::buffer(through->buffers[side]),
                             [this, through, &from, &to, side](const asio::error_code &problem, std::size_t size) {
                                 asio::error_code broken = problem;
                                 through->isSilent = through->isSilent || m_state == state::Silent;
                                 if (!broken && m_state != state::Closed && !through->isSilent) {
                                     asio::write(to, asio::buffer(through->buffers[side], size), broken);
                                 }
                                 if (broken || m_state == state::Closed) {
                                     asio::error_code ignored;
                                     through->vm.close(ignored);
                                     through->store.close(ignored);
                                     return;
                                 }
                                 pump(through, from, to, side);
                             });
    }

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    const asio::ip::tcp::endpoint m_store;
    const std::uint16_t m_port;
    std::atomic<state> m_state{state::Open};
    std::jthread m_thread; ///< last, so that it ends first
};

} // namespace fuchsialoom
