/// \file
/// Runs a clean-up when a scope is left, however it is left.
#pragma once

#include <utility>

namespace fuchsialoom
{

template<typename Action>
class scope_guard
{
public:
    explicit scope_guard(Action action)
        : m_action(std::move(action))
    {
    }

    scope_guard(const scope_guard &) = delete;
    scope_guard &operator=(const scope_guard &) = delete;

    ~scope_guard()
    {
        if (m_armed) {
            m_action();
        }
    }

    /// The clean-up is no longer wanted.
    void dismiss()
    {
        m_armed = false;
    }

private:
    Action m_action;
    bool m_armed = true;
};

} // namespace fuchsialoom
