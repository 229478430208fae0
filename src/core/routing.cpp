// Candidate index and upstream selection.
#include "core/routing.h"

#include <algorithm>

namespace tamarack {

namespace {

void addUpstream(RoutingState &state, const Upstream &upstream)
{
    const auto [it, created]
        = state.byId_.try_emplace(upstream.id_, UpstreamIndex {state.upstreams_.size()});
    if (created)
        state.upstreams_.emplace_back();
    UpstreamState &known = state.upstreams_[it->second.value_];
    known.id_ = upstream.id_;
    known.kind_ = upstream.kind_;
    known.host_ = upstream.host_;
    known.zone_ = upstream.zone_;
    known.inBundle_ = true;
    known.softwareVersion_ = upstream.softwareVersion_;
    if (upstream.kind_ == UpstreamKind::Service) {
        state.byService_[upstream.service_].members_.push_back(it->second);
        return;
    }
    for (const ModelId &model : upstream.models_)
        state.byModel_[model].members_.push_back(it->second);
}

const UpstreamGroup *findGroup(const RoutingState &state, const RouteQuery &query)
{
    if (query.kind_ == UpstreamKind::Service) {
        const auto it = state.byService_.find(query.service_);
        return it == state.byService_.end() ? nullptr : &it->second;
    }
    const auto it = state.byModel_.find(query.model_);
    return it == state.byModel_.end() ? nullptr : &it->second;
}

bool wasTried(const RouteQuery &query, const UpstreamId &upstream)
{
    return std::find(query.tried_.begin(), query.tried_.end(), upstream) != query.tried_.end();
}

/// An upstream that was evaluated for a request.
struct ScoredCandidate
{
    UpstreamIndex upstream_;
    Prediction prediction_;
    bool probe_ = false;
};

/// State of one selection.
struct CandidateSearch
{
    RoutingState &state_;
    const RouteQuery &query_;
    MonoTime now_;
    std::vector<CacheMatch> matches_;
    std::vector<ScoredCandidate> free_;
    std::optional<ScoredCandidate> bestFull_;
    std::optional<ScoredCandidate> bestEjected_;
    std::uint32_t considered_ = 0;
};

double cacheMatch(const CandidateSearch &search, UpstreamIndex upstream)
{
    for (const CacheMatch &match : search.matches_) {
        if (match.upstream_ == upstream)
            return match.share_;
    }
    return 0.0;
}

void updateBest(std::optional<ScoredCandidate> &best, const ScoredCandidate &candidate)
{
    if (!best || candidate.prediction_.firstToken_ < best->prediction_.firstToken_)
        best = candidate;
}

void evaluate(CandidateSearch &search, UpstreamIndex index)
{
    const UpstreamState &upstream = search.state_.upstreams_[index.value_];
    ++search.considered_;
    if (search.query_.softwareVersion_
        && upstream.softwareVersion_ != *search.query_.softwareVersion_)
        return;
    const Availability available = availability(search.state_, upstream, search.now_);
    if (available == Availability::Excluded)
        return;
    const bool tried = wasTried(search.query_, upstream.id_);
    if (tried && available != Availability::Free)
        return;
    const ScoredCandidate candidate {
        index,
        predict(search.state_, upstream, search.query_, cacheMatch(search, index), search.now_),
        available == Availability::Probing};
    if (available == Availability::Ejected || tried)
        updateBest(search.bestEjected_, candidate);
    else if (available == Availability::Full)
        updateBest(search.bestFull_, candidate);
    else if (available == Availability::Free || search.query_.idempotent_)
        search.free_.push_back(candidate);
}

/// Evaluates a window of the randomly ordered group and the engines with a cached prefix.
void evaluateSample(CandidateSearch &search, const UpstreamGroup &group)
{
    const std::size_t size = group.members_.size();
    const std::size_t count = std::min(size, search.state_.settings_.sampleSize_);
    const std::size_t start = count < size ? search.state_.random_() % size : 0;
    for (std::size_t i = 0; i < count; ++i)
        evaluate(search, group.members_[(start + i) % size]);
    if (count == size)
        return;
    for (const CacheMatch &match : search.matches_) {
        if (std::find(group.members_.begin(), group.members_.end(), match.upstream_)
            != group.members_.end())
            evaluate(search, match.upstream_);
    }
    if (!search.free_.empty())
        return;
    for (std::size_t i = count; i < size; ++i)
        evaluate(search, group.members_[(start + i) % size]);
}

/// Returns a readmitted upstream without requests in flight, which gets the next request as a
/// probe.
const ScoredCandidate *findPendingProbe(const CandidateSearch &search)
{
    if (!search.query_.tried_.empty())
        return nullptr;
    for (const ScoredCandidate &candidate : search.free_) {
        const UpstreamState &upstream = search.state_.upstreams_[candidate.upstream_.value_];
        if (candidate.probe_ && upstream.inFlight_ == 0 && upstream.consecutiveFailures_ > 0)
            return &candidate;
    }
    return nullptr;
}

const ScoredCandidate &chooseFree(CandidateSearch &search)
{
    if (const ScoredCandidate *probe = findPendingProbe(search))
        return *probe;
    const auto best
        = std::min_element(search.free_.begin(), search.free_.end(),
                           [](const ScoredCandidate &a, const ScoredCandidate &b) {
                               return a.prediction_.firstToken_ < b.prediction_.firstToken_;
                           });
    const RoutingSettings &settings = search.state_.settings_;
    const PreciseMicros least = best->prediction_.firstToken_;
    const PreciseMicros limit
        = least + std::max(least * settings.tieShare_, PreciseMicros {settings.tieMargin_});
    std::size_t ties = 0;
    const ScoredCandidate *chosen = &*best;
    for (const ScoredCandidate &candidate : search.free_) {
        if (candidate.prediction_.firstToken_ > limit)
            continue;
        ++ties;
        if (search.state_.random_() % ties == 0)
            chosen = &candidate;
    }
    return *chosen;
}

RouteChoice makeChoice(const CandidateSearch &search, const ScoredCandidate &candidate)
{
    RouteChoice choice;
    choice.outcome_ = RouteOutcome::Chosen;
    choice.upstream_ = search.state_.upstreams_[candidate.upstream_.value_].id_;
    choice.prediction_ = candidate.prediction_;
    choice.probe_ = candidate.probe_;
    return choice;
}

RouteChoice makeResult(CandidateSearch &search)
{
    RouteChoice choice;
    if (!search.free_.empty()) {
        choice = makeChoice(search, chooseFree(search));
    } else if (search.bestFull_) {
        choice.outcome_ = RouteOutcome::AllFull;
        choice.prediction_ = search.bestFull_->prediction_;
    } else if (search.bestEjected_) {
        choice = makeChoice(search, *search.bestEjected_);
        choice.lastResort_ = true;
    }
    choice.considered_ = search.considered_;
    return choice;
}

} // namespace

std::string_view attemptResultCode(AttemptResult result)
{
    switch (result) {
    case AttemptResult::Complete:
        return "whole";
    case AttemptResult::NotSent:
        return "not_sent";
    case AttemptResult::Rejected:
        return "rejected";
    case AttemptResult::Failed:
        return "failed";
    case AttemptResult::Truncated:
        return "cut";
    case AttemptResult::TimedOut:
        return "timed_out";
    case AttemptResult::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

void indexUpstreams(RoutingState &state, const Bundle &bundle)
{
    for (UpstreamState &upstream : state.upstreams_)
        upstream.inBundle_ = false;
    state.byModel_.clear();
    state.byService_.clear();
    for (const auto &[id, upstream] : bundle.upstreams_)
        addUpstream(state, upstream);
    for (auto &[model, group] : state.byModel_)
        std::shuffle(group.members_.begin(), group.members_.end(), state.random_);
    for (auto &[service, group] : state.byService_)
        std::shuffle(group.members_.begin(), group.members_.end(), state.random_);
    state.indexed_ = bundle.version_;
}

UpstreamState *findUpstream(RoutingState &state, const UpstreamId &upstream)
{
    const auto it = state.byId_.find(upstream);
    return it == state.byId_.end() ? nullptr : &state.upstreams_[it->second.value_];
}

RouteChoice chooseUpstream(RoutingState &state, const RouteQuery &query, MonoTime now)
{
    const UpstreamGroup *group = findGroup(state, query);
    if (!group)
        return {};
    CandidateSearch search {state, query, now, matchPrefix(state.cache_, query.promptBlocks_, now),
                            {},    {},    {},  0};
    search.free_.reserve(std::min(group->members_.size(), state.settings_.sampleSize_));
    evaluateSample(search, *group);
    return makeResult(search);
}

} // namespace tamarack
