/// \file
/// Tests of route lookup by host and longest prefix, and of traffic splits by weight.
#include "fuchsialoom/gateway/routes.h"

#include <gtest/gtest.h>

namespace fuchsialoom
{

static route routeAt(const std::string &host, const std::string &prefix, const std::string &name)
{
    route made;
    made.host = host;
    made.prefix = prefix;
    made.name = name;
    made.services = {{service_id("s"), 1}};
    return made;
}

TEST(route_table, choosesTheLongestPrefixOfTheHost)
{
    route_table table;
    table.assign({routeAt("a.example", "/", "root"),
                  routeAt("a.example", "/x/", "x"),
                  routeAt("a.example", "/x/y/", "xy"),
                  routeAt("b", "/x/", "b")});
    EXPECT_EQ(table.find("a.example", "/x/y/z")->name, "xy");
    EXPECT_EQ(table.find("a.example", "/x/z")->name, "x");
    EXPECT_EQ(table.find("A.Example:8080", "/x/")->name, "x");
    EXPECT_EQ(table.find("a.example", "/x")->name, "root");
    EXPECT_EQ(table.find("b", "/y"), nullptr);
    EXPECT_EQ(table.find("c", "/x/"), nullptr);
}

TEST(route_table, splitsByWeight)
{
    route split = routeAt("h", "/", "split");
    split.services = {{service_id("most"), 90}, {service_id("rest"), 10}, {service_id("none"), 0}};
    std::map<service_id, int> counts;
    for (std::uint64_t draw = 0; draw < 1000; ++draw) {
        counts[chooseService(split, draw)] += 1;
    }
    EXPECT_EQ(counts[service_id("most")], 900);
    EXPECT_EQ(counts[service_id("rest")], 100);
    EXPECT_EQ(counts[service_id("none")], 0);
}

TEST(engine_traits, knowsItsModelsAndTheirAdapters)
{
    engine_traits traits;
    served_model model;
    model.model = model_id("m");
    model.adapters = 12;
    traits.models.push_back(model);
    EXPECT_TRUE(traits.serves(model_id("m"), {}));
    EXPECT_TRUE(traits.serves(model_id("m"), adapter_id("a1")));
    EXPECT_TRUE(traits.serves(model_id("m"), adapter_id("a12")));
    EXPECT_FALSE(traits.serves(model_id("n"), {}));
    for (const char *name : {"a0", "a13", "a", "b1", "a1x", "a01", "1", "a-1", "a99999999999999999999"}) {
        EXPECT_FALSE(traits.serves(model_id("m"), adapter_id(name))) << name;
    }
}

TEST(route, onlyIdempotentRequestsAndResumableStreamsAreRepeatable)
{
    route one;
    one.kind = request_kind::NonIdempotent;
    EXPECT_FALSE(one.isRepeatable());
    one.resumable = true;
    EXPECT_FALSE(one.isRepeatable());
    one.kind = request_kind::Stream;
    EXPECT_TRUE(one.isRepeatable());
    one.resumable = false;
    EXPECT_FALSE(one.isRepeatable());
    one.kind = request_kind::Idempotent;
    EXPECT_TRUE(one.isRepeatable());
}

} // namespace fuchsialoom
