/// \file
/// Which list of VMs and targets this VM goes by: the platform's own while it answers, else the freshest
/// that a peer has. A list carries when the platform made it, as a span, since the way from VM to VM blurs
/// it. Only a list that is surely newer replaces another, so a relayed list never takes back what a later
/// one said of a leaving target. Of two whose spans overlap the one known first stays, until the platform
/// answers.
#pragma once

#include "fuchsialoom/core/targets.h"

#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace fuchsialoom
{

/// A list and how old it is at most.
struct dated_listing
{
    std::shared_ptr<const vm_listing> listing; ///< never null
    content_hash content; ///< equal for equal lists
    instant takenAt; ///< the platform made it at this instant or later, on this VM's clock
    instant takenBy; ///< ... and not after this one
};

// Events.

/// The platform answered.
struct platform_listed
{
    dated_listing list;
};

/// The platform did not answer.
struct platform_silent
{
    std::vector<vm_id> near; ///< VMs of the own domain that were heard of lately
    std::vector<vm_id> far; ///< those of other domains
};

/// A peer answered with a list that differs from ours.
struct peer_listed
{
    dated_listing list;
};

/// A peer answered that it has the list of this content too.
struct peer_confirmed
{
    content_hash content;
    instant takenAt; ///< as in dated_listing
    instant takenBy;
};

using listing_event = std::variant<platform_listed, platform_silent, peer_listed, peer_confirmed>;

// Actions.

struct listing_actions
{
    std::vector<vm_id> ask; ///< peers to ask for their list now; at most two
    bool changed = false; ///< latest() has another content
};

class listing_follower
{
public:
    listing_actions step(instant now, const listing_event &event);

    /// The list to go by; nothing before the first.
    const std::optional<dated_listing> &latest() const
    {
        return m_latest;
    }

private:
    listing_actions handle(instant now, const platform_listed &event);
    listing_actions handle(instant now, const platform_silent &event);
    listing_actions handle(instant now, const peer_listed &event);
    listing_actions handle(instant now, const peer_confirmed &event);

    listing_actions adopt(instant now, const dated_listing &list);

    std::optional<dated_listing> m_latest; ///< neither of its ends ever decreases or is in the future
    std::size_t m_turn = 0; ///< walks through the peers, so that one without a list holds up nobody
};

} // namespace fuchsialoom
