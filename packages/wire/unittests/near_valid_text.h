/// \file
/// Generates texts that are almost what a reader expects: a valid text with a few bytes changed,
/// dropped, doubled or cut off.
#pragma once

#include <rapidcheck.h>

#include <algorithm>
#include <string>

namespace fuchsialoom
{

inline std::string damaged(std::string text)
{
    constexpr int mostDamages = 4;
    constexpr int kinds = 4;
    const int damages = *rc::gen::inRange(1, mostDamages + 1);
    for (int damage = 0; damage < damages && !text.empty(); ++damage) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        switch (*rc::gen::inRange(0, kinds)) {
        case 0:
            text[at] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            text.erase(at, 1);
            break;
        case 2:
            text.insert(at, text.substr(at, *rc::gen::inRange<std::size_t>(1, 16)));
            break;
        default:
            text.resize(at);
            break;
        }
    }
    return text;
}

} // namespace fuchsialoom
