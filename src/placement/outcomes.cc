// What a node learns from the answers of a replica: speed, faults, reachability.
#include <algorithm>
#include <cmath>

#include "fuchsiaspring/placement/placer.h"
#include "placement/state.h"

namespace fuchsiaspring::placement {
namespace {

using internal::replica_state;
using internal::service_state;
using std::chrono::milliseconds;

constexpr base::duration min_backoff = milliseconds(200);
constexpr base::duration max_backoff = milliseconds(1600);
constexpr base::duration min_ejection = milliseconds(700);
constexpr base::duration max_ejection = milliseconds(5000);
// At most this share of a service's replicas is ejected for bad answers: when most replicas look
// bad, the cause is elsewhere.
constexpr double max_ejected_share = 0.5;
// A replica whose address another one has taken is gone, though it may be listed until its entry
// lapses; the platform drops an entry within a few seconds.
constexpr base::duration replaced_for = std::chrono::seconds(10);
constexpr double failure_weight = 0.15;  // of one answer in the moving average
constexpr double min_samples = 6;        // answers before the average is believed
constexpr double bad_failure_share = 0.3;
// A replica is bad only if it fails this much more often than its siblings do on average.
constexpr double sibling_factor = 2;
constexpr std::uint32_t max_consecutive_failures = 4;
constexpr double slowness_weight = 0.12;
constexpr double first_token_weight = 0.05;  // of one answer in the moving average
// A stream was beside a long prompt if this much of one is left in the decaying count.
constexpr double exposed_long_reads = 0.4;
constexpr double gap_weight = 0.04;  // of one stream in the moving average
constexpr double min_slowness = 0.2;
constexpr double max_slowness = 20;
// A replica that is avoided for its slowness is tried again after some of these.
constexpr base::duration slowness_memory = std::chrono::seconds(4);

bool is_failure(outcome how) {
  return how == outcome::server_error || how == outcome::broken || how == outcome::silent ||
         how == outcome::rejected;
}

void observe(internal::measured_first_token& measured, double elapsed_ms) {
  measured.samples += 1;
  const double weight = std::max(first_token_weight, 1 / measured.samples);
  measured.mean_ms += weight * (elapsed_ms - measured.mean_ms);
}

}  // namespace

base::duration placer::usual_first_token(const work& request) const {
  const auto service = m_services.find(request.service);
  if (service == m_services.end()) {
    return {};
  }
  const internal::measured_first_token& measured =
      request.yields ? service->second->long_prompts : service->second->short_prompts;
  return measured.samples < min_samples ? base::duration{}
                                        : base::from_seconds(measured.mean_ms / 1000);
}

void placer::on_first_event(std::string_view replica_id, const choice& chosen,
                            base::duration elapsed, base::time_point now) {
  replica_state* state = find(replica_id);
  if (state == nullptr) {
    return;
  }
  state->read_tokens -= std::min(state->read_tokens, chosen.read_tokens);
  if (state->service == nullptr) {
    return;
  }
  const double elapsed_ms = 1000 * base::to_seconds(elapsed);
  observe(chosen.is_long_prompt ? state->service->long_prompts : state->service->short_prompts,
          elapsed_ms);
  const double slowness = slowness_now(*state, now);
  const double expected_ms =
      std::max(1.0, 1000 * base::to_seconds(chosen.expected_wait) / slowness);
  const double ratio = std::clamp(elapsed_ms / expected_ms, min_slowness, max_slowness);
  state->slowness = slowness + slowness_weight * (ratio - slowness);
  state->slowness_at = now;
  // The tokens that were ahead follow from the expectation at the dispatch.
  internal::first_token_model& model = state->service->first_token;
  const double tokens = state->service->profile.is_engine
                            ? std::max(0.0, (expected_ms - model.expect(0)) / model.ms_per_token())
                            : 0;
  model.observe(tokens, elapsed_ms);
}

double placer::slowness_now(const replica_state& state, base::time_point now) {
  const double age = base::to_seconds(now - state.slowness_at) / base::to_seconds(slowness_memory);
  return 1 + (state.slowness - 1) * std::exp(-std::max(0.0, age));
}

void placer::on_stream_end(std::string_view replica_id, base::duration gap_target,
                           base::duration longest_gap, base::time_point now) {
  replica_state* state = find(replica_id);
  if (state == nullptr || state->service == nullptr || gap_target.count() == 0 ||
      internal::recent_long_reads(*state, now) < exposed_long_reads) {
    return;
  }
  internal::gap_record& record = state->service->gaps[gap_target];
  record.samples += 1;
  const double weight = std::max(gap_weight, 1 / record.samples);
  record.missed_share += weight * ((longest_gap > gap_target ? 1.0 : 0.0) - record.missed_share);
}

void placer::on_end(std::string_view replica_id, const choice& chosen, outcome how,
                    bool had_first_event, base::time_point now) {
  replica_state* state = find(replica_id);
  if (state == nullptr) {
    return;
  }
  state->running -= std::min<std::uint32_t>(state->running, 1);
  state->gap_sensitivity = std::max(0.0, state->gap_sensitivity - chosen.gap_sensitivity);
  if (!had_first_event) {
    state->read_tokens -= std::min(state->read_tokens, chosen.read_tokens);
  }
  judge(*state, how, now);
}

void placer::judge(replica_state& state, outcome how, base::time_point now) {
  if (how == outcome::cancelled || state.service == nullptr) {
    return;
  }
  if (how == outcome::replaced) {
    state.down_until = now + replaced_for;
    state.cached.clear();
    return;
  }
  if (how == outcome::not_connected) {
    state.backoff = std::clamp(state.backoff * 2, min_backoff, max_backoff);
    state.down_until = now + state.backoff;
    state.was_unreachable = true;
    return;
  }
  if (state.was_unreachable) {
    // It may have been started anew before the published list says so.
    state.was_unreachable = false;
    state.backoff = {};
    state.cached.clear();
    state.cold_until = std::max(state.cold_until, now + state.service->profile.cold_start);
  }
  state.samples += 1;
  const bool failed = is_failure(how);
  state.failure_share += failure_weight * ((failed ? 1.0 : 0.0) - state.failure_share);
  if (!failed) {
    state.consecutive_failures = 0;
    state.ejection = {};
    return;
  }
  ++state.consecutive_failures;
  double siblings = 0;
  std::size_t others = 0;
  for (const std::string& id : state.service->replica_ids) {
    const replica_state* other = find(id);
    if (other == nullptr || other == &state) {
      continue;
    }
    siblings += other->failure_share;
    ++others;
  }
  const double sibling_share = others == 0 ? 1 : siblings / static_cast<double>(others);
  const bool is_bad = state.consecutive_failures >= max_consecutive_failures ||
                      (state.samples >= min_samples && state.failure_share > bad_failure_share);
  if (!is_bad || state.failure_share < sibling_factor * sibling_share ||
      !may_eject(*state.service, now)) {
    return;
  }
  state.ejection = std::clamp(state.ejection * 2, min_ejection, max_ejection);
  state.ejected_until = now + state.ejection;
  state.consecutive_failures = 0;
  state.failure_share = bad_failure_share / 2;
}

bool placer::may_eject(const service_state& service, base::time_point now) const {
  std::size_t ejected = 0;
  for (const std::string& id : service.replica_ids) {
    const replica_state* state = find(id);
    if (state != nullptr && now < state->ejected_until) {
      ++ejected;
    }
  }
  return static_cast<double>(ejected + 1) <=
         max_ejected_share * static_cast<double>(service.replica_ids.size());
}

}  // namespace fuchsiaspring::placement
