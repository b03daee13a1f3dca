/// \file
/// Clients that keep to no limit, at each port of a VM: the process lives, stays within its memory and descriptors, and answers an
/// ordinary request while they are connected.
#include "client_crowd.h"
#include "platform_world.h"
#include "resource_watch.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdio>
#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace fuchsialoom
{

namespace
{

constexpr std::size_t memoryMb = 64;
constexpr std::size_t maxBodyBytes = 1048576;
constexpr std::size_t maxHeadBytes = 524288;
constexpr std::size_t crowdSize = 240;
/// Room for the crowd and others at the port of callers.
constexpr std::size_t roomyDescriptors = 1500;
/// Room for a part of the crowd: the smallest number of connections that a VM takes.
constexpr std::size_t scarceDescriptors = 1200;
/// Descriptors that aren't for sockets.
constexpr std::size_t fileDescriptors = 200;
constexpr std::chrono::seconds settleLimit{15};

enum class vm_port {
    Callers,
    Peers,
    Readiness,
    Metrics,
};

struct crowd_case
{
    std::string name;
    vm_port port;
    std::size_t descriptors;
    client_script script;
};

std::ostream &operator<<(std::ostream &out, const crowd_case &played)
{
    return out << played.name;
}

std::string headOf(std::size_t sending, const std::string &path, const std::string &fields)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Deadline-Ms: 20000\r\nX-Request-Id: crowd" + std::to_string(sending) + "\r\n"
        + fields + "\r\n";
}

std::function<std::string(std::size_t)> headWith(const std::string &path, const std::string &fields, const std::string &body = {})
{
    return [path, fields, body](std::size_t sending) {
        return headOf(sending, path, fields) + body;
    };
}

std::string repeated(const std::string &text, std::size_t times)
{
    std::string all;
    for (std::size_t number = 0; number < times; ++number) {
        all += text;
    }
    return all;
}

const std::string chunked = "Transfer-Encoding: chunked\r\n";
const std::string largeChunk = "ffc0\r\n" + std::string(0xffc0, 'a') + "\r\n";
const std::string smallChunks = repeated("1\r\na\r\n", 10000);
const std::string plain(65536, 'a');

/// Most of a body of the largest size, which doesn't end.
const client_script largeChunks{.begin = headWith("/get/1", chunked), .block = largeChunk, .blocks = 15, .sendings = 3};
const client_script tinyChunks{.begin = headWith("/get/1", chunked), .block = smallChunks, .blocks = 95, .sendings = 2};
const client_script stalledLength{.begin = headWith("/get/1", "Content-Length: 1048576\r\n"), .block = plain, .blocks = 15, .sendings = 3};
const client_script stalledHead{.begin =
                                    [](std::size_t) {
                                        return std::string("POST /get/1 HTTP/1.1\r\nHost: h.example\r\n");
                                    },
                                .block = "X-Field: " + std::string(4000, 'a') + "\r\n",
                                .blocks = 120,
                                .sendings = 3};
const client_script manyFields{.begin = headWith("/get/1", repeated("a:\r\n", 15000) + chunked), .sendings = 2};
const client_script dripping{.begin = headWith("/get/1", chunked), .drip = "1\r\na\r\n"};

std::vector<crowd_case> allCases()
{
    return {
        {"largeChunks", vm_port::Callers, roomyDescriptors, largeChunks},
        {"tinyChunks", vm_port::Callers, roomyDescriptors, tinyChunks},
        {"stalledLength", vm_port::Callers, roomyDescriptors, stalledLength},
        {"stalledHead", vm_port::Callers, roomyDescriptors, stalledHead},
        {"manyFields", vm_port::Callers, roomyDescriptors, manyFields},
        {"wholeRequests",
         vm_port::Callers,
         roomyDescriptors,
         {.begin = headWith("/slow/1", "Content-Length: 983040\r\n"), .block = plain, .blocks = 15}},
        {"wholeRequestsThatRun",
         vm_port::Callers,
         roomyDescriptors,
         {.begin = headWith("/wide/1", "Content-Length: 983040\r\n"),
          .block = plain,
          .blocks = 15,
          .startPause = std::chrono::milliseconds(10)}},
        {"lengthFarOverTheLimit",
         vm_port::Callers,
         roomyDescriptors,
         {.begin = headWith("/get/1", "Content-Length: 1000000000\r\n"), .block = plain, .blocks = 100, .sendings = 3}},
        {"chunksFarOverTheLimit",
         vm_port::Callers,
         roomyDescriptors,
         {.begin = headWith("/get/1", chunked), .block = largeChunk, .blocks = 100, .sendings = 3}},
        {"behindARequest",
         vm_port::Callers,
         roomyDescriptors,
         {.begin = headWith("/slow/1", "Content-Length: 2\r\n", "hi"), .block = plain, .blocks = 64}},
        {"slowReadersOfWholeAnswers",
         vm_port::Callers,
         roomyDescriptors,
         {.begin = headWith("/long/1", "Content-Length: 2\r\n", "hi"), .receiveBufferBytes = 4096, .bytesPerRead = 100, .reads = 40}},
        {"idleAfterLongAnswers",
         vm_port::Callers,
         roomyDescriptors,
         {.begin = headWith("/long/1", "Content-Length: 2\r\n", "hi"),
          .startPause = std::chrono::milliseconds(30),
          .bytesPerRead = 262144,
          .reads = 40}},
        {"slowReadersOfStreams",
         vm_port::Callers,
         roomyDescriptors,
         {.begin = headWith("/chat/1", "X-Model: m1\r\nContent-Length: 2\r\n", "hi"),
          .receiveBufferBytes = 4096,
          .bytesPerRead = 100,
          .reads = 40}},
        {"newModelNames",
         vm_port::Callers,
         roomyDescriptors,
         {.begin =
              [](std::size_t sending) {
                  const std::string name = std::to_string(sending) + std::string(60000, 'm');
                  return headOf(sending, "/get/1", "Connection: close\r\nContent-Length: 2\r\nX-Model: " + name + "\r\n") + "hi";
              },
          .sendings = 8}},
        {"moreThanTheConnections", vm_port::Callers, scarceDescriptors, dripping},
        {"moreThanTheConnectionsInBodies", vm_port::Callers, scarceDescriptors, largeChunks},
        {"slowReadersOnAllConnections",
         vm_port::Callers,
         scarceDescriptors,
         {.begin = headWith("/chat/1", "X-Model: m1\r\nContent-Length: 2\r\n", "hi"),
          .receiveBufferBytes = 4096,
          .bytesPerRead = 100,
          .reads = 40}},
        {"peersLargeChunks", vm_port::Peers, roomyDescriptors, largeChunks},
        {"peersStalledHead", vm_port::Peers, roomyDescriptors, stalledHead},
        {"readinessLargeChunks", vm_port::Readiness, roomyDescriptors, largeChunks},
        {"metricsLargeChunks", vm_port::Metrics, roomyDescriptors, largeChunks},
    };
}

class hostile_clients : public testing::TestWithParam<crowd_case>
{
protected:
    hostile_clients()
    {
        m_world.editConfigurations([](nlohmann::json &configuration) {
            for (const std::string name : {"slow", "wide", "long"}) {
                nlohmann::json route = configuration["routes"][2];
                route["name"] = name;
                route["prefix"] = "/" + name + "/";
                route["service"] = name;
                route["timeout_ms"] = 20000;
                route["slo_ms"] = 20000;
                configuration["routes"].push_back(route);
                configuration["services"].push_back({{"name", name}});
            }
            configuration["limits"]["max_body_bytes"] = maxBodyBytes;
            configuration["limits"]["max_header_bytes"] = maxHeadBytes;
        });
        m_world.configure(1);
        m_world.addTarget({.id = "p1", .service = "plain", .isEngine = false, .slots = 100});
        m_world.addTarget({.id = "s1", .service = "slow", .isEngine = false, .slots = 8, .readingTime = std::chrono::seconds(1)});
        m_world.addTarget({.id = "w1", .service = "wide", .isEngine = false, .slots = crowdSize, .readingTime = std::chrono::seconds(10)});
        m_world.addTarget({.id = "l1", .service = "long", .isEngine = false, .slots = crowdSize, .paddingBytes = 1000000});
        m_world.addTarget({.id = "e1", .service = "models", .models = {"m1"}, .events = 16, .slots = crowdSize, .paddingBytes = 65536});
    }

    void startVm(std::size_t descriptors)
    {
        m_world.setLimits({{"max_fds", descriptors}, {"ram_mb", memoryMb}});
        m_vm = m_world.startVm();
    }

    asio::ip::tcp::endpoint endpointOf(vm_port port)
    {
        switch (port) {
        case vm_port::Callers:
            return m_world.callersOf(m_vm);
        case vm_port::Peers:
            return m_world.peersOf(m_vm);
        case vm_port::Readiness:
            return m_world.readinessOf(m_vm);
        case vm_port::Metrics:
            return m_world.metricsEndpointOf(m_vm);
        }
        return {};
    }

    /// Asks as callers do, which try again on a new connection. \return whether one try got the whole answer.
    static bool isServed(const std::function<bool()> &request)
    {
        return waitFor(
            [&] {
                try {
                    return request();
                } catch (const std::system_error &) {
                    return false; // the connection was refused or reset
                }
            },
            std::chrono::seconds(60));
    }

    platform_world m_world;
    std::string m_vm;
};

} // namespace

/// Guards against a VM whose memory, descriptors or connections are taken by clients that stay outside the limits.
TEST_P(hostile_clients, takeNeitherMemoryNorTheServiceOfOthers)
{
    const crowd_case &played = GetParam();
    startVm(played.descriptors);
    ASSERT_TRUE(m_world.waitReady(m_vm));
    resource_watch watch(m_world.vm(m_vm).id(),
                         {m_world.callersOf(m_vm).port(),
                          m_world.peersOf(m_vm).port(),
                          m_world.readinessOf(m_vm).port(),
                          m_world.metricsEndpointOf(m_vm).port()});
    const client_crowd crowd(endpointOf(played.port), played.script, crowdSize);
    const bool hasSettled = waitFor(
        [&] {
            return crowd.isSettled();
        },
        settleLimit);
    EXPECT_TRUE(isServed([&] {
        const platform_answer answer = m_world.ask(m_vm, {.path = "/get/1", .id = "ordinary", .model = ""});
        return answer.status == 200 && answer.complete;
    }));
    EXPECT_TRUE(isServed([&] {
        return m_world.isReady(m_vm);
    }));
    EXPECT_TRUE(isServed([&] {
        return !m_world.metricsOf(m_vm).empty();
    }));
    EXPECT_FALSE(m_world.vm(m_vm).ended()) << m_world.vm(m_vm).output();
    std::printf("largest memory %zu KB, descriptors %zu, sendings %zu, settled: %s\n",
                watch.peakMemory() / 1024,
                watch.peakDescriptors(),
                crowd.begun(),
                hasSettled ? "yes" : "no");
    EXPECT_GE(crowd.begun(), scarceDescriptors == played.descriptors ? 1 : crowdSize);
    EXPECT_GT(watch.peakMemory(), 0U);
    EXPECT_LT(watch.peakMemory(), memoryMb * 1048576);
    EXPECT_LT(watch.peakDescriptors(), played.descriptors - fileDescriptors);
}

INSTANTIATE_TEST_SUITE_P(crowds, hostile_clients, testing::ValuesIn(allCases()), [](const auto &info) {
    return info.param.name;
});

namespace
{

class hostile_clients_calm : public hostile_clients
{
};

} // namespace

/// Guards against a bound on all clients that refuses a single request of the largest size, or its long answer.
TEST_F(hostile_clients_calm, aSingleRequestOfTheLargestSizeIsServed)
{
    startVm(roomyDescriptors);
    ASSERT_TRUE(m_world.waitReady(m_vm));
    for (const std::string path : {"/get/1", "/long/1"}) {
        asio::ip::tcp::socket socket = m_world.connect(m_vm);
        asio::write(socket, asio::buffer(headOf(1, path, "Content-Length: " + std::to_string(maxBodyBytes) + "\r\n")));
        asio::write(socket, asio::buffer(std::string(maxBodyBytes, 'a')));
        const platform_answer answer = platform_world::receive(socket);
        EXPECT_EQ(answer.status, 200) << path;
        EXPECT_TRUE(answer.complete) << path;
    }
}

} // namespace fuchsialoom
