/// \file
/// The fakes round the claim machines.
#include "claim_world.h"

#include <algorithm>
#include <utility>

namespace fuchsialoom
{

static constexpr std::uint32_t partitions = 2;
static constexpr milliseconds tickEvery{5};
static constexpr milliseconds callTimeout{60};
static constexpr std::size_t pageSize = 4;
static const wall_instant wallStart{seconds(1700000000)};

claim_world::claim_world(std::size_t vms, std::uint64_t seed)
    : m_random(seed)
    , m_vms(vms)
    , m_streams(partitions)
{
    for (std::size_t vm = 0; vm < vms; ++vm) {
        m_vms[vm].skew = milliseconds(static_cast<int>(m_random() % 41) - 20);
        boot(vm);
    }
}

bool claim_world::chance(int percent)
{
    return static_cast<int>(m_random() % 100) < percent;
}

milliseconds claim_world::delay(int most)
{
    return milliseconds(1 + static_cast<int>(m_random() % static_cast<unsigned>(most)));
}

void claim_world::at(milliseconds later, task what)
{
    m_tasks.emplace(m_now + later, std::move(what));
}

void claim_world::onVm(std::size_t vm, milliseconds later, task what)
{
    at(later, [this, vm, incarnation = m_vms[vm].incarnation, what = std::move(what)] {
        runOnVm(vm, incarnation, what);
    });
}

void claim_world::runOnVm(std::size_t vm, std::uint64_t incarnation, const task &what)
{
    fake_vm &host = m_vms[vm];
    if (host.incarnation != incarnation) {
        return;
    }
    if (m_now < host.pausedUntil) {
        m_tasks.emplace(host.pausedUntil, [this, vm, incarnation, what] {
            runOnVm(vm, incarnation, what);
        });
        return;
    }
    what();
}

void claim_world::boot(std::size_t vm)
{
    fake_vm &host = m_vms[vm];
    ++host.incarnation;
    host.pausedUntil = {};
    host.undecided.clear();
    claim_options options;
    options.vm = vm_id("vm-" + std::to_string(vm));
    options.incarnation = incarnation_number(host.incarnation);
    options.partitions = partitions;
    options.gather = milliseconds(4);
    options.skewMargin = milliseconds(50);
    options.ownerTimeout = milliseconds(25);
    options.retryPause = milliseconds(30);
    options.retryAfter = milliseconds(20);
    options.refresh = milliseconds(100);
    options.claimsAnAppend = 4;
    options.appendPatience = milliseconds(20);
    host.machine = std::make_unique<claim_machine>(options);
    onVm(vm, tickEvery, [this, vm] {
        tick(vm);
    });
}

void claim_world::tick(std::size_t vm)
{
    step(vm, time_passed{});
    onVm(vm, tickEvery, [this, vm] {
        tick(vm);
    });
}

void claim_world::step(std::size_t vm, const claim_event &event)
{
    ++m_steps;
    fake_vm &host = m_vms[vm];
    const wall_instant wall = wallStart + (m_now - instant{}) + host.skew;
    for (const claim_action &action : host.machine->step(claim_time{m_now, wall}, event)) {
        std::visit(
            [&](const auto &one) {
                carryOut(vm, one);
            },
            action);
    }
}

void claim_world::advance(milliseconds length)
{
    const instant until = m_now + length;
    while (!m_tasks.empty() && m_tasks.begin()->first <= until) {
        const auto first = m_tasks.begin();
        m_now = std::max(m_now, first->first);
        const task what = std::move(first->second);
        m_tasks.erase(first);
        what();
    }
    m_now = until;
}

std::size_t claim_world::submit(std::size_t vm, const std::string &key, std::uint64_t body, milliseconds deadline)
{
    const std::size_t index = m_submissions.size();
    submission one;
    one.attempt = "a" + std::to_string(index);
    one.key = key;
    one.body = body;
    one.vm = vm;
    one.number = claim_number(++m_lastNumber);
    one.deadline = m_now + deadline;
    m_submissions.push_back(one);
    onVm(vm, milliseconds(0), [this, vm, index] {
        const submission &what = m_submissions[index];
        m_vms[vm].undecided[what.number.value()] = index;
        // A caller that repeats sends the same request id again.
        step(vm, place_claim{request_id("r-" + what.key), idempotency_key(what.key), content_hash(what.body), what.deadline, what.number});
    });
    return index;
}

void claim_world::callerLeaves(std::size_t index)
{
    onVm(m_submissions[index].vm, milliseconds(0), [this, index] {
        const submission &what = m_submissions[index];
        if (m_vms[what.vm].undecided.erase(what.number.value()) == 0) {
            return;
        }
        tell(index, claim_verdict::LogUnavailable, outcome::NotRun, {});
        step(what.vm, void_claim{key_abandon{idempotency_key(what.key), request_id("r-" + what.key)}, what.number});
    });
}

void claim_world::restart(std::size_t vm)
{
    boot(vm);
}

void claim_world::pause(std::size_t vm, milliseconds length)
{
    m_vms[vm].pausedUntil = m_now + length;
}

void claim_world::setMembers(std::size_t vm, const std::vector<std::size_t> &alive)
{
    claim_members_changed event;
    for (const std::size_t one : alive) {
        event.known.push_back(claim_member{vm_id("vm-" + std::to_string(one)), incarnation_number(m_vms[one].incarnation)});
    }
    onVm(vm, milliseconds(0), [this, vm, event] {
        step(vm, event);
    });
}

void claim_world::setAllMembers()
{
    std::vector<std::size_t> all;
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
        all.push_back(vm);
    }
    for (const std::size_t vm : all) {
        setMembers(vm, all);
    }
}

void claim_world::land(std::uint32_t partition, const record_body &body)
{
    std::vector<log_entry> &entries = m_streams[partition].entries;
    entries.push_back(log_entry{log_offset(entries.size() + 1), log_record{record_id("x"), vm_id("x"), incarnation_number(1), body}});
}

void claim_world::carryOut(std::size_t vm, const append_claims &action)
{
    at(delay(5), [this, vm, action, incarnation = m_vms[vm].incarnation] {
        claim_append_answered answer{action.partition, action.kind, claim_append_status::Appended, {}};
        milliseconds wait = delay(5);
        if (faults.logDown || chance(faults.appendRefused)) {
            answer.status = claim_append_status::Refused;
        } else if (chance(faults.appendNeverLands)) {
            answer.status = claim_append_status::Uncertain;
            wait = callTimeout;
        } else if (chance(faults.appendAnswerLost)) {
            answer.status = claim_append_status::Uncertain;
            wait = callTimeout;
            at(chance(50) ? milliseconds(0) : delay(1500), [this, action] {
                land(action.partition, action.body);
            });
        } else {
            land(action.partition, action.body);
            answer.offset = log_offset(m_streams[action.partition].entries.size());
        }
        at(wait, [this, vm, incarnation, answer] {
            runOnVm(vm, incarnation, [this, vm, answer] {
                step(vm, answer);
            });
        });
    });
}

void claim_world::carryOut(std::size_t vm, const read_claims &action)
{
    onVm(vm, delay(8), [this, vm, action] {
        claim_records_read page;
        page.partition = action.partition;
        page.available = !faults.logDown;
        if (page.available) {
            const std::vector<log_entry> &entries = m_streams[action.partition].entries;
            const std::size_t lag = chance(faults.readLags) ? 1 + m_random() % 3 : 0;
            const std::size_t size = entries.size() - std::min(lag, entries.size());
            page.first = log_offset(1);
            page.next = log_offset(size + 1);
            for (std::size_t i = action.from.value() - 1; i < size && page.entries.size() < pageSize; ++i) {
                page.entries.push_back(entries[i]);
            }
        }
        step(vm, page);
    });
}

std::optional<std::size_t> claim_world::indexOf(const vm_id &vm) const
{
    const std::size_t index = std::stoul(vm.text().substr(3));
    return index < m_vms.size() ? std::optional(index) : std::nullopt;
}

void claim_world::carryOut(std::size_t vm, const ask_claim_owner &action)
{
    const std::size_t owner = indexOf(action.owner).value();
    const std::uint64_t ask = ++m_lastNumber;
    const std::uint64_t incarnation = m_vms[vm].incarnation;
    m_claimAsks[ask] = [this, vm, incarnation, id = action.claim.id](const claim_reply &reply) {
        if (chance(faults.callLost)) {
            return;
        }
        at(delay(10), [this, vm, incarnation, id, reply] {
            runOnVm(vm, incarnation, [this, vm, id, reply] {
                ++m_ownerAnswers;
                step(vm, claim_owner_answered{id, reply});
            });
        });
    };
    if (!chance(faults.callLost)) {
        onVm(owner, delay(10), [this, owner, ask, action] {
            step(owner, peer_claim_arrived{ask_number(ask), action.claim, m_now + milliseconds(200)});
        });
    }
}

void claim_world::carryOut(std::size_t vm, const send_claim_ends &action)
{
    const std::size_t owner = indexOf(action.owner).value();
    const std::uint64_t ask = ++m_lastNumber;
    const std::uint64_t incarnation = m_vms[vm].incarnation;
    const auto answered = std::make_shared<bool>(false);
    const auto answer = [this, vm, incarnation, partition = action.partition, answered](bool appended) {
        if (std::exchange(*answered, true)) {
            return;
        }
        runOnVm(vm, incarnation, [this, vm, partition, appended] {
            step(vm, claim_ends_answered{partition, appended});
        });
    };
    m_endsAsks[ask] = [this, answer](bool appended) {
        if (!chance(faults.callLost)) {
            at(delay(10), [answer, appended] {
                answer(appended);
            });
        }
    };
    if (!chance(faults.callLost)) {
        onVm(owner, delay(10), [this, owner, ask, action] {
            step(owner, peer_ends_arrived{ask_number(ask), action.ends});
        });
    }
    at(callTimeout, [answer] {
        answer(false);
    });
}

void claim_world::carryOut(std::size_t, const answer_claim_peer &action)
{
    m_claimAsks.at(action.ask.value())(action.reply);
}

void claim_world::carryOut(std::size_t, const answer_ends_peer &action)
{
    m_endsAsks.at(action.ask.value())(action.appended);
}

void claim_world::carryOut(std::size_t, const unknown_claims_listed &)
{
}

void claim_world::carryOut(std::size_t, const emit_event &)
{
}

void claim_world::tell(std::size_t index, claim_verdict verdict, outcome known, const std::string &answer)
{
    submission &what = m_submissions[index];
    what.told = true;
    what.verdict = verdict;
    what.known = known;
    what.answer = answer;
}

void claim_world::carryOut(std::size_t vm, const claim_decided &action)
{
    // The request path sees the decision a moment later, and ignores one that isn't its own.
    onVm(vm, delay(3), [this, vm, action] {
        const auto found = m_vms[vm].undecided.find(action.number.value());
        if (found == m_vms[vm].undecided.end()) {
            return;
        }
        const std::size_t index = found->second;
        m_vms[vm].undecided.erase(found);
        switch (action.verdict) {
        case claim_verdict::Won:
            dispatch(vm, index);
            return;
        case claim_verdict::Recorded:
            tell(index, action.verdict, outcome::Ran, action.recorded->answer.value_or(""));
            return;
        case claim_verdict::Unknown:
        case claim_verdict::InProgress:
            tell(index, action.verdict, outcome::Unknown, {});
            return;
        case claim_verdict::KeyReused:
        case claim_verdict::LogUnavailable:
            tell(index, action.verdict, outcome::NotRun, {});
            return;
        }
    });
}

/// The deadline is checked, and a moment later the request goes out: a pause may fall between.
void claim_world::dispatch(std::size_t vm, std::size_t index)
{
    const submission &what = m_submissions[index];
    if (m_now >= what.deadline) {
        tell(index, claim_verdict::LogUnavailable, outcome::NotRun, {});
        step(vm, void_claim{key_abandon{idempotency_key(what.key), request_id("r-" + what.key)}, what.number});
        return;
    }
    onVm(vm, delay(20), [this, vm, index] {
        const submission &sent = m_submissions[index];
        m_dispatched.insert(sent.key);
        m_lateDispatches += m_now >= sent.deadline ? 1 : 0;
        const std::uint64_t incarnation = m_vms[vm].incarnation;
        at(delay(100), [this, vm, index, incarnation] {
            const submission &reached = m_submissions[index];
            const bool refused = chance(faults.targetRefuses);
            const std::string answer = "run " + std::to_string(m_runs.size());
            if (!refused) {
                m_runs.push_back(target_run{reached.key, reached.body, reached.attempt, answer});
            }
            const outcome known = refused ? outcome::NotRun : chance(faults.targetAnswerLost) ? outcome::Unknown : outcome::Ran;
            at(delay(60), [this, vm, index, incarnation, known, answer] {
                runOnVm(vm, incarnation, [this, vm, index, known, answer] {
                    settle(vm, index, known, known == outcome::Ran ? answer : "");
                });
            });
        });
    });
}

void claim_world::settle(std::size_t vm, std::size_t index, outcome known, const std::string &answer)
{
    const submission &what = m_submissions[index];
    tell(index, claim_verdict::Won, known, answer);
    key_outcome result;
    result.key = idempotency_key(what.key);
    result.request = request_id("r-" + what.key);
    result.known = known;
    result.answer = answer;
    step(vm, settle_claim{result, what.number});
}

} // namespace fuchsialoom
