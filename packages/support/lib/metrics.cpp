/// \file
/// Counters, gauges and histograms, and their text.
#include "fuchsialoom/support/metrics.h"

#include <boost/histogram.hpp>

#include <array>
#include <atomic>
#include <cassert>
#include <map>
#include <mutex>
#include <sstream>

namespace fuchsialoom
{

namespace bh = boost::histogram;

namespace
{

enum class metric_kind {
    Counter,
    Gauge,
    Histogram,
};

template<typename Value>
using per_metric = std::array<Value, name_table<metric>::entries.size()>;

constexpr per_metric<metric_kind> kinds{
#define FUCHSIALOOM_METRIC(Enumerator, Kind, Name, Help) metric_kind::Kind,
#include "fuchsialoom/support/metrics.def"
};

constexpr per_metric<std::string_view> helps{
#define FUCHSIALOOM_METRIC(Enumerator, Kind, Name, Help) Help,
#include "fuchsialoom/support/metrics.def"
};

constexpr std::size_t indexOf(metric which)
{
    return static_cast<std::size_t>(which);
}

/// Upper edges of the buckets in seconds, dense around the aims (0.031 s and 0.77 s).
constexpr std::array bucketEdges{0.0, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.015, 0.02, 0.025, 0.031, 0.04, 0.05, 0.075,
                                 0.1, 0.15,   0.2,   0.3,   0.5,   0.77, 1.0,   1.5,  2.5,   5.0,   10.0, 30.0, 60.0};

class latency_histogram
{
public:
    latency_histogram()
        : m_counts(bh::make_histogram_with(bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>(),
                                           bh::axis::variable<>(bucketEdges.begin(), bucketEdges.end())))
    {
    }

    void observe(microseconds latency)
    {
        m_counts(std::chrono::duration<double>(latency).count());
        m_sumMicros.fetch_add(latency.count(), std::memory_order_relaxed);
    }

    void write(std::ostream &out, std::string_view name) const
    {
        std::uint64_t total = 0;
        for (int bucket = -1; bucket < m_counts.axis().size(); ++bucket) {
            total += m_counts.at(bucket).load();
            if (bucket >= 0) {
                out << name << "_bucket{le=\"" << m_counts.axis().bin(bucket).upper() << "\"} " << total << '\n';
            }
        }
        total += m_counts.at(m_counts.axis().size()).load();
        out << name << "_bucket{le=\"+Inf\"} " << total << '\n';
        out << name << "_sum " << std::chrono::duration<double>(microseconds(m_sumMicros.load())).count() << '\n';
        out << name << "_count " << total << '\n';
    }

private:
    using axis = bh::axis::variable<>;
    bh::histogram<std::tuple<axis>, bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>> m_counts;
    std::atomic<std::int64_t> m_sumMicros{0};
};

std::string toText(const std::vector<label_value> &labels)
{
    std::string text;
    for (const label_value &label : labels) {
        text += text.empty() ? '{' : ',';
        text += nameOf(label.label());
        text += "=\"";
        text += label.value();
        text += '"';
    }
    return text.empty() ? text : text + '}';
}

std::string_view typeName(metric_kind kind)
{
    switch (kind) {
    case metric_kind::Counter:
        return "counter";
    case metric_kind::Gauge:
        return "gauge";
    case metric_kind::Histogram:
        return "histogram";
    }
    return {};
}

} // namespace

struct metrics_registry::state
{
    mutable std::mutex mutex;
    per_metric<std::map<std::string, std::uint64_t>> counters; ///< guarded by mutex; by the labels' text
    per_metric<std::atomic<std::int64_t>> gauges{};
    per_metric<latency_histogram> histograms; ///< only those of the kind Histogram are used
};

metrics_registry::metrics_registry()
    : m_state(std::make_unique<state>())
{
}

metrics_registry::~metrics_registry() = default;

void metrics_registry::add(metric counter, const std::vector<label_value> &labels, std::uint64_t count)
{
    assert(kinds.at(indexOf(counter)) == metric_kind::Counter && "only a counter is added to");
    const std::string series = toText(labels);
    const std::lock_guard lock(m_state->mutex);
    m_state->counters.at(indexOf(counter))[series] += count;
}

void metrics_registry::set(metric gauge, std::int64_t value)
{
    assert(kinds.at(indexOf(gauge)) == metric_kind::Gauge && "only a gauge is set");
    m_state->gauges.at(indexOf(gauge)).store(value, std::memory_order_relaxed);
}

void metrics_registry::observe(metric histogram, microseconds latency)
{
    assert(kinds.at(indexOf(histogram)) == metric_kind::Histogram && "only a histogram takes latencies");
    m_state->histograms.at(indexOf(histogram)).observe(latency);
}

std::string metrics_registry::prometheusText() const
{
    std::ostringstream out;
    const std::lock_guard lock(m_state->mutex);
    for (const enum_name<metric> &entry : name_table<metric>::entries) {
        const std::size_t index = indexOf(entry.value);
        out << "# HELP " << entry.name << ' ' << helps.at(index) << '\n';
        out << "# TYPE " << entry.name << ' ' << typeName(kinds.at(index)) << '\n';
        switch (kinds.at(index)) {
        case metric_kind::Counter:
            for (const auto &[series, count] : m_state->counters.at(index)) {
                out << entry.name << series << ' ' << count << '\n';
            }
            break;
        case metric_kind::Gauge:
            out << entry.name << ' ' << m_state->gauges.at(index).load() << '\n';
            break;
        case metric_kind::Histogram:
            m_state->histograms.at(index).write(out, entry.name);
            break;
        }
    }
    return out.str();
}

} // namespace fuchsialoom
