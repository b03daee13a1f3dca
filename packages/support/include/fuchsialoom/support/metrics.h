/// \file
/// What a VM measures of itself: counters and gauges by name and a few typed labels, latencies as
/// histograms, and all of them as Prometheus text.
#pragma once

#include "fuchsialoom/support/name_table.h"
#include "fuchsialoom/support/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsialoom
{

enum class metric {
#define FUCHSIALOOM_METRIC(Enumerator, Kind, Name, Help) Enumerator,
#include "fuchsialoom/support/metrics.def"
};

template<>
struct name_table<metric>
{
    static constexpr auto entries = std::to_array<enum_name<metric>>({
#define FUCHSIALOOM_METRIC(Enumerator, Kind, Name, Help) {metric::Enumerator, Name},
#include "fuchsialoom/support/metrics.def"
    });
};

enum class metric_label {
#define FUCHSIALOOM_METRIC_LABEL(Enumerator, Name) Enumerator,
#include "fuchsialoom/support/metric_labels.def"
};

template<>
struct name_table<metric_label>
{
    static constexpr auto entries = std::to_array<enum_name<metric_label>>({
#define FUCHSIALOOM_METRIC_LABEL(Enumerator, Name) {metric_label::Enumerator, Name},
#include "fuchsialoom/support/metric_labels.def"
    });
};

/// A label and its value. Values are names of enumerators only.
class label_value
{
public:
    template<named_enum Enum>
    label_value(metric_label label, Enum value)
        : m_label(label)
        , m_value(nameOf(value))
    {
    }

    /// The label without a value, for example the error of a request without one.
    explicit label_value(metric_label label)
        : m_label(label)
    {
    }

    metric_label label() const
    {
        return m_label;
    }

    std::string_view value() const
    {
        return m_value;
    }

private:
    metric_label m_label;
    std::string_view m_value; ///< of a name table, so it lives for ever
};

/// Thread-safe. Observing a latency takes no lock.
class metrics_registry
{
public:
    metrics_registry();
    ~metrics_registry();

    /// Adds to a counter.
    void add(metric counter, const std::vector<label_value> &labels = {}, std::uint64_t count = 1);
    /// Sets a gauge.
    void set(metric gauge, std::int64_t value);
    /// Takes one latency into a histogram.
    void observe(metric histogram, microseconds latency);

    /// Every metric in the Prometheus text format, in the order of metrics.def.
    std::string prometheusText() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace fuchsialoom
