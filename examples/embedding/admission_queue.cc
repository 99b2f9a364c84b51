// Admission with two tiers: questions of the higher tier are dispatched before queued summaries and
// displace them from a full queue. A floor keeps a share of the dispatches for summaries.
#include <chrono>
#include <string>
#include <variant>

#include "expectation.h"
#include "fuchsiaspring/admission/admission_queue.h"

namespace admission = fuchsiaspring::admission;
namespace base = fuchsiaspring::base;

using std::chrono::seconds;

namespace {

admission::policy two_classes() {
  admission::policy result;
  result.tiers = {{"gold", 0}, {"bronze", 1}};
  result.classes = {{.name = "question",
                     .tier = "gold",
                     .pool = "engine",
                     .first_token_target = seconds(2),
                     .floor_per_mille = 20,
                     .max_queue = 4},
                    {.name = "summary",
                     .tier = "bronze",
                     .pool = "engine",
                     .first_token_target = seconds(60),
                     .floor_per_mille = 100,
                     .max_queue = 4,
                     .preemptible = true}};
  result.teams = {{.name = "counter", .guarantees = {{"question", 1.0, 1.0}}}, {.name = "stock"}};
  return result;
}

admission::queue_request request(const std::string& id, const std::string& team,
                                 const std::string& request_class) {
  return {.id = id,
          .team = team,
          .request_class = request_class,
          .pool = "engine",
          .first_token_estimate = std::chrono::milliseconds(100)};
}

}  // namespace

int main() {
  expectation check;
  base::time_point now{seconds(1000)};
  base::random_source random(1);
  admission::admission_queue queue(two_classes(), now);
  const auto always = [](std::string_view, std::string_view) { return true; };

  for (int i = 0; i < 8; ++i) {
    queue.offer(request("s" + std::to_string(i), "stock", "summary"), now, random);
  }
  const auto ninth = queue.offer(request("s8", "stock", "summary"), now, random);
  const auto* refused = std::get_if<admission::refused>(&ninth.decision);
  check.that(refused != nullptr && refused->reason == admission::refusal_reason::queue_full,
             "the ninth summary is refused because the queue is full");

  queue.offer(request("q0", "counter", "question"), now, random);
  const auto arrival = queue.offer(request("q1", "counter", "question"), now, random);
  check.that(std::holds_alternative<admission::queued>(arrival.decision), "questions are queued");
  check.that(arrival.displaced.size() == 1 && arrival.displaced[0].request.id == "s7",
             "a question displaces the newest summary");

  const auto first = queue.next(now, always);
  check.that(first && first->request.id == "q0", "a question is dispatched before older summaries");
  std::cout << "dispatched by rule " << (first ? to_string(first->rule) : "none") << "\n";
  check.that(queue.withdraw("s0", now), "a request whose caller has disconnected can be withdrawn");
  now += seconds(3);
  const auto expired = queue.expire(now, random);
  check.that(expired.size() == 1 && expired[0].request.id == "q1",
             "a question that can no longer meet its target is removed");
  check.that(queue.size() == 6, "six summaries remain");
  return check.exit_status();
}
