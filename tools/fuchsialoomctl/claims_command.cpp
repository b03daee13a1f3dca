/// \file
/// The command `claims`: what operators reconcile.
#include "claims_command.h"

#include "admin_client.h"
#include "fuchsialoom/node/process_options.h"
#include "fuchsialoom/support/errors.h"

#include <httplib.h>

#include <algorithm>
#include <cstdint>
#include <iostream>
#include <map>
#include <tuple>

namespace fuchsialoom::ctl
{

using json = nlohmann::json;

static constexpr const char *form = "; usage: claims --unknown [SCOPE] [--most N]";

struct claims_query
{
    std::string scope;
    std::size_t most = 100;
};

static claims_query readQuery(const words &arguments)
{
    static constexpr std::string_view mostPrefix = "--most=";
    static constexpr std::size_t largestMost = 1000;
    claims_query query;
    bool ofUnknown = false;
    for (const std::string &word : arguments) {
        if (word == "--unknown") {
            ofUnknown = true;
        } else if (word.starts_with(mostPrefix)) {
            query.most = parseCount("most", word.substr(mostPrefix.size()), 1, largestMost);
        } else if (query.scope.empty() && !word.empty() && !word.starts_with('-')) {
            query.scope = word;
        } else {
            throw error(error_kind::InvalidOption, "'" + word + "' is not expected" + form);
        }
    }
    if (!ofUnknown) {
        throw error(error_kind::InvalidOption, std::string("--unknown is missing") + form);
    }
    return query;
}

/// The VMs named, and those that they reach.
static std::vector<endpoint> allVms(const context &with)
{
    std::vector<endpoint> vms = with.vms;
    for (const endpoint &named : with.vms) {
        const std::optional<json> status = askOne(named, "/status");
        for (const json &peer : status ? status->value("peers", json::array()) : json::array()) {
            if (!peer.value("reachable", false)) {
                continue;
            }
            const endpoint admin = parseEndpoint(peer.at("admin").get<std::string>());
            if (std::find(vms.begin(), vms.end(), admin) == vms.end()) {
                vms.push_back(admin);
            }
        }
    }
    return vms;
}

struct gathered_claims
{
    /// By time, request and key: two VMs may follow one partition.
    std::map<std::tuple<std::int64_t, std::string, std::string>, json> claims;
    std::size_t unlisted = 0;
    std::size_t answers = 0;
    std::vector<endpoint> silent;
};

static gathered_claims gather(const std::vector<endpoint> &vms, const claims_query &query)
{
    gathered_claims all;
    const std::string path =
        "/claims/unknown?most=" + std::to_string(query.most) + "&scope=" + httplib::detail::encode_query_param(query.scope);
    for (const endpoint &vm : vms) {
        const std::optional<json> answer = askOne(vm, path);
        if (!answer) {
            all.silent.push_back(vm);
            continue;
        }
        ++all.answers;
        const json &claims = answer->at("claims");
        for (const json &claim : claims) {
            all.claims[{claim.at("placed_unix_ms"),
                        claim.at("request_id"),
                        claim.at("scope").get<std::string>() + '/' + claim.at("key").get<std::string>()}] = claim;
        }
        all.unlisted += answer->at("total").get<std::size_t>() - claims.size();
    }
    return all;
}

static std::string timeOf(const json &claim, const char *field)
{
    return utcText(claim.at(field).get<std::int64_t>());
}

static void printClaim(const json &claim)
{
    std::cout << "placed=" << timeOf(claim, "placed_unix_ms") << " deadline=" << timeOf(claim, "deadline_unix_ms")
              << " kept-until=" << timeOf(claim, "kept_until_unix_ms") << " vm=" << claim.at("vm").get<std::string>()
              << " request=" << claim.at("request_id").get<std::string>() << " scope=" << claim.at("scope").get<std::string>()
              << " key=" << claim.at("key").get<std::string>() << '\n';
}

exit_code showClaims(const context &with, const words &arguments)
{
    const claims_query query = readQuery(arguments);
    const gathered_claims all = gather(allVms(with), query);
    if (all.answers == 0) {
        throw error(error_kind::PeerUnreachable, "none of the VMs answers");
    }
    const std::size_t shown = std::min(all.claims.size(), query.most);
    const std::size_t total = all.claims.size() + all.unlisted;
    json listed = json::array();
    auto claim = all.claims.begin();
    for (std::size_t index = 0; index < shown; ++index, ++claim) {
        if (with.json) {
            listed.push_back(claim->second);
        } else {
            printClaim(claim->second);
        }
    }
    if (with.json) {
        std::cout << json{{"claims", listed}, {"total", total}, {"complete", all.silent.empty()}}.dump() << '\n';
    } else if (total == 0) {
        std::cout << "no claim's outcome is unknown\n";
    } else if (shown < total) {
        std::cout << "the earliest " << shown << " of " << total << ": name a SCOPE (BRAND/SERVICE/KEY or its beginning), or --most\n";
    }
    for (const endpoint &vm : all.silent) {
        std::cerr << "fuchsialoomctl: " << toText(vm) << " doesn't answer; claims of its partitions may be missing\n";
    }
    return all.silent.empty() ? exit_code::Done : exit_code::Failed;
}

} // namespace fuchsialoom::ctl
