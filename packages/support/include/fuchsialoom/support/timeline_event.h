/// \file
/// The typed event that every decision emits. The same events are the log lines, the time line over
/// all VMs, and the story of one request or order.
#pragma once

#include "fuchsialoom/support/hlc.h"
#include "fuchsialoom/support/ids.h"
#include "fuchsialoom/support/name_table.h"

#include <concepts>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsialoom
{

enum class event_kind {
#define FUCHSIALOOM_EVENT(Enumerator, Name) Enumerator,
#include "fuchsialoom/support/events.def"
};

template<>
struct name_table<event_kind>
{
    static constexpr auto entries = std::to_array<enum_name<event_kind>>({
#define FUCHSIALOOM_EVENT(Enumerator, Name) {event_kind::Enumerator, Name},
#include "fuchsialoom/support/events.def"
    });
};

enum class event_field {
#define FUCHSIALOOM_EVENT_FIELD(Enumerator, Name) Enumerator,
#include "fuchsialoom/support/event_fields.def"
};

template<>
struct name_table<event_field>
{
    static constexpr auto entries = std::to_array<enum_name<event_field>>({
#define FUCHSIALOOM_EVENT_FIELD(Enumerator, Name) {event_field::Enumerator, Name},
#include "fuchsialoom/support/event_fields.def"
    });
};

struct event_value
{
    event_field field;
    std::string text;

    friend bool operator==(const event_value &, const event_value &) = default;
};

/// One decision. The shell adds stamp and VM; the core fills the rest.
struct timeline_event
{
    event_kind kind = event_kind::VmStarted;
    std::string subject; ///< the request, order, target, domain or setting concerned
    std::vector<event_value> values;
    hlc_stamp stamp;
    vm_id vm;

    timeline_event() = default;
    timeline_event(event_kind kind, std::string subject);

    timeline_event &with(event_field field, std::string text) &;
    timeline_event &&with(event_field field, std::string text) &&;

    template<std::integral Number>
    timeline_event &&with(event_field field, Number number) &&
    {
        return std::move(*this).with(field, std::to_string(number));
    }

    template<typename Tag>
    timeline_event &&with(event_field field, const text_id<Tag> &id) &&
    {
        return std::move(*this).with(field, id.text());
    }

    template<typename Tag>
    timeline_event &&with(event_field field, number_id<Tag> id) &&
    {
        return std::move(*this).with(field, std::to_string(id.value()));
    }

    template<named_enum Enum>
    timeline_event &&with(event_field field, Enum value) &&
    {
        return std::move(*this).with(field, std::string(nameOf(value)));
    }

    friend bool operator==(const timeline_event &, const timeline_event &) = default;
};

/// The event as one line of key=value pairs. Values with spaces, quotes or `=` are quoted.
std::string toLogLine(const timeline_event &event);

} // namespace fuchsialoom
