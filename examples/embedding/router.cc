// Choice of an upstream: nearest domain first, cold-start ramp, domains out of service.
#include <chrono>
#include <string>
#include <variant>

#include "expectation.h"
#include "fuchsiaspring/routing/router.h"

namespace base = fuchsiaspring::base;
namespace routing = fuchsiaspring::routing;

using std::chrono::milliseconds;

namespace {

routing::router_config two_domains(bool near_out_of_service) {
  return {.self = {"vm1", "near"},
          .pools = {{"model-a", {{"e1", "near", 8, 2}, {"e2", "near", 8, 2}, {"e3", "far", 8, 2}}}},
          .domains = {{"near", {"far"}, near_out_of_service}, {"far", {"near"}}}};
}

std::string upstream_name(const routing::pick_result& result) {
  if (const auto* chosen = std::get_if<routing::choice>(&result)) {
    return chosen->upstream;
  }
  return "none: " + std::string(to_string(std::get<routing::refusal_reason>(result)));
}

}  // namespace

int main() {
  expectation check;
  base::random_source random(1);
  base::time_point now{std::chrono::hours(1)};
  routing::router router;
  check.that(router.update(two_domains(false), now).has_value(), "the configuration is accepted");
  const routing::pick_request request{.pool = "model-a"};
  check.that(upstream_name(router.pick(request, now, random)) == "none: upstreams_busy",
             "no upstream is chosen before this VM has a share of a limit");
  for (const char* name : {"e1", "e2", "e3"}) {
    router.set_slot_share(name, 8);
  }

  std::string order;
  for (int i = 0; i < 6; ++i) {
    const std::string name = upstream_name(router.pick(request, now, random));
    order += name + " ";
    router.on_dispatch(name, now);
  }
  std::cout << "chosen: " << order << "\n";
  check.that(router.ramp_limit("e1") == 2, "a new upstream starts at its cold limit");
  check.that(order.ends_with("e3 e3 "),
             "requests spill over when the nearest domain is at its limit");
  check.that(upstream_name(router.pick(request, now, random)) == "none: upstreams_busy",
             "no upstream exceeds its ramp limit");

  for (int i = 0; i < 2; ++i) {
    router.on_first_token("e1", {.elapsed = milliseconds(200)}, now);
    router.on_finish("e1", now);
  }
  check.that(router.ramp_limit("e1") > 2, "first tokens in time raise the ramp limit");
  check.that(upstream_name(router.pick(request, now, random)) == "e1",
             "the free upstream is chosen");

  check.that(router.update(two_domains(true), now).has_value(),
             "the near domain is marked out of service");
  const std::string chosen_upstream = upstream_name(router.pick(request, now, random));
  std::cout << "with the near domain out of service: " << chosen_upstream << "\n";
  check.that(chosen_upstream != "e1" && chosen_upstream != "e2",
             "a domain out of service gets no new requests");
  check.that(router.own_domain_out_of_service(), "this VM's own domain is out of service");
  return check.exit_status();
}
