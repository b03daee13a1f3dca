/// \file
/// What the slope benches share: processor time of this process or thread, which other programs on a busy
/// machine disturb less than the clock on the wall, and a straight line fitted over the sizes measured.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <vector>

namespace fuchsialoom
{

inline double secondsOf(clockid_t clock)
{
    static constexpr double nanosecondsASecond = 1e9;
    timespec time{};
    clock_gettime(clock, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / nanosecondsASecond;
}

/// Processor time that the calling thread has used.
inline double threadSeconds()
{
    return secondsOf(CLOCK_THREAD_CPUTIME_ID);
}

/// Processor time that all threads of this process have used.
inline double processSeconds()
{
    return secondsOf(CLOCK_PROCESS_CPUTIME_ID);
}

/// One size and the figure measured at it.
struct fit_point
{
    double size = 0;
    double figure = 0;
};

struct line_fit
{
    double slope = 0;
    double intercept = 0;
    double residue = 0; ///< the largest distance of a figure from the line, in percent of the figure
};

/// Least squares over at least two different sizes.
inline line_fit fitLine(const std::vector<fit_point> &points)
{
    double sumX = 0;
    double sumY = 0;
    double sumXx = 0;
    double sumXy = 0;
    for (const fit_point &point : points) {
        sumX += point.size;
        sumY += point.figure;
        sumXx += point.size * point.size;
        sumXy += point.size * point.figure;
    }
    const auto count = static_cast<double>(points.size());
    line_fit fit;
    fit.slope = (count * sumXy - sumX * sumY) / (count * sumXx - sumX * sumX);
    fit.intercept = (sumY - fit.slope * sumX) / count;
    for (const fit_point &point : points) {
        const double distance = std::abs(point.figure - fit.intercept - fit.slope * point.size);
        fit.residue = std::max(fit.residue, 100 * distance / std::abs(point.figure));
    }
    return fit;
}

/// Prints the line of \p what over sizes counted in \p sizes.
inline void printFit(const char *what, const char *sizes, const std::vector<fit_point> &points)
{
    const line_fit fit = fitLine(points);
    std::printf("fit: %s = %.6g + %.6g x %s, %zu sizes, largest residue %.1f%%\n",
                what,
                fit.intercept,
                fit.slope,
                sizes,
                points.size(),
                fit.residue);
}

/// How busy the machine is while figures are taken.
inline void printMachineLoad()
{
    std::array<double, 1> average{};
    if (getloadavg(average.data(), 1) == 1) {
        std::printf("load average over the last minute: %.1f\n", average[0]);
    }
}

} // namespace fuchsialoom
