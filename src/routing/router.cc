#include "fuchsiaspring/routing/router.h"

#include "routing/router_state.h"

namespace fuchsiaspring::routing {

std::string_view to_string(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::unknown_pool:
      return "unknown_pool";
    case refusal_reason::no_upstream:
      return "no_upstream";
    case refusal_reason::domain_out_of_service:
      return "domain_out_of_service";
    case refusal_reason::upstreams_busy:
      return "upstreams_busy";
  }
  return "no_upstream";
}

router::router() : m_state(std::make_unique<internal::router_state>()) {}
router::~router() = default;
router::router(router&&) noexcept = default;
router& router::operator=(router&&) noexcept = default;

base::result<void> router::update(const router_config& config, base::time_point now) {
  return m_state->update(config, now);
}

void router::set_slot_share(std::string_view upstream, std::uint32_t slots) {
  m_state->set_slot_share(upstream, slots);
}

pick_result router::pick(const pick_request& request, base::time_point now,
                         base::random_source& random) {
  return m_state->pick(request, now, random);
}

std::optional<refusal_reason> router::check_capacity(const pick_request& request,
                                                     base::time_point now) const {
  return m_state->check_capacity(request, now);
}

std::uint32_t router::free_slots(std::string_view pool, base::time_point now) const {
  return m_state->free_slots(pool, now);
}

void router::on_dispatch(std::string_view upstream, base::time_point now,
                         std::uint64_t prefix_hash) {
  m_state->on_dispatch(upstream, now, prefix_hash);
}

void router::on_first_token(std::string_view upstream, const first_token& event,
                            base::time_point now) {
  m_state->on_first_token(upstream, event, now);
}

void router::on_first_token_overdue(std::string_view upstream, base::time_point now) {
  m_state->on_first_token_overdue(upstream, now);
}

std::optional<base::duration> router::first_token_overdue_after(std::string_view upstream,
                                                                std::uint32_t prompt_tokens) const {
  return m_state->first_token_overdue_after(upstream, prompt_tokens);
}

void router::on_finish(std::string_view upstream, base::time_point now) {
  m_state->on_finish(upstream, now);
}

void router::on_failure(std::string_view upstream, failure_kind kind, base::time_point now) {
  m_state->on_failure(upstream, kind, now);
}

void router::on_load_report(std::string_view upstream, const load_report& report,
                            base::duration age, base::time_point now) {
  m_state->on_load_report(upstream, report, age, now);
}

void router::on_notice(const upstream_notice& notice, base::time_point now) {
  m_state->on_notice(notice, now);
}

void router::on_cache_event(std::string_view upstream, const cache_event& event,
                            base::time_point now) {
  m_state->on_cache_event(upstream, event, now);
}

std::vector<upstream_notice> router::take_notices() {
  return m_state->take_notices();
}

std::uint32_t router::ramp_limit(std::string_view upstream) const {
  return m_state->ramp_limit(upstream);
}

std::vector<upstream_status> router::status(std::string_view pool, base::time_point now) const {
  return m_state->status(pool, now);
}

bool router::own_domain_out_of_service() const {
  return m_state->own_domain_out_of_service();
}

}  // namespace fuchsiaspring::routing
